//! Calls to the store stay within budget during and after an outage.

use std::time;

use lentil_policy::store_budget::{
    Action, Breaker, BreakerSettings, Budget, CallResult, Denied, Purpose, Settings,
};
use lentil_types::Instant;
use rand_pcg::Pcg64Mcg;

const SECOND: time::Duration = time::Duration::from_secs(1);
const STEP: time::Duration = time::Duration::from_millis(100);

fn settings() -> Settings {
    Settings {
        rate: 10.0,
        burst: 20.0,
        claim_rate: 10.0,
        claim_burst: 20.0,
        ..Settings::default()
    }
}

/// Tries one call per step; returns the steps that admitted it.
fn calls(
    budget: &mut Budget,
    from: Instant,
    steps: u32,
    result: CallResult,
    seed: u128,
) -> Vec<u32> {
    let mut rng = Pcg64Mcg::new(seed);
    let mut made = Vec::new();
    for step in 0..steps {
        let now = from + STEP * step;
        if budget.admit(now, Purpose::Claim, Action::Update).is_ok() {
            budget.on_result(now, result, &mut rng);
            made.push(step);
        }
    }
    made
}

#[test]
fn claims_have_a_larger_burst_than_other_purposes() {
    let mut budget = Budget::new(Settings::default());
    let mut made = |purpose| {
        let admit = |_: &i32| budget.admit(Instant::ZERO, purpose, Action::Update).is_ok();
        (0..1_000).filter(admit).count()
    };
    assert_eq!(made(Purpose::Claim), 200);
    assert_eq!(made(Purpose::Poison), 40);
}

#[test]
fn a_purpose_cannot_use_the_budget_of_another() {
    let mut budget = Budget::new(settings());
    let now = Instant::ZERO;
    for _ in 0..20 {
        assert_eq!(budget.admit(now, Purpose::Claim, Action::Update), Ok(()));
    }
    let denied = budget.admit(now, Purpose::Claim, Action::Update);
    assert!(
        matches!(denied, Err(Denied::Exhausted(Purpose::Claim, _))),
        "{denied:?}"
    );
    assert_eq!(budget.admit(now, Purpose::Config, Action::Watch), Ok(()));
    assert_eq!(
        budget.admit(now + SECOND, Purpose::Claim, Action::Update),
        Ok(())
    );
}

#[test]
fn an_outage_of_an_hour_costs_the_store_few_calls() {
    let mut budget = Budget::new(settings());
    let made = calls(&mut budget, Instant::ZERO, 36_000, CallResult::Failure, 3);
    // After the first failures, at most one probe per half of the maximum wait.
    let max_wait = BreakerSettings::default().max_wait.as_secs();
    let bound = 3 + 8 + 3_600 / (max_wait / 2);
    assert!((made.len() as u64) < bound, "{} calls", made.len());
    assert!(!budget.is_closed());
    let tally = budget.tallies()[0];
    assert_eq!(
        (tally.purpose, tally.action),
        (Purpose::Claim, Action::Update)
    );
    assert_eq!(tally.made + tally.denied, 36_000);
}

#[test]
fn processes_probe_at_different_times_after_an_outage() {
    let recovery_step = |seed| {
        let mut budget = Budget::new(settings());
        calls(
            &mut budget,
            Instant::ZERO,
            36_000,
            CallResult::Failure,
            seed,
        );
        let back = calls(
            &mut budget,
            Instant::ZERO + SECOND * 3_600,
            300,
            CallResult::Success,
            seed,
        );
        back[0]
    };
    let mut per_second = [0; 30];
    for seed in 0..300 {
        per_second[recovery_step(seed) as usize / 10] += 1;
    }
    // 300 processes spread over the maximum wait of 15 s.
    assert!(
        per_second.iter().all(|count| *count <= 60),
        "{per_second:?}"
    );
}

#[test]
fn budgets_start_empty_when_the_breaker_closes() {
    let mut budget = Budget::new(settings());
    calls(&mut budget, Instant::ZERO, 36_000, CallResult::Failure, 3);
    let mut rng = Pcg64Mcg::new(4);
    let back = Instant::ZERO + SECOND * 3_700;
    assert_eq!(budget.admit(back, Purpose::Claim, Action::Read), Ok(()));
    budget.on_result(back, CallResult::Success, &mut rng);
    let burst = (0..100).filter(|_| budget.admit(back, Purpose::Claim, Action::Read).is_ok());
    assert_eq!(burst.count(), 0);
    let later = back + SECOND;
    let second = (0..100).filter(|_| budget.admit(later, Purpose::Claim, Action::Read).is_ok());
    assert_eq!(second.count(), 10);
}

#[test]
fn a_failed_probe_doubles_the_wait_up_to_the_maximum() {
    let settings = BreakerSettings::default();
    let mut breaker = Breaker::new(settings);
    let mut rng = Pcg64Mcg::new(1);
    let mut now = Instant::ZERO;
    for _ in 0..settings.failure_threshold {
        breaker.on_failure(now, &mut rng);
    }
    let mut limit = settings.min_wait;
    for _ in 0..10 {
        let wait = breaker.admit(now).expect_err("it is open");
        assert!(wait >= limit / 2 && wait <= limit, "{wait:?} of {limit:?}");
        now = now + wait;
        assert_eq!(breaker.admit(now), Ok(()));
        assert!(breaker.admit(now).is_err(), "one probe at a time");
        breaker.on_failure(now, &mut rng);
        limit = (limit * 2).min(settings.max_wait);
    }
    assert!(!breaker.is_closed());
}

#[test]
fn an_abandoned_probe_is_followed_by_another() {
    let mut budget = Budget::new(settings());
    let mut rng = Pcg64Mcg::new(1);
    calls(&mut budget, Instant::ZERO, 3, CallResult::Failure, 1);
    let probe = Instant::ZERO + SECOND * 60;
    assert_eq!(budget.admit(probe, Purpose::Config, Action::Watch), Ok(()));
    budget.on_result(probe, CallResult::Abandoned, &mut rng);
    let later = probe + SECOND * 60;
    assert_eq!(budget.admit(later, Purpose::Config, Action::Watch), Ok(()));
}
