//! Histograms of timings, for quantiles in the text output.

use std::{
    fmt::Write as _,
    sync::{Mutex, PoisonError},
    time,
};

use hdrhistogram::Histogram;
use strum::EnumCount as _;

use super::Timing;

/// Longest recorded duration, in microseconds: one minute. Longer ones count as
/// this.
const MAX_MICROS: u64 = 60_000_000;
/// Significant decimal digits recorded.
const DIGITS: u8 = 2;
/// Quantiles in the text output.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];

/// One histogram per timing, allocated on first use.
#[derive(Debug, Default)]
pub(super) struct Histograms([Mutex<Option<Histogram<u64>>>; Timing::COUNT]);

impl Histograms {
    pub(super) fn record(&self, timing: Timing, duration: time::Duration) {
        let mut slot = self.0[timing as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_MICROS);
        if slot.is_none() {
            // The bounds are constants that the library accepts.
            *slot = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).ok();
        }
        if let Some(histogram) = slot.as_mut() {
            histogram.saturating_record(micros.max(1));
        }
    }

    pub(super) fn write(&self, timing: Timing, text: &mut String) {
        let slot = self.0[timing as usize]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(histogram) = slot.as_ref() else {
            return;
        };
        // Writing into memory cannot fail.
        for quantile in QUANTILES {
            let ms = histogram.value_at_quantile(quantile) as f64 / 1e3;
            let _ = writeln!(
                text,
                "lentilglade_{timing}_ms{{quantile=\"{quantile}\"}} {ms:.3}"
            );
        }
        let _ = writeln!(text, "lentilglade_{timing}_count {}", histogram.len());
    }
}
