//! The fault search finds no violation, and detects deliberate defects.

use lentil_replay::faults::{self, FaultKind, Invariant, Mutation};
use rstest::rstest;
use strum::IntoEnumIterator as _;

#[rstest]
fn no_invariant_is_violated_and_every_fault_is_injected() {
    let report = faults::search(&faults::Settings::default(), 0..60);
    assert!(report.violations.is_empty(), "{report}");
    for kind in FaultKind::iter() {
        assert!(
            report.faults.contains_key(&kind),
            "{kind} was never injected"
        );
    }
    for invariant in Invariant::iter() {
        assert!(
            report.checked.contains_key(&invariant),
            "{invariant} was never checked"
        );
    }
}

/// In these seeds, a poison request was dispatched seconds after every entry knew
/// of its crashes.
#[rstest]
#[case(2193)]
#[case(3790)]
fn seeds_with_past_violations_now_pass(#[case] seed: u64) {
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
fn a_seed_gives_the_same_trace_on_every_run() {
    let settings = faults::Settings::default();
    let trace = |seed| faults::run_seed(&settings, seed, true, &mut faults::Report::default());
    assert_eq!(trace(3), trace(3));
    assert_ne!(trace(3), trace(4));
}

#[rstest]
#[case(Mutation::ShortAnswers, Invariant::WholeOwnAnswer)]
#[case(Mutation::FalseNotRun, Invariant::HonestNotRun)]
#[case(Mutation::NoClaims, Invariant::AtMostOnce)]
#[case(Mutation::NoFingerprints, Invariant::PoisonRefused)]
#[case(Mutation::NoOffsets, Invariant::WholeOwnAnswer)]
#[case(Mutation::NoLeaving, Invariant::NothingNewWhenLeaving)]
fn a_deliberate_defect_is_detected(#[case] mutation: Mutation, #[case] invariant: Invariant) {
    let settings = faults::Settings {
        mutation: Some(mutation),
        ..faults::Settings::default()
    };
    let report = faults::search(&settings, 0..100);
    let is_detected = |(_, violation): &(u64, faults::Violation)| violation.invariant == invariant;
    assert!(report.violations.iter().any(is_detected), "{report}");
    let (_, trace) = report.trace(&settings).expect("a trace");
    assert!(!trace.is_empty());
}
