//! Which runner has an address that several registrations name.
//!
//! An address belongs to one runner at a time, but the registration of a dead runner stays
//! for some seconds, and a registration may name an address that its runner does not have.
//! What a runner answers at the address counts more than what is registered.

use std::time;

use lentil_types::Instant;

/// What is known of a runner at the address that its registration names.
#[derive(Clone, Copy, Debug)]
pub(super) struct Occupancy {
    /// When this router first saw it registered there. Later than it was written, so that
    /// an answer to a request sent since is certainly newer.
    claimed_at: Instant,
    /// Revision of its registration.
    revision: u64,
    /// When the last request was sent that it answered.
    confirmed_at: Option<Instant>,
    /// When the last request was sent that another runner refused in its place.
    denied_at: Option<Instant>,
}

impl Occupancy {
    pub(super) fn new(now: Instant, revision: u64) -> Self {
        Self {
            claimed_at: now,
            revision,
            confirmed_at: None,
            denied_at: None,
        }
    }

    pub(super) fn on_registration(&mut self, revision: u64) {
        self.revision = revision;
    }

    pub(super) fn on_confirmed(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    pub(super) fn on_denied(&mut self, sent_at: Instant) {
        self.denied_at = self.denied_at.max(Some(sent_at));
    }

    /// Whether another runner answers at the address, whether it is known or not. Evidence
    /// counts up to the age `ttl`.
    pub(super) fn is_denied(&self, now: Instant, ttl: time::Duration) -> bool {
        let denied_at = self.denied_at.filter(|at| now.since(*at) <= ttl);
        denied_at.is_some_and(|at| self.confirmed_at.is_none_or(|confirmed| confirmed < at))
    }

    /// Whether another runner, registered at the same address and not denied there, has
    /// taken it over.
    pub(super) fn is_displaced(&self, now: Instant, ttl: time::Duration, other: &Self) -> bool {
        let own = self.confirmed_against(now, ttl, other);
        let others = other.confirmed_against(now, ttl, self);
        if own.is_some() || others.is_some() {
            return others > own;
        }
        other.revision > self.revision && now.since(other.claimed_at) <= ttl
    }

    /// When it last answered a request that was sent after the other one was registered.
    fn confirmed_against(
        &self,
        now: Instant,
        ttl: time::Duration,
        other: &Self,
    ) -> Option<Instant> {
        self.confirmed_at
            .filter(|at| *at >= other.claimed_at && now.since(*at) <= ttl)
    }
}
