//! Routes, teams and limits of one accepted configuration.

use std::{net, time};

use compact_str::CompactString;
use lentil_types::{ConfigVersion, ModelName, PlaceName, ServiceName, Table, TeamName, Tokens};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    Once,
    /// It streams events and may run once.
    Stream,
    /// It streams events; another runner may go on after the last event.
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
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that requests name, in lower case.
    pub host: CompactString,
    /// What their path begins with; ends with a slash.
    pub prefix: CompactString,
    /// Where they go. Never empty.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: time::Duration,
    /// Time within which an answer is on time.
    pub objective: time::Duration,
    /// Longest pause between two events of a stream that is on time.
    pub max_gap: time::Duration,
    /// Most runners that a request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other teams.
    pub isolated: bool,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one runner accepts from all callers together.
    pub max_connections: u32,
    /// What its engines can do, where it runs models.
    pub engine: Option<Engine>,
}

/// What the engines of a service can do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Requests that one runner works on at once.
    pub slots: u32,
    /// Tokens that one runner's memory holds.
    pub capacity: Tokens,
    /// Size of a token's cache entry, in bytes.
    pub token_bytes: f64,
    /// Bandwidth of a runner's link, in bytes a second.
    pub link_rate: f64,
    /// Models that it serves.
    pub models: Vec<ModelName>,
}

/// A store of cache entries beside the engines.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Where it answers.
    pub address: net::SocketAddr,
    /// The data centre it is in.
    pub place: PlaceName,
    /// Bandwidth of its link, in bytes a second.
    pub link_rate: f64,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a request's head may take.
    pub head_time: time::Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: time::Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // In force until the first configuration is known.
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
    /// Limits of callers.
    pub limits: Limits,
    /// Stores of cache entries.
    pub stores: Vec<CacheStore>,
    /// Services by name.
    pub services: Table<ServiceName, Service>,
    /// Sorted by host, then by prefix.
    routes: Vec<Route>,
    teams: Vec<Team>,
    /// Sorted keys, each with its team's place in `teams`.
    keys: Vec<(CompactString, usize)>,
}

/// Least urgent rank that runners know.
pub const MAX_RANK: u8 = 9;
/// Ranks of routes that are told apart within one rank of teams.
const ROUTE_RANKS: u8 = 3;

/// Rank of a request at a runner; 0 is the most urgent. The team's rank goes
/// before the route's, and within one rank of teams the route's decides: a long
/// prompt of a team must not hold up the same team's short questions.
pub fn rank(route: &Route, team: Option<&Team>) -> u8 {
    let own = team.and_then(|team| team.priority);
    let first = own.unwrap_or(route.priority);
    let second = route.priority.min(ROUTE_RANKS - 1);
    first
        .saturating_mul(ROUTE_RANKS)
        .saturating_add(second)
        .min(MAX_RANK)
}

/// A request's key is missing or belongs to no team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the key belongs to no team")]
pub struct UnknownKey;

impl Routing {
    /// Routing with these routes and teams, each team with its keys.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        teams: Vec<(Team, Vec<CompactString>)>,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut keys = Vec::new();
        for (at, (_, own)) in teams.iter().enumerate() {
            keys.extend(own.iter().map(|key| (key.clone(), at)));
        }
        keys.sort();
        Self {
            version,
            routes,
            teams: teams.into_iter().map(|(team, _)| team).collect(),
            keys,
            ..Self::default()
        }
    }

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let from = self
            .routes
            .partition_point(|r| r.host.as_str() < host.as_str());
        let own = self.routes[from..].iter().take_while(|r| r.host == host);
        own.filter(|r| path.starts_with(r.prefix.as_str()))
            .max_by_key(|r| r.prefix.len())
    }

    /// The team that holds `key`; none where `route` needs no key and has none
    /// of a team, or where no team is configured.
    ///
    /// # Errors
    /// [`UnknownKey`] when the route needs a key and no team holds this one.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, UnknownKey> {
        let held = key.and_then(|key| {
            let at = self
                .keys
                .binary_search_by(|(k, _)| k.as_str().cmp(key))
                .ok()?;
            self.teams.get(self.keys[at].1)
        });
        let is_open = route.public || self.teams.is_empty();
        match held {
            None if !is_open => Err(UnknownKey),
            held => Ok(held),
        }
    }

    /// The target that `point`, from 0 to 1, falls on.
    pub fn target<'a>(&self, route: &'a Route, point: f64) -> &'a ServiceName {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        let mut left = point * f64::from(total);
        for target in &route.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &route.targets[route.targets.len() - 1].service
    }

    /// The store of cache entries, nearest to `place` first.
    pub fn store(&self, place: &PlaceName) -> Option<&CacheStore> {
        let near = self.stores.iter().find(|store| store.place == *place);
        near.or(self.stores.first())
    }

    /// Teams in the order of the configuration.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Routes in order.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}
