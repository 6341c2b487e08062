//! Parameters of the simulated runners and network.

use std::time;

use lentil_policy::cache;
use lentil_types::{Class, Pieces, TokenRate, Tokens};

use crate::Region;

/// Parameters of a runner, its events and the network.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    /// Prefill rate of a runner, over all its requests.
    pub prefill: TokenRate,
    /// Decode rate of each answer of a runner.
    pub decode: TokenRate,
    /// Decode rate during a prefill, as a fraction of `decode`.
    pub decode_share: f64,
    /// Prompt tokens of one prefill chunk.
    pub chunk: Tokens,
    /// Pieces that a runner's KV cache holds.
    pub capacity: Pieces,
    /// Length of a simulation step of a runner.
    pub step: time::Duration,
    /// Shortest and longest delay of a cache event.
    pub event_lag: [time::Duration; 2],
    /// Probability that a cache event is lost.
    pub event_loss: f64,
    /// Time between two load reports of a runner.
    pub load_period: time::Duration,
    /// Delay of a load report.
    pub load_lag: time::Duration,
    /// One-way latency between processes in the same data centre.
    pub near: time::Duration,
    /// One-way latency between processes in different data centres.
    pub far: time::Duration,
    /// Time from a runner's crash until it is up again.
    pub restart: time::Duration,
    /// Pieces that the KV keeper holds.
    pub keeper_capacity: Pieces,
    /// Uses of a piece at a runner from which it is exported to the keeper.
    pub export_uses: u32,
    /// Cost of an import from the keeper.
    pub import: cache::ImportCost,
    /// Time that a plain call runs at its backend server.
    pub plain_time: time::Duration,
    /// Number of entries.
    pub entries: usize,
}

impl Model {
    /// The parameters of a region.
    pub fn new(region: Region) -> Self {
        let dalton = Self {
            prefill: TokenRate(6_000.0),
            decode: TokenRate(60.0),
            decode_share: 0.7,
            chunk: Tokens(512),
            capacity: Pieces(512),
            step: time::Duration::from_millis(5),
            event_lag: [
                time::Duration::from_millis(50),
                time::Duration::from_millis(500),
            ],
            event_loss: 0.005,
            load_period: time::Duration::from_millis(500),
            load_lag: time::Duration::from_millis(250),
            near: time::Duration::from_micros(100),
            far: time::Duration::from_micros(500),
            restart: time::Duration::from_secs(5),
            keeper_capacity: Pieces(1_024),
            export_uses: 2,
            import: cache::ImportCost::default(),
            plain_time: time::Duration::from_millis(10),
            entries: 3,
        };
        match region {
            Region::Dalton => dalton,
            Region::Lombardy => Self {
                prefill: TokenRate(4_000.0),
                decode: TokenRate(40.0),
                far: time::Duration::from_micros(1_200),
                ..dalton
            },
        }
    }

    /// Time until the deadline of a request of this class.
    pub fn budget(&self, class: Class) -> time::Duration {
        match class {
            Class::Urgent => time::Duration::from_secs(5),
            Class::Normal => time::Duration::from_secs(60),
            Class::Patient => time::Duration::from_secs(600),
        }
    }
}
