//! What a runner says of itself in its answers, and what this router has sent it.

use std::{collections::VecDeque, time};

use lentil_types::{Instant, RequestRate};

/// Settings of the requests that a runner allows.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementSettings {
    /// Time over which requests to a runner are counted.
    pub window: time::Duration,
}

impl Default for AnnouncementSettings {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(4),
        }
    }
}

/// A change of a runner's limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit on the requests of all routers; `None` when it has ended.
    pub limit: Option<RequestRate>,
    /// Requests that this router has sent there in the last window.
    pub sent: usize,
}

/// A limit that a runner has named.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RequestRate,
    heard_at: Instant,
}

/// What one runner says of itself.
#[derive(Clone, Debug, Default)]
pub(super) struct Announcements {
    limit: Option<Limit>,
    /// When this router's last requests were sent there, oldest first.
    sent: VecDeque<Instant>,
}

impl Announcements {
    /// A request was sent to it.
    pub(super) fn on_sent(&mut self, now: Instant, settings: &AnnouncementSettings) {
        while self
            .sent
            .front()
            .is_some_and(|at| now.since(*at) >= settings.window)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// It answered a request sent at `sent_at`, naming a limit or none.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        sent_at: Instant,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let old = self.limit.map(|limit| limit.rate);
        let is_overtaken = self.limit.is_some_and(|limit| sent_at < limit.heard_at);
        if limit.is_none() && is_overtaken {
            return None;
        }
        self.limit = limit.map(|rate| Limit {
            rate,
            heard_at: now,
        });
        (limit != old).then(|| LimitChange {
            limit,
            sent: self.sent_in_window(now, settings),
        })
    }

    /// Requests that this router has sent there in the last window.
    fn sent_in_window(&self, now: Instant, settings: &AnnouncementSettings) -> usize {
        let start = self
            .sent
            .partition_point(|at| now.since(*at) >= settings.window);
        self.sent.len() - start
    }
}
