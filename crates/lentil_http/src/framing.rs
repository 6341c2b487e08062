//! The limit on bytes that are read and belong to no body: lines of chunks with their
//! extensions, and trailers.
//!
//! A [`crate::Body`] knows what was decoded, and the transport what was read. They run in the
//! same call, one inside the other, so that the allowance is passed on in the thread.

use std::{cell::Cell, io};

use crate::body::READ_BYTES;

/// Most bytes that are read without a byte of a body. One read more may arrive.
///
/// After a read that ended within the line of a chunk, the HTTP library takes a whole buffer
/// for the rest of that line and reads again before it decodes what follows the line. So a
/// sound body may take more than one buffer.
pub const MAX_FRAMING_BYTES: usize = 2 * READ_BYTES;
/// Bytes of framing for each byte of a body that may be read without end. Chunks of one byte
/// have more: they take a processor for as long as the other side sends.
const FRAMING_PER_BYTE: usize = 4;

thread_local! {
    /// Bytes that may still be read; `None` while no body is read.
    static ALLOWANCE: Cell<Option<usize>> = const { Cell::new(None) };
}

/// Whether a transport may read. Call before each read.
///
/// # Errors
/// [`io::ErrorKind::InvalidData`] when what was read lately belongs to no body.
pub fn check() -> io::Result<()> {
    if ALLOWANCE.get() == Some(0) {
        let message = "too many bytes between the parts of a body";
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(())
}

/// A transport has read bytes.
pub fn on_read(read: usize) {
    let left = ALLOWANCE.get();
    ALLOWANCE.set(left.map(|left| left.saturating_sub(read)));
}

/// The allowance after `read` bytes of a body; `left` is what was left before.
pub(crate) fn refilled(left: usize, read: usize) -> usize {
    let earned = read.saturating_mul(1 + FRAMING_PER_BYTE);
    left.saturating_add(earned).min(MAX_FRAMING_BYTES)
}

/// Runs `poll` with an allowance; returns what is left of it. The allowance of the
/// surrounding call applies again afterwards.
pub(crate) fn with_allowance<T>(allowance: usize, poll: impl FnOnce() -> T) -> (T, usize) {
    let _restore = Restore(ALLOWANCE.replace(Some(allowance)));
    let output = poll();
    (output, ALLOWANCE.get().unwrap_or(0))
}

/// Restores the allowance of the surrounding call, also after a panic.
struct Restore(Option<usize>);

impl Drop for Restore {
    fn drop(&mut self) {
        ALLOWANCE.set(self.0);
    }
}
