//! Checks that the pieces of an answer continue it.

use lentil_types::BootId;

use crate::protocol;

/// How a piece relates to the answer so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continuation {
    /// The next piece.
    Next,
    /// A piece that was received before.
    Duplicate,
    /// Pieces before this one are missing.
    Gap,
    /// A piece from another boot of the engine.
    OtherBoot,
}

/// Progress of an answer over all attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct Stream {
    next_offset: u64,
    text: String,
    boot: Option<BootId>,
}

impl Stream {
    /// Index of the next piece, from 0.
    pub(super) fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Starts an attempt that continues the answer; its boot may not be known yet.
    pub(super) fn begin_attempt(&mut self, boot: Option<BootId>) {
        self.boot = boot;
    }

    /// Discards the answer so far.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    /// Whether this attempt runs in `boot`. The first one reported counts.
    pub(super) fn is_from_boot(&mut self, boot: BootId) -> bool {
        *self.boot.get_or_insert(boot) == boot
    }

    /// Compares a piece with the answer so far.
    pub(super) fn check(&mut self, boot: BootId, offset: u64) -> Continuation {
        if !self.is_from_boot(boot) {
            return Continuation::OtherBoot;
        }
        match offset.cmp(&self.next_offset) {
            std::cmp::Ordering::Less => Continuation::Duplicate,
            std::cmp::Ordering::Equal => Continuation::Next,
            std::cmp::Ordering::Greater => Continuation::Gap,
        }
    }

    pub(super) fn push(&mut self, text: &str) {
        self.next_offset += 1;
        self.text.push_str(text);
    }

    /// What another attempt needs to resume the answer.
    pub(super) fn resume(&self) -> Option<protocol::Resume> {
        (self.next_offset > 0).then(|| protocol::Resume {
            offset: self.next_offset,
            text: self.text.clone(),
        })
    }
}
