//! When an agent tells the routers how its runner is, and what.
//!
//! Load it answers: every agent tells every router of its region, so that the
//! traffic grows with both. An agent has so many bytes a second for all routers
//! together: with more of them each hears less often.

use std::time;

use lentil_types::Instant;

use crate::forward::runners::{SegmentKey, SegmentUpdate, Status};

/// Settings of a [`StatusSchedule`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Bytes a second for all routers together. The size to design for allows a
    /// process 3 KB a second for all that is control.
    pub byte_rate: f64,
    /// Bytes that may be sent at once.
    pub burst_bytes: f64,
    /// How often routers are told when nothing changes.
    pub period: time::Duration,
    /// How often all parts are told, and not only what changed of them.
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

/// Decides when an agent tells what.
#[derive(Clone, Debug)]
pub struct StatusSchedule {
    settings: Settings,
    /// Bytes that may be sent, and when that was worked out.
    budget: f64,
    refilled: Instant,
    sent: Option<(Instant, Status)>,
    /// Parts that the routers know, and the number of the last change.
    segments: Vec<SegmentKey>,
    number: u32,
    /// When all parts were told; `None`: they are due.
    full: Option<Instant>,
}

impl StatusSchedule {
    /// One that told nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            budget: settings.burst_bytes,
            settings,
            refilled: Instant::ZERO,
            sent: None,
            segments: Vec::new(),
            number: 0,
            full: None,
        }
    }

    /// A router asked for the first time: it knows nothing.
    pub fn on_new_router(&mut self) {
        self.full = None;
    }

    /// What to tell now of a runner that holds `segments`, where something is to be
    /// told. `status` has no parts.
    pub fn next_status(
        &mut self,
        now: Instant,
        status: Status,
        segments: &[SegmentKey],
    ) -> Option<Status> {
        self.refill(now);
        let is_full = self
            .full
            .is_none_or(|at| now.since(at) >= self.settings.full_period);
        let is_urgent = self.sent.as_ref().is_none_or(|(_, sent)| {
            sent.is_changing != status.is_changing || sent.weights != status.weights
        });
        let is_due = self
            .sent
            .as_ref()
            .is_none_or(|(at, sent)| *sent != status || now.since(*at) >= self.settings.period);
        let has_changed = is_due || segments != self.segments.as_slice();
        if !(is_urgent || (has_changed && self.budget > 0.0)) {
            return None;
        }
        let update = self.update(now, is_full && self.budget > 0.0, segments);
        self.sent = Some((now, status.clone()));
        Some(Status {
            segments: update,
            ..status
        })
    }

    /// All parts, for a router that asks.
    pub fn full_update(&self, keys: Vec<SegmentKey>) -> SegmentUpdate {
        SegmentUpdate::Full {
            number: self.number,
            keys,
        }
    }

    /// So many bytes were sent.
    pub fn on_sent(&mut self, bytes: usize) {
        self.budget -= bytes as f64;
    }

    fn refill(&mut self, now: Instant) {
        let more = now.since(self.refilled).as_secs_f64() * self.settings.byte_rate;
        self.budget = (self.budget + more).min(self.settings.burst_bytes);
        self.refilled = now;
    }

    fn update(&mut self, now: Instant, is_full: bool, segments: &[SegmentKey]) -> SegmentUpdate {
        if is_full {
            self.full = Some(now);
            self.number += 1;
            self.segments = segments.to_vec();
            return SegmentUpdate::Full {
                number: self.number,
                keys: segments.to_vec(),
            };
        }
        let only_in = |these: &[SegmentKey], others: &[SegmentKey]| -> Vec<_> {
            let missing = |key: &&SegmentKey| !others.contains(key);
            these.iter().filter(missing).copied().collect()
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
