//! What an engine holds and the switches on it.

use std::{collections::VecDeque, sync::Mutex, time};

use lentil_types::{BootId, FencingNumber, PieceHash, Tokens, WeightsVersion};
use smol::channel::{Receiver, Sender};

use crate::{engine, server::Gate};

use super::{cache::PrefixCache, slots::Slots};

/// Cache events that a reader may status_delay behind before it loses some.
const EVENT_BACKLOG: usize = 1_024;

/// What a stand-in does to one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// Breaks the connection off before this piece.
    Cut(usize),
    /// Ends the stream in good order before this piece, without `[DONE]`.
    End(usize),
    /// Sends this piece twice.
    Duplicate(usize),
    /// Leaves this piece out.
    Skip(usize),
    /// Sends a piece of another request in place of this one.
    Foreign(usize),
    /// Sends nothing more from this piece on.
    Stall(usize),
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Loads weights of a model, which empties the cache.
    Weights {
        /// The model.
        model: String,
        /// Version of its weights.
        version: WeightsVersion,
    },
    /// Loads an adapter.
    Adapter(String),
    /// Takes a role, such as `prefill` or `decode`.
    Role(String),
}

/// An order that an engine has carried out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AppliedOrder {
    /// Fencing number that it carried.
    pub fencing: FencingNumber,
    /// The order.
    pub order: Order,
}

/// A cache event as it is sent.
#[derive(Clone, Debug)]
pub(super) struct SentEvent {
    pub(super) number: u64,
    pub(super) data: String,
}

/// What dies with an engine.
pub(super) struct Life {
    pub(super) boot: BootId,
    pub(super) weights: WeightsVersion,
    pub(super) cache: PrefixCache,
    pub(super) last_event: u64,
    pub(super) running: u32,
    pub(super) waiting: Tokens,
    pub(super) leaving: bool,
    pub(super) orders: Vec<AppliedOrder>,
    readers: Vec<Sender<SentEvent>>,
}

/// Switches of a test.
#[derive(Default)]
pub(super) struct Switches {
    pub(super) pace: Option<time::Duration>,
    pub(super) delay: time::Duration,
    pub(super) streams: VecDeque<StreamFault>,
    pub(super) refusals: VecDeque<u16>,
    pub(super) poison: Option<String>,
    pub(super) lost_events: u64,
    pub(super) event_delay: time::Duration,
}

/// What a test may ask afterwards. It outlives a crash.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) runs: u64,
    pub(super) cancelled: u64,
    pub(super) prefilled: Tokens,
}

/// An engine's state.
pub(super) struct State {
    pub(super) settings: engine::EngineSettings,
    pub(super) life: Mutex<Life>,
    pub(super) switches: Mutex<Switches>,
    pub(super) counters: Mutex<Counters>,
    pub(super) cancels: Mutex<Vec<(String, Sender<()>)>>,
    pub(super) gate: Gate,
    pub(super) slots: Slots,
    /// Asks the supervisor to crash this engine.
    pub(super) crash: Sender<()>,
}

impl State {
    pub(super) fn new(settings: engine::EngineSettings, crash: Sender<()>) -> Self {
        Self {
            life: Mutex::new(Life::new(&settings, settings.boot)),
            switches: Mutex::default(),
            counters: Mutex::default(),
            cancels: Mutex::default(),
            gate: Gate::default(),
            slots: Slots::new(settings.slots),
            crash,
            settings,
        }
    }

    pub(super) fn life<T>(&self, use_life: impl FnOnce(&mut Life) -> T) -> T {
        use_life(&mut self.life.lock().expect("no holder panics"))
    }

    pub(super) fn switches<T>(&self, use_switches: impl FnOnce(&mut Switches) -> T) -> T {
        use_switches(&mut self.switches.lock().expect("no holder panics"))
    }

    pub(super) fn counters<T>(&self, use_counters: impl FnOnce(&mut Counters) -> T) -> T {
        use_counters(&mut self.counters.lock().expect("no holder panics"))
    }

    /// Begins a new life with an empty cache.
    pub(super) fn reboot(&self) {
        self.life(|life| *life = Life::new(&self.settings, BootId(life.boot.0 + 1)));
    }

    /// Puts pieces into the cache and tells the readers of cache events.
    pub(super) fn store(&self, salt: &str, pieces: &[PieceHash]) {
        let changed = self.life(|life| life.cache.insert(salt, pieces));
        self.publish("stored", &changed.stored);
        self.publish("evicted", &changed.evicted);
    }

    /// Loads weights and drops the cache of the ones before.
    pub(super) fn load_weights(&self, version: WeightsVersion) {
        let evicted = self.life(|life| {
            life.weights = version;
            life.cache.clear()
        });
        self.publish("evicted", &evicted);
    }

    /// Every cache event from now on.
    pub(super) fn follow_events(&self) -> Receiver<SentEvent> {
        let (sender, receiver) = smol::channel::bounded(EVENT_BACKLOG);
        self.life(|life| life.readers.push(sender));
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
        self.life(|life| {
            life.last_event += 1;
            if lost {
                return;
            }
            let data = serde_json::json!({ "boot": life.boot, change: pieces });
            let event = SentEvent {
                number: life.last_event,
                data: data.to_string(),
            };
            // A reader whose backlog is full has a gap in its numbers.
            life.readers.retain(|reader| !reader.is_closed());
            for reader in &life.readers {
                let _ = reader.try_send(event.clone());
            }
        });
    }
}

impl Life {
    fn new(settings: &engine::EngineSettings, boot: BootId) -> Self {
        Self {
            boot,
            weights: settings.weights,
            cache: PrefixCache::new(settings.cache),
            last_event: 0,
            running: 0,
            waiting: Tokens(0),
            leaving: false,
            orders: Vec::new(),
            readers: Vec::new(),
        }
    }
}
