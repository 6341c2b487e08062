//! Tests of the rate limit for log lines.

use lentil_process::logs::{Quota, QuotaSettings};
use lentil_types::Instant;

fn take_all(quota: &Quota, now: Instant) -> usize {
    (0..1_000).filter(|_| quota.try_take(now)).count()
}

#[test]
fn a_burst_passes_then_the_rate() {
    let settings = QuotaSettings {
        rate: 10.0,
        burst: 20.0,
    };
    let quota = Quota::new(settings);
    assert_eq!(take_all(&quota, Instant::ZERO), 20);
    assert_eq!(quota.dropped(), 980);
    assert_eq!(take_all(&quota, Instant::from_millis(500)), 5);
    assert_eq!(
        take_all(&quota, Instant::from_millis(60_000)),
        20,
        "no more than one burst accumulates"
    );
}
