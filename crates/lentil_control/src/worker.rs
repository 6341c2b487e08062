//! Feeds the policies and carries out their commands.

use std::{net, sync::Arc, time};

use lentil_platform::{GuardedStore, Instance, InstanceList, Object, ObjectStore as _, StoreError};
use lentil_policy::{
    config_sync::{Command, ConfigSync, Doc, Document, Event, KnownVersion, Peer, Settings},
    membership::{self, Membership},
    store::ObjectVersion,
};
use lentil_process::Clock;
use lentil_types::{BootId, Instant, NodeName, PlaceName, RegionName, RunnerState};
use lentil_wire::{Identity, Message, Sync, Synced, WireError};
use rand::{RngExt as _, SeedableRng as _};
use smol::channel::{Receiver, Sender};

use crate::{AppliedDocument, listener::Question, peer_links::PeerLinks, shared::Shared};

/// Time between two looks at the instance list.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(30);
/// The same, while it has named nobody.
const FIRST_LIST_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Bytes that HTTP/2 and TCP add to a message and its answer.
const FRAME_BYTES: usize = 120;
/// Data centre under which the peers of the settings stand.
const SEED_PLACE: &str = "seed";

/// What reaches the worker.
pub(crate) enum Input {
    /// The store answered a read or watch.
    Stored(Doc, Result<Option<Object>, StoreError>),
    /// A peer answered, or did not.
    Synced(NodeName, Result<Synced, WireError>),
    /// The instance list was read.
    Listed(Result<Vec<Instance>, StoreError>),
    /// A peer asks.
    Asked(Question),
}

/// What a worker works with.
pub(crate) struct Parts {
    pub(crate) boot: BootId,
    pub(crate) region: RegionName,
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) store: Arc<GuardedStore>,
    pub(crate) instances: Arc<dyn InstanceList>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: Clock,
    pub(crate) inputs: Sender<Input>,
    pub(crate) applies: Sender<AppliedDocument>,
}

/// A question that waits for something newer.
struct Waiting {
    known: Vec<KnownVersion>,
    until: Instant,
    answer: Sender<Synced>,
}

struct Worker {
    parts: Parts,
    place: PlaceName,
    sync: ConfigSync,
    members: Membership,
    links: Arc<PeerLinks>,
    waiting: Vec<Waiting>,
    next_list: Instant,
    rng: rand_pcg::Pcg64Mcg,
}

/// Runs until every sender of inputs is gone.
pub(crate) async fn run(parts: Parts, settings: Settings, inbox: Receiver<Input>) {
    let clock = parts.clock;
    let mut worker = Worker::new(parts, settings);
    worker.tell_peers(clock.now());
    loop {
        let now = clock.now();
        worker.work(now);
        let wake = worker.next_wake(now);
        match next_input(&inbox, &clock, wake).await {
            Some(Ok(input)) => worker.take_in(clock.now(), input),
            Some(Err(_)) => return,
            None => {}
        }
    }
}

async fn next_input(
    inbox: &Receiver<Input>,
    clock: &Clock,
    wake: Instant,
) -> Option<Result<Input, smol::channel::RecvError>> {
    let input = async { Some(inbox.recv().await) };
    let timer = async {
        smol::Timer::after(clock.until(wake)).await;
        None
    };
    smol::future::or(input, timer).await
}

impl Worker {
    fn new(parts: Parts, settings: Settings) -> Self {
        let now = parts.clock.now();
        Self {
            place: settings.place.clone(),
            sync: ConfigSync::new(settings, now),
            members: Membership::new(membership::Settings::default()),
            links: Arc::new(PeerLinks::new(parts.identity.clone())),
            waiting: Vec::new(),
            next_list: now,
            rng: rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng()),
            parts,
        }
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let held = self.waiting.iter().map(|waiting| waiting.until).min();
        let wake = self.sync.next_wake(now).min(self.next_list);
        held.map_or(wake, |held| held.min(wake))
    }

    fn work(&mut self, now: Instant) {
        if now >= self.next_list {
            self.list(now);
        }
        if self.members.tick(now) {
            self.tell_peers(now);
        }
        let commands = self.sync.tick(now, &mut self.rng);
        // Whoever gets a document finds the agent ready.
        self.show(now);
        for command in commands {
            self.carry_out(now, command);
        }
        self.answer(now);
    }

    // -----------------------------------------------------------------------
    // Inputs

    fn take_in(&mut self, now: Instant, input: Input) {
        match input {
            Input::Stored(doc, result) => self.on_stored(now, doc, result),
            Input::Synced(node, result) => self.on_synced(now, node, result),
            Input::Listed(Ok(list)) => self.on_listed(now, list),
            Input::Listed(Err(error)) => log::debug!("no instance list: {error}"),
            Input::Asked(question) => self.on_asked(now, question),
        }
    }

    fn on_stored(&mut self, now: Instant, doc: Doc, result: Result<Option<Object>, StoreError>) {
        let event = match result {
            Ok(found) => {
                let found = found.filter(|object| object.version != ObjectVersion(0));
                let document = found.map(|object| Document::new(object.version, object.value));
                Event::StoreAnswered(doc, document)
            }
            Err(error) => {
                log::debug!(doc:% = doc; "the store failed: {error}");
                Event::StoreFailed(doc)
            }
        };
        self.sync.on_event(now, event);
    }

    fn on_synced(&mut self, now: Instant, node: NodeName, result: Result<Synced, WireError>) {
        match result {
            Ok(synced) => {
                let size = size_of(Message::Synced(synced.clone()));
                self.parts.shared.count_received(now, size);
                let reported = membership::Event::Reported {
                    node: node.clone(),
                    boot: synced.boot,
                    state: synced.state,
                };
                self.members.on_event(now, reported);
                self.sync.on_event(now, Event::Replied(node, synced.reply));
            }
            Err(error) => {
                log::debug!(peer:% = node; "a peer did not answer: {error}");
                let unanswered = membership::Event::Unanswered(node.clone());
                self.members.on_event(now, unanswered);
                self.sync.on_event(now, Event::Unanswered(node));
            }
        }
    }

    fn on_listed(&mut self, now: Instant, list: Vec<Instance>) {
        let listed = |instance: Instance| membership::ListedProcess {
            node: instance.node,
            place: instance.place,
            address: instance.address,
            state: instance.state,
        };
        let list = list.into_iter().map(listed).collect();
        self.members.on_event(now, membership::Event::Listed(list));
    }

    fn on_asked(&mut self, now: Instant, question: Question) {
        let size = size_of(Message::Sync(question.sync.clone()));
        self.parts.shared.count_received(now, size);
        self.waiting.push(Waiting {
            known: question.sync.known,
            until: now + question.sync.wait,
            answer: question.answer,
        });
    }

    // -----------------------------------------------------------------------
    // Commands

    fn carry_out(&self, now: Instant, command: Command) {
        match command {
            Command::Watch { doc, after, wait } => self.watch(doc, after, wait),
            Command::Ask { peer, known, wait } => self.ask(now, peer, Sync { known, wait }),
            Command::Apply(doc, document) => {
                log::info!(doc:% = doc, version = document.version.0; "document in force");
                let applied = AppliedDocument {
                    doc,
                    version: document.version,
                    value: document.value,
                };
                // The process may not care for documents.
                let _ = self.parts.applies.try_send(applied);
            }
        }
    }

    fn watch(&self, doc: Doc, after: ObjectVersion, wait: time::Duration) {
        let (store, inputs) = (self.parts.store.clone(), self.parts.inputs.clone());
        let key = doc.key(&self.parts.region);
        let call = async move {
            let found = match wait {
                time::Duration::ZERO => store.read(&key).await.map(Some),
                wait => store.watch(&key, after, wait).await,
            };
            let _ = inputs.send(Input::Stored(doc, found)).await;
        };
        smol::spawn(call).detach();
    }

    fn ask(&self, now: Instant, peer: NodeName, sync: Sync) {
        let Some(address) = self.address(&peer) else {
            let missing = Err(WireError::StreamEnded("a known peer"));
            let _ = self.parts.inputs.try_send(Input::Synced(peer, missing));
            return;
        };
        let size = size_of(Message::Sync(sync.clone()));
        self.parts.shared.count_sent(now, size);
        let (links, inputs) = (self.links.clone(), self.parts.inputs.clone());
        let call = async move {
            let synced = links.request_sync(now, &peer, address, sync).await;
            let _ = inputs.send(Input::Synced(peer, synced)).await;
        };
        smol::spawn(call).detach();
    }

    fn list(&mut self, now: Instant) {
        let is_alone = self.members.usable().next().is_none();
        let period = if is_alone {
            FIRST_LIST_PERIOD
        } else {
            LIST_PERIOD
        };
        let spread = self.rng.random_range(0.75..1.25);
        self.next_list = now + period.mul_f64(spread);
        let (instances, inputs) = (self.parts.instances.clone(), self.parts.inputs.clone());
        let place = self.place.clone();
        let call = async move {
            let listed = instances.instances(Some(&place)).await;
            let _ = inputs.send(Input::Listed(listed)).await;
        };
        smol::spawn(call).detach();
    }

    /// Answers the questions whose wait is over or for which something is newer.
    fn answer(&mut self, now: Instant) {
        for waiting in std::mem::take(&mut self.waiting) {
            if now < waiting.until && !self.sync.has_newer(&waiting.known) {
                self.waiting.push(waiting);
                continue;
            }
            let synced = Synced {
                boot: self.parts.boot,
                state: RunnerState::Live,
                known: self.sync.known(),
                reply: self.sync.reply(now, &waiting.known),
            };
            let size = size_of(Message::Synced(synced.clone()));
            self.parts.shared.count_sent(now, size);
            // A peer that is gone needs no answer.
            let _ = waiting.answer.try_send(synced);
        }
    }

    // -----------------------------------------------------------------------
    // Peers

    fn tell_peers(&mut self, now: Instant) {
        // Which of them to pass over for their silence is for the sync to say.
        let members = self.members.usable();
        let member = |(node, member): (&NodeName, &membership::Member)| Peer {
            node: node.clone(),
            place: member.place.clone(),
        };
        let mut peers: Vec<_> = members.map(member).collect();
        let seed = |address: &net::SocketAddr| {
            let node = NodeName::new(&address.to_string()).ok()?;
            let place = PlaceName::new(SEED_PLACE).ok()?;
            Some(Peer { node, place })
        };
        peers.extend(self.parts.seeds.iter().filter_map(seed));
        self.sync.on_event(now, Event::Peers(peers));
    }

    fn address(&self, node: &NodeName) -> Option<net::SocketAddr> {
        let listed = self.members.get(node).map(|member| member.address);
        listed.or_else(|| {
            self.parts
                .seeds
                .iter()
                .copied()
                .find(|a| a.to_string() == **node)
        })
    }

    fn show(&self, now: Instant) {
        let age = self.sync.age(now).map(|age| age.as_millis());
        let known = self.sync.known();
        let versions = known
            .iter()
            .map(|known| (known.doc.to_string(), known.version.0.into()));
        let versions: serde_json::Map<_, _> = versions.collect();
        let mut view = self.parts.shared.lock();
        view.not_ready = self.sync.not_ready();
        view.dump = serde_json::json!({
            "versions": versions, "age_ms": age.map(|age| age as u64),
            "watches": self.sync.is_watcher(now), "waiting": self.waiting.len(),
            "members": {
                "joining": self.members.count(RunnerState::Joining),
                "live": self.members.count(RunnerState::Live),
                "leaving": self.members.count(RunnerState::Leaving),
                "gone": self.members.count(RunnerState::Gone),
            },
        });
    }
}

/// Bytes that a message takes on the network, about.
fn size_of(message: Message) -> usize {
    lentil_wire::encode(message).map_or(0, |frame| frame.len()) + FRAME_BYTES
}
