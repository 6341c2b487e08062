//! Prompt tokens that a runner still has to compute, of all routers.
//!
//! A runner computes prompts in the order of admission, so a long prompt delays every
//! short request behind it, and a router knows only the prompts that it sent itself.
//! Routers therefore report long prompts to the runner's agent, which takes their
//! progress from the runner's reports.

use std::time;

use lentil_types::{Instant, Table, Tokens};

use crate::forward::runners::SegmentKey;

/// A hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Hashes the id of a request.
    pub fn of(id: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    }
}

/// A long prompt that a router sent to the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongPrompt {
    /// Request that it belongs to.
    pub request: RequestHash,
    /// Tokens that the runner must compute.
    pub uncached: Tokens,
    /// Tokens of the whole prompt.
    pub total: Tokens,
    /// Shared segment that the runner prefills for it, if any.
    pub prefills: Option<SegmentKey>,
}

/// A running request, as the runner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request: RequestHash,
    /// Its tokens in memory.
    pub in_memory: Tokens,
    /// Output events that it has produced.
    pub events: u64,
}

/// Time after which a prompt that reports do not show is dropped: it was refused, or
/// its caller disconnected.
const UNSEEN_TTL: time::Duration = time::Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Row {
    prompt: LongPrompt,
    sent_at: Instant,
    /// When a report last showed it.
    seen_at: Option<Instant>,
    remaining: Tokens,
    in_memory: Tokens,
}

/// Long prompts that a runner still computes.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    rows: Table<RequestHash, Row>,
}

impl Backlog {
    /// A router sent a long prompt.
    pub fn on_sent(&mut self, now: Instant, prompt: LongPrompt) {
        let row = Row {
            prompt,
            sent_at: now,
            seen_at: None,
            remaining: prompt.uncached,
            in_memory: Tokens(0),
        };
        self.rows.insert(prompt.request, row);
    }

    /// Takes a report of the running requests, and how many others wait at the runner.
    /// A prompt that ran and is not shown any more was preempted if requests wait: it
    /// is computed again.
    pub fn on_report(&mut self, now: Instant, runs: &[Run], waiting: u32) {
        let mut unexplained = waiting;
        self.rows.retain(|request, row| {
            let Some(run) = runs.iter().find(|run| run.request == *request) else {
                let last_known = row.seen_at.unwrap_or(row.sent_at);
                let may_wait = unexplained > 0 && now.since(last_known) < UNSEEN_TTL;
                if may_wait {
                    unexplained -= 1;
                    if row.seen_at.is_some() {
                        row.prompt.uncached = row.prompt.total;
                        row.remaining = row.prompt.total;
                        row.in_memory = Tokens(0);
                    }
                }
                return may_wait || now.since(row.sent_at) < REPORT_LAG;
            };
            row.seen_at = Some(now);
            let remaining = row.prompt.total.saturating_sub(run.in_memory);
            row.remaining = remaining.min(row.prompt.uncached);
            row.in_memory = run.in_memory;
            run.events == 0
        });
    }

    /// Tokens that remain to be computed.
    pub fn tokens(&self) -> Tokens {
        self.rows.values().map(|row| row.remaining).sum()
    }

    /// Shared segments in prefill.
    pub fn prefilling(&self) -> Vec<SegmentKey> {
        self.rows
            .values()
            .filter_map(|row| row.prompt.prefills)
            .collect()
    }

    /// Memory that these prompts will still take, in tokens.
    pub fn memory(&self) -> Tokens {
        let rows = self.rows.values();
        rows.map(|row| row.prompt.total.saturating_sub(row.in_memory))
            .sum()
    }

    /// Whether no long prompt is pending.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// Time that a request may take to reach the runner, during which a report may not
/// show it yet.
const REPORT_LAG: time::Duration = time::Duration::from_millis(60);
