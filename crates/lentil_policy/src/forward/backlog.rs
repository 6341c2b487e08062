//! Prompt tokens that a runner still has to compute, over all routers.
//!
//! Load it answers: a runner computes prompts in the order of their admission, so
//! one long prompt holds up every short request behind it. A router sees only its
//! own share of them. Routers tell the agent what long prompts they send, and it
//! takes from the runner's report how far each has got.

use std::time;

use lentil_types::{Instant, Table, Tokens};

use crate::forward::runners::SegmentKey;

/// A request at a runner: a hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// The request with this id.
    pub fn of(id: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    }
}

/// A long prompt that a router sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPrompt {
    /// The request.
    pub request: RequestHash,
    /// Tokens that the runner must compute.
    pub uncached: Tokens,
    /// Tokens of the whole prompt.
    pub total: Tokens,
    /// The shared part that the runner reads for it, where it does.
    pub prefills: Option<SegmentKey>,
}

/// A run as a runner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request: RequestHash,
    /// Tokens in memory.
    pub in_memory: Tokens,
    /// Events made.
    pub events: u64,
}

/// A prompt that no report has shown is forgotten after this long: it was
/// refused, or its caller left.
const UNSEEN_AGE: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Row {
    sent: LongPrompt,
    at: Instant,
    seen: bool,
    left: Tokens,
    held: Tokens,
}

/// Prompts that a runner still computes.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    rows: Table<RequestHash, Row>,
}

impl Backlog {
    /// A router sent a long prompt.
    pub fn on_sent(&mut self, now: Instant, sent: LongPrompt) {
        let row = Row {
            sent,
            at: now,
            seen: false,
            left: sent.uncached,
            held: Tokens(0),
        };
        self.rows.insert(sent.request, row);
    }

    /// The runner reported what runs; `waits`: whether requests wait besides.
    pub fn on_report(&mut self, now: Instant, runs: &[Run], waits: bool) {
        self.rows.retain(|request, row| {
            let Some(run) = runs.iter().find(|run| run.request == *request) else {
                let may_wait = waits && !row.seen;
                let is_young = now.since(row.at) < UNSEEN_AGE;
                return is_young && (may_wait || now.since(row.at) < REPORT_LAG);
            };
            row.seen = true;
            let left = row.sent.total.saturating_sub(run.in_memory);
            row.left = left.min(row.sent.uncached);
            row.held = run.in_memory;
            run.events == 0
        });
    }

    /// Tokens that are left to compute.
    pub fn tokens(&self) -> Tokens {
        self.rows.values().map(|row| row.left).sum()
    }

    /// Shared parts that are being read.
    pub fn prefilling(&self) -> Vec<SegmentKey> {
        self.rows
            .values()
            .filter_map(|row| row.sent.prefills)
            .collect()
    }

    /// Memory, in tokens, that these prompts will still take.
    pub fn memory(&self) -> Tokens {
        let rows = self.rows.values();
        rows.map(|row| row.sent.total.saturating_sub(row.held))
            .sum()
    }

    /// Whether nothing is known to be left.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// A request may be on its way to the runner for this long, and a report may
/// have been made before it came.
const REPORT_LAG: time::Duration = time::Duration::from_millis(60);
