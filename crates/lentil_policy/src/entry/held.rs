//! An answer that is held back until it is whole.

use lentil_types::RequestId;

use crate::{claim, entry, protocol};

/// The beginning of a plain service's answer. Its bytes cannot be resumed, so
/// that the caller gets them only when the answer is whole; until then another
/// attempt may start from the beginning.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    pub(super) status: u16,
    pub(super) headers: Vec<protocol::Header>,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) bytes: usize,
}

impl Held {
    /// Adds a piece.
    pub(super) fn push(&mut self, data: Vec<u8>) {
        self.bytes += data.len();
        self.pieces.push(data);
    }

    /// The commands that give the caller what is held.
    pub(super) fn release(&mut self, request: RequestId) -> Vec<entry::Command> {
        let head = entry::Command::Head {
            request,
            status: self.status,
            headers: self.headers.clone(),
        };
        let emit = |(offset, data): (usize, Vec<u8>)| entry::Command::Emit {
            request,
            offset: offset as u64,
            data,
        };
        let pieces = std::mem::take(&mut self.pieces);
        let emits = pieces.into_iter().enumerate().map(emit);
        std::iter::once(head).chain(emits).collect()
    }

    /// The answer as a claim records it.
    pub(super) fn answer(&self) -> claim::Answer {
        claim::Answer {
            status: self.status,
            headers: self.headers.clone(),
            body: self.pieces.concat(),
        }
    }
}
