//! Feeds events to the policies and executes their commands.

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

use crate::{AppliedDocument, listener::SyncRequest, peer_links::PeerLinks, state::AgentState};

/// Mean time between reads of the instance list.
const LIST_PERIOD: time::Duration = time::Duration::from_secs(30);
/// The same, while no usable peer is known.
const FIRST_LIST_PERIOD: time::Duration = time::Duration::from_secs(2);
/// HTTP/2 and TCP overhead of a message and its answer.
const OVERHEAD_BYTES: usize = 120;
/// Stands for the unknown data centre of a seed peer.
const SEED_PLACE: &str = "seed";

pub(crate) enum Input {
    /// Result of a read or watch of the store.
    StoreResult(Doc, Result<Option<Object>, StoreError>),
    /// Result of a sync request to a peer.
    PeerResult(NodeName, Result<Synced, WireError>),
    Instances(Result<Vec<Instance>, StoreError>),
    SyncRequest(SyncRequest),
}

pub(crate) struct Context {
    pub(crate) boot: BootId,
    pub(crate) region: RegionName,
    pub(crate) identity: Identity,
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) store: Arc<GuardedStore>,
    pub(crate) instances: Arc<dyn InstanceList>,
    pub(crate) state: Arc<AgentState>,
    pub(crate) clock: Clock,
    pub(crate) inputs: Sender<Input>,
    pub(crate) applies: Sender<AppliedDocument>,
}

/// A peer's long poll, held until a document is newer or it expires.
struct LongPoll {
    known: Vec<KnownVersion>,
    deadline: Instant,
    reply: Sender<Synced>,
}

struct Worker {
    context: Context,
    place: PlaceName,
    sync: ConfigSync,
    members: Membership,
    links: Arc<PeerLinks>,
    long_polls: Vec<LongPoll>,
    next_list: Instant,
    rng: rand_pcg::Pcg64Mcg,
}

/// Runs until every sender of `inbox` is dropped.
pub(crate) async fn run(context: Context, settings: Settings, inbox: Receiver<Input>) {
    let clock = context.clock;
    let mut worker = Worker::new(context, settings);
    worker.update_peers(clock.now());
    loop {
        let now = clock.now();
        worker.tick(now);
        let wake = worker.next_wake(now);
        match next_input(&inbox, &clock, wake).await {
            Some(Ok(input)) => worker.on_input(clock.now(), input),
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
    fn new(context: Context, settings: Settings) -> Self {
        let now = context.clock.now();
        Self {
            place: settings.place.clone(),
            sync: ConfigSync::new(settings, now),
            members: Membership::new(membership::Settings::default()),
            links: Arc::new(PeerLinks::new(context.identity.clone())),
            long_polls: Vec::new(),
            next_list: now,
            rng: rand_pcg::Pcg64Mcg::from_rng(&mut rand::rng()),
            context,
        }
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let deadline = self.long_polls.iter().map(|poll| poll.deadline).min();
        let wake = self.sync.next_wake(now).min(self.next_list);
        deadline.map_or(wake, |deadline| deadline.min(wake))
    }

    fn tick(&mut self, now: Instant) {
        if now >= self.next_list {
            self.request_instances(now);
        }
        if self.members.tick(now) {
            self.update_peers(now);
        }
        let commands = self.sync.tick(now, &mut self.rng);
        // First, so that the receiver of an applied document finds the agent ready.
        self.publish_state(now);
        for command in commands {
            self.execute(now, command);
        }
        self.answer_long_polls(now);
    }

    // -----------------------------------------------------------------------
    // Inputs

    fn on_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::StoreResult(doc, result) => self.on_store_result(now, doc, result),
            Input::PeerResult(node, result) => self.on_peer_result(now, node, result),
            Input::Instances(Ok(list)) => self.on_instances(now, list),
            Input::Instances(Err(error)) => log::debug!("cannot read the instance list: {error}"),
            Input::SyncRequest(request) => self.on_sync_request(now, request),
        }
    }

    fn on_store_result(
        &mut self,
        now: Instant,
        doc: Doc,
        result: Result<Option<Object>, StoreError>,
    ) {
        let event = match result {
            Ok(found) => {
                let found = found.filter(|object| object.version != ObjectVersion(0));
                let document = found.map(|object| Document::new(object.version, object.value));
                Event::StoreAnswered(doc, document)
            }
            Err(error) => {
                log::debug!(doc:% = doc; "a store call failed: {error}");
                Event::StoreFailed(doc)
            }
        };
        self.sync.on_event(now, event);
    }

    fn on_peer_result(&mut self, now: Instant, node: NodeName, result: Result<Synced, WireError>) {
        match result {
            Ok(synced) => {
                let size = network_size(Message::Synced(synced.clone()));
                self.context.state.count_received(now, size);
                let report = membership::Event::Reported {
                    node: node.clone(),
                    boot: synced.boot,
                    state: synced.state,
                };
                self.members.on_event(now, report);
                self.sync.on_event(now, Event::Replied(node, synced.reply));
            }
            Err(error) => {
                log::debug!(peer:% = node; "a sync request to a peer failed: {error}");
                let unanswered = membership::Event::Unanswered(node.clone());
                self.members.on_event(now, unanswered);
                self.sync.on_event(now, Event::Unanswered(node));
            }
        }
    }

    fn on_instances(&mut self, now: Instant, list: Vec<Instance>) {
        let to_process = |instance: Instance| membership::ListedProcess {
            node: instance.node,
            place: instance.place,
            address: instance.address,
            state: instance.state,
        };
        let list = list.into_iter().map(to_process).collect();
        self.members.on_event(now, membership::Event::Listed(list));
    }

    fn on_sync_request(&mut self, now: Instant, request: SyncRequest) {
        let size = network_size(Message::Sync(request.sync.clone()));
        self.context.state.count_received(now, size);
        self.long_polls.push(LongPoll {
            known: request.sync.known,
            deadline: now + request.sync.wait,
            reply: request.reply,
        });
    }

    // -----------------------------------------------------------------------
    // Commands

    fn execute(&self, now: Instant, command: Command) {
        match command {
            Command::Watch { doc, after, wait } => self.watch(doc, after, wait),
            Command::Ask { peer, known, wait } => self.send_sync(now, peer, Sync { known, wait }),
            Command::Apply(doc, document) => {
                log::info!(doc:% = doc, version = document.version.0; "document in force");
                let applied = AppliedDocument {
                    doc,
                    version: document.version,
                    value: document.value,
                };
                // The process may have dropped the receiver.
                let _ = self.context.applies.try_send(applied);
            }
        }
    }

    fn watch(&self, doc: Doc, after: ObjectVersion, wait: time::Duration) {
        let (store, inputs) = (self.context.store.clone(), self.context.inputs.clone());
        let key = doc.key(&self.context.region);
        let call = async move {
            let found = match wait {
                time::Duration::ZERO => store.read(&key).await.map(Some),
                wait => store.watch(&key, after, wait).await,
            };
            let _ = inputs.send(Input::StoreResult(doc, found)).await;
        };
        smol::spawn(call).detach();
    }

    fn send_sync(&self, now: Instant, peer: NodeName, sync: Sync) {
        let Some(address) = self.address(&peer) else {
            let unknown = Err(WireError::StreamEnded("a known peer"));
            let _ = self
                .context
                .inputs
                .try_send(Input::PeerResult(peer, unknown));
            return;
        };
        let size = network_size(Message::Sync(sync.clone()));
        self.context.state.count_sent(now, size);
        let (links, inputs) = (self.links.clone(), self.context.inputs.clone());
        let call = async move {
            let synced = links.request_sync(now, &peer, address, sync).await;
            let _ = inputs.send(Input::PeerResult(peer, synced)).await;
        };
        smol::spawn(call).detach();
    }

    fn request_instances(&mut self, now: Instant) {
        let is_alone = self.members.usable().next().is_none();
        let period = if is_alone {
            FIRST_LIST_PERIOD
        } else {
            LIST_PERIOD
        };
        let jitter = self.rng.random_range(0.75..1.25);
        self.next_list = now + period.mul_f64(jitter);
        let (instances, inputs) = (self.context.instances.clone(), self.context.inputs.clone());
        let place = self.place.clone();
        let call = async move {
            let list = instances.instances(Some(&place)).await;
            let _ = inputs.send(Input::Instances(list)).await;
        };
        smol::spawn(call).detach();
    }

    /// Answers long polls that expired or for which a document is newer.
    fn answer_long_polls(&mut self, now: Instant) {
        for poll in std::mem::take(&mut self.long_polls) {
            if now < poll.deadline && !self.sync.has_newer(&poll.known) {
                self.long_polls.push(poll);
                continue;
            }
            let synced = Synced {
                boot: self.context.boot,
                state: RunnerState::Live,
                known: self.sync.known(),
                reply: self.sync.reply(now, &poll.known),
            };
            let size = network_size(Message::Synced(synced.clone()));
            self.context.state.count_sent(now, size);
            // Fails when the peer has closed the request.
            let _ = poll.reply.try_send(synced);
        }
    }

    // -----------------------------------------------------------------------
    // Peers

    fn update_peers(&mut self, now: Instant) {
        // Includes members that do not answer: ConfigSync decides which to skip.
        let members = self.members.usable();
        let to_peer = |(node, member): (&NodeName, &membership::Member)| Peer {
            node: node.clone(),
            place: member.place.clone(),
        };
        let mut peers: Vec<_> = members.map(to_peer).collect();
        let seed = |address: &net::SocketAddr| {
            let node = NodeName::new(&address.to_string()).ok()?;
            let place = PlaceName::new(SEED_PLACE).ok()?;
            Some(Peer { node, place })
        };
        peers.extend(self.context.seeds.iter().filter_map(seed));
        self.sync.on_event(now, Event::Peers(peers));
    }

    fn address(&self, node: &NodeName) -> Option<net::SocketAddr> {
        let address = self.members.get(node).map(|member| member.address);
        address.or_else(|| {
            self.context
                .seeds
                .iter()
                .copied()
                .find(|a| a.to_string() == **node)
        })
    }

    fn publish_state(&self, now: Instant) {
        let age = self.sync.age(now).map(|age| age.as_millis());
        let known = self.sync.known();
        let versions = known
            .iter()
            .map(|known| (known.doc.to_string(), known.version.0.into()));
        let versions: serde_json::Map<_, _> = versions.collect();
        let mut snapshot = self.context.state.lock();
        snapshot.not_ready = self.sync.not_ready();
        snapshot.dump = serde_json::json!({
            "versions": versions, "age_ms": age.map(|age| age as u64),
            "watches": self.sync.is_watcher(now), "waiting": self.long_polls.len(),
            "members": {
                "joining": self.members.count(RunnerState::Joining),
                "live": self.members.count(RunnerState::Live),
                "leaving": self.members.count(RunnerState::Leaving),
                "gone": self.members.count(RunnerState::Gone),
            },
        });
    }
}

/// Approximate network size of a message, in bytes.
fn network_size(message: Message) -> usize {
    lentil_wire::encode(message).map_or(0, |frame| frame.len()) + OVERHEAD_BYTES
}
