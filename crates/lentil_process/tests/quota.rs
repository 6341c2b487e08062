//! The bound on log lines about single requests.

use lentil_process::logs::{Quota, QuotaSettings};
use lentil_types::Instant;

fn taken(quota: &Quota, now: Instant) -> usize {
    (0..1_000).filter(|_| quota.try_take(now)).count()
}

#[test]
fn a_burst_passes_then_the_rate() {
    let settings = QuotaSettings {
        rate: 10.0,
        burst: 20.0,
    };
    let quota = Quota::new(settings);
    assert_eq!(taken(&quota, Instant::ZERO), 20);
    assert_eq!(quota.dropped(), 980);
    assert_eq!(taken(&quota, Instant::from_millis(500)), 5);
    assert_eq!(
        taken(&quota, Instant::from_millis(60_000)),
        20,
        "no more than a burst is saved up"
    );
}
