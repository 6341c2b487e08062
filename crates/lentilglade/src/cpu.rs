//! Processor time of this process.

use std::{fs, path, time};

/// Processor time that this process has used, over all of its threads. Zero
/// where the system does not tell.
pub(super) fn used() -> time::Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return time::Duration::ZERO;
    };
    let of_thread = |path: path::PathBuf| -> Option<u64> {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    let nanos = threads
        .flatten()
        .filter_map(|thread| of_thread(thread.path()));
    time::Duration::from_nanos(nanos.sum())
}
