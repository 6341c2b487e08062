//! Results of a benchmark run.

use std::time;

use hdrhistogram::Histogram;

/// Significant digits of recorded times.
const DIGITS: u8 = 3;
/// Longest recorded time, in microseconds; longer ones are recorded as this.
const MAX_MICROS: u64 = 60_000_000;

/// Results of one run.
#[derive(Debug)]
pub struct RunStats {
    /// Number of requests that were answered completely.
    pub requests: usize,
    /// Time from the first request to the last answer.
    pub elapsed: time::Duration,
    /// CPU time of the whole process during the run.
    pub cpu: time::Duration,
    first_event: Histogram<u64>,
    total: Histogram<u64>,
}

impl RunStats {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, DIGITS).expect("these bounds are allowed");
        Self {
            requests: 0,
            elapsed: time::Duration::ZERO,
            cpu: time::Duration::ZERO,
            first_event: histogram(),
            total: histogram(),
        }
    }

    pub(super) fn record(&mut self, first_event: time::Duration, total: time::Duration) {
        self.requests += 1;
        self.first_event
            .saturating_record(first_event.as_micros() as u64);
        self.total.saturating_record(total.as_micros() as u64);
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.first_event += &other.first_event;
        self.total += &other.total;
    }

    /// Quantile, from 0 to 1, of the time to the answer's first event, or to its end
    /// if it has none.
    pub fn first_event(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.first_event.value_at_quantile(quantile))
    }

    /// Quantile, from 0 to 1, of the time to the end of the answer.
    pub fn total(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.total.value_at_quantile(quantile))
    }

    /// Mean CPU time of a request.
    pub fn cpu_per_request(&self) -> time::Duration {
        self.cpu / u32::try_from(self.requests.max(1)).unwrap_or(u32::MAX)
    }
}
