//! Differences between two configurations.

use lentil_config::{Change, Config, diff};

const DALTON: &str = include_str!("../../../examples/dalton.toml");

#[test]
fn a_configuration_does_not_differ_from_itself() {
    let config = Config::parse(DALTON).expect("the example is valid");
    assert_eq!(diff(&config, &config), []);
}

#[test]
fn every_difference_is_listed() {
    let old = Config::parse(DALTON).expect("the example is valid");
    let mut new = old.clone();
    new.models[0].weights = lentil_types::WeightsVersion(2);
    let removed = new.services[0].runners.pop().expect("it has runners");
    new.teams[0].weight = 3;
    let text: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        text,
        [
            "~ model sortmind-7b weights: 1 -> 2",
            &format!(
                "- runner {}: sortmind {} {} mixed",
                removed.name, removed.place, removed.address
            ),
            "~ team recycler-a weight: 1 -> 3",
        ]
    );
    let back = diff(&new, &old);
    assert!(
        matches!(back.last(), Some(Change::Added { .. })),
        "{back:?}"
    );
}
