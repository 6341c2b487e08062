//! Feeds events to [`entry::EntryPolicy`] and executes its commands.

use std::{collections::HashMap, iter, sync::Arc, time};

use lentil_platform::ObjectStore;
use lentil_policy::{entry, protocol, route, store};
use lentil_process::{
    Clock,
    metrics::{Counter, Metrics, Timing},
};
use lentil_types::{AttemptId, Instant, Outcome, PlaceName, RequestId, RunnerName, TeamName};
use rand::SeedableRng as _;
use smol::channel::{Receiver, RecvError, Sender};

use crate::{
    attempt::{AttemptTask, Signal},
    backpressure::Backpressure,
    links,
    reply::Reply,
    wait_group::{WaitGroup, WaitGroupGuard},
};

/// Capacity of the channel for events from sidecars and the object store.
const MAX_QUEUED_ANSWERS: usize = 1_024;

/// Inputs handled per policy tick, besides the one that woke the driver.
const MAX_BATCH_INPUTS: usize = 256;

/// Input of the driver.
pub(crate) enum Input {
    Event(entry::Event),
    /// A new request and the channel to its caller.
    Arrived(Box<entry::Arrival>, Caller),
}

/// A caller that waits for its answer.
pub(crate) struct Caller {
    pub(crate) replies: Sender<Reply>,
    pub(crate) backpressure: Backpressure,
    /// When its request was submitted to the driver.
    pub(crate) started_at: time::Instant,
    /// The caller's team, for log lines.
    pub(crate) team: TeamName,
    /// The runner of the latest attempt, for log lines.
    pub(crate) runner: Option<RunnerName>,
}

pub(crate) struct Resources {
    pub(crate) links: Arc<links::Links>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// The data centre of this entry.
    pub(crate) place: Option<PlaceName>,
    /// Not empty while the store lacks the end of an at-most-once call.
    pub(crate) unsettled: WaitGroup,
}

struct Driver {
    resources: Resources,
    unsettled_guard: Option<WaitGroupGuard>,
    answers: Sender<Input>,
    callers: HashMap<RequestId, Caller>,
    attempts: HashMap<AttemptId, Sender<Signal>>,
    /// The policy's counters as last added to the metrics.
    published: entry::Counters,
}

/// Runs until every sender of requests is dropped.
pub(crate) async fn run(resources: Resources, requests: Receiver<Input>) {
    let mut rng = rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng());
    let routing = Box::new(route::Nested::new(route::NestedSettings {
        place: resources.place.clone(),
        ..route::NestedSettings::default()
    }));
    let mut policy = entry::EntryPolicy::new(entry::Settings::default(), routing);
    let (answers, inbox) = smol::channel::bounded(MAX_QUEUED_ANSWERS);
    let clock = resources.clock;
    let mut driver = Driver {
        resources,
        unsettled_guard: None,
        published: entry::Counters::default(),
        answers,
        callers: HashMap::new(),
        attempts: HashMap::new(),
    };
    loop {
        match next_input(&requests, &inbox, &clock, policy.next_wake()).await {
            Some(Ok(input)) => driver.handle_input(&mut policy, input),
            Some(Err(_)) => return,
            None => {}
        }
        let queued = || inbox.try_recv().or_else(|_| requests.try_recv()).ok();
        for input in iter::from_fn(queued).take(MAX_BATCH_INPUTS) {
            driver.handle_input(&mut policy, input);
        }
        let commands = policy.tick(clock.now(), &mut rng);
        driver.update_unsettled(policy.unsettled());
        driver.publish_counters(policy.counters());
        for command in commands {
            driver.execute(command);
        }
    }
}

async fn next_input(
    requests: &Receiver<Input>,
    answers: &Receiver<Input>,
    clock: &Clock,
    wake: Instant,
) -> Option<Result<Input, RecvError>> {
    let request = async { Some(requests.recv().await) };
    let answer = async { Some(answers.recv().await) };
    let timer = async {
        if wake == Instant::NEVER {
            smol::future::pending::<()>().await;
        }
        smol::Timer::after(clock.until(wake)).await;
        None
    };
    smol::future::or(answer, smol::future::or(request, timer)).await
}

impl Driver {
    /// Adds the counts since the last call to the metrics.
    fn publish_counters(&mut self, counters: entry::Counters) {
        let metrics = &self.resources.metrics;
        for (counter, now, before) in [
            (
                Counter::LateAnswers,
                counters.late_answers,
                self.published.late_answers,
            ),
            (
                Counter::PoisonRefused,
                counters.poisoned,
                self.published.poisoned,
            ),
        ] {
            if now > before {
                metrics.add(counter, now - before);
            }
        }
        self.published = counters;
    }

    fn handle_input(&mut self, policy: &mut entry::EntryPolicy, input: Input) {
        let now = self.resources.clock.now();
        match input {
            Input::Event(event) => {
                self.count_event(&event);
                if let Some(id) = ended_attempt(&event) {
                    self.attempts.remove(&id);
                }
                policy.on_event(now, event);
            }
            Input::Arrived(arrival, caller) => {
                self.callers.insert(arrival.request, caller);
                if arrival.once {
                    policy.on_event(now, entry::Event::Clock(unix_time()));
                }
                policy.on_event(now, entry::Event::Arrived(arrival));
            }
        }
    }

    /// Holds a guard of `unsettled` while the store lacks the end of `count` calls.
    fn update_unsettled(&mut self, count: usize) {
        if count == 0 {
            self.unsettled_guard = None;
        } else if self.unsettled_guard.is_none() {
            self.unsettled_guard = Some(self.resources.unsettled.add());
        }
    }

    fn count_event(&mut self, event: &entry::Event) {
        let metrics = &self.resources.metrics;
        match event {
            entry::Event::CallerGone(request) => {
                self.callers.remove(request);
            }
            entry::Event::Bid(_) => metrics.count(Counter::Bids),
            entry::Event::Crashed { .. } => metrics.count(Counter::CrashNotices),
            entry::Event::Store(store::StoreReply::Lost { .. }) => {
                metrics.count(Counter::StoreLost);
            }
            _ => {}
        }
    }

    fn execute(&mut self, command: entry::Command) {
        use entry::Command;
        match command {
            Command::Offer(runner, offer) => {
                self.resources.metrics.count(Counter::Offers);
                let attempt = self.attempt_task(runner, offer.id.request);
                smol::spawn(attempt.request_bid(offer)).detach();
            }
            Command::Dispatch(runner, dispatch) => self.dispatch(runner, dispatch),
            Command::Cancel(_, id) => self.cancel(id),
            Command::Withdraw(runner, id) => self.withdraw(runner, id),
            Command::Store(call) => self.call_store(call),
            Command::Head {
                request,
                status,
                headers,
            } => {
                self.reply(request, Reply::Head { status, headers });
            }
            Command::Emit {
                request,
                offset,
                data,
            } => self.emit(request, offset, data),
            Command::Finish { request, ending } => self.finish(request, ending),
        }
    }

    fn emit(&self, request: RequestId, offset: u64, data: Vec<u8>) {
        self.resources.metrics.count(Counter::Pieces);
        if offset == 0
            && let Some(caller) = self.callers.get(&request)
        {
            let elapsed = caller.started_at.elapsed();
            self.resources.metrics.time(Timing::FirstPiece, elapsed);
        }
        self.reply(request, Reply::Piece { offset, data });
    }

    fn finish(&mut self, request: RequestId, ending: entry::Ending) {
        self.reply(request, Reply::End(ending));
        if let Some(caller) = self.callers.remove(&request) {
            self.record_ending(request, &caller, ending);
        }
    }

    fn record_ending(&self, request: RequestId, caller: &Caller, ending: entry::Ending) {
        let (elapsed, team) = (caller.started_at.elapsed(), &caller.team);
        let runner = caller.runner.as_deref().unwrap_or_default();
        let counter = match ending {
            entry::Ending::Whole(_) => {
                self.resources.metrics.time(Timing::WholeAnswer, elapsed);
                log::debug!(request:% = request, team:% = team, runner; "answered completely");
                Counter::OutcomeDone
            }
            entry::Ending::Failed {
                outcome, reason, ..
            } => {
                log::info!(request:% = request, team:% = team, runner; "{outcome}: {reason}");
                match outcome {
                    Outcome::Done => Counter::OutcomeDone,
                    Outcome::NotRun => Counter::OutcomeNotRun,
                    Outcome::Unknown => Counter::OutcomeUnknown,
                }
            }
        };
        self.resources.metrics.count(counter);
    }

    fn attempt_task(&self, runner: RunnerName, request: RequestId) -> AttemptTask {
        let caller = self.callers.get(&request);
        AttemptTask {
            links: self.resources.links.clone(),
            answers: self.answers.clone(),
            runner,
            team: caller.map(|caller| caller.team.clone()),
            backpressure: caller
                .map(|caller| caller.backpressure.clone())
                .unwrap_or_default(),
        }
    }

    fn dispatch(&mut self, runner: RunnerName, dispatch: Box<protocol::Dispatch>) {
        let id = dispatch.offer.id;
        self.count_dispatch(&dispatch);
        if let Some(caller) = self.callers.get_mut(&id.request) {
            caller.runner = Some(runner.clone());
        }
        let (signals, inbox) = smol::channel::unbounded();
        let attempt = self.attempt_task(runner, id.request);
        smol::spawn(attempt.run(dispatch, inbox)).detach();
        self.attempts.insert(id, signals);
    }

    fn count_dispatch(&self, dispatch: &protocol::Dispatch) {
        let metrics = &self.resources.metrics;
        metrics.count(Counter::Attempts);
        if dispatch.offer.id.attempt > lentil_types::Attempt::FIRST {
            metrics.count(Counter::Retries);
        }
        if dispatch.resume.is_some() {
            metrics.count(Counter::StreamsResumed);
        }
    }

    /// Stops an attempt. Its task sends the cancellation and ends.
    fn cancel(&mut self, id: AttemptId) {
        if let Some(signals) = self.attempts.remove(&id) {
            // A task that has ended has nothing left to cancel.
            let _ = signals.try_send(Signal::Cancel);
        }
    }

    fn withdraw(&self, runner: RunnerName, id: AttemptId) {
        let signals = self.attempts.get(&id);
        let is_sent = signals.is_some_and(|signals| signals.try_send(Signal::Withdraw).is_ok());
        if !is_sent {
            let attempt = self.attempt_task(runner, id.request);
            smol::spawn(attempt.withdraw(id)).detach();
        }
    }

    fn call_store(&self, call: store::StoreCall) {
        self.resources.metrics.count(Counter::StoreCalls);
        let (store, answers) = (self.resources.store.clone(), self.answers.clone());
        smol::spawn(async move {
            let reply = lentil_platform::execute_call(&*store, call).await;
            let event = entry::Event::Store(reply);
            // Fails only when the process stops and the driver is gone.
            let _ = answers.send(Input::Event(event)).await;
        })
        .detach();
    }

    fn reply(&self, request: RequestId, reply: Reply) {
        let Some(caller) = self.callers.get(&request) else {
            return;
        };
        caller.backpressure.add(reply.queued_bytes());
        // A disconnected caller reports `CallerGone` itself.
        let _ = caller.replies.try_send(reply);
    }
}

/// Time since the Unix epoch.
fn unix_time() -> time::Duration {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.unwrap_or_default()
}

/// The attempt whose exchange ended with this event.
fn ended_attempt(event: &entry::Event) -> Option<AttemptId> {
    match event {
        entry::Event::Ended(_, end) => Some(end.id),
        entry::Event::Failed(_, failed) => Some(failed.id),
        entry::Event::Disconnected { id, .. } => Some(*id),
        _ => None,
    }
}
