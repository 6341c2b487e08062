//! What the text says, checked.

use std::net;

use lentil_types::{
    Class, ModelName, PlaceName, RegionName, RunnerName, ScopeName, ServiceName, TeamName,
    WeightsVersion,
};

use crate::{Fault, FaultKind, Faults};

/// What a market is run for when its aims pull apart.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
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
    serde::Deserialize,
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

/// A whole text: everything that exists in one region of an operator.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Market {
    /// The region.
    pub region: RegionName,
    /// What the market is run for.
    #[serde(default)]
    pub objective: Objective,
    /// Data centres.
    #[serde(default, rename = "place")]
    pub places: Vec<Place>,
    /// Models and the weights in force.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Services and their runners.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Teams.
    #[serde(default, rename = "team")]
    pub teams: Vec<Team>,
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name, unique in the text.
    pub name: PlaceName,
}

/// One model.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, as callers give it.
    pub name: ModelName,
    /// The service that runs it.
    pub service: ServiceName,
    /// The weights wanted.
    pub weights: WeightsVersion,
}

/// One service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique in the text.
    pub name: ServiceName,
    /// What it is.
    pub kind: ServiceKind,
    /// Services that it needs.
    #[serde(default)]
    pub depends: Vec<ServiceName>,
    /// Class of requests that do not say theirs.
    #[serde(default)]
    pub class: Class,
    /// Whether its backend servers report their load.
    #[serde(default)]
    pub reports_load: bool,
    /// Whether its engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Rollouts keep at least this many runners ready.
    #[serde(default)]
    pub floor: u32,
    /// Calls that may not be repeated. Others may be.
    #[serde(default, rename = "once")]
    pub once_calls: Vec<Call>,
    /// Its backend servers.
    #[serde(default)]
    pub runners: Vec<Runner>,
}

/// Calls of a plain service, by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path below the service.
    pub path: String,
}

/// One backend server of a service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Runner {
    /// Name, unique in the text.
    pub name: RunnerName,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Where its sidecar listens for entries.
    pub address: net::SocketAddr,
}

/// One team.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, unique in the text.
    pub name: TeamName,
    /// Share of a contended runner, against the other teams' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Cache scope. Teams share cached prefixes only inside one scope.
    pub scope: ScopeName,
    /// SHA-256 of the team's API keys.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
}

/// SHA-256 of an API key, in 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

fn default_weight() -> u32 {
    1
}

impl Market {
    /// Reads and checks a text.
    ///
    /// # Errors
    /// [`Faults`] with every fault of the text.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        toml::from_str(text).map_err(|error| Faults(vec![syntax_fault(text, &error)]))
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
}

impl Service {
    /// Whether a call with this method and path may run at most once.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.once_calls
            .iter()
            .any(|call| call.method == method && path.starts_with(&call.path))
    }
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |at| at + 1);
    Fault {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
        kind: FaultKind::Syntax,
        found: error.message().to_owned(),
        allowed: "a TOML document as in docs/text-reference.md".to_owned(),
    }
}
