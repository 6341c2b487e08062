//! Processor time of a process.

use std::{fs, path, time};

/// Processor time that a process, `self` or one named by its number, has used
/// over all of its threads. Zero where the system does not tell.
pub(crate) fn used(process: &str) -> time::Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
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
