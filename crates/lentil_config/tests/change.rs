//! Differences between two configurations.

use lentil_config::{Change, Config, diff};

const DALTON: &str = include_str!("../../../examples/dalton.toml");

#[test]
fn a_configuration_does_not_differ_from_itself() {
    let config = Config::parse(DALTON).expect("the example is valid");
    assert_eq!(diff(&config, &config), []);
}

/// A limit that is added, altered or removed is a difference like any other.
#[test]
fn differences_of_a_limit_are_listed() {
    let without = Config::parse(DALTON).expect("the example is valid");
    let with = |text: &str| {
        let line = "scope = \"recycler-a\"\n";
        let text = DALTON.replacen(line, &format!("{line}limit = {text}\n"), 1);
        Config::parse(&text).expect("the text is valid")
    };
    let requests = with("{ rate = 12.5, burst = 40 }");
    let tokens = with("{ unit = \"tokens\", rate = 9000, burst = 60000, uncounted = 2000 }");
    let text = |old, new| -> Vec<_> { diff(old, new).iter().map(ToString::to_string).collect() };
    let (old, new) = (
        "12.5 requests/s, burst 40",
        "9000 tokens/s, burst 60000, uncounted 2000",
    );
    let what = "team recycler-a limit:";
    assert_eq!(text(&without, &requests), [format!("+ {what} {old}")]);
    assert_eq!(
        text(&requests, &tokens),
        [format!("~ {what} {old} -> {new}")]
    );
    assert_eq!(text(&tokens, &without), [format!("- {what} {new}")]);
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
