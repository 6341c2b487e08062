//! Feeds the policy and carries out its commands.

use std::{collections::HashMap, sync::Arc};

use lentil_policy::{queue, sidecar};
use lentil_process::Clock;
use lentil_types::AttemptId;
use lentil_wire::Message;
use smol::channel::{Receiver, Sender};

use crate::backend;

/// What reaches the driver.
pub(crate) enum Input {
    /// An event for the policy.
    Event(sidecar::Event),
    /// A new exchange; its messages go out through the sender.
    Opened(sidecar::LinkId, Sender<Message>),
}

struct Driver {
    backend: Arc<backend::Backend>,
    events: Sender<Input>,
    links: HashMap<sidecar::LinkId, Sender<Message>>,
    runs: HashMap<AttemptId, smol::Task<()>>,
}

/// Runs until every sender of events is gone.
pub(crate) async fn run(
    backend: Arc<backend::Backend>,
    inbox: Receiver<Input>,
    events: Sender<Input>,
) {
    let clock = Clock::start();
    let queue = Box::new(queue::Fifo::new(queue::FifoSettings::default()));
    let mut policy = sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue);
    let mut driver = Driver {
        backend,
        events,
        links: HashMap::new(),
        runs: HashMap::new(),
    };
    while let Ok(input) = inbox.recv().await {
        match input {
            Input::Event(event) => {
                if let sidecar::Event::LinkLost(link) = &event {
                    driver.links.remove(link);
                }
                policy.on_event(clock.now(), event);
            }
            Input::Opened(link, sender) => {
                driver.links.insert(link, sender);
            }
        }
        for command in policy.tick(clock.now()) {
            driver.carry_out(command);
        }
    }
}

impl Driver {
    fn carry_out(&mut self, command: sidecar::Command) {
        use sidecar::Command;
        match command {
            Command::Bid(link, bid) => self.send(link, Message::Bid(bid)),
            Command::Run(dispatch) => self.start(*dispatch),
            Command::Stop(id) => drop(self.runs.remove(&id)),
            Command::Started(link, started) => self.send(link, Message::Started(started)),
            Command::Piece(link, piece) => self.send(link, Message::Piece(piece)),
            Command::End(link, end) => {
                self.forget(end.id);
                self.send(link, Message::End(end));
                self.links.remove(&link);
            }
            Command::Fail(link, failed) => {
                self.forget(failed.id);
                self.send(link, Message::Failed(failed));
                self.links.remove(&link);
            }
            Command::Withdrawn(link, withdrawn) => self.send(link, Message::Withdrawn(withdrawn)),
            Command::ListCache | Command::Poison { .. } => {}
        }
    }

    fn start(&mut self, dispatch: lentil_policy::protocol::Dispatch) {
        let id = dispatch.offer.id;
        let run = backend::run(self.backend.clone(), dispatch, self.events.clone());
        self.runs.insert(id, smol::spawn(run));
    }

    /// Lets the task of an attempt that has ended run out.
    fn forget(&mut self, id: AttemptId) {
        if let Some(task) = self.runs.remove(&id) {
            task.detach();
        }
    }

    fn send(&self, link: sidecar::LinkId, message: Message) {
        if let Some(sender) = self.links.get(&link) {
            // A closed link is reported by its own task.
            let _ = sender.try_send(message);
        }
    }
}
