//! Engine stand-in that serves the OpenAI API.

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
    /// Address to listen on; port 0 picks a free one.
    pub address: net::SocketAddr,
    /// Id of its first boot. Each restart adds one.
    pub boot: BootId,
    /// Weights loaded at the start.
    pub weights: WeightsVersion,
    /// Words in each answer.
    pub words: usize,
    /// Time to decode one word.
    pub pace: time::Duration,
    /// Time to prefill one uncached token.
    pub prefill: time::Duration,
    /// Capacity of the prefix cache.
    pub cache: Pieces,
    /// Requests that run at once. Others wait, the most urgent first.
    pub slots: usize,
    /// Age of a status answer when it is sent.
    pub status_delay: time::Duration,
    /// Time to load weights.
    pub load_time: time::Duration,
    /// Whether it refuses an order with a lower fencing number than an earlier
    /// one.
    pub checks_fencing: bool,
    /// Time from a crash caused by a request to the restart.
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

/// Engine stand-in. Dropping it stops the server.
pub struct Engine {
    state: Arc<State>,
    server: Arc<Server>,
    _supervisor: smol::Task<()>,
}

impl Engine {
    /// Starts an engine and listens.
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

    /// The address it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    // -----------------------------------------------------------------------
    // Faults

    /// Simulates a crash: cuts every connection and closes the listener.
    pub async fn crash(&self) {
        self.server.crash().await;
        self.state.reboot();
    }

    /// Listens again after [`Engine::crash`], with the next boot id and an empty
    /// cache.
    ///
    /// # Errors
    /// An I/O error when another process has taken its address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Stops processing while connections stay open.
    pub async fn freeze(&self) {
        self.state.gate.close().await;
    }

    /// Resumes after [`Engine::freeze`].
    pub async fn thaw(&self) {
        self.state.gate.open().await;
    }

    /// Sets the time to decode one word.
    pub fn set_pace(&self, pace: time::Duration) {
        self.state.switches(|switches| switches.pace = Some(pace));
    }

    /// Delays the start of every answer by this much.
    pub fn delay_answers(&self, delay: time::Duration) {
        self.state.switches(|switches| switches.delay = delay);
    }

    /// Queues a fault; each new stream takes one from the queue.
    pub fn fail_stream(&self, fault: StreamFault) {
        self.state
            .switches(|switches| switches.stream_faults.push_back(fault));
    }

    /// Answers the next request with this HTTP status without reading it.
    pub fn refuse_next(&self, status: u16) {
        self.state
            .switches(|switches| switches.refusals.push_back(status));
    }

    /// Crashes on every request whose body contains this text, and restarts.
    pub fn crash_on(&self, text: &str) {
        self.state
            .switches(|switches| switches.poison = Some(text.to_owned()));
    }

    /// Drops the next `count` cache events, which leaves a gap in the numbers.
    pub fn lose_events(&self, count: u64) {
        self.state.switches(|switches| switches.lost_events = count);
    }

    /// Delays each cache event by this much.
    pub fn delay_events(&self, delay: time::Duration) {
        self.state.switches(|switches| switches.event_delay = delay);
    }

    /// Loads these weights, which empties the cache.
    pub fn load_weights(&self, weights: WeightsVersion) {
        self.state.load_weights(weights);
    }

    /// Starts to leave: running requests finish and new ones are refused.
    pub fn leave(&self) {
        self.state.boot(|boot| boot.leaving = true);
    }

    // -----------------------------------------------------------------------
    // State and counters

    /// Id of the current boot.
    pub fn boot(&self) -> BootId {
        self.state.boot(|boot| boot.id)
    }

    /// Requests that started to run, over all boots.
    pub fn runs(&self) -> u64 {
        self.state.counters(|counters| counters.runs)
    }

    /// Requests that are running.
    pub fn running(&self) -> u32 {
        self.state.boot(|boot| boot.running)
    }

    /// Prompt tokens that wait for a slot or are being prefilled.
    pub fn waiting(&self) -> Tokens {
        self.state.boot(|boot| boot.waiting)
    }

    /// Requests that were cancelled or whose reader went away, over all boots.
    pub fn cancelled(&self) -> u64 {
        self.state.counters(|counters| counters.cancelled)
    }

    /// Prompt tokens that were prefilled, over all boots.
    pub fn prefilled(&self) -> Tokens {
        self.state.counters(|counters| counters.prefilled)
    }

    /// Cached pieces, sorted.
    pub fn cached(&self) -> Vec<PieceHash> {
        self.state.boot(|boot| boot.cache.pieces())
    }

    /// Orders carried out in the current boot.
    pub fn orders(&self) -> Vec<AppliedOrder> {
        self.state.boot(|boot| boot.orders.clone())
    }
}

/// Crashes and restarts the engine when a request asks for it.
async fn supervise(state: Arc<State>, server: Arc<Server>, crashes: smol::channel::Receiver<()>) {
    while crashes.recv().await.is_ok() {
        server.crash().await;
        state.reboot();
        smol::Timer::after(state.settings.restart_time).await;
        if let Err(error) = server.restart().await {
            log::error!("cannot restart an engine stand-in: {error}");
        }
    }
}
