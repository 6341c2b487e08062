//! CPU time of a process.

use std::{fs, path, time};

/// CPU time used by all threads of a process, which is given as `self` or its
/// process id. Zero where `/proc` does not provide it.
pub(crate) fn used(process: &str) -> time::Duration {
    let Ok(threads) = fs::read_dir(format!("/proc/{process}/task")) else {
        return time::Duration::ZERO;
    };
    let thread_nanos = |path: path::PathBuf| -> Option<u64> {
        let text = fs::read_to_string(path.join("schedstat")).ok()?;
        text.split(' ').next()?.parse().ok()
    };
    let nanos = threads
        .flatten()
        .filter_map(|thread| thread_nanos(thread.path()));
    time::Duration::from_nanos(nanos.sum())
}
