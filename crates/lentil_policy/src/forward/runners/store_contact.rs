//! A router's contact with the store, and what it says about missing registrations.
//!
//! A registration is missing because its runner has left, or because the runner could not
//! renew it while the store was away. Runners renew theirs every heartbeat, and one that
//! was not renewed for three heartbeats lapses. So none lapses in an outage of less than
//! two, and calls that fail for less time than that prove departures.

use std::time;

use lentil_types::Instant;

/// Heartbeats that an outage lasts at least if registrations of live runners lapse: they
/// lapse after three, and may be one old when the outage begins.
const LAPSE_HEARTBEATS: u32 = 2;
/// Heartbeats that the registration of a dead runner stays at most.
const STAY_HEARTBEATS: u32 = 4;

/// How long registrations are kept that may have lapsed.
#[derive(Clone, Copy, Debug)]
pub struct LapseSettings {
    /// Time between two renewals of a registration.
    pub heartbeat: time::Duration,
    /// The platform restores lapsed registrations of live runners within this time after
    /// the store is back.
    pub return_grace: time::Duration,
}

impl Default for LapseSettings {
    fn default() -> Self {
        Self {
            heartbeat: time::Duration::from_millis(1_200),
            return_grace: time::Duration::from_secs(2),
        }
    }
}

impl LapseSettings {
    /// Longest time that the registration of a dead runner stays: it lapses after three
    /// heartbeats, and routers learn of it within another one.
    pub fn longest_stay(&self) -> time::Duration {
        self.heartbeat * STAY_HEARTBEATS
    }

    /// Shortest outage of the store in which a registration of a live runner lapses.
    pub fn shortest_outage(&self) -> time::Duration {
        self.heartbeat * LAPSE_HEARTBEATS
    }
}

/// When the store answered this router's calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreContact {
    /// When it last answered. `None`: not yet, or it came back from an older copy since.
    answered_at: Option<Instant>,
    /// Whether a call has failed since.
    has_failed: bool,
    /// First answer after the last outage in which registrations may have lapsed.
    returned_at: Option<Instant>,
    /// Beginning of the last call whose answer is applied: all changes before it are known.
    current_as_of: Option<Instant>,
}

impl StoreContact {
    /// A call to the store failed.
    pub(super) fn on_failure(&mut self) {
        self.has_failed = true;
    }

    /// The store came back from an older copy: what was written last is missing.
    pub(super) fn on_restored(&mut self) {
        self.has_failed = true;
        self.answered_at = None;
    }

    /// The store answered a call.
    pub(super) fn on_answer(&mut self, now: Instant, settings: &LapseSettings) {
        if self.has_failed {
            let away = self.answered_at.map(|answered_at| now.since(answered_at));
            self.returned_at = match away {
                // Runners may have been unable to return in this time too.
                Some(away) if away < settings.shortest_outage() => {
                    self.returned_at.map(|returned_at| returned_at + away)
                }
                _ => Some(now),
            };
        }
        self.has_failed = false;
        self.answered_at = Some(now);
    }

    /// The answer to a call that began at `called_at` is applied.
    pub(super) fn on_applied(&mut self, called_at: Instant) {
        self.current_as_of = self.current_as_of.max(Some(called_at));
    }

    /// Whether all changes before `since` are known.
    pub(super) fn is_current(&self, since: Instant) -> bool {
        self.current_as_of >= Some(since)
    }

    /// Whether a registration that is found missing now may have lapsed, so that its
    /// runner may return.
    pub(super) fn may_have_lapsed(&self, now: Instant, settings: &LapseSettings) -> bool {
        if !self.has_failed {
            return self.is_in_grace(now, settings);
        }
        let Some(answered_at) = self.answered_at else {
            return true;
        };
        now.since(answered_at) >= settings.shortest_outage()
            || self.is_in_grace(answered_at, settings)
    }

    /// Whether live runners whose registrations lapsed are registered again by now.
    pub(super) fn has_settled(&self, now: Instant, settings: &LapseSettings) -> bool {
        !self.has_failed && !self.is_in_grace(now, settings)
    }

    fn is_in_grace(&self, at: Instant, settings: &LapseSettings) -> bool {
        self.returned_at
            .is_some_and(|returned_at| at.since(returned_at) < settings.return_grace)
    }
}
