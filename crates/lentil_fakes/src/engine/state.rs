//! The state of an engine stand-in and the faults to inject.

use std::{collections::VecDeque, sync::Mutex, time};

use lentil_types::{BootId, FencingNumber, PieceHash, Tokens, WeightsVersion};
use smol::channel::{Receiver, Sender};

use crate::{engine, server::Gate};

use super::{cache::PrefixCache, slots::Slots};

/// Cache events buffered per subscriber; further ones are dropped.
const EVENT_BUFFER: usize = 1_024;

/// A fault in one streamed answer. The number is the index of the chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// Cuts the connection before this chunk.
    Cut(usize),
    /// Ends the response normally before this chunk, without `[DONE]`.
    End(usize),
    /// Sends this chunk twice.
    Duplicate(usize),
    /// Omits this chunk.
    Skip(usize),
    /// Replaces this chunk by one of another request.
    Swap(usize),
    /// Sends neither this chunk nor any later one, and keeps the connection open.
    Stall(usize),
}

/// An order to an engine, as posted to `/orders`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Loads a model's weights, which empties the cache.
    Weights {
        /// Name of the model.
        model: String,
        /// Version of the weights.
        version: WeightsVersion,
    },
    /// Loads the adapter of this name.
    Adapter(String),
    /// Sets the engine's role, such as `prefill` or `decode`.
    Role(String),
}

/// An order that an engine has carried out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppliedOrder {
    /// Fencing number sent with the order.
    pub fencing: FencingNumber,
    /// The order that was carried out.
    pub order: Order,
}

/// A cache event in the form in which it is sent.
#[derive(Clone, Debug)]
pub(super) struct SentEvent {
    pub(super) number: u64,
    pub(super) data: String,
}

/// State of one boot, which is lost in a crash.
pub(super) struct Boot {
    pub(super) id: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) cache: PrefixCache,
    pub(super) last_event: u64,
    pub(super) running: u32,
    /// Prompt tokens that wait for a slot or are being prefilled.
    pub(super) waiting: Tokens,
    pub(super) leaving: bool,
    pub(super) orders: Vec<AppliedOrder>,
    subscribers: Vec<Sender<SentEvent>>,
}

/// Faults and delays set by a test.
#[derive(Default)]
pub(super) struct Switches {
    pub(super) pace: Option<time::Duration>,
    pub(super) delay: time::Duration,
    pub(super) stream_faults: VecDeque<StreamFault>,
    pub(super) refusals: VecDeque<u16>,
    pub(super) poison: Option<String>,
    pub(super) lost_events: u64,
    pub(super) event_delay: time::Duration,
}

/// Counters for tests. They survive a crash.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) runs: u64,
    pub(super) cancelled: u64,
    pub(super) prefilled: Tokens,
}

/// Shared state of an engine stand-in.
pub(super) struct State {
    pub(super) settings: engine::EngineSettings,
    pub(super) boot: Mutex<Boot>,
    pub(super) switches: Mutex<Switches>,
    pub(super) counters: Mutex<Counters>,
    pub(super) cancels: Mutex<Vec<(String, Sender<()>)>>,
    pub(super) gate: Gate,
    pub(super) slots: Slots,
    /// Tells the supervisor to crash and restart this engine.
    pub(super) crash: Sender<()>,
}

impl State {
    pub(super) fn new(settings: engine::EngineSettings, crash: Sender<()>) -> Self {
        Self {
            boot: Mutex::new(Boot::new(&settings, settings.boot)),
            switches: Mutex::default(),
            counters: Mutex::default(),
            cancels: Mutex::default(),
            gate: Gate::default(),
            slots: Slots::new(settings.slots),
            crash,
            settings,
        }
    }

    pub(super) fn boot<T>(&self, use_boot: impl FnOnce(&mut Boot) -> T) -> T {
        use_boot(&mut self.boot.lock().expect("no holder panics"))
    }

    pub(super) fn switches<T>(&self, use_switches: impl FnOnce(&mut Switches) -> T) -> T {
        use_switches(&mut self.switches.lock().expect("no holder panics"))
    }

    pub(super) fn counters<T>(&self, use_counters: impl FnOnce(&mut Counters) -> T) -> T {
        use_counters(&mut self.counters.lock().expect("no holder panics"))
    }

    /// Starts the next boot, with an empty cache.
    pub(super) fn reboot(&self) {
        self.boot(|boot| *boot = Boot::new(&self.settings, BootId(boot.id.0 + 1)));
    }

    /// Inserts pieces into the cache and publishes the changes.
    pub(super) fn store(&self, salt: &str, pieces: &[PieceHash]) {
        let changes = self.boot(|boot| boot.cache.insert(salt, pieces));
        self.publish("stored", &changes.stored);
        self.publish("evicted", &changes.evicted);
    }

    /// Loads weights and empties the cache of the previous ones.
    pub(super) fn load_weights(&self, version: WeightsVersion) {
        let evicted = self.boot(|boot| {
            boot.weights = version;
            boot.cache.clear()
        });
        self.publish("evicted", &evicted);
    }

    /// Subscribes to the cache events from now on.
    pub(super) fn subscribe_events(&self) -> Receiver<SentEvent> {
        let (sender, receiver) = smol::channel::bounded(EVENT_BUFFER);
        self.boot(|boot| boot.subscribers.push(sender));
        receiver
    }

    fn publish(&self, change: &str, pieces: &[PieceHash]) {
        if pieces.is_empty() {
            return;
        }
        let lost = self.switches(|switches| {
            let lost = switches.lost_events > 0;
            switches.lost_events -= u64::from(lost);
            lost
        });
        self.boot(|boot| {
            boot.last_event += 1;
            if lost {
                return;
            }
            let data = serde_json::json!({ "boot": boot.id, change: pieces });
            let event = SentEvent {
                number: boot.last_event,
                data: data.to_string(),
            };
            // A subscriber whose buffer is full sees a gap in the event numbers.
            boot.subscribers
                .retain(|subscriber| !subscriber.is_closed());
            for subscriber in &boot.subscribers {
                let _ = subscriber.try_send(event.clone());
            }
        });
    }
}

impl Boot {
    fn new(settings: &engine::EngineSettings, id: BootId) -> Self {
        Self {
            id,
            weights: settings.weights,
            cache: PrefixCache::new(settings.cache),
            last_event: 0,
            running: 0,
            waiting: Tokens(0),
            leaving: false,
            orders: Vec::new(),
            subscribers: Vec::new(),
        }
    }
}
