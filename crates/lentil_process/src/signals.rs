//! Unix signals that stop or reload the process.

use std::io;

use futures_lite::{Stream, StreamExt as _};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Request {
    /// Stop the process: SIGTERM or SIGINT.
    Stop,
    /// Read the settings again: SIGHUP.
    Reload,
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// An I/O error when signals cannot be watched.
pub async fn terminated() -> io::Result<()> {
    let stop_signals = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = async_signal::Signals::new(stop_signals)?;
    match signals.next().await {
        Some(Err(error)) => Err(error),
        Some(Ok(_)) | None => Ok(()),
    }
}

/// Endless stream of the signals' requests. From this call on SIGHUP no longer
/// terminates the process.
///
/// # Errors
/// An I/O error when signals cannot be watched.
pub fn requests() -> io::Result<impl Stream<Item = io::Result<Request>> + Unpin> {
    use async_signal::Signal;
    let signals = async_signal::Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    Ok(signals.map(|signal| {
        signal.map(|signal| match signal {
            Signal::Hup => Request::Reload,
            _ => Request::Stop,
        })
    }))
}
