//! How far an answer has come, and whether a piece continues it.

use lentil_types::BootId;

use crate::protocol;

/// What a piece is to the answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continuation {
    /// It is the next piece.
    Next,
    /// It came before.
    Double,
    /// Pieces before it are missing.
    Gap,
    /// Another life of the engine made it.
    Crossed,
}

/// An answer under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream {
    next: u64,
    text: String,
    boot: Option<BootId>,
}

impl Stream {
    /// Offset of the next piece wanted.
    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// A new attempt continues the answer: its engine's life is not known yet.
    pub(super) fn reopen(&mut self, boot: Option<BootId>) {
        self.boot = boot;
    }

    /// Forgets the answer so far.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Whether `boot` is the life of the engine that this attempt runs in. The
    /// first one heard of counts.
    pub(super) fn is_from(&mut self, boot: BootId) -> bool {
        *self.boot.get_or_insert(boot) == boot
    }

    /// Compares a piece with the answer so far.
    pub(super) fn check(&mut self, boot: BootId, offset: u64) -> Continuation {
        if !self.is_from(boot) {
            return Continuation::Crossed;
        }
        match offset.cmp(&self.next) {
            std::cmp::Ordering::Less => Continuation::Double,
            std::cmp::Ordering::Equal => Continuation::Next,
            std::cmp::Ordering::Greater => Continuation::Gap,
        }
    }

    /// Adds the next piece.
    pub(super) fn push(&mut self, text: &str) {
        self.next += 1;
        self.text.push_str(text);
    }

    /// What another attempt needs to go on.
    pub(super) fn resume(&self) -> Option<protocol::Resume> {
        (self.next > 0).then(|| protocol::Resume {
            offset: self.next,
            text: self.text.clone(),
        })
    }
}
