//! What a run came to.

use std::time;

use hdrhistogram::Histogram;

/// Digits to which times are kept.
const DIGITS: u8 = 3;
/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// What a run came to.
#[derive(Debug)]
pub struct Figures {
    /// Requests that were answered whole.
    pub requests: usize,
    /// Time from the first request to the last answer.
    pub took: time::Duration,
    /// Processor time of the whole process.
    pub cpu: time::Duration,
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Figures {
    pub(super) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_MICROS, DIGITS).expect("these bounds are allowed");
        Self {
            requests: 0,
            took: time::Duration::ZERO,
            cpu: time::Duration::ZERO,
            first: histogram(),
            whole: histogram(),
        }
    }

    pub(super) fn record(&mut self, first: time::Duration, whole: time::Duration) {
        self.requests += 1;
        self.first.saturating_record(first.as_micros() as u64);
        self.whole.saturating_record(whole.as_micros() as u64);
    }

    pub(super) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.first += &other.first;
        self.whole += &other.whole;
    }

    /// Time to the first byte of the answer's body, at a quantile.
    pub fn first(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.first.value_at_quantile(quantile))
    }

    /// Time to the end of the answer, at a quantile.
    pub fn whole(&self, quantile: f64) -> time::Duration {
        time::Duration::from_micros(self.whole.value_at_quantile(quantile))
    }

    /// Processor time of one request.
    pub fn cpu_each(&self) -> time::Duration {
        self.cpu / u32::try_from(self.requests.max(1)).unwrap_or(u32::MAX)
    }
}
