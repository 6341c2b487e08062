//! Memory of a process, and the time of a run.

use std::{fs, mem, time};

/// Memory that a process holds, in bytes; 0 where the system does not tell.
pub(super) fn memory(process: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// The bytes of memory that each copy of what `make` makes takes. The copies are
/// never freed, so that a later measurement cannot take their place.
pub(super) fn memory_of<T>(copies: usize, mut make: impl FnMut() -> T) -> f64 {
    // What is only needed on the way is there before it is counted.
    mem::forget(make());
    let before = memory("self");
    let made: Vec<T> = (0..copies).map(|_| make()).collect();
    let after = memory("self");
    mem::forget(made);
    after.saturating_sub(before) as f64 / copies as f64
}

/// The shortest time of several runs, in nanoseconds.
pub(super) fn nanos(runs: usize, mut run: impl FnMut()) -> f64 {
    let one = |_| {
        let begin = time::Instant::now();
        run();
        begin.elapsed().as_nanos() as f64
    };
    (0..runs).map(one).fold(f64::INFINITY, f64::min)
}
