//! Contains panics: one ends the task in which it happens, and not the process.

use std::{backtrace, panic, time};

use futures_lite::FutureExt as _;

use crate::metrics::{Counter, Metrics};

/// Pause before a task that panicked is started again.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A task has panicked. The panic hook has logged where.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the task has panicked")]
pub struct Panicked;

/// Logs each panic with its location and a backtrace, in place of the standard hook,
/// which writes to standard error.
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let location = info.location().map(ToString::to_string);
        let message = info.payload_as_str().unwrap_or("-");
        let trace = backtrace::Backtrace::force_capture().to_string();
        log::error!(location:?, message, trace; "a task has panicked");
    }));
}

/// Runs a task to its end or its first panic. What it holds is dropped in both cases.
///
/// # Errors
/// [`Panicked`] if it panicked; counted.
pub async fn contain<T>(metrics: &Metrics, task: impl Future<Output = T>) -> Result<T, Panicked> {
    // What tasks share is in cells that do not stay borrowed when a panic unwinds.
    let end = panic::AssertUnwindSafe(task).catch_unwind().await;
    end.map_err(|_| {
        metrics.count(Counter::Panics);
        Panicked
    })
}

/// Like [`contain`], for code that does not wait.
///
/// # Errors
/// [`Panicked`] if it panicked; counted.
pub fn contain_call<T>(metrics: &Metrics, call: impl FnOnce() -> T) -> Result<T, Panicked> {
    let end = panic::catch_unwind(panic::AssertUnwindSafe(call));
    end.map_err(|_| {
        metrics.count(Counter::Panics);
        Panicked
    })
}

/// Runs a task that never ends, and starts it again after each panic.
pub async fn supervise<F: Future>(metrics: &Metrics, mut start: impl FnMut() -> F) -> F::Output {
    loop {
        match contain(metrics, start()).await {
            Ok(end) => return end,
            Err(Panicked) => {
                smol::Timer::after(RESTART_PAUSE).await;
            }
        }
    }
}
