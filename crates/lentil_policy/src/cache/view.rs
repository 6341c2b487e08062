//! The pieces that one life of an engine has cached.

use std::time;

use lentil_types::{BootId, Instant, PieceHash, Pieces};

use crate::sidecar;

/// Settings of a [`CacheView`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a requested list is waited for before it is requested again.
    pub list_timeout: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            list_timeout: time::Duration::from_secs(1),
        }
    }
}

/// The pieces that one life of an engine has cached, as its events tell.
///
/// The view belongs to one boot id and is dropped whole with it. It reports
/// nothing cached until the engine has listed its pieces, and again after a
/// missing event number, until the next list.
#[derive(Clone, Debug, Default)]
pub struct CacheView {
    settings: Settings,
    boot: Option<BootId>,
    /// Sorted.
    pieces: Vec<PieceHash>,
    /// Number of the next event; `None` while the view is not trusted.
    next: Option<u64>,
    /// Highest event number of this boot.
    seen: u64,
    asked: Option<Instant>,
}

impl CacheView {
    /// A view of an engine that is not up.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The engine is up. Another boot id drops all that was known.
    pub fn on_up(&mut self, boot: BootId) {
        if self.boot != Some(boot) {
            self.on_down();
            self.boot = Some(boot);
        }
    }

    /// The engine is down: nothing is cached.
    pub fn on_down(&mut self) {
        *self = Self::new(self.settings);
    }

    /// Takes in an event. Those of another boot are ignored.
    pub fn on_event(&mut self, event: &sidecar::CacheEvent) {
        if self.boot != Some(event.boot) {
            return;
        }
        let is_old = event.number <= self.seen && self.seen > 0;
        self.seen = self.seen.max(event.number);
        match &event.change {
            sidecar::CacheChange::Listed(_) if is_old => self.asked = None,
            sidecar::CacheChange::Listed(pieces) => self.replace(event.number, pieces),
            _ if self.next.is_some_and(|next| event.number < next) => {}
            _ if self.next != Some(event.number) => self.distrust(),
            sidecar::CacheChange::Stored(pieces) => {
                self.next = Some(event.number + 1);
                self.store(pieces);
            }
            sidecar::CacheChange::Evicted(pieces) => {
                self.next = Some(event.number + 1);
                self.evict(pieces);
            }
        }
    }

    /// Leading pieces of `chain` that are cached. Zero while the view is not
    /// trusted.
    pub fn cached(&self, chain: &[PieceHash]) -> Pieces {
        let is_cached = |piece: &&PieceHash| self.pieces.binary_search(piece).is_ok();
        let leading = chain.iter().take_while(is_cached).count();
        Pieces(leading as u64)
    }

    /// Whether the engine is to be asked for a list now. A `true` counts as
    /// having asked.
    pub fn poll_list(&mut self, now: Instant) -> bool {
        let waits = |asked| now.since(asked) < self.settings.list_timeout;
        if self.boot.is_none() || self.is_trusted() || self.asked.is_some_and(waits) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Whether no event is missing since the last list.
    pub fn is_trusted(&self) -> bool {
        self.next.is_some()
    }

    /// Number of cached pieces.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Whether no piece is known to be cached.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    fn distrust(&mut self) {
        self.next = None;
        self.pieces.clear();
    }

    fn replace(&mut self, number: u64, pieces: &[PieceHash]) {
        self.pieces = pieces.to_vec();
        self.pieces.sort_unstable();
        self.pieces.dedup();
        self.next = Some(number + 1);
        self.asked = None;
    }

    fn store(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            if let Err(at) = self.pieces.binary_search(piece) {
                self.pieces.insert(at, *piece);
            }
        }
    }

    fn evict(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            if let Ok(at) = self.pieces.binary_search(piece) {
                self.pieces.remove(at);
            }
        }
    }
}
