//! The validated configuration.

use std::{fmt, net, str, time};

use lentil_types::{
    AdapterName, Class, ModelName, PlaceName, RegionName, RunnerName, ScopeName, ServiceName,
    Table, TeamName, UnitRate, Units, WeightsVersion,
};

use crate::{Faults, parse};

/// Hexadecimal digits of a SHA-256.
const HASH_DIGITS: usize = 64;

/// Optimisation goal where reuse of cached prefixes and latency conflict.
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
    /// Reuse of cached prefixes, little recomputation.
    #[default]
    HitRate,
    /// A short tail of the time to the first token.
    FirstToken,
}

/// Kind of a service.
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
    /// Stores KV cache for engines.
    KvKeeper,
    /// Serves ordinary HTTP calls.
    Plain,
}

/// Phases of a request that an engine computes.
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
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// What a limit of a team counts.
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
pub enum LimitUnit {
    /// Each request is one unit.
    #[default]
    Requests,
    /// Each token of the prompt and of the longest allowed output is one unit.
    Tokens,
}

/// A configuration: everything that exists in one region of an operator.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Config {
    /// The configured region.
    pub region: RegionName,
    /// Optimisation goal of the routers.
    pub objective: Objective,
    /// Data centres of the region.
    pub places: Vec<Place>,
    /// Rules of the listed classes; the others have built-in rules.
    pub classes: Vec<ClassRule>,
    /// Models and their target weights.
    pub models: Vec<Model>,
    /// Services and their runners.
    pub services: Vec<Service>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Place {
    /// Name, unique in the configuration.
    pub name: PlaceName,
}

/// Rules of one class of requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ClassRule {
    /// The class.
    pub name: Class,
    /// Time limit of requests without a deadline.
    pub deadline: time::Duration,
}

/// One model.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Model {
    /// Name, as callers write it.
    pub name: ModelName,
    /// The service that runs it.
    pub service: ServiceName,
    /// Version of the target weights.
    pub weights: WeightsVersion,
    /// Adapters that the engines load.
    pub adapters: Vec<AdapterName>,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Service {
    /// Name, unique in the configuration.
    pub name: ServiceName,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Services it depends on.
    pub depends: Vec<ServiceName>,
    /// Class of requests that set none.
    pub class: Class,
    /// Whether its backend servers report their load.
    pub reports_load: bool,
    /// Whether its engines refuse an order with a stale fencing number.
    pub checks_fencing: bool,
    /// Minimum number of ready runners during rollouts.
    pub floor: u32,
    /// Calls that may not be repeated; all others may.
    pub once_calls: Vec<Call>,
    /// Its backend servers.
    pub runners: Vec<Runner>,
}

/// Calls of a plain service, by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Call {
    /// HTTP method, in upper case.
    pub method: String,
    /// Prefix of the path below the service.
    pub path: String,
}

/// One backend server of a service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Runner {
    /// Name, unique in the configuration.
    pub name: RunnerName,
    /// Data centre of the server.
    pub place: PlaceName,
    /// Address where its sidecar listens for entries.
    pub address: net::SocketAddr,
    /// Phases of a request that its engine computes.
    pub role: Role,
}

/// One team.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Team {
    /// Name, unique in the configuration.
    pub name: TeamName,
    /// Share of a contended runner, relative to the other teams' weights.
    pub weight: u32,
    /// Cache scope. Teams share cached prefixes only inside one scope.
    pub scope: ScopeName,
    /// SHA-256 hashes of the team's API keys.
    pub keys: Vec<KeyHash>,
    /// Limit on the team's requests; `None` for no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<TeamLimit>,
}

/// Limit on the requests of one team, over all processes that accept them.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct TeamLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Units per second.
    pub rate: UnitRate,
    /// Units that may be used at once beyond the rate.
    pub burst: Units,
    /// Units of a request that states no token count. Set if and only if the unit is
    /// [`LimitUnit::Tokens`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub uncounted: Option<Units>,
}

impl fmt::Display for TeamLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            unit,
            rate: UnitRate(rate),
            burst: Units(burst),
            uncounted,
        } = self;
        write!(f, "{rate} {unit}/s, burst {burst}")?;
        match uncounted {
            Some(Units(uncounted)) => write!(f, ", uncounted {uncounted}"),
            None => Ok(()),
        }
    }
}

/// SHA-256 of an API key, in 64 lower-case hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

/// A string is not a SHA-256 in lower-case hexadecimal digits.
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
    /// Empty configuration, for a process without one yet.
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

    /// Parses and validates a configuration text.
    ///
    /// # Errors
    /// [`Faults`] with all faults of the text.
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

    /// Names of the teams in a cache scope, sorted.
    pub fn scope_teams(&self, scope: &ScopeName) -> Vec<&TeamName> {
        let teams = self.teams.iter().filter(|team| team.scope == *scope);
        let mut names: Vec<_> = teams.map(|team| &team.name).collect();
        names.sort();
        names
    }

    /// The runner with this name, and its service.
    pub fn runner(&self, name: &str) -> Option<(&Service, &Runner)> {
        let index_in = |service: &'_ Service| {
            service
                .runners
                .iter()
                .position(|runner| runner.name.as_str() == name)
        };
        let found = |service| index_in(service).map(|index| (service, &service.runners[index]));
        self.services.iter().find_map(found)
    }

    /// Weight of each team's share of a contended runner.
    pub fn shares(&self) -> Table<TeamName, u32> {
        let share = |team: &Team| (team.name.clone(), team.weight);
        self.teams.iter().map(share).collect()
    }

    /// Time limit of requests without a deadline.
    pub fn deadline(&self, class: Class) -> time::Duration {
        let rule = self.classes.iter().find(|rule| rule.name == class);
        rule.map_or_else(|| default_deadline(class), |rule| rule.deadline)
    }
}

/// Built-in time limit of requests without a deadline.
fn default_deadline(class: Class) -> time::Duration {
    match class {
        Class::Urgent => time::Duration::from_secs(30),
        Class::Normal => time::Duration::from_secs(120),
        Class::Patient => time::Duration::from_secs(1_800),
    }
}

impl Service {
    /// Whether a call with this method and path may not be repeated.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.once_calls
            .iter()
            .any(|call| call.method == method && path.starts_with(&call.path))
    }
}
