//! Waits for conditions with a timeout, rather than for fixed times.

use std::time;

/// Longest wait for a condition; only a failing test reaches it.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Waits until `condition` holds.
///
/// # Panics
/// When it does not hold within [`TIMEOUT`].
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = time::Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "still waiting: {what}");
        smol::Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for the result of `work`.
///
/// # Panics
/// When it takes longer than [`TIMEOUT`].
pub async fn within<T>(what: &str, work: impl IntoFuture<Output = T>) -> T {
    let timeout = async {
        smol::Timer::after(TIMEOUT).await;
        panic!("still waiting: {what}");
    };
    smol::future::or(work.into_future(), timeout).await
}

/// Runs the future of a test on this thread.
///
/// # Panics
/// When it takes longer than twice [`TIMEOUT`].
pub fn run<T>(test: impl Future<Output = T>) -> T {
    smol::block_on(async {
        let timeout = async {
            smol::Timer::after(TIMEOUT * 2).await;
            panic!("the test is still running");
        };
        smol::future::or(test, timeout).await
    })
}
