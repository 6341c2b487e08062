//! Buffers an answer until it is whole.

use lentil_types::RequestId;

use crate::{claim, entry, protocol};

/// The beginning of a plain service's answer. It cannot be resumed, so the caller
/// gets it only when it is whole; until then another attempt may start over.
#[derive(Clone, Debug, Default)]
pub(super) struct BufferedAnswer {
    pub(super) status: u16,
    pub(super) headers: Vec<protocol::Header>,
    pub(super) pieces: Vec<Vec<u8>>,
    pub(super) bytes: usize,
}

impl BufferedAnswer {
    pub(super) fn push(&mut self, data: Vec<u8>) {
        self.bytes += data.len();
        self.pieces.push(data);
    }

    /// The commands that send the buffered answer to the caller.
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
