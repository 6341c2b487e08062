//! The fault search finds no broken promise, and finds those broken on purpose.

use lentil_replay::faults::{self, FaultKind, Promise, Sabotage};
use rstest::rstest;
use strum::IntoEnumIterator as _;

#[rstest]
fn no_promise_is_broken_and_every_fault_strikes() {
    let report = faults::search(&faults::Settings::default(), 0..60);
    assert!(report.violations.is_empty(), "{report}");
    for kind in FaultKind::iter() {
        assert!(report.faults.contains_key(&kind), "{kind} never struck");
    }
    for promise in Promise::iter() {
        assert!(
            report.checked.contains_key(&promise),
            "{promise} was never checked"
        );
    }
}

/// Seeds with a dispatch of poison that came seconds after its crashes were
/// known to every entry.
#[rstest]
#[case(2193)]
#[case(3790)]
fn a_seed_that_broke_a_promise_keeps_it(#[case] seed: u64) {
    let report = faults::search(&faults::Settings::default(), seed..seed + 1);
    assert!(report.violations.is_empty(), "{report}");
}

#[rstest]
fn without_faults_every_answer_is_whole() {
    let settings = faults::Settings {
        fault_rate: 0.0,
        poison: false,
        ..faults::Settings::default()
    };
    let report = faults::search(&settings, 0..20);
    assert!(report.violations.is_empty(), "{report}");
    assert_eq!(report.endings.keys().collect::<Vec<_>>(), ["whole"]);
}

#[rstest]
fn a_seed_is_the_same_on_every_run() {
    let settings = faults::Settings::default();
    let trace = |seed| faults::run_seed(&settings, seed, true, &mut faults::Report::default());
    assert_eq!(trace(3), trace(3));
    assert_ne!(trace(3), trace(4));
}

#[rstest]
#[case(Sabotage::ShortAnswers, Promise::WholeOwnAnswer)]
#[case(Sabotage::FalseNotRun, Promise::HonestNotRun)]
#[case(Sabotage::NoClaims, Promise::AtMostOnce)]
#[case(Sabotage::NoFingerprints, Promise::PoisonRefused)]
#[case(Sabotage::NoOffsets, Promise::WholeOwnAnswer)]
#[case(Sabotage::NoLeaving, Promise::NothingNewWhenLeaving)]
fn a_policy_that_is_broken_on_purpose_is_caught(
    #[case] sabotage: Sabotage,
    #[case] promise: Promise,
) {
    let settings = faults::Settings {
        sabotage: Some(sabotage),
        ..faults::Settings::default()
    };
    let report = faults::search(&settings, 0..100);
    let caught = |(_, violation): &(u64, faults::Violation)| violation.promise == promise;
    assert!(report.violations.iter().any(caught), "{report}");
    let (_, trace) = report.trace(&settings).expect("a trace");
    assert!(!trace.is_empty());
}
