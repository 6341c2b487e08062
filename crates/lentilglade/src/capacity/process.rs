//! Memory of a process and the duration of a run.

use std::{fs, mem, time};

/// Resident memory of a process, in bytes; 0 where `/proc` does not provide it.
pub(super) fn memory(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Bytes of memory per value that `make` returns. The values are never freed, so
/// that a later measurement cannot reuse their memory.
pub(super) fn memory_of<T>(copies: usize, mut make: impl FnMut() -> T) -> f64 {
    // The first value makes the temporary allocations, which are not counted.
    mem::forget(make());
    let before = memory("self");
    let values: Vec<T> = (0..copies).map(|_| make()).collect();
    let after = memory("self");
    mem::forget(values);
    after.saturating_sub(before) as f64 / copies as f64
}

/// The shortest duration of several runs, in nanoseconds.
pub(super) fn min_nanos(runs: usize, mut run: impl FnMut()) -> f64 {
    let time_run = |_| {
        let start = time::Instant::now();
        run();
        start.elapsed().as_nanos() as f64
    };
    (0..runs).map(time_run).fold(f64::INFINITY, f64::min)
}
