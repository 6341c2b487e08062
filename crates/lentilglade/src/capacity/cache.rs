//! A sidecar's view of its engine's cache.

use std::hint;

use lentil_policy::{
    cache::{CacheView, Settings},
    sidecar::{CacheChange, CacheEvent},
};
use lentil_types::{BootId, PieceHash};

use super::{Line, Point, process};

const SIZES: [u64; 5] = [10_000, 20_000, 40_000, 80_000, 160_000];
const EVENTS: u64 = 2_000;
const COPIES: usize = 64;
/// The shortest of so many runs counts.
const RUNS: usize = 5;

/// A hash as evenly spread as a real one.
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

/// Stores and evicts in turns, so that the size stays.
fn change(view: &mut CacheView, size: u64) {
    for number in 0..EVENTS {
        let change = match number % 2 {
            0 => CacheChange::Stored(vec![piece(size + number)]),
            _ => CacheChange::Evicted(vec![piece(number / 2)]),
        };
        view.on_event(&event(2 + number, change));
    }
}

pub(super) fn memory() -> Line {
    let point = |size| Point {
        x: size as f64,
        y: process::memory_of(COPIES, || view(size)),
    };
    Line {
        name: "cache: cached blocks -> bytes of memory",
        points: SIZES.map(point).to_vec(),
    }
}

pub(super) fn time() -> Line {
    let point = |size| {
        let whole = process::nanos(RUNS, || {
            let mut view = view(size);
            change(&mut view, size);
            hint::black_box(&view);
        });
        let filled = process::nanos(RUNS, || drop(hint::black_box(view(size))));
        Point {
            x: size as f64,
            y: (whole - filled) / EVENTS as f64,
        }
    };
    Line {
        name: "cache: cached blocks -> ns for an event",
        points: SIZES.map(point).to_vec(),
    }
}
