//! Decides whether a runner that owes an answer still responds. It owes one from the first
//! request that it is sent until it or its agent is heard.
//!
//! The load it answers: an instance freezes, and its runner and agent with it. It
//! accepts connections and requests all the while, and those that may run once cannot
//! be sent elsewhere.

use std::time;

use lentil_types::Instant;

/// Settings of the checks of runners that owe an answer.
#[derive(Clone, Copy, Debug)]
pub struct LivenessSettings {
    /// Silence after which the runner's agent is asked.
    pub ask_after: time::Duration,
    /// Interval between questions that are not answered: a datagram may be lost.
    pub ask_interval: time::Duration,
    /// An agent that has reported this recently is not asked.
    pub report_ttl: time::Duration,
    /// Shortest time without an answer after which the runner counts as unresponsive. It
    /// is twice as long as the agent's answers take, which is learned.
    pub min_answer: time::Duration,
    /// Longest such time. Answers that take longer are not learned from: their agent had
    /// stopped.
    pub max_answer: time::Duration,
    /// Interval between checks of an unresponsive runner.
    pub probe_interval: time::Duration,
    /// Requests that all routers together may be expected to send to a runner since it was
    /// last heard. Beyond them its agent is asked before each request that may run once.
    pub max_unheard: f64,
    /// Shortest and longest wait for that answer. Another runner is chosen after it.
    pub confirmation_range: (time::Duration, time::Duration),
}

impl Default for LivenessSettings {
    fn default() -> Self {
        Self {
            ask_after: time::Duration::from_millis(40),
            ask_interval: time::Duration::from_millis(15),
            report_ttl: time::Duration::from_millis(100),
            min_answer: time::Duration::from_millis(40),
            max_answer: time::Duration::from_millis(500),
            probe_interval: time::Duration::from_millis(500),
            max_unheard: 0.3,
            confirmation_range: (
                time::Duration::from_millis(12),
                time::Duration::from_millis(40),
            ),
        }
    }
}

/// Weight of the newest answer in the smoothed time of answers.
const SMOOTHING: f64 = 0.1;

/// What to do about a runner that owes an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LivenessAction {
    /// Ask its agent for a status.
    AskAgent,
    /// Log that it has become unresponsive.
    LogUnresponsive,
    /// Ask the runner itself: only its agent may have stopped.
    Probe,
    /// Tell the other routers that it is unresponsive.
    TellRouters,
}

/// Whether one runner owes an answer, and the checks of it.
///
/// It goes on owing one when its requests end without it: a caller that gives up says
/// nothing about the runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct Liveness {
    /// When it or its agent last sent anything but the answer to a probe.
    heard_at: Instant,
    /// When it last answered a probe.
    probe_answered: Option<Instant>,
    /// Since when it owes an answer to a request or a question.
    owed_since: Option<Instant>,
    /// Requests sent to it since it was heard.
    sent_unheard: u32,
    /// Whether its agent has ever sent anything; kept over everything else.
    has_reported: bool,
    /// Time that its agent takes to answer; kept over everything else. `None` before the
    /// first answer.
    answer_time: Option<time::Duration>,
    /// First and last question since it was heard.
    asked: Option<(Instant, Instant)>,
    probed_at: Option<Instant>,
    /// When the other routers are to be told.
    notice_due: Option<Instant>,
    /// Whether another router has found it unresponsive since it was heard.
    is_suspected: bool,
}

impl Liveness {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            heard_at: now,
            probe_answered: None,
            owed_since: None,
            sent_unheard: 0,
            has_reported: false,
            answer_time: None,
            asked: None,
            probed_at: None,
            notice_due: None,
            is_suspected: false,
        }
    }

    /// A request was sent to it.
    pub(super) fn on_sent(&mut self, now: Instant) {
        self.owed_since.get_or_insert(now);
        self.sent_unheard += 1;
    }

    /// Whether its agent is to be asked before it gets a request that may run once: it has
    /// had another since it was heard, or was not heard for `trust`. Not where silence is
    /// noticed sooner, there is no agent, or only the agent has stopped.
    pub(super) fn needs_confirmation(
        &self,
        now: Instant,
        settings: &LivenessSettings,
        trust: time::Duration,
    ) -> bool {
        let is_noticed_sooner = trust >= settings.ask_after + self.answer_limit(settings);
        if is_noticed_sooner || !self.has_reported || self.is_trusted(now, settings) {
            return false;
        }
        self.sent_unheard > 0 || now.since(self.heard_at) > trust
    }

    /// Its agent is to be asked before a request is sent. Returns whether it was not asked
    /// already.
    pub(super) fn on_question(&mut self, now: Instant) -> bool {
        let is_new = self.asked.is_none();
        self.owed_since.get_or_insert(now);
        self.asked.get_or_insert((now, now));
        is_new
    }

    /// Longest wait for its agent's answer before another runner is chosen.
    pub(super) fn confirmation_wait(&self, settings: &LivenessSettings) -> time::Duration {
        let (min, max) = settings.confirmation_range;
        (self.answer_time.unwrap_or_default() * 2).clamp(min, max)
    }

    /// Whether it has answered a probe lately: only its agent has stopped.
    fn is_trusted(&self, now: Instant, settings: &LivenessSettings) -> bool {
        let is_recent = |answered: Instant| now.since(answered) < settings.probe_interval;
        self.probe_answered.is_some_and(is_recent)
    }

    /// It or its agent sent something. `is_busy`: it still has requests.
    pub(super) fn on_heard(&mut self, now: Instant, is_busy: bool) {
        *self = Self {
            owed_since: is_busy.then_some(now),
            has_reported: self.has_reported,
            answer_time: self.answer_time,
            ..Self::new(now)
        };
    }

    /// Its agent sent a status or answered; [`Self::on_heard`] follows. Answers are learned
    /// from: longer ones at once, shorter ones slowly, since a status may not be the answer.
    pub(super) fn on_status(&mut self, now: Instant, settings: &LivenessSettings) {
        self.has_reported = true;
        let Some((asked_at, _)) = self.asked else {
            return;
        };
        let took = now.since(asked_at);
        if took >= settings.max_answer {
            return;
        }
        let known = self.answer_time.unwrap_or(took);
        let smoothed = known.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
        self.answer_time = Some(smoothed.max(took));
    }

    /// It answered a probe, so it takes requests. Those that it has may still be stuck.
    pub(super) fn on_probe_answered(&mut self, now: Instant) {
        *self = Self {
            probe_answered: Some(now),
            owed_since: self.owed_since,
            has_reported: self.has_reported,
            answer_time: self.answer_time,
            ..Self::new(self.heard_at)
        };
    }

    /// Whether it answered a probe since it was last heard, and no later probe has had no
    /// answer for `timeout`.
    pub(super) fn answers_probes(&self, now: Instant, timeout: time::Duration) -> bool {
        let is_unanswered = |probed_at: Instant| now.since(probed_at) >= timeout;
        self.probe_answered.is_some() && !self.probed_at.is_some_and(is_unanswered)
    }

    /// It has answered all its requests.
    pub(super) fn on_idle(&mut self) {
        self.owed_since = None;
    }

    /// Another router finds it unresponsive. It is not used until it is heard, and its
    /// agent is asked at once: the other router may just be cut off from it.
    pub(super) fn on_suspected(&mut self, now: Instant) {
        self.owed_since.get_or_insert(now);
        self.is_suspected = true;
        self.notice_due = None;
    }

    /// When it or its agent last sent anything but the answer to a probe.
    pub(super) fn heard_at(&self) -> Instant {
        self.heard_at
    }

    /// Time that it has owed an answer and sent nothing.
    pub(super) fn silence(&self, now: Instant) -> time::Duration {
        let last = self
            .probe_answered
            .map_or(self.heard_at, |at| at.max(self.heard_at));
        let since = self.owed_since.map(|since| since.max(last));
        since.map_or(time::Duration::ZERO, |since| now.since(since))
    }

    pub(super) fn is_unresponsive(&self, now: Instant, settings: &LivenessSettings) -> bool {
        self.is_suspect(now, settings) || self.has_no_answer(now, settings)
    }

    /// Whether the question to its agent has had no answer in time.
    fn has_no_answer(&self, now: Instant, settings: &LivenessSettings) -> bool {
        let first = self.asked.map(|(first, _)| first);
        first.is_some_and(|first| now.since(first) >= self.answer_limit(settings))
    }

    fn answer_limit(&self, settings: &LivenessSettings) -> time::Duration {
        let learned = self.answer_time.unwrap_or_default() * 2;
        learned.clamp(settings.min_answer, settings.max_answer)
    }

    /// Whether a question to its agent has no answer yet.
    pub(super) fn is_asked(&self) -> bool {
        self.asked.is_some()
    }

    /// Whether another router finds it unresponsive, and nothing has been heard of it
    /// for a while.
    fn is_suspect(&self, now: Instant, settings: &LivenessSettings) -> bool {
        self.is_suspected && now.since(self.heard_at) >= settings.ask_after
    }

    /// Actions that are due; counts them as taken. `reported_at`: when its agent last
    /// sent a status; `notice_delay`: random, so that one of many routers tells the
    /// rest.
    pub(super) fn due_actions(
        &mut self,
        now: Instant,
        settings: &LivenessSettings,
        reported_at: Option<Instant>,
        notice_delay: time::Duration,
    ) -> Vec<LivenessAction> {
        let mut due = Vec::new();
        if self.has_no_answer(now, settings) {
            if self.probed_at.is_none() {
                due.push(LivenessAction::LogUnresponsive);
                self.notice_due = (!self.is_suspected).then_some(now + notice_delay);
            }
            let is_past = |last: Instant| now.since(last) >= settings.probe_interval;
            if self.probed_at.is_none_or(is_past) {
                self.probed_at = Some(now);
                due.push(LivenessAction::Probe);
            }
        }
        if self.notice_due.is_some_and(|at| at <= now) {
            self.notice_due = None;
            due.push(LivenessAction::TellRouters);
        }
        if self.is_question_due(now, settings, reported_at) {
            let first = self.asked.map_or(now, |(first, _)| first);
            self.asked = Some((first, now));
            due.push(LivenessAction::AskAgent);
        }
        due
    }

    /// When an action may be due, unless it is heard before.
    pub(super) fn next_check(&self, settings: &LivenessSettings) -> Option<Instant> {
        match self.asked {
            Some((_, last)) => Some(last + settings.ask_interval),
            None => {
                let since = self.owed_since.map(|since| since.max(self.heard_at));
                since.map(|since| since + settings.ask_after)
            }
        }
    }

    fn is_question_due(
        &self,
        now: Instant,
        settings: &LivenessSettings,
        reported_at: Option<Instant>,
    ) -> bool {
        if self.is_trusted(now, settings) {
            return false;
        }
        if let Some((_, last)) = self.asked {
            let interval = if self.has_no_answer(now, settings) {
                settings.probe_interval
            } else {
                settings.ask_interval.max(self.answer_limit(settings) / 4)
            };
            return now.since(last) >= interval;
        }
        let has_reported = reported_at.is_some_and(|at| now.since(at) < settings.report_ttl);
        let is_silent = self.silence(now) >= settings.ask_after && !has_reported;
        is_silent || self.is_suspect(now, settings)
    }
}
