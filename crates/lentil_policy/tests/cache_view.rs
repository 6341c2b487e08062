//! A sidecar's cache view, with lost and late events.

use lentil_policy::{
    cache::{self, CacheView},
    sidecar,
};
use lentil_types::{BootId, Instant, PieceHash, Pieces};
use sidecar::CacheChange::{Evicted, Listed, Stored};

const BOOT: BootId = BootId(7);

fn chain(pieces: impl IntoIterator<Item = u64>) -> Vec<PieceHash> {
    pieces.into_iter().map(PieceHash).collect()
}

fn event(number: u64, change: sidecar::CacheChange) -> sidecar::CacheEvent {
    sidecar::CacheEvent {
        boot: BOOT,
        number,
        change,
    }
}

fn listed(pieces: impl IntoIterator<Item = u64>) -> CacheView {
    let mut view = CacheView::default();
    view.on_up(BOOT);
    assert!(view.poll_list(Instant::ZERO));
    view.on_event(&event(1, Listed(chain(pieces))));
    assert!(view.is_trusted());
    view
}

#[test]
fn counts_leading_pieces_only() {
    let mut view = listed([3, 1, 2, 5]);
    assert_eq!(view.cached(&chain(1..=5)), Pieces(3));
    view.on_event(&event(2, Stored(chain([4]))));
    assert_eq!(view.cached(&chain(1..=5)), Pieces(5));
    view.on_event(&event(3, Evicted(chain([2]))));
    assert_eq!(view.cached(&chain(1..=5)), Pieces(1));
}

#[test]
fn a_lost_event_clears_the_view_until_the_next_list() {
    let mut view = listed([1, 2]);
    view.on_event(&event(3, Stored(chain([3]))));
    assert_eq!(view.cached(&chain([1, 2])), Pieces(0));
    assert!(view.poll_list(Instant::ZERO));
    assert!(
        !view.poll_list(Instant::from_millis(999)),
        "a request is outstanding"
    );
    view.on_event(&event(4, Stored(chain([4]))));
    assert_eq!(
        view.cached(&chain([4])),
        Pieces(0),
        "the view is incomplete"
    );
    view.on_event(&event(5, Listed(chain([1]))));
    assert_eq!(view.cached(&chain([1, 2])), Pieces(1));
}

#[test]
fn a_lost_list_is_requested_again() {
    let mut view = CacheView::default();
    view.on_up(BOOT);
    assert!(view.poll_list(Instant::ZERO));
    assert!(view.poll_list(Instant::from_millis(1_000)));
}

#[test]
fn a_list_older_than_a_seen_event_is_not_trusted() {
    let mut view = CacheView::default();
    view.on_up(BOOT);
    view.on_event(&event(9, Evicted(chain([1]))));
    view.on_event(&event(8, Listed(chain([1]))));
    assert!(!view.is_trusted());
    assert!(view.poll_list(Instant::ZERO));
}

#[test]
fn another_boot_clears_the_view_and_events_of_the_old_one_are_ignored() {
    let mut view = listed([1, 2]);
    view.on_up(BootId(8));
    assert_eq!(view.cached(&chain([1, 2])), Pieces(0));
    view.on_event(&event(2, Listed(chain([1, 2]))));
    assert_eq!(view.cached(&chain([1, 2])), Pieces(0));
    assert!(view.is_empty());
}

#[test]
fn the_same_boot_keeps_the_view() {
    let mut view = listed([1]);
    view.on_up(BOOT);
    assert_eq!(view.cached(&chain([1])), Pieces(1));
    view.on_down();
    assert!(view.is_empty());
    assert!(!view.poll_list(Instant::ZERO), "there is no engine to ask");
}

#[test]
fn a_view_of_pieces_without_end_is_bounded_and_follows_evictions() {
    let settings = cache::Settings {
        max_pieces: 8,
        ..cache::Settings::default()
    };
    let mut view = CacheView::new(settings);
    view.on_up(BOOT);
    view.on_event(&event(1, Listed(chain(0..6))));
    view.on_event(&event(2, Stored(chain(100..106))));
    assert_eq!(view.len(), 8);
    assert_eq!(view.cached(&chain(0..6)), Pieces(6));
    view.on_event(&event(3, Evicted(chain(0..6))));
    view.on_event(&event(4, Stored(chain(200..206))));
    assert_eq!(view.cached(&chain(200..206)), Pieces(6));
}
