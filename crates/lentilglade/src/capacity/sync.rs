//! Costs of [`ConfigSync`], which keeps documents up to date.

use lentil_policy::config_sync::{ConfigSync, Event, Peer, Settings};
use lentil_types::{Instant, NodeName, PlaceName};

use super::{Point, Series, process};

const PEER_COUNTS: [usize; 5] = [50, 100, 200, 400, 800];
const TICKS: u64 = 1_000;
const COPIES: usize = 256;
/// Runs of each timing; the shortest counts.
const RUNS: usize = 5;
/// Time between two ticks, in microseconds.
const TICK_MICROS: u64 = 500_000;

fn sync(peers: usize) -> ConfigSync {
    let place = PlaceName::new("hall-intake").expect("a name");
    let node = |number: usize| NodeName::new(&format!("peer-{number}")).expect("a name");
    let mut sync = ConfigSync::new(Settings::new(node(0), place.clone()), Instant::ZERO);
    let peer = |number| Peer {
        node: node(number),
        place: place.clone(),
    };
    sync.on_event(Instant::ZERO, Event::Peers((1..peers).map(peer).collect()));
    sync
}

fn series(name: &'static str, cost: impl Fn(usize) -> f64) -> Series {
    let point = |peers: usize| Point {
        x: peers as f64,
        y: cost(peers),
    };
    Series {
        name,
        points: PEER_COUNTS.map(point).to_vec(),
    }
}

pub(super) fn memory() -> Series {
    series(
        "sync: peers in the data centre -> bytes of memory",
        |peers| process::memory_of(COPIES, || sync(peers)),
    )
}

/// Times a tick in the most expensive case: no peer answers, so every tick skips
/// one and sorts the others again.
pub(super) fn tick() -> Series {
    series("sync: peers in the data centre -> ns for a tick", |peers| {
        let mut sync = sync(peers);
        let mut rng = rand_pcg::Pcg64Mcg::new(1);
        let mut now = 0;
        let nanos = process::min_nanos(RUNS, || {
            for _ in 0..TICKS {
                now += TICK_MICROS;
                drop(sync.tick(Instant(now), &mut rng));
            }
        });
        nanos / TICKS as f64
    })
}
