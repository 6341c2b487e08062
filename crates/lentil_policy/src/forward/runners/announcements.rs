//! What a runner says of itself in its answers, and whether it may be sent a request.
//!
//! The load it answers: an overloaded runner names how many requests a second it takes from
//! all routers together. Each router keeps to a share of its own, without a leader, so
//! that the sum holds also when some of them hear nothing of each other. A full runner
//! refuses a request and names a time before which this router is to send nothing. One
//! that leaves may say so
//! before its registration does, or only itself.

use std::{collections::VecDeque, time};

use lentil_types::{Instant, RequestRate};

/// Settings of the requests that a runner allows.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncementSettings {
    /// Time over which requests to a runner are counted, as the platform does. Those from
    /// before it named its limit count too.
    pub window: time::Duration,
    /// Fraction of a limit that the routers share. The rest is left for its agent and
    /// for requests that are delayed on their way.
    pub usable: f64,
    /// How long a limit counts without being named again.
    pub limit_ttl: time::Duration,
    /// Interval at which the other routers are told of a limit.
    pub notice_interval: time::Duration,
    /// Longest time that a runner is sent nothing because it said so. After it a request
    /// asks again, so that an absurd time does not lose the runner.
    pub max_retry_after: time::Duration,
}

impl Default for AnnouncementSettings {
    fn default() -> Self {
        Self {
            window: time::Duration::from_secs(4),
            usable: 0.9,
            limit_ttl: time::Duration::from_secs(12),
            notice_interval: time::Duration::from_secs(3),
            max_retry_after: time::Duration::from_secs(60),
        }
    }
}

/// This router among those that share a runner's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Live routers, this one included; `None` while no agent reports any, at the start,
    /// behind a cut or where there are no agents.
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

/// What a runner says of itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Requests a second that it takes from all routers together.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// How long this router is to send it nothing.
    pub retry_after: Option<time::Duration>,
}

/// A change of what a runner says, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnnouncementChange {
    /// It named a limit, or another one than before.
    Limited {
        /// The limit on the requests of all routers.
        limit: RequestRate,
        /// Requests that this router has sent there in the last window.
        sent: usize,
    },
    /// It names no limit any more.
    LimitEnded,
    /// It leaves.
    Leaving,
    /// This router is to send it nothing for this long.
    RetryAfter(time::Duration),
}

/// What follows from a runner's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnnouncementOutcome {
    /// Changes, for the log.
    pub changes: Vec<AnnouncementChange>,
    /// Whether to tell the other routers what the runner says now.
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
    /// Whether it leaves. Like a registration that says so, this holds for the whole
    /// incarnation.
    is_leaving: bool,
    /// Until when this router is to send it nothing.
    blocked_until: Instant,
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
        if self.is_leaving || self.wait(now, settings, share, salt).is_some() {
            return None;
        }
        let is_old = |at: &Instant| now.since(*at) >= settings.window;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        Some(Permit(()))
    }

    /// Whether it has said that it leaves.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Time until a runner that stays may be sent a request; `None` if it may be now.
    pub(super) fn wait(
        &self,
        now: Instant,
        settings: &AnnouncementSettings,
        share: Share,
        salt: usize,
    ) -> Option<time::Duration> {
        let blocked_for = self.blocked_until.since(now);
        let is_blocked = !blocked_for.is_zero();
        let limit_wait = self.limit_wait(now, settings, share, salt);
        limit_wait.max(is_blocked.then_some(blocked_for))
    }

    /// Time until its limit leaves room for a request.
    fn limit_wait(
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

    /// It said this of itself in the answer to a request sent at `sent_at`.
    pub(super) fn on_answer(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        sent_at: Instant,
        said: &Announcement,
    ) -> AnnouncementOutcome {
        let mut news = AnnouncementOutcome::default();
        let is_overtaken = self.limit.is_some_and(|limit| sent_at < limit.heard_at);
        if said.limit.is_some() || !is_overtaken {
            news.changes
                .extend(self.set_limit(now, settings, said.limit));
        }
        if said.is_leaving {
            news.changes.extend(self.set_leaving());
        }
        let is_repeated = said.limit.is_some() || said.is_leaving;
        let is_old = |at: Instant| now.since(at) >= settings.notice_interval;
        news.is_notice_due =
            !news.changes.is_empty() || (is_repeated && self.told_at.is_none_or(is_old));
        if news.is_notice_due {
            self.told_at = Some(now);
        }
        // For this router only, so that the others are not told.
        if let Some(retry_after) = said.retry_after {
            let retry_after = retry_after.min(settings.max_retry_after);
            self.blocked_until = self.blocked_until.max(now + retry_after);
            news.changes
                .push(AnnouncementChange::RetryAfter(retry_after));
        }
        news
    }

    /// Another router passes on what the runner says.
    pub(super) fn on_notice(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        said: &Announcement,
    ) -> Vec<AnnouncementChange> {
        self.told_at = Some(now);
        let mut changes = Vec::new();
        changes.extend(self.set_limit(now, settings, said.limit));
        if said.is_leaving {
            changes.extend(self.set_leaving());
        }
        changes
    }

    /// Its registration says that it leaves.
    pub(super) fn on_leaving(&mut self) {
        self.is_leaving = true;
    }

    fn set_leaving(&mut self) -> Option<AnnouncementChange> {
        let was_leaving = std::mem::replace(&mut self.is_leaving, true);
        (!was_leaving).then_some(AnnouncementChange::Leaving)
    }

    fn set_limit(
        &mut self,
        now: Instant,
        settings: &AnnouncementSettings,
        rate: Option<RequestRate>,
    ) -> Option<AnnouncementChange> {
        let old = self.limit(now, settings);
        self.limit = rate.map(|rate| Limit {
            rate,
            heard_at: now,
        });
        if rate == old {
            return None;
        }
        Some(match rate {
            Some(limit) => AnnouncementChange::Limited {
                limit,
                sent: self.sent_in_window(now, settings),
            },
            None => AnnouncementChange::LimitEnded,
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
