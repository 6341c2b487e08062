//! All faults of a configuration text are reported at once, with their positions.

use lentil_config::{Config, FaultKind};
use proptest::prelude::{ProptestConfig, any, proptest};

#[rstest::rstest]
#[case("many", include_str!("faulty/many.toml"))]
#[case("syntax", include_str!("faulty/syntax.toml"))]
#[case("limits", include_str!("faulty/limits.toml"))]
fn every_fault_is_reported(#[case] name: &str, #[case] text: &str) {
    let faults = Config::parse(text).expect_err("the text is faulty");
    insta::assert_snapshot!(name, faults);
}

#[test]
fn a_cycle_is_reported_with_all_its_services() {
    let text = include_str!("faulty/many.toml");
    let faults = Config::parse(text).expect_err("the text is faulty");
    let cycles: Vec<_> = faults
        .0
        .iter()
        .filter(|fault| fault.kind == FaultKind::Cycle)
        .collect();
    assert_eq!(cycles.len(), 2);
    assert_eq!(cycles[0].found, "sortmind -> rulecache -> sortmind");
}

#[rstest::rstest]
#[case::dalton(include_str!("../../../examples/dalton.toml"), 18)]
#[case::lombardy(include_str!("../../../examples/lombardy.toml"), 9)]
fn the_examples_are_valid(#[case] text: &str, #[case] engines: usize) {
    let config = Config::parse(text).expect("the example is valid");
    assert_eq!(config.services[0].runners.len(), engines);
    assert_eq!(config.services[2].runners.len(), 3);
    assert_eq!(config.places.len(), 3);
    assert_eq!(config.teams.len(), 8);
}

/// A text of line ranges of a valid text, in any order and possibly repeated.
fn shuffled(cuts: &[(usize, usize)]) -> String {
    let lines: Vec<_> = include_str!("../../../examples/dalton.toml")
        .lines()
        .collect();
    let range = |&(start, len): &(usize, usize)| {
        let start = start % lines.len();
        lines[start..(start + len % 12).min(lines.len())].join("\n")
    };
    cuts.iter().map(range).collect::<Vec<_>>().join("\n")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn no_text_makes_the_parser_panic(text in any::<String>()) {
        let _ = Config::parse(&text);
    }

    #[test]
    fn no_shuffled_text_makes_the_parser_panic(cuts in proptest::collection::vec(any::<(usize, usize)>(), 1..8)) {
        if let Err(faults) = Config::parse(&shuffled(&cuts)) {
            assert!(!faults.0.is_empty());
        }
    }
}
