//! Signals that end a process.

use std::io;

use futures_lite::StreamExt as _;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// An I/O error when signals cannot be watched.
pub async fn terminated() -> io::Result<()> {
    let wanted = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = async_signal::Signals::new(wanted)?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        Some(Ok(_)) | None => Ok(()),
    }
}
