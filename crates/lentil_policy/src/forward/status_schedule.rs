//! Decides when an agent reports its runner's status to the routers, and which
//! fields.
//!
//! Every agent reports to every router of its region, so the traffic grows with both.
//! An agent has a budget of bytes per second for all routers together: the more
//! routers, the less often each gets a report.

use std::time;

use lentil_types::Instant;

use crate::forward::runners::{SegmentKey, SegmentUpdate, Status};

/// Settings of a [`StatusSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bytes per second to all routers together. The design size allows a process 3
    /// KB per second for all control traffic.
    pub byte_rate: f64,
    /// Bytes that may be sent in one burst.
    pub burst_bytes: f64,
    /// Interval between reports while nothing changes.
    pub period: time::Duration,
    /// Interval between reports of all segments instead of their changes.
    pub full_period: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            byte_rate: 2_400.0,
            burst_bytes: 4_800.0,
            period: time::Duration::from_millis(1_000),
            full_period: time::Duration::from_secs(8),
        }
    }
}

/// Schedules the status reports of one agent.
#[derive(Clone, Debug)]
pub struct StatusSchedule {
    settings: Settings,
    /// Bytes that may be sent, as of `refilled_at`.
    budget: f64,
    refilled_at: Instant,
    last_sent: Option<(Instant, Status)>,
    /// Segments as last reported, and the number of the last change.
    segments: Vec<SegmentKey>,
    number: u32,
    /// When all segments were last reported; `None` if they are due.
    full_sent_at: Option<Instant>,
}

impl StatusSchedule {
    /// A schedule without any report sent.
    pub fn new(settings: Settings) -> Self {
        Self {
            budget: settings.burst_bytes,
            settings,
            refilled_at: Instant::ZERO,
            last_sent: None,
            segments: Vec::new(),
            number: 0,
            full_sent_at: None,
        }
    }

    /// A router subscribed that knows no segments.
    pub fn on_new_router(&mut self) {
        self.full_sent_at = None;
    }

    /// The runner answers again: its next status is due at once.
    pub fn on_recovered(&mut self) {
        self.last_sent = None;
    }

    /// The status to report now, if one is due. `status` comes without segments;
    /// `segments` are those that the runner holds.
    pub fn next_status(
        &mut self,
        now: Instant,
        status: Status,
        segments: &[SegmentKey],
    ) -> Option<Status> {
        self.refill(now);
        let is_full = self
            .full_sent_at
            .is_none_or(|sent_at| now.since(sent_at) >= self.settings.full_period);
        let is_urgent = self.last_sent.as_ref().is_none_or(|(_, sent)| {
            sent.is_changing != status.is_changing || sent.weights != status.weights
        });
        let is_due = self.last_sent.as_ref().is_none_or(|(sent_at, sent)| {
            *sent != status || now.since(*sent_at) >= self.settings.period
        });
        let has_changed = is_due || segments != self.segments.as_slice();
        if !(is_urgent || (has_changed && self.budget > 0.0)) {
            return None;
        }
        let update = self.update(now, is_full && self.budget > 0.0, segments);
        self.last_sent = Some((now, status.clone()));
        Some(Status {
            segments: update,
            ..status
        })
    }

    /// All segments, for a router that asks for them.
    pub fn full_update(&self, keys: Vec<SegmentKey>) -> SegmentUpdate {
        SegmentUpdate::Full {
            number: self.number,
            keys,
        }
    }

    /// Takes `bytes` that were sent out of the budget.
    pub fn on_sent(&mut self, bytes: usize) {
        self.budget -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.settings.byte_rate;
        self.budget = (self.budget + refill).min(self.settings.burst_bytes);
        self.refilled_at = now;
    }

    fn update(&mut self, now: Instant, is_full: bool, segments: &[SegmentKey]) -> SegmentUpdate {
        if is_full {
            self.full_sent_at = Some(now);
            self.number += 1;
            self.segments = segments.to_vec();
            return SegmentUpdate::Full {
                number: self.number,
                keys: segments.to_vec(),
            };
        }
        let only_in = |these: &[SegmentKey], others: &[SegmentKey]| -> Vec<_> {
            let is_absent = |key: &&SegmentKey| !others.contains(key);
            these.iter().filter(is_absent).copied().collect()
        };
        let added = only_in(segments, &self.segments);
        let dropped = only_in(&self.segments, segments);
        if added.is_empty() && dropped.is_empty() {
            return SegmentUpdate::Unchanged;
        }
        self.segments = segments.to_vec();
        self.number += 1;
        SegmentUpdate::Delta {
            number: self.number,
            added,
            dropped,
        }
    }
}

/// Most addresses of routers in one status report; it must fit one packet.
pub const MAX_ROUTERS: usize = 24;

/// The addresses of a report: up to [`MAX_ROUTERS`] of `routers` from index `first` on,
/// both ends joined. Agents that start at different indexes report all routers of a
/// large fleet together.
pub fn routers_part<T: Copy>(routers: &[T], first: usize) -> Vec<T> {
    let start = first.checked_rem(routers.len()).unwrap_or(0);
    let rotated = routers[start..].iter().chain(&routers[..start]);
    rotated.take(MAX_ROUTERS).copied().collect()
}
