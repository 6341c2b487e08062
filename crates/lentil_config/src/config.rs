//! What the text says, checked.

use std::{fmt, net, str, time};

use lentil_types::{
    AdapterName, Class, ModelName, PlaceName, RegionName, RunnerName, ScopeName, ServiceName,
    Table, TeamName, WeightsVersion,
};

use crate::{Faults, parse};

/// Digits of a SHA-256 in hexadecimal.
const HASH_DIGITS: usize = 64;

/// What a market is run for when its aims pull apart.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Objective {
    /// Reuse of cached prefixes and little recomputation.
    #[default]
    HitRate,
    /// A short tail of the time to the first token.
    FirstToken,
}

/// What a service is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ServiceKind {
    /// Runs a model.
    Engine,
    /// Keeps KV cache for engines.
    KvKeeper,
    /// Answers ordinary HTTP calls.
    Plain,
}

/// What an engine does of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Computes prompts and answers.
    #[default]
    Mixed,
    /// Computes prompts.
    Prefill,
    /// Computes answers.
    Decode,
}

/// A whole text: everything that exists in one region of an operator.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Config {
    /// The region.
    pub region: RegionName,
    /// What the market is run for.
    pub objective: Objective,
    /// Data centres.
    pub places: Vec<Place>,
    /// Rules of the classes that the text names.
    pub classes: Vec<ClassRule>,
    /// Models and the weights wanted.
    pub models: Vec<Model>,
    /// Services and their runners.
    pub services: Vec<Service>,
    /// Teams.
    pub teams: Vec<Team>,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Place {
    /// Name, unique in the text.
    pub name: PlaceName,
}

/// Rules of one class of requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ClassRule {
    /// The class.
    pub name: Class,
    /// Time that a request of this class has when it names no deadline.
    pub deadline: time::Duration,
}

/// One model.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Model {
    /// Name, as callers give it.
    pub name: ModelName,
    /// The service that runs it.
    pub service: ServiceName,
    /// The weights wanted.
    pub weights: WeightsVersion,
    /// The adapters wanted.
    pub adapters: Vec<AdapterName>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Service {
    /// Name, unique in the text.
    pub name: ServiceName,
    /// What it is.
    pub kind: ServiceKind,
    /// Services that it needs.
    pub depends: Vec<ServiceName>,
    /// Class of requests that do not say theirs.
    pub class: Class,
    /// Whether its backend servers report their load.
    pub reports_load: bool,
    /// Whether its engines refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Rollouts keep at least this many runners ready.
    pub floor: u32,
    /// Calls that may not be repeated. Others may be.
    pub once_calls: Vec<Call>,
    /// Its backend servers.
    pub runners: Vec<Runner>,
}

/// Calls of a plain service, by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Call {
    /// HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path below the service.
    pub path: String,
}

/// One backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Runner {
    /// Name, unique in the text.
    pub name: RunnerName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Where its sidecar listens for entries.
    pub address: net::SocketAddr,
    /// What it does of a request.
    pub role: Role,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Team {
    /// Name, unique in the text.
    pub name: TeamName,
    /// Share of a contended runner, against the other teams' weights.
    pub weight: u32,
    /// Cache scope. Teams share cached prefixes only inside one scope.
    pub scope: ScopeName,
    /// SHA-256 of the team's API keys.
    pub keys: Vec<KeyHash>,
}

/// SHA-256 of an API key, in 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

/// A text is not the SHA-256 of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a SHA-256 in {HASH_DIGITS} lower-case hexadecimal digits")]
pub struct ParseKeyHashError;

impl str::FromStr for KeyHash {
    type Err = ParseKeyHashError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if s.len() == HASH_DIGITS && s.bytes().all(is_digit) {
            return Ok(Self(s.to_owned()));
        }
        Err(ParseKeyHashError)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Config {
    /// A text that lists nothing, for a process that has none yet.
    pub fn empty(region: RegionName) -> Self {
        Self {
            region,
            objective: Objective::default(),
            places: Vec::new(),
            classes: Vec::new(),
            models: Vec::new(),
            services: Vec::new(),
            teams: Vec::new(),
        }
    }

    /// Reads and checks a text.
    ///
    /// # Errors
    /// [`Faults`] with every fault of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        parse::config(text)
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|service| service.name.as_str() == name)
    }

    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name.as_str() == name)
    }

    /// The team with this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name.as_str() == name)
    }

    /// The service and the runner with this name.
    pub fn runner(&self, name: &str) -> Option<(&Service, &Runner)> {
        let in_service = |service: &'_ Service| {
            service
                .runners
                .iter()
                .position(|runner| runner.name.as_str() == name)
        };
        let found = |service| in_service(service).map(|at| (service, &service.runners[at]));
        self.services.iter().find_map(found)
    }

    /// Each team's share of a contended runner, against the other teams'.
    pub fn shares(&self) -> Table<TeamName, u32> {
        let share = |team: &Team| (team.name.clone(), team.weight);
        self.teams.iter().map(share).collect()
    }

    /// Time that a request of this class has when it names no deadline.
    pub fn deadline(&self, class: Class) -> time::Duration {
        let rule = self.classes.iter().find(|rule| rule.name == class);
        rule.map_or_else(|| default_deadline(class), |rule| rule.deadline)
    }
}

/// Time that a request has when neither it nor the text names a deadline.
fn default_deadline(class: Class) -> time::Duration {
    match class {
        Class::Urgent => time::Duration::from_secs(30),
        Class::Normal => time::Duration::from_secs(120),
        Class::Patient => time::Duration::from_secs(1_800),
    }
}

impl Service {
    /// Whether a call with this method and path may run at most once.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.once_calls
            .iter()
            .any(|call| call.method == method && path.starts_with(&call.path))
    }
}
