//! Applies documents, status reports and what runners say of themselves.

use std::time;

use lentil_platform::{Change, Changes, Document, Listing};
use lentil_policy::forward::{backlog::RequestHash, runners};
use lentil_process::{
    metrics::{Counter, Gauge},
    panics,
};
use lentil_types::Instant;

use super::{Router, crashes::DeathSign};
use crate::{
    datagram::{self, Datagram},
    documents::Kind,
    peers::Recipient,
};

/// Statuses in a row that must not show a prompt before it counts as lost: the first
/// may be older than the report that shows it.
const DROPPED_STATUSES: u32 = 2;

/// Time for an agent to compare an announced prompt with its runner's report: the report
/// may be a little older, and the prompt is believed without one for 60 ms.
const ANNOUNCED_TIME: time::Duration = time::Duration::from_millis(150);

/// Delay of a timer above which it is logged. Calls to the store and to other routers have
/// limits of a few hundred milliseconds.
const LATE_TICK: time::Duration = time::Duration::from_millis(100);

/// Interval of the log lines with the learned speeds.
const SPEEDS_INTERVAL: time::Duration = time::Duration::from_secs(10);

impl Router {
    /// Applies a complete listing of one kind of document.
    pub fn on_list(&self, kind: Kind, listing: &Listing) {
        match kind {
            Kind::Runners => {
                let registrations = listing.documents.iter();
                let registrations: Vec<_> = registrations
                    .filter_map(|doc| self.decode_runner(doc))
                    .collect();
                let now = self.now();
                let changes = self.state().runners_mut().on_list(now, registrations);
                self.log_changes(&changes);
                self.log_replacements();
                self.agents_listed.notify(usize::MAX);
            }
            Kind::Routing | Kind::Weights => {
                for document in &listing.documents {
                    let apply = || self.on_document(kind, document);
                    if let Err(error) = panics::contain_call(&self.metrics, apply) {
                        log::error!(kind:%, name = document.name.as_str(), error:%; "cannot apply a document; skipping it");
                    }
                }
            }
        }
    }

    /// Applies changes to documents of one kind, in order.
    pub fn on_changes(&self, kind: Kind, changes: &Changes) {
        for change in &changes.changes {
            let applied = panics::contain_call(&self.metrics, || self.on_change(kind, change));
            if let Err(error) = applied {
                log::error!(kind:%, error:%; "cannot apply a change; skipping it");
            }
        }
    }

    fn on_change(&self, kind: Kind, change: &Change) {
        match (kind, change) {
            (_, Change::Changed(document)) => self.on_document(kind, document),
            (Kind::Runners, Change::Removed(name)) => self.on_runner_removed(name),
            (Kind::Routing | Kind::Weights, Change::Removed(name)) => {
                log::warn!(kind:%, name = name.as_str(); "a document was removed; keeping its last contents");
            }
        }
    }

    fn on_document(&self, kind: Kind, document: &Document) {
        match kind {
            Kind::Routing => self.on_routing(document),
            Kind::Runners => match self.decode_runner(document) {
                Some(registration) => self.on_runner(registration),
                None => self.on_runner_removed(&document.name),
            },
            Kind::Weights => self.on_weights(document),
        }
    }

    fn on_routing(&self, document: &Document) {
        let routing = match self.decoder.routing(document) {
            Ok(Some(routing)) => routing,
            Ok(None) => return,
            Err(error) => {
                self.metrics.count(Counter::DocumentsUnusable);
                log::error!(name = document.name.as_str(), revision = document.version.0, error:%; "configuration is invalid; keeping the one in force");
                return;
            }
        };
        let routes = routing.routes().len();
        let teams = routing.teams().len();
        let old = self.state().routing().map(|old| old.version.0);
        let now = self.now();
        let outdated_ms = self.outdated_for().map(|lag| lag.as_millis());
        let version = self.state().set_routing(now, routing);
        if let Some(version) = version {
            self.metrics.count(Counter::ConfigChanges);
            self.metrics.gauge(Gauge::ConfigVersion, version.0);
            self.log_replacements();
            log::info!(config = version.0, old:?, revision = document.version.0, routes, teams, outdated_ms:?; "configuration in force");
            self.availability_changed.notify(usize::MAX);
            self.agents_listed.notify(usize::MAX);
        }
    }

    /// Sets since when another router is known to have a newer configuration.
    pub(crate) fn set_outdated_since(&self, since: Option<Instant>) {
        self.outdated_since.set(since);
    }

    /// How long another router is known to have had a newer configuration.
    pub(crate) fn outdated_for(&self) -> Option<time::Duration> {
        let since = self.outdated_since.get()?;
        Some(self.now().since(since))
    }

    /// The periodic work was due `delay` ago.
    pub fn on_tick_delay(&self, delay: time::Duration) {
        if delay < LATE_TICK {
            return;
        }
        self.metrics.count(Counter::TicksLate);
        if self.log_quota.try_take(self.now()) {
            log::info!(late_ms = delay.as_millis(), callers = self.callers.get(); "timers fire late");
        }
    }

    fn on_weights(&self, document: &Document) {
        let target = match self.decoder.weights(document) {
            Ok(target) => target,
            Err(error) => {
                self.metrics.count(Counter::DocumentsUnusable);
                log::error!(name = document.name.as_str(), error:%; "target weights document is invalid");
                return;
            }
        };
        let now = self.now();
        if self.state().on_target(now, &target.model, target.version) {
            log::info!(model:% = target.model, weights = target.version.0, revision = document.version.0; "new target weights");
            self.target_changed.notify(usize::MAX);
            self.grant_turns();
        }
    }

    /// Version of a document's content, which only grows. `None` for kinds without one
    /// and for documents that cannot be decoded.
    pub(crate) fn content_version(&self, kind: Kind, document: &Document) -> Option<u64> {
        match kind {
            Kind::Routing => {
                let routing = self.decoder.routing(document).ok()??;
                Some(routing.version.0)
            }
            Kind::Weights => {
                let target = self.decoder.weights(document).ok()?;
                Some(target.version.0.into())
            }
            Kind::Runners => None,
        }
    }

    fn decode_runner(&self, document: &Document) -> Option<runners::Registration> {
        match self.decoder.runner(document) {
            Ok(registration) => Some(registration),
            Err(error) => {
                self.metrics.count(Counter::DocumentsUnusable);
                log::warn!(name = document.name.as_str(), revision = document.version.0, error:%; "runner document is invalid");
                None
            }
        }
    }

    fn on_runner(&self, registration: runners::Registration) {
        let now = self.now();
        let old = self
            .state()
            .runners()
            .incarnation(&registration.incarnation.name)
            .cloned();
        let change = self
            .state()
            .runners_mut()
            .on_registration(now, registration);
        if let (Some(old), Some(runners::ChangeKind::Restarted)) =
            (old, change.as_ref().map(|c| c.kind))
        {
            self.on_dead(&old, DeathSign::Restarted);
        }
        self.log_changes(change.as_slice());
        self.log_replacements();
        self.availability_changed.notify(usize::MAX);
        self.agents_listed.notify(usize::MAX);
    }

    /// Logs which runners count as replaced, or do not any more, since the last call.
    pub(super) fn log_replacements(&self) {
        let replacements = self.state().runners_mut().take_replacements();
        if !replacements.is_empty() {
            self.log_changes(&replacements);
            self.availability_changed.notify(usize::MAX);
            self.agents_listed.notify(usize::MAX);
        }
    }

    /// A runner answered a request that was sent at `sent_at`.
    pub(super) fn on_confirmed(&self, incarnation: &runners::Incarnation, sent_at: Instant) {
        let now = self.now();
        let mut state = self.state();
        state.runners_mut().on_confirmed(now, incarnation, sent_at);
        drop(state);
        self.log_replacements();
    }

    /// A request for a runner, sent at `sent_at`, was refused at its address by another
    /// one.
    pub(super) fn on_denied(
        &self,
        incarnation: &runners::Incarnation,
        sent_at: Instant,
        other: Option<&str>,
    ) {
        let now = self.now();
        let mut state = self.state();
        state
            .runners_mut()
            .on_denied(now, incarnation, sent_at, other);
        drop(state);
        self.log_replacements();
    }

    fn on_runner_removed(&self, name: &str) {
        let now = self.now();
        let old = self.state().runners().incarnation(name).cloned();
        let change = self.state().runners_mut().on_removed(now, name);
        self.log_changes(change.as_slice());
        self.log_replacements();
        let is_gone = change.is_some_and(|change| change.kind == runners::ChangeKind::Gone);
        if let Some(old) = old.filter(|_| is_gone) {
            self.on_dead(&old, DeathSign::Expired);
        }
    }

    /// The store's answer to a call for registrations that began at `called_at` is applied.
    pub(crate) fn on_registrations_applied(&self, called_at: Instant) {
        self.state().runners_mut().on_store_applied(called_at);
        self.registrations_applied.notify(usize::MAX);
    }

    /// Returns when all registrations from before `since` are known.
    pub(super) async fn wait_until_current(&self, since: Instant) {
        loop {
            let applied = self.registrations_applied.listen();
            if self.state().runners().is_current(since) {
                return;
            }
            let wanted_at = self.refresh_wanted_at.get();
            self.refresh_wanted_at.set(wanted_at.max(Some(since)));
            self.refresh_wanted.notify(usize::MAX);
            applied.await;
        }
    }

    /// Whether a request needs newer registrations than are known.
    pub(crate) fn is_refresh_wanted(&self) -> bool {
        let wanted_at = self.refresh_wanted_at.get();
        wanted_at.is_some_and(|since| !self.state().runners().is_current(since))
    }

    /// Returns when a request needs newer registrations than are known.
    pub(crate) async fn wait_until_refresh_wanted(&self) {
        while !self.is_refresh_wanted() {
            let wanted = self.refresh_wanted.listen();
            wanted.await;
        }
    }

    /// Records how an attempt at a runner went.
    pub(crate) fn on_health_signal(
        &self,
        incarnation: &runners::Incarnation,
        signal: runners::HealthSignal,
    ) {
        let now = self.now();
        let ejection = self
            .state()
            .runners_mut()
            .on_health_signal(now, incarnation, signal);
        if let Some(duration) = ejection {
            log::info!(runner:% = incarnation.name, born = incarnation.boot_id, signal:%, for_ms = duration.as_millis(); "runner ejected");
        }
    }

    /// Returns when a runner and its agent were silent for `limit`, counted from
    /// `since` at the earliest. Agents report rarely while nothing changes, so the
    /// agent is asked first. A runner is not silent while its answers to probes show that
    /// it has the request.
    pub(crate) async fn wait_until_silent(
        &self,
        incarnation: &runners::Incarnation,
        request: RequestHash,
        since: Instant,
        limit: time::Duration,
    ) {
        loop {
            let silent_for = self.silent_for(incarnation, since);
            if silent_for < limit {
                smol::Timer::after(limit - silent_for).await;
                continue;
            }
            self.ask_agent(incarnation);
            smol::Timer::after(self.settings.probe_timeout).await;
            let is_silent = self.silent_for(incarnation, since) >= limit;
            if is_silent && !self.shows_request(incarnation, request) {
                return;
            }
        }
    }

    /// Returns when statuses, received later than `limit` after `since`, show that a runner
    /// computes no prompt: it has lost one that has no answer yet. `announce` tells its
    /// agent of the prompt again, since one that has just started does not know it.
    pub(crate) async fn wait_until_dropped(
        &self,
        incarnation: &runners::Incarnation,
        since: Instant,
        limit: time::Duration,
        announce: impl Fn(),
    ) {
        let age = self.now().since(since);
        smol::Timer::after(limit.saturating_sub(age)).await;
        loop {
            announce();
            smol::Timer::after(ANNOUNCED_TIME).await;
            if self.shows_no_prompt(incarnation).await {
                return;
            }
            smol::Timer::after(limit / 2).await;
        }
    }

    /// Whether some statuses in a row show that a runner computes no prompt.
    async fn shows_no_prompt(&self, incarnation: &runners::Incarnation) -> bool {
        for _ in 0..DROPPED_STATUSES {
            let asked_at = self.now();
            self.ask_agent(incarnation);
            smol::Timer::after(self.settings.ask_interval).await;
            if !self.has_no_prompt(incarnation, asked_at) {
                return false;
            }
        }
        true
    }

    fn has_no_prompt(&self, incarnation: &runners::Incarnation, since: Instant) -> bool {
        let state = self.state();
        let runner = state.runners().get(incarnation);
        runner.is_some_and(|runner| runner.has_no_prompt(since))
    }

    /// Time since the last byte of a runner or its agent, or since `since` if later.
    fn silent_for(&self, incarnation: &runners::Incarnation, since: Instant) -> time::Duration {
        let now = self.now();
        let state = self.state();
        let last = state
            .runners()
            .get(incarnation)
            .map(runners::Runner::last_heard);
        now.since(last.map_or(since, |last| last.max(since)))
    }

    fn shows_request(&self, incarnation: &runners::Incarnation, request: RequestHash) -> bool {
        let now = self.now();
        let state = self.state();
        let runner = state.runners().get(incarnation);
        let timeout = self.settings.probe_timeout;
        runner.is_some_and(|runner| runner.shows_request(now, timeout, request))
    }

    /// When a runner or its agent last sent anything; the start of the router if it is not
    /// known.
    pub(super) fn last_heard(&self, incarnation: &runners::Incarnation) -> Instant {
        let state = self.state();
        let runner = state.runners().get(incarnation);
        runner.map_or(Instant::ZERO, runners::Runner::last_heard)
    }

    /// Asks a runner's agent for a status report.
    pub(crate) fn ask_agent(&self, incarnation: &runners::Incarnation) {
        let state = self.state();
        if let Some(runner) = state.runners().get(incarnation) {
            let agent = Recipient::Agent(runner.registration.address.ip());
            self.metrics.count(Counter::AgentsAsked);
            self.outbox
                .put(agent, Datagram::StatusRequest(incarnation.clone()));
        }
    }

    /// Logs changes of membership.
    pub(crate) fn log_changes(&self, changes: &[runners::MembershipChange]) {
        for change in changes {
            log::info!(runner:% = change.name, change:% = change.kind; "runner membership changed");
        }
    }

    /// An agent reports that its runner does not answer.
    pub(crate) fn on_silent(&self, incarnation: &runners::Incarnation) {
        let now = self.now();
        let is_new = self.state().runners_mut().on_silent(now, incarnation);
        if is_new {
            log::info!(runner:% = incarnation.name, born = incarnation.boot_id; "a runner does not answer its agent");
        }
        self.on_dead(incarnation, DeathSign::Silent);
    }

    /// A runner sent something.
    pub(crate) fn on_heard(&self, incarnation: &runners::Incarnation) {
        let now = self.now();
        let was_unresponsive = self.state().runners_mut().on_heard(now, incarnation);
        self.log_recovery(incarnation, was_unresponsive);
        self.runner_heard.notify(usize::MAX);
    }

    /// The agent of a runner answered a ping.
    pub(crate) fn on_pong(&self, incarnation: &runners::Incarnation) {
        let now = self.now();
        let was_unresponsive = self.state().runners_mut().on_answer(now, incarnation);
        self.log_recovery(incarnation, was_unresponsive);
        self.runner_heard.notify(usize::MAX);
    }

    /// An unresponsive runner answered a probe.
    pub(crate) fn on_probe_answered(
        &self,
        incarnation: &runners::Incarnation,
        report: runners::ProbeReport,
    ) {
        let now = self.now();
        let was_unresponsive =
            self.state()
                .runners_mut()
                .on_probe_answered(now, incarnation, report);
        self.log_recovery(incarnation, was_unresponsive);
    }

    /// A runner said this of itself in the answer to a request sent at `sent_at`.
    pub(crate) fn on_announcement(
        &self,
        incarnation: &runners::Incarnation,
        sent_at: Instant,
        said: &runners::Announcement,
    ) {
        let now = self.now();
        let news = self
            .state()
            .runners_mut()
            .on_announcement(now, incarnation, sent_at, said);
        if news.is_notice_due {
            let notice = datagram::AnnouncementNotice {
                incarnation: incarnation.clone(),
                limit: said.limit,
                is_leaving: said.is_leaving,
            };
            let notice = Datagram::Announcement(notice);
            self.outbox.put(Recipient::Routers, notice);
        }
        self.on_announcement_changes(incarnation, &news.changes);
    }

    /// Another router passes on what a runner says of itself.
    pub(crate) fn on_announcement_notice(&self, notice: &datagram::AnnouncementNotice) {
        let now = self.now();
        let said = runners::Announcement {
            limit: notice.limit,
            is_leaving: notice.is_leaving,
            retry_after: None,
        };
        let changes =
            self.state()
                .runners_mut()
                .on_announcement_notice(now, &notice.incarnation, &said);
        self.on_announcement_changes(&notice.incarnation, &changes);
    }

    fn on_announcement_changes(
        &self,
        incarnation: &runners::Incarnation,
        changes: &[runners::AnnouncementChange],
    ) {
        use runners::AnnouncementChange as Change;
        let (name, boot_id) = (&incarnation.name, incarnation.boot_id);
        for change in changes {
            match change {
                Change::Limited { limit, sent } => {
                    self.metrics.count(Counter::LimitsNamed);
                    log::info!(runner:% = name, born = boot_id, limit:%, sent; "a runner named a request limit");
                }
                Change::LimitEnded => {
                    log::info!(runner:% = name, born = boot_id; "a runner's request limit has ended");
                }
                Change::Leaving => {
                    self.metrics.count(Counter::RunnersLeaving);
                    log::info!(runner:% = name, born = boot_id; "a runner announced that it is leaving");
                }
                Change::RetryAfter(retry_after) => {
                    self.metrics.count(Counter::RetryAfterNamed);
                    if self.log_quota.try_take(self.now()) {
                        log::info!(runner:% = name, born = boot_id, for_ms = retry_after.as_millis(); "a runner named a retry-after time");
                    }
                }
            }
        }
        if !changes.is_empty() {
            // What waits for this runner is placed anew.
            self.availability_changed.notify(usize::MAX);
        }
    }

    fn log_recovery(&self, incarnation: &runners::Incarnation, was_unresponsive: bool) {
        if was_unresponsive && self.log_quota.try_take(self.now()) {
            log::info!(runner:% = incarnation.name, born = incarnation.boot_id; "an unresponsive runner answers again");
        }
    }

    /// Another router finds a runner unresponsive.
    pub(crate) fn on_suspected(&self, incarnation: &runners::Incarnation) {
        let now = self.now();
        self.state().runners_mut().on_suspected(now, incarnation);
    }

    /// A runner's learned speed has moved to another class.
    pub(super) fn log_speed_class(
        &self,
        runners: &runners::Runners,
        incarnation: &runners::Incarnation,
    ) {
        self.metrics.count(Counter::SpeedClassChanges);
        let Some(runner) = runners.get(incarnation) else {
            return;
        };
        let service = &runner.registration.service;
        let speed = runners
            .pace(service)
            .map_or(1.0, |state| state.speed(&runner.pace));
        let (class, evidence) = (runner.pace.class(), runner.pace.evidence());
        log::info!(runner:% = incarnation.name, born = incarnation.boot_id, service:%, speed, class, evidence; "a runner's learned speed has changed");
    }

    /// Logs from time to time what is learned of the speed of each service's runners.
    pub(super) fn log_speeds(&self) {
        let now = self.now();
        let is_due = |at| now.since(at) >= SPEEDS_INTERVAL;
        if !self.speeds_logged.get().is_none_or(is_due) {
            return;
        }
        self.speeds_logged.set(Some(now));
        let state = self.state();
        for (service, pace) in state.runners().paces() {
            let members = state.runners().iter();
            let members = members.filter(|runner| runner.is_member(service));
            let speed = |runner: &&runners::Runner| pace.speed(&runner.pace);
            let by_speed =
                |a: &&runners::Runner, b: &&runners::Runner| speed(a).total_cmp(&speed(b));
            let Some(slowest) = members.min_by(by_speed) else {
                continue;
            };
            log::info!(
                service:%, base_ms = pace.pace.base_ms(), rate = pace.pace.rate(), samples = pace.pace.evidence(),
                reserved = pace.reserved.len(), slowest:% = slowest.registration.incarnation.name,
                speed = speed(&slowest), evidence = slowest.pace.evidence(),
                age_ms = slowest.pace.age(now).unwrap_or_default().as_millis();
                "learned speed of runners"
            );
        }
    }

    /// Applies an agent's status report.
    pub(crate) fn on_status_report(&self, report: datagram::StatusReport) {
        let now = self.now();
        let datagram::StatusReport {
            incarnation,
            status,
            ..
        } = report;
        let changing = status.is_changing;
        let weights = status.weights.clone();
        let has_room = status.backlog < runners::LONG_PROMPT;
        let mut state = self.state();
        let previous = state.runners().get(&incarnation).and_then(|runner| {
            let status = state.runners().status(now, runner)?;
            Some((status.is_changing, runner.registration.weights.clone()))
        });
        let was_unresponsive = state.runners().is_unresponsive(now, &incarnation);
        let is_known = state.runners_mut().on_status(now, &incarnation, status);
        drop(state);
        self.log_recovery(&incarnation, was_unresponsive);
        self.status_received.notify(usize::MAX);
        self.runner_heard.notify(usize::MAX);
        let is_same =
            |(was_changing, old): &(bool, _)| *was_changing == changing && *old == weights;
        let has_new_weights = is_known && !previous.as_ref().is_some_and(is_same);
        if has_new_weights {
            let version = weights.first().map(|(_, version)| version.0);
            log::info!(runner:% = incarnation.name, changing, weights:? = version; "runner weights changed");
        }
        if has_new_weights {
            self.grant_turns();
        }
        if has_room || has_new_weights {
            self.availability_changed.notify(usize::MAX);
        }
    }
}
