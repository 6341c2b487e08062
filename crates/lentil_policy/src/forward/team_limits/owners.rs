//! Which routers own a part of a team's limit, and how large the parts are.

use std::{cmp, net};

use lentil_types::{Instant, Table};
use xxhash_rust::xxh3;

use crate::forward::{
    routing::{LimitUnit, TeamLimit},
    team_limits::{Settings, TeamHash},
};

/// Fewest requests that a part holds where requests are counted. An owner can lend whole
/// requests only.
const MIN_PART_REQUESTS: u64 = 2;

/// The owners of one team's limit, as this router knows them.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Ownership {
    /// Sorted.
    pub(super) owners: Vec<net::IpAddr>,
    /// This router.
    pub(super) own: Option<net::IpAddr>,
    /// This router's fraction of the limit; 0 if it is no owner.
    pub(super) part: f64,
    /// Routers that the limit is divided by.
    pub(super) count: usize,
}

/// The routers that may use the limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    own: Option<net::IpAddr>,
    /// Each with when it ceased to be reported.
    routers: Table<net::IpAddr, Option<Instant>>,
    /// Routers to assume while they are not known.
    runners: usize,
    /// Whether agents report routers, if only this one.
    is_reported: bool,
    is_settled: bool,
}

impl Members {
    /// Takes the reported routers. Returns whether anything has changed.
    pub(super) fn set(
        &mut self,
        now: Instant,
        own: net::IpAddr,
        routers: &[net::IpAddr],
        runners: usize,
    ) -> bool {
        let mut has_changed = self.own != Some(own) || self.runners != runners;
        self.own = Some(own);
        self.runners = runners;
        self.is_reported = !routers.is_empty();
        let mut reported = routers.to_vec();
        reported.push(own);
        reported.sort_unstable();
        reported.dedup();
        for (address, gone_at) in self.routers.iter_mut() {
            if reported.binary_search(address).is_ok() {
                *gone_at = None;
            } else {
                gone_at.get_or_insert(now);
            }
        }
        for address in reported {
            if !self.routers.contains(&address) {
                self.routers.insert(address, None);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Drops routers that are gone for too long, and decides whether the others are known.
    /// Returns whether anything has changed.
    pub(super) fn settle(&mut self, now: Instant, settings: &Settings, is_new: bool) -> bool {
        let known = self.routers.len();
        let ttl = settings.member_ttl;
        self.routers
            .retain(|_, gone_at| gone_at.is_none_or(|at| now.since(at) < ttl));
        let is_settled = !is_new && self.is_reported;
        let has_changed = is_settled != self.is_settled || known != self.routers.len();
        self.is_settled = is_settled;
        has_changed
    }

    /// The owners of a team. Every router that knows the same routers finds the same.
    pub(super) fn ownership(
        &self,
        settings: &Settings,
        team: TeamHash,
        limit: &TeamLimit,
    ) -> Ownership {
        let max_owners = match limit.unit {
            LimitUnit::Tokens => settings.max_owners,
            LimitUnit::Requests => {
                let parts = (limit.burst.0 / MIN_PART_REQUESTS).max(1);
                settings
                    .max_owners
                    .min(usize::try_from(parts).unwrap_or(usize::MAX))
            }
        };
        let mut owners: Vec<_> = self.routers.keys().copied().collect();
        let max_owners = max_owners.max(1);
        if owners.len() > max_owners {
            owners.select_nth_unstable_by_key(max_owners - 1, |address| {
                (cmp::Reverse(score(*address, team.0)), *address)
            });
            owners.truncate(max_owners);
            owners.sort_unstable();
        }
        let is_owner = self
            .own
            .is_some_and(|own| owners.binary_search(&own).is_ok());
        // Routers that don't know each other can't agree on owners: each takes a part as
        // small as if all of them did.
        let assumed = self.runners.max(self.routers.len()).max(1);
        let (count, is_owner) = if self.is_settled {
            (owners.len().max(1), is_owner)
        } else {
            (assumed, true)
        };
        Ownership {
            owners,
            own: self.own,
            part: if is_owner { 1.0 / count as f64 } else { 0.0 },
            count,
        }
    }
}

/// Score of an address for rendezvous hashing.
pub(super) fn score(address: net::IpAddr, seed: u64) -> u64 {
    match address {
        net::IpAddr::V4(v4) => xxh3::xxh3_64_with_seed(&v4.octets(), seed),
        net::IpAddr::V6(v6) => xxh3::xxh3_64_with_seed(&v6.octets(), seed),
    }
}
