//! What a runner says of itself in its answers, and whether it may be sent a request.
//!
//! The load it answers: a runner in need names how many requests a second it takes from
//! all routers together. Each router keeps to a share of its own, without a leader, so
//! that the sum holds also when some of them hear nothing of each other.

use std::{collections::VecDeque, time};

use lentil_types::{Instant, RequestRate};

/// Settings of the requests that a runner allows.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementSettings {
    /// Time over which requests to a runner are counted. Those from before it named its
    /// limit count too.
    pub window: time::Duration,
    /// Fraction of a limit that the routers share. The rest is left for its agent and
    /// for requests that are delayed on their way.
    pub usable: f64,
    /// How long a limit counts without being named again.
    pub limit_ttl: time::Duration,
    /// Interval at which the other routers are told of a limit.
    pub notice_interval: time::Duration,
}

impl Default for AnnouncementSettings {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(4),
            usable: 0.9,
            limit_ttl: time::Duration::from_secs(12),
            notice_interval: time::Duration::from_secs(3),
        }
    }
}

/// This router among those that share a runner's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Live routers, this one included; `None` until others have been looked for.
    pub routers: Option<usize>,
    /// Routers with lower addresses than this one.
    pub rank: usize,
}

impl Share {
    /// A router that does not know the others yet.
    pub const UNKNOWN: Self = Self {
        routers: None,
        rank: 0,
    };

    /// This router's part of `total` requests. The parts of all routers add up to
    /// `total`; `salt` decides who gets the remainder.
    fn of(self, total: usize, salt: usize) -> usize {
        let Some(routers) = self.routers else {
            return total.min(1);
        };
        let routers = routers.max(1);
        let position = (self.rank % routers + salt % routers) % routers;
        total / routers + usize::from(position < total % routers)
    }
}

/// A change of a runner's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The limit on the requests of all routers; `None` when it has ended.
    pub limit: Option<RequestRate>,
    /// Requests that this router has sent there in the last window.
    pub sent: usize,
}

/// What follows from a runner's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitNews {
    /// A change, for the log.
    pub change: Option<LimitChange>,
    /// Whether to tell the other routers what the runner names now.
    pub is_notice_due: bool,
}

/// Proof that a runner allows one request, which counts from now on. Whatever sends
/// something to a runner takes one.
#[derive(Debug)]
#[must_use = "the request counts as sent"]
pub struct Permit(());

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
    /// When the other routers were last told of the limit, by this one or another.
    told_at: Option<Instant>,
    /// When this router's last requests were sent there, oldest first.
    sent: VecDeque<Instant>,
}

impl Announcements {
    /// Takes a request that is sent now; `None` if it must not be.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        share: Share,
        salt: usize,
    ) -> Option<Permit> {
        if self.wait(now, settings, share, salt).is_some() {
            return None;
        }
        let is_old = |at: &Instant| now.since(*at) >= settings.window;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        Some(Permit(()))
    }

    /// Time until it may be sent a request; `None` if it may be now.
    pub(super) fn wait(
        &self,
        now: Instant,
        settings: &AnnouncementSettings,
        share: Share,
        salt: usize,
    ) -> Option<time::Duration> {
        let part = self.part(now, settings, share, salt)?;
        let sent = self.sent_in_window(now, settings);
        if sent < part {
            return None;
        }
        // The request leaves the window that makes room for the next one.
        let blocking = self
            .sent
            .len()
            .checked_sub(part)
            .and_then(|i| self.sent.get(i));
        let age = blocking.map_or(time::Duration::ZERO, |at| now.since(*at));
        Some(settings.window.saturating_sub(age))
    }

    /// Requests in a window that this router may send; `None` for any number.
    pub(super) fn part(
        &self,
        now: Instant,
        settings: &AnnouncementSettings,
        share: Share,
        salt: usize,
    ) -> Option<usize> {
        let rate = self.limit(now, settings)?;
        Some(share.of(total(rate, settings), salt))
    }

    /// It answered a request sent at `sent_at`, naming a limit or none.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        sent_at: Instant,
        rate: Option<RequestRate>,
    ) -> LimitNews {
        let is_overtaken = self.limit.is_some_and(|limit| sent_at < limit.heard_at);
        if rate.is_none() && (self.limit.is_none() || is_overtaken) {
            return LimitNews::default();
        }
        let change = self.set(now, settings, rate);
        let is_old = |at: Instant| now.since(at) >= settings.notice_interval;
        let is_notice_due = change.is_some() || self.told_at.is_none_or(is_old);
        if is_notice_due {
            self.told_at = Some(now);
        }
        LimitNews {
            change,
            is_notice_due,
        }
    }

    /// Another router passes on what the runner names.
    pub(super) fn on_notice(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        self.told_at = Some(now);
        self.set(now, settings, rate)
    }

    fn set(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        let old = self.limit(now, settings);
        self.limit = rate.map(|rate| Limit {
            rate,
            heard_at: now,
        });
        (rate != old).then(|| LimitChange {
            limit: rate,
            sent: self.sent_in_window(now, settings),
        })
    }

    /// The limit in force.
    fn limit(&self, now: Instant, settings: &AnnouncementSettings) -> Option<RequestRate> {
        let limit = self.limit?;
        (now.since(limit.heard_at) < settings.limit_ttl).then_some(limit.rate)
    }

    /// Requests that this router has sent there in the last window.
    fn sent_in_window(&self, now: Instant, settings: &AnnouncementSettings) -> usize {
        let is_old = |at: &Instant| now.since(*at) >= settings.window;
        self.sent.len() - self.sent.partition_point(is_old)
    }
}

/// Requests in a window that all routers may send; one at least, which shows when the
/// limit ends.
fn total(rate: RequestRate, settings: &AnnouncementSettings) -> usize {
    let requests = rate.requests_in(settings.window) * settings.usable;
    (requests as usize).max(1)
}
