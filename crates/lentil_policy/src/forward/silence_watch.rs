//! Decides when an agent tells the routers that its runner does not answer.
//!
//! The load it answers: many runners go silent at once. Without the notice every router
//! finds each of them by requests of its own, which wait for most of a second.

use std::time;

use lentil_types::Instant;

/// Settings of a [`SilenceWatch`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Age of the last report from which the runner counts as silent: one report may
    /// time out.
    pub report_ttl: time::Duration,
    /// Interval between notices, several within the time that routers keep one.
    pub interval: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_ttl: time::Duration::from_millis(400),
            interval: time::Duration::from_secs(1),
        }
    }
}

/// Watches the reports of one runner.
#[derive(Clone, Debug)]
pub struct SilenceWatch {
    settings: Settings,
    /// When the last report was read.
    reported_at: Instant,
    /// When the last notice of the current silence was due.
    noticed_at: Option<Instant>,
}

impl SilenceWatch {
    /// A watch that has seen no report.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            reported_at: Instant::ZERO,
            noticed_at: None,
        }
    }

    /// A report was read. Returns whether the runner was silent before.
    pub fn on_report(&mut self, now: Instant) -> bool {
        self.reported_at = now;
        self.noticed_at.take().is_some()
    }

    /// Whether routers were told that the runner does not answer.
    pub fn is_silent(&self) -> bool {
        self.noticed_at.is_some()
    }

    /// If a notice is due, how long the runner has been silent. Counts it as sent.
    pub fn due_notice(&mut self, now: Instant) -> Option<time::Duration> {
        let silent_for = now.since(self.reported_at);
        let is_due = self
            .noticed_at
            .is_none_or(|noticed_at| now.since(noticed_at) >= self.settings.interval);
        if silent_for <= self.settings.report_ttl || !is_due {
            return None;
        }
        self.noticed_at = Some(now);
        Some(silent_for)
    }
}
