//! View of an engine's cached pieces, kept from its events.

use std::time;

use lentil_types::{BootId, Instant, PieceHash, Pieces};

use crate::sidecar;

/// Settings of a [`CacheView`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time after which an outstanding list is requested again.
    pub list_timeout: time::Duration,
    /// Most pieces kept; further ones count as not cached. Engines hold some tens of
    /// thousands.
    pub max_pieces: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            list_timeout: time::Duration::from_secs(1),
            max_pieces: 1 << 18,
        }
    }
}

/// Cached pieces of one boot of an engine, according to its events.
///
/// The view is cleared when the boot id changes. It reports nothing as cached
/// until the engine has listed its pieces, and again from a gap in the event
/// numbers to the next list.
#[derive(Clone, Debug, Default)]
pub struct CacheView {
    settings: Settings,
    boot: Option<BootId>,
    /// Sorted, without duplicates.
    pieces: Vec<PieceHash>,
    /// Number of the next event; `None` while the view is not trusted.
    next_number: Option<u64>,
    /// Highest event number of this boot.
    highest_number: u64,
    /// When the outstanding list was requested.
    requested_at: Option<Instant>,
}

impl CacheView {
    /// View of an engine that is not up.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// The engine is up. A new boot id clears the view.
    pub fn on_up(&mut self, boot: BootId) {
        if self.boot != Some(boot) {
            self.on_down();
            self.boot = Some(boot);
        }
    }

    /// The engine is down: clears the view.
    pub fn on_down(&mut self) {
        *self = Self::new(self.settings);
    }

    /// Applies an event. Events of another boot are ignored.
    pub fn on_event(&mut self, event: &sidecar::CacheEvent) {
        if self.boot != Some(event.boot) {
            return;
        }
        let is_old = event.number <= self.highest_number && self.highest_number > 0;
        self.highest_number = self.highest_number.max(event.number);
        match &event.change {
            sidecar::CacheChange::Listed(_) if is_old => self.requested_at = None,
            sidecar::CacheChange::Listed(pieces) => self.replace(event.number, pieces),
            _ if self.next_number.is_some_and(|next| event.number < next) => {}
            _ if self.next_number != Some(event.number) => self.distrust(),
            sidecar::CacheChange::Stored(pieces) => {
                self.next_number = Some(event.number + 1);
                self.store(pieces);
            }
            sidecar::CacheChange::Evicted(pieces) => {
                self.next_number = Some(event.number + 1);
                self.evict(pieces);
            }
        }
    }

    /// Number of cached leading pieces of `chain`; zero while the view is not
    /// trusted.
    pub fn cached(&self, chain: &[PieceHash]) -> Pieces {
        let is_cached = |piece: &&PieceHash| self.pieces.binary_search(piece).is_ok();
        let leading = chain.iter().take_while(is_cached).count();
        Pieces(leading as u64)
    }

    /// Whether to request a list now. `true` records the request as sent.
    pub fn poll_list(&mut self, now: Instant) -> bool {
        let is_waiting = |requested_at| now.since(requested_at) < self.settings.list_timeout;
        if self.boot.is_none() || self.is_trusted() || self.requested_at.is_some_and(is_waiting) {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    /// Whether the engine listed its pieces and no event was lost since.
    pub fn is_trusted(&self) -> bool {
        self.next_number.is_some()
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
        self.next_number = None;
        self.pieces.clear();
    }

    fn replace(&mut self, number: u64, pieces: &[PieceHash]) {
        self.pieces = pieces.to_vec();
        self.pieces.sort_unstable();
        self.pieces.dedup();
        self.pieces.truncate(self.settings.max_pieces);
        self.next_number = Some(number + 1);
        self.requested_at = None;
    }

    fn store(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            if self.pieces.len() >= self.settings.max_pieces {
                return;
            }
            if let Err(index) = self.pieces.binary_search(piece) {
                self.pieces.insert(index, *piece);
            }
        }
    }

    fn evict(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            if let Ok(index) = self.pieces.binary_search(piece) {
                self.pieces.remove(index);
            }
        }
    }
}
