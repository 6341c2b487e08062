//! Costs of [`CacheView`], a sidecar's view of its engine's cache.

use std::hint;

use lentil_policy::{
    cache::{CacheView, Settings},
    sidecar::{CacheChange, CacheEvent},
};
use lentil_types::{BootId, PieceHash};

use super::{Point, Series, process};

const BLOCK_COUNTS: [u64; 5] = [10_000, 20_000, 40_000, 80_000, 160_000];
const EVENTS: u64 = 2_000;
const COPIES: usize = 64;
/// Runs of each timing; the shortest counts.
const RUNS: usize = 5;

/// A hash that is distributed as evenly as a real one.
fn piece(number: u64) -> PieceHash {
    PieceHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29))
}

fn event(number: u64, change: CacheChange) -> CacheEvent {
    CacheEvent {
        boot: BootId(1),
        number,
        change,
    }
}

fn view(size: u64) -> CacheView {
    let mut view = CacheView::new(Settings::default());
    view.on_up(BootId(1));
    let pieces = (0..size).map(piece).collect();
    view.on_event(&event(1, CacheChange::Listed(pieces)));
    view
}

/// Stores and evicts alternately, which keeps the size constant.
fn apply_events(view: &mut CacheView, size: u64) {
    for number in 0..EVENTS {
        let change = match number % 2 {
            0 => CacheChange::Stored(vec![piece(size + number)]),
            _ => CacheChange::Evicted(vec![piece(number / 2)]),
        };
        view.on_event(&event(2 + number, change));
    }
}

pub(super) fn memory() -> Series {
    let point = |size| Point {
        x: size as f64,
        y: process::memory_of(COPIES, || view(size)),
    };
    Series {
        name: "cache: cached blocks -> bytes of memory",
        points: BLOCK_COUNTS.map(point).to_vec(),
    }
}

pub(super) fn time() -> Series {
    let point = |size| {
        let total = process::min_nanos(RUNS, || {
            let mut view = view(size);
            apply_events(&mut view, size);
            hint::black_box(&view);
        });
        let fill = process::min_nanos(RUNS, || drop(hint::black_box(view(size))));
        Point {
            x: size as f64,
            y: (total - fill) / EVENTS as f64,
        }
    };
    Series {
        name: "cache: cached blocks -> ns for an event",
        points: BLOCK_COUNTS.map(point).to_vec(),
    }
}
