//! Routes, teams and limits of one accepted configuration.

use std::{net, time};

use compact_str::CompactString;
use lentil_types::{
    ConfigVersion, ModelName, PlaceName, ServiceName, Table, TeamName, Tokens, UnitRate, Units,
};

use crate::forward::runners::CacheGroup;

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run at most once.
    Once,
    /// It streams events and may run at most once.
    Stream,
    /// It streams events; another runner may continue after the last event.
    Resumable,
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host of the requests, in lower case.
    pub host: CompactString,
    /// Prefix of their path; ends with a slash.
    pub prefix: CompactString,
    /// Services that they go to. Never empty.
    pub targets: Vec<Target>,
    /// Whether they may be sent again.
    pub repeat: Repeat,
    /// Longest time that a caller waits.
    pub timeout: time::Duration,
    /// Time within which an answer is on time.
    pub objective: time::Duration,
    /// Longest gap between two events of a stream on time.
    pub max_gap: time::Duration,
    /// Time without an event after which the caller of a stream leaves; `None` where
    /// callers wait until their deadline.
    pub patience: Option<time::Duration>,
    /// Most runners that a request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
}

/// What a limit of a team counts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitUnit {
    /// Each request counts as one unit.
    #[default]
    Requests,
    /// Each request counts as the tokens of its prompt and its longest output.
    Tokens,
}

/// How much a team may ask of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// What is counted.
    pub unit: LimitUnit,
    /// Units per second.
    pub rate: UnitRate,
    /// Units that it may use at once beyond the rate.
    pub burst: Units,
    /// Units of a request that names no tokens, where tokens are counted.
    pub uncounted: Units,
}

impl TeamLimit {
    /// Units of a request with `tokens`, `None` if it names none.
    pub fn cost(&self, tokens: Option<Tokens>) -> Units {
        match (self.unit, tokens) {
            (LimitUnit::Requests, _) => Units(1),
            (LimitUnit::Tokens, Some(tokens)) => Units(tokens.0),
            (LimitUnit::Tokens, None) => self.uncounted,
        }
    }
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: TeamName,
    /// Rank that takes precedence over the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other teams.
    pub isolated: bool,
    /// How much it may ask; `None` for any amount.
    pub limit: Option<TeamLimit>,
}

/// Properties of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one runner accepts from all callers together.
    pub max_connections: u32,
    /// What its engines can do, if it runs models.
    pub engine: Option<Engine>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that one runner runs at once.
    pub slots: u32,
    /// Memory of one runner, in tokens.
    pub capacity: Tokens,
    /// Size of a token's cache entry, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of a runner's link, in bytes per second.
    pub link_rate: f64,
    /// Models that they serve.
    pub models: Vec<ModelName>,
}

/// A store of KV cache entries outside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Address that it answers at.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub place: PlaceName,
    /// Bandwidth of its link, in bytes per second.
    pub link_rate: f64,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a request's head.
    pub head_time: time::Duration,
    /// Longest time that a connection may be idle.
    pub idle_time: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // Used until the first configuration is known.
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_time: time::Duration::from_secs(3),
            idle_time: time::Duration::from_secs(15),
        }
    }
}

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// Its version.
    pub version: ConfigVersion,
    /// Limits on requests.
    pub limits: Limits,
    /// Stores of KV cache entries.
    pub stores: Vec<CacheStore>,
    /// Services by name.
    pub services: Table<ServiceName, Service>,
    /// Sorted by host, then by prefix.
    routes: Vec<Route>,
    teams: Vec<Team>,
    /// Teams that are not isolated.
    common_group: CacheGroup,
    /// Sorted API keys, each with the index of its team in `teams`.
    keys: Vec<(CompactString, usize)>,
}

/// Least urgent rank that runners accept.
pub const MAX_RANK: u8 = 9;
/// Route ranks that are distinguished within one team rank.
const ROUTE_RANKS: u8 = 3;

/// Rank of a request at a runner; 0 is the most urgent. The team's rank takes
/// precedence, and the route's decides within it: a team's long prompt must not delay
/// its own short questions.
pub fn rank(route: &Route, team: Option<&Team>) -> u8 {
    let own = team.and_then(|team| team.priority);
    let first = own.unwrap_or(route.priority);
    let second = route.priority.min(ROUTE_RANKS - 1);
    first
        .saturating_mul(ROUTE_RANKS)
        .saturating_add(second)
        .min(MAX_RANK)
}

/// A request's API key is missing or belongs to no team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key belongs to no team")]
pub struct UnknownKey;

impl Routing {
    /// Builds a routing; each team comes with its API keys.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        teams: Vec<(Team, Vec<CompactString>)>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut keys = Vec::new();
        for (index, (_, team_keys)) in teams.iter().enumerate() {
            keys.extend(team_keys.iter().map(|key| (key.clone(), index)));
        }
        keys.sort();
        let teams: Vec<_> = teams.into_iter().map(|(team, _)| team).collect();
        let isolated = teams.iter().filter(|team| team.isolated);
        let isolated: Vec<_> = isolated.map(|team| &team.name).collect();
        Self {
            version,
            routes,
            common_group: CacheGroup::all_but(&isolated),
            teams,
            keys,
            ..Self::default()
        }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let start = self
            .routes
            .partition_point(|r| r.host.as_str() < host.as_str());
        let of_host = self.routes[start..].iter().take_while(|r| r.host == host);
        of_host
            .filter(|r| path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())
    }

    /// The team that `key` belongs to; `None` if there is none, and the route is
    /// public or no team is configured.
    ///
    /// # Errors
    /// [`UnknownKey`] if the route needs a key and this one belongs to no team.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, UnknownKey> {
        let team = key.and_then(|key| {
            let index = self
                .keys
                .binary_search_by(|(k, _)| k.as_str().cmp(key))
                .ok()?;
            self.teams.get(self.keys[index].1)
        });
        let allows_anonymous = route.public || self.teams.is_empty();
        match team {
            None if !allows_anonymous => Err(UnknownKey),
            team => Ok(team),
        }
    }

    /// The target that `point` selects by weight, from 0 to 1.
    pub fn target<'a>(&self, route: &'a Route, point: f64) -> &'a ServiceName {
        let weights = route.targets.iter().map(|target| f64::from(target.weight));
        let mut remaining = point * weights.sum::<f64>();
        for target in &route.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return &target.service;
            }
        }
        &route.targets[route.targets.len() - 1].service
    }

    /// Teams, in the order of the configuration.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Names of the services, with those that only routes name.
    pub fn service_names(&self) -> Vec<ServiceName> {
        let targets = self.routes.iter().flat_map(|route| &route.targets);
        let targets = targets.map(|target| &target.service);
        self.services.keys().chain(targets).cloned().collect()
    }

    /// Teams whose KV cache entries the requests of a team may use; `None`: those of no
    /// team. A team that is not configured any more shares none.
    pub fn cache_group(&self, team: Option<&TeamName>) -> CacheGroup {
        let Some(name) = team else {
            return self.common_group.clone();
        };
        let team = self.teams.iter().find(|team| team.name == *name);
        match team {
            Some(team) if !team.isolated => self.common_group.clone(),
            _ => CacheGroup::isolated(name),
        }
    }

    /// Routes, sorted by host and prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
