//! The machine that keeps documents up to date.

use lentil_policy::config_sync::{ConfigSync, Event, Peer, Settings};
use lentil_types::{Instant, NodeName, PlaceName};

use super::{Line, Point, process};

const PEERS: [usize; 5] = [50, 100, 200, 400, 800];
const TICKS: u64 = 1_000;
const COPIES: usize = 64;

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

pub(super) fn lines() -> Vec<Line> {
    let point = |peers: usize, y| Point { x: peers as f64, y };
    let memory = |peers| point(peers, process::memory_of(COPIES, || sync(peers)));
    let tick = |peers| {
        let mut sync = sync(peers);
        let mut rng = rand_pcg::Pcg64Mcg::new(1);
        let mut now = 0;
        let whole = process::nanos(5, || {
            for _ in 0..TICKS {
                now += 500_000;
                drop(sync.tick(Instant(now), &mut rng));
            }
        });
        point(peers, whole / TICKS as f64)
    };
    vec![
        Line {
            name: "sync: peers in the data centre -> bytes of memory",
            points: PEERS.map(memory).to_vec(),
        },
        Line {
            name: "sync: peers in the data centre -> ns for a tick",
            points: PEERS.map(tick).to_vec(),
        },
    ]
}
