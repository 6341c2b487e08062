//! Waits for conditions, never for fixed times.

use std::time;

/// Longest wait for a condition. It only ends a test that fails.
pub const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time between two looks at a condition.
const PERIOD: time::Duration = time::Duration::from_millis(5);

/// Waits until `condition` holds.
///
/// # Panics
/// When it does not hold within [`TIMEOUT`].
pub async fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let begin = time::Instant::now();
    while !condition() {
        assert!(begin.elapsed() < TIMEOUT, "still waiting: {what}");
        smol::Timer::after(PERIOD).await;
    }
}

/// Waits for `work`.
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

/// Runs a test.
///
/// # Panics
/// When it takes longer than twice [`TIMEOUT`].
pub fn run<T>(test: impl Future<Output = T>) -> T {
    smol::block_on(async {
        let timeout = async {
            smol::Timer::after(TIMEOUT * 2).await;
            panic!("the test does not end");
        };
        smol::future::or(test, timeout).await
    })
}
