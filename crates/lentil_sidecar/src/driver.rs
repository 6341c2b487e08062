//! Feeds the policy and carries out its commands.

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
    state::{Shown, State},
};

/// Longest time between two ticks.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(50);
/// Fingerprints that new watchers are told of, the latest.
const MAX_NOTICES: usize = 128;

/// What reaches the driver.
pub(crate) enum Input {
    /// An event for the policy.
    Event(sidecar::Event),
    /// A piece of an answer, with its place in the way to the entry.
    Piece(sidecar::Event, Permit),
    /// A new exchange; its messages go out through the sender.
    Opened(sidecar::LinkId, Sender<Outgoing>),
    /// The entry has said all that it will on an exchange.
    Finished(sidecar::LinkId),
    /// An entry wants to be told of fingerprints that crash the engine.
    Watch(sidecar::LinkId),
    /// An entry asks how the backend server is.
    Ask(sidecar::LinkId),
    /// An entry sent what this version does not have.
    Refuse(sidecar::LinkId, FailReason),
    /// Ends every exchange when nothing is in flight any more, then sends on the
    /// channel.
    Close(Sender<()>),
}

/// What a driver works with.
pub(crate) struct Parts {
    pub(crate) backend: Arc<backend::Backend>,
    pub(crate) events: Sender<Input>,
    pub(crate) state: Arc<State>,
    pub(crate) metrics: Metrics,
    /// Crashes for the region's document.
    pub(crate) crashes: Sender<PoisonNotice>,
}

struct Driver {
    parts: Parts,
    clock: Clock,
    policy: sidecar::SidecarPolicy,
    links: Links,
    runs: HashMap<AttemptId, smol::Task<()>>,
    notices: VecDeque<PoisonNotice>,
    closers: Vec<Sender<()>>,
    /// Permit of the piece that the policy is given now.
    permit: Option<Permit>,
}

/// Runs until every sender of events is gone.
pub(crate) async fn run(parts: Parts, inbox: Receiver<Input>) {
    let queue = Box::new(queue::FairQueue::new(queue::FairSettings::default()));
    let mut driver = Driver {
        parts,
        clock: Clock::start(),
        policy: sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue),
        links: Links::default(),
        runs: HashMap::new(),
        notices: VecDeque::new(),
        closers: Vec::new(),
        permit: None,
    };
    loop {
        let input = async { Some(inbox.recv().await) };
        let timer = async {
            smol::Timer::after(TICK_PERIOD).await;
            None
        };
        match smol::future::or(input, timer).await {
            Some(Ok(input)) => driver.take_in(input),
            Some(Err(_)) => return,
            None => {}
        }
        driver.tick();
    }
}

impl Driver {
    fn take_in(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.on_event(event),
            Input::Piece(event, permit) => {
                self.permit = Some(permit);
                self.on_event(event);
            }
            Input::Opened(link, outbox) => self.links.open(link, outbox),
            Input::Finished(link) => self.links.finish(link),
            Input::Watch(link) => self.on_watch(link),
            Input::Ask(link) => {
                let load = self.policy.load();
                self.links.send(link, Message::Load(load), None);
            }
            Input::Refuse(link, reason) => {
                self.links.send(link, Message::Refused(reason), None);
            }
            Input::Close(sender) => self.closers.push(sender),
        }
    }

    fn on_event(&mut self, event: sidecar::Event) {
        use sidecar::Event;
        match &event {
            Event::Dispatch(link, dispatch) => self.links.begin(*link, dispatch.offer.id),
            Event::Cancel(id) => self.links.end(*id),
            Event::LinkLost(link) => self.links.remove(*link),
            Event::EngineDown => self.parts.metrics.count(Counter::EngineCrashes),
            Event::Ended { id, .. } | Event::EngineFailed { id, .. } => self.forget(*id),
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
            self.carry_out(command);
        }
        self.permit = None;
        let in_flight = self.policy.in_flight();
        if in_flight == 0 && !self.closers.is_empty() {
            self.close();
        }
        self.parts.state.show(Shown {
            load: self.policy.load(),
            in_flight,
            links: self.links.len(),
            notices: self.notices.len(),
        });
    }

    fn close(&mut self) {
        self.links.close_all();
        for closer in self.closers.drain(..) {
            // It fails only when nobody waits any more.
            let _ = closer.try_send(());
        }
    }

    fn carry_out(&mut self, command: sidecar::Command) {
        use sidecar::Command;
        match command {
            Command::Bid(link, bid) => self.links.send(link, Message::Bid(bid), None),
            Command::Run(dispatch) => self.start(*dispatch),
            Command::Stop(id) => self.stop(id),
            Command::Started(link, started) => {
                self.links.send(link, Message::Started(started), None);
            }
            Command::Piece(link, piece) => {
                self.parts.metrics.count(Counter::Pieces);
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
            } => self.spread(PoisonNotice {
                fingerprint,
                crashes,
            }),
        }
    }

    fn start(&mut self, dispatch: protocol::Dispatch) {
        let id = dispatch.offer.id;
        self.parts.metrics.count(Counter::Attempts);
        let events = self.parts.events.clone();
        let run = backend::run(self.parts.backend.clone(), dispatch, events);
        self.runs.insert(id, smol::spawn(run));
    }

    /// Closes the connection of an attempt and tells the engine to stop it.
    fn stop(&mut self, id: AttemptId) {
        let was_running = self.runs.remove(&id).is_some();
        if was_running && self.parts.backend.kind() == BackendKind::Engine {
            let backend = self.parts.backend.clone();
            smol::spawn(async move { backend.cancel(id).await }).detach();
        }
    }

    /// Lets the task of an attempt that has ended run out.
    fn forget(&mut self, id: AttemptId) {
        if let Some(task) = self.runs.remove(&id) {
            task.detach();
        }
    }

    fn list_cache(&self) {
        if self.parts.backend.kind() == BackendKind::Engine {
            let list = backend::list_cache(self.parts.backend.clone(), self.parts.events.clone());
            smol::spawn(list).detach();
        }
    }

    /// Tells every watcher, and later ones, of a fingerprint that ran when the
    /// engine died.
    fn spread(&mut self, notice: PoisonNotice) {
        let others = |known: &PoisonNotice| known.fingerprint != notice.fingerprint;
        self.notices.retain(others);
        if self.notices.len() >= MAX_NOTICES {
            self.notices.pop_front();
        }
        self.notices.push_back(notice);
        self.links.tell_watchers(&Message::Poison(notice));
        // Nobody listens in a process without a platform.
        let _ = self.parts.crashes.try_send(notice);
    }
}
