//! The reference page of the configuration keys.

use lentil_config::{Config, reference};

#[test]
fn the_page_is_up_to_date() {
    let page = include_str!("../../../docs/text-reference.md");
    assert_eq!(
        page,
        reference::page(),
        "write it again with `lentilctl reference`"
    );
}

/// Parses a text with every key, so that a key that the parser does not know or
/// the reference does not list is a fault.
#[test]
fn every_key_of_the_reference_is_read() {
    let text = r#"
        region = "r"
        objective = "first-token"
        place = [{ name = "p" }]
        class = [{ name = "patient", deadline_s = 60 }]
        model = [{ name = "m", service = "e", weights = 2, adapters = ["a"] }]
        team = [{ name = "t", weight = 2, scope = "s", keys = [], limit = { unit = "tokens", rate = 0.5, burst = 7, uncounted = 3 } }]
        [[service]]
        name = "e"
        kind = "engine"
        depends = ["k"]
        class = "urgent"
        reports_load = true
        checks_fencing = true
        floor = 1
        runners = [{ name = "e-1", place = "p", address = "127.0.0.1:1", role = "prefill" }]
        [[service]]
        name = "k"
        kind = "plain"
        once = [{ method = "PUT", path = "/x" }]
    "#;
    let config = Config::parse(text).expect("the text is valid");
    for table in reference::TABLES {
        for key in table.keys {
            assert!(text.contains(key.name), "{} is not in the text", key.name);
        }
    }
    assert_eq!(config.deadline(lentil_types::Class::Patient).as_secs(), 60);
    assert_eq!(
        config.services[0].runners[0].role,
        lentil_config::Role::Prefill
    );
    let limit = lentil_config::TeamLimit {
        unit: lentil_config::LimitUnit::Tokens,
        rate: lentil_types::UnitRate(0.5),
        burst: lentil_types::Units(7),
        uncounted: Some(lentil_types::Units(3)),
    };
    assert_eq!(config.teams[0].limit, Some(limit));
    assert_eq!(config.models[0].adapters.len(), 1);
    assert!(config.services[1].is_once("PUT", "/x/1"));
}
