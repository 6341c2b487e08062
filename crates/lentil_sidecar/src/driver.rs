//! Passes events to the policy and executes its commands.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time,
};

use lentil_policy::{protocol, queue, sidecar};
use lentil_process::{
    Clock,
    metrics::{Counter, Metrics},
};
use lentil_types::{AttemptId, FailReason};
use lentil_wire::{Message, PoisonNotice};
use smol::channel::{Receiver, Sender};

use crate::{
    BackendKind, backend,
    backend::Permit,
    links::{Links, Outgoing},
    state::{Snapshot, State},
};

/// Longest time between two policy ticks.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(50);
/// Recent crash notices kept for watchers that connect later.
const MAX_NOTICES: usize = 128;

/// A message to the driver.
pub(crate) enum Input {
    /// An event for the policy.
    Event(sidecar::Event),
    /// A piece of an answer, with the permit that bounds its send queue.
    Piece(sidecar::Event, Permit),
    /// A new exchange and the queue of its outgoing messages.
    Opened(sidecar::LinkId, Sender<Outgoing>),
    /// The entry has closed its side of an exchange.
    HalfClosed(sidecar::LinkId),
    /// An entry subscribes to crash notices: fingerprints that crash the engine.
    Watch(sidecar::LinkId),
    /// An entry asks for the backend server's load.
    QueryLoad(sidecar::LinkId),
    /// An entry sent a message type unknown to this version.
    Refuse(sidecar::LinkId, FailReason),
    /// Ends every exchange once nothing is in flight, then signals the sender.
    Close(Sender<()>),
}

/// Handles shared with other tasks.
pub(crate) struct Resources {
    pub(crate) backend: Arc<backend::Backend>,
    pub(crate) events: Sender<Input>,
    pub(crate) state: Arc<State>,
    pub(crate) metrics: Metrics,
    /// Crash notices for the region's document.
    pub(crate) crashes: Sender<PoisonNotice>,
}

struct Driver {
    resources: Resources,
    clock: Clock,
    policy: sidecar::SidecarPolicy,
    links: Links,
    tasks: HashMap<AttemptId, smol::Task<()>>,
    notices: VecDeque<PoisonNotice>,
    close_waiters: Vec<Sender<()>>,
    /// Permit of the piece being passed to the policy.
    permit: Option<Permit>,
}

/// Runs until every sender of inputs is gone.
pub(crate) async fn run(resources: Resources, inbox: Receiver<Input>) {
    let queue = Box::new(queue::FairQueue::new(queue::FairSettings::default()));
    let mut driver = Driver {
        resources,
        clock: Clock::start(),
        policy: sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue),
        links: Links::default(),
        tasks: HashMap::new(),
        notices: VecDeque::new(),
        close_waiters: Vec::new(),
        permit: None,
    };
    loop {
        let input = async { Some(inbox.recv().await) };
        let timer = async {
            smol::Timer::after(TICK_PERIOD).await;
            None
        };
        match smol::future::or(input, timer).await {
            Some(Ok(input)) => driver.on_input(input),
            Some(Err(_)) => return,
            None => {}
        }
        driver.tick();
    }
}

impl Driver {
    fn on_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.on_event(event),
            Input::Piece(event, permit) => {
                self.permit = Some(permit);
                self.on_event(event);
            }
            Input::Opened(link, outbox) => self.links.open(link, outbox),
            Input::HalfClosed(link) => self.links.finish(link),
            Input::Watch(link) => self.on_watch(link),
            Input::QueryLoad(link) => {
                let load = self.policy.load();
                self.links.send(link, Message::Load(load), None);
            }
            Input::Refuse(link, reason) => {
                self.links.send(link, Message::Refused(reason), None);
            }
            Input::Close(sender) => self.close_waiters.push(sender),
        }
    }

    fn on_event(&mut self, event: sidecar::Event) {
        use sidecar::Event;
        match &event {
            Event::Dispatch(link, dispatch) => self.links.begin(*link, dispatch.offer.id),
            Event::Cancel(id) => self.links.end(*id),
            Event::LinkLost(link) => self.links.remove(*link),
            Event::EngineDown => self.resources.metrics.count(Counter::EngineCrashes),
            Event::Ended { id, .. } | Event::EngineFailed { id, .. } => self.detach(*id),
            _ => {}
        }
        self.policy.on_event(self.clock.now(), event);
    }

    fn on_watch(&mut self, link: sidecar::LinkId) {
        self.links.watch(link);
        for &notice in &self.notices {
            self.links.send(link, Message::Poison(notice), None);
        }
    }

    fn tick(&mut self) {
        for command in self.policy.tick(self.clock.now()) {
            self.execute(command);
        }
        self.permit = None;
        let in_flight = self.policy.in_flight();
        if in_flight == 0 && !self.close_waiters.is_empty() {
            self.close();
        }
        self.resources.state.set_snapshot(Snapshot {
            load: self.policy.load(),
            in_flight,
            links: self.links.len(),
            notices: self.notices.len(),
        });
    }

    fn close(&mut self) {
        self.links.close_all();
        for waiter in self.close_waiters.drain(..) {
            // Fails only when the waiting task is gone.
            let _ = waiter.try_send(());
        }
    }

    fn execute(&mut self, command: sidecar::Command) {
        use sidecar::Command;
        match command {
            Command::Bid(link, bid) => self.links.send(link, Message::Bid(bid), None),
            Command::Run(dispatch) => self.start(*dispatch),
            Command::Stop(id) => self.stop(id),
            Command::Started(link, started) => {
                self.links.send(link, Message::Started(started), None);
            }
            Command::Piece(link, piece) => {
                self.resources.metrics.count(Counter::Pieces);
                let permit = self.permit.take();
                self.links.send(link, Message::Piece(piece), permit);
            }
            Command::End(link, end) => {
                self.links.send(link, Message::End(end), None);
                self.links.end(end.id);
            }
            Command::Fail(link, failed) => {
                self.links.send(link, Message::Failed(failed), None);
                self.links.end(failed.id);
            }
            Command::Withdrawn(link, withdrawn) => {
                self.links.send(link, Message::Withdrawn(withdrawn), None);
            }
            Command::ListCache => self.list_cache(),
            Command::Crashed {
                fingerprint,
                crashes,
            } => self.broadcast_crash(PoisonNotice {
                fingerprint,
                crashes,
            }),
        }
    }

    fn start(&mut self, dispatch: protocol::Dispatch) {
        let id = dispatch.offer.id;
        self.resources.metrics.count(Counter::Attempts);
        let events = self.resources.events.clone();
        let run = backend::run(self.resources.backend.clone(), dispatch, events);
        self.tasks.insert(id, smol::spawn(run));
    }

    /// Closes an attempt's connection and asks the engine to cancel it.
    fn stop(&mut self, id: AttemptId) {
        let was_running = self.tasks.remove(&id).is_some();
        if was_running && self.resources.backend.kind() == BackendKind::Engine {
            let backend = self.resources.backend.clone();
            smol::spawn(async move { backend.cancel(id).await }).detach();
        }
    }

    /// Lets the task of an ended attempt finish on its own.
    fn detach(&mut self, id: AttemptId) {
        if let Some(task) = self.tasks.remove(&id) {
            task.detach();
        }
    }

    fn list_cache(&self) {
        if self.resources.backend.kind() == BackendKind::Engine {
            let list = backend::list_cache(
                self.resources.backend.clone(),
                self.resources.events.clone(),
            );
            smol::spawn(list).detach();
        }
    }

    /// Sends a crash notice to every watcher; keeps it for later ones.
    fn broadcast_crash(&mut self, notice: PoisonNotice) {
        let is_other = |known: &PoisonNotice| known.fingerprint != notice.fingerprint;
        self.notices.retain(is_other);
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
        self.links.send_to_watchers(&Message::Poison(notice));
        // The channel has no receiver in a process without a platform.
        let _ = self.resources.crashes.try_send(notice);
    }
}
