//! Differences between two texts.

use lentil_config::{Change, Config, diff};

const DALTON: &str = include_str!("../../../examples/dalton.toml");

#[test]
fn a_text_does_not_differ_from_itself() {
    let config = Config::parse(DALTON).expect("the example is valid");
    assert_eq!(diff(&config, &config), []);
}

#[test]
fn each_difference_is_named() {
    let old = Config::parse(DALTON).expect("the example is valid");
    let mut new = old.clone();
    new.models[0].weights = lentil_types::WeightsVersion(2);
    let gone = new.services[0].runners.pop().expect("it has runners");
    new.teams[0].weight = 3;
    let text: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        text,
        [
            "~ model sortmind-7b weights: 1 -> 2",
            &format!(
                "- runner {}: sortmind {} {} mixed",
                gone.name, gone.place, gone.address
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
