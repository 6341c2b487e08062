//! Runs tasks of requests in short batches, between which other tasks get their turn.

use smol::LocalExecutor;

/// Most tasks of requests that run before the tasks of the surrounding executor do. A task
/// of a request takes some tens of microseconds.
const BATCH_TASKS: usize = 16;

/// Runs the tasks of `executor` in batches; never returns. Tasks of the surrounding executor
/// that are ready run after each batch, and I/O events are handled: documents, readiness
/// checks and datagrams do not wait behind all requests that are ready.
pub async fn run(executor: &LocalExecutor<'_>) {
    loop {
        executor.tick().await;
        for _ in 1..BATCH_TASKS {
            if !executor.try_tick() {
                break;
            }
        }
        futures_lite::future::yield_now().await;
    }
}
