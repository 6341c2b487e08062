//! Stand-in for an engine that speaks the OpenAI API.

mod answer;
mod api;
mod cache;
mod request;
mod slots;
mod state;

use std::{io, net, sync::Arc, time};

use lentil_types::{BootId, PieceHash, Pieces, Tokens, WeightsVersion};

use crate::server::Server;

pub use state::{AppliedOrder, Order, StreamFault};

use state::State;

/// Settings of an [`Engine`].
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens; port 0 takes a free one.
    pub address: net::SocketAddr,
    /// Its first life. Each restart adds one.
    pub boot: BootId,
    /// Weights that it has loaded when it starts.
    pub weights: WeightsVersion,
    /// Words in each answer.
    pub words: usize,
    /// Time to compute one word.
    pub pace: time::Duration,
    /// Time to compute one token of a prompt that is not cached.
    pub prefill: time::Duration,
    /// Pieces that the prefix cache holds.
    pub cache: Pieces,
    /// Requests that run at once. The others wait, the most urgent first.
    pub slots: usize,
    /// Age of what the status page says.
    pub status_delay: time::Duration,
    /// Time to load weights.
    pub load_time: time::Duration,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// Time from a crash that a request brought about to the restart.
    pub restart_time: time::Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            boot: BootId(1),
            weights: WeightsVersion(1),
            words: 8,
            pace: time::Duration::from_millis(1),
            prefill: time::Duration::from_micros(5),
            cache: Pieces(4_000),
            slots: 16,
            status_delay: time::Duration::ZERO,
            load_time: time::Duration::ZERO,
            checks_fencing: true,
            restart_time: time::Duration::from_millis(50),
        }
    }
}

/// Stand-in for an engine. It stops when dropped.
pub struct Engine {
    state: Arc<State>,
    server: Arc<Server>,
    _supervisor: smol::Task<()>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub fn start(settings: EngineSettings) -> io::Result<Self> {
        let (crash, crashes) = smol::channel::bounded(1);
        let address = settings.address;
        let state = Arc::new(State::new(settings, crash));
        let server = Arc::new(Server::start(address, api::handler(&state))?);
        let supervisor = smol::spawn(supervise(state.clone(), server.clone(), crashes));
        Ok(Self {
            state,
            server,
            _supervisor: supervisor,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Dies: every stream is cut and nothing listens.
    pub async fn crash(&self) {
        self.server.crash().await;
        self.state.reboot();
    }

    /// Comes back after [`Engine::crash`] with another boot id and an empty
    /// cache.
    ///
    /// # Errors
    /// An I/O error when another process has taken its address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops doing anything while connections stay open.
    pub async fn freeze(&self) {
        self.state.gate.close().await;
    }

    /// Goes on after [`Engine::freeze`].
    pub async fn thaw(&self) {
        self.state.gate.open().await;
    }

    /// Sets the time to compute one word.
    pub fn set_pace(&self, pace: time::Duration) {
        self.state.switches(|switches| switches.pace = Some(pace));
    }

    /// Makes every answer begin later by this much.
    pub fn delay_answers(&self, delay: time::Duration) {
        self.state.switches(|switches| switches.delay = delay);
    }

    /// Spoils the next stream that has no fault yet.
    pub fn fail_stream(&self, fault: StreamFault) {
        self.state
            .switches(|switches| switches.streams.push_back(fault));
    }

    /// Answers the next request with this HTTP status, unread.
    pub fn refuse_next(&self, status: u16) {
        self.state
            .switches(|switches| switches.refusals.push_back(status));
    }

    /// Crashes at every request whose body has this text, and restarts.
    pub fn crash_on(&self, text: &str) {
        self.state
            .switches(|switches| switches.poison = Some(text.to_owned()));
    }

    /// Loses the next cache events; their numbers are missing.
    pub fn lose_events(&self, count: u64) {
        self.state.switches(|switches| switches.lost_events = count);
    }

    /// Makes each cache event later by this much.
    pub fn delay_events(&self, delay: time::Duration) {
        self.state.switches(|switches| switches.event_delay = delay);
    }

    /// Loads other weights.
    pub fn load_weights(&self, weights: WeightsVersion) {
        self.state.load_weights(weights);
    }

    /// Begins to leave: it finishes what runs and refuses what comes.
    pub fn leave(&self) {
        self.state.life(|life| life.leaving = true);
    }

    // -----------------------------------------------------------------------
    // What it saw

    /// Which life it is in.
    pub fn boot(&self) -> BootId {
        self.state.life(|life| life.boot)
    }

    /// Requests that began to run, over all lives.
    pub fn runs(&self) -> u64 {
        self.state.counters(|counters| counters.runs)
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.state.life(|life| life.running)
    }

    /// Prompt tokens that wait or are being computed.
    pub fn waiting(&self) -> Tokens {
        self.state.life(|life| life.waiting)
    }

    /// Requests that were cancelled, over all lives.
    pub fn cancelled(&self) -> u64 {
        self.state.counters(|counters| counters.cancelled)
    }

    /// Prompt tokens that were computed, over all lives.
    pub fn prefilled(&self) -> Tokens {
        self.state.counters(|counters| counters.prefilled)
    }

    /// Pieces that are cached, sorted.
    pub fn cached(&self) -> Vec<PieceHash> {
        self.state.life(|life| life.cache.pieces())
    }

    /// Orders that it has carried out in this life.
    pub fn orders(&self) -> Vec<AppliedOrder> {
        self.state.life(|life| life.orders.clone())
    }
}

/// Carries out the crashes that requests bring about.
async fn supervise(state: Arc<State>, server: Arc<Server>, crashes: smol::channel::Receiver<()>) {
    while crashes.recv().await.is_ok() {
        server.crash().await;
        state.reboot();
        smol::Timer::after(state.settings.restart_time).await;
        if let Err(error) = server.restart().await {
            log::error!("a stand-in engine cannot restart: {error}");
        }
    }
}
