//! Which software version began a stream.

use std::time;

use lentil_policy::forward::{
    backlog::RequestHash,
    runners::{Incarnation, Registration, Runners, Settings},
    stream_origins::{Origin, OriginLookup, RecentStreams},
};
use lentil_types::{Instant, ServiceName, SoftwareVersion, WeightsVersion};

const SPAN: time::Duration = time::Duration::from_secs(6);

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

fn service() -> ServiceName {
    "sort".parse().unwrap()
}

fn origin(software: &str) -> Origin {
    Origin {
        service: service(),
        software: version(software),
    }
}

fn registration(name: &str, software: &str) -> Registration {
    Registration {
        incarnation: Incarnation {
            name: name.parse().unwrap(),
            boot_id: 1,
        },
        address: format!("10.0.0.{}:80", name.len()).parse().unwrap(),
        service: service(),
        place: "here".parse().unwrap(),
        software: version(software),
        slots: 4,
        is_leaving: false,
        weights: Vec::new(),
        revision: 1,
    }
}

#[test]
fn streams_are_remembered_for_a_limited_time() {
    let mut streams = RecentStreams::default();
    let stream = RequestHash(7);
    streams.note(at(0), stream, version("v1"), SPAN);
    assert_eq!(streams.get(at(5_900), stream), Some(&version("v1")));
    assert_eq!(streams.get(at(6_100), stream), None);
    // Noted again, it is remembered from then on.
    streams.note(at(5_000), stream, version("v1"), SPAN);
    streams.note(at(7_000), RequestHash(8), version("v1"), SPAN);
    assert_eq!(streams.get(at(7_000), stream), Some(&version("v1")));
}

#[test]
fn the_memory_of_streams_is_bounded() {
    let mut streams = RecentStreams::default();
    for number in 0..20_000 {
        streams.note(at(number), RequestHash(number), (), SPAN);
    }
    assert_eq!(streams.get(at(20_000), RequestHash(19_999)), Some(&()));
    assert_eq!(streams.get(at(20_000), RequestHash(14_500)), None);
}

#[test]
fn a_service_has_a_sole_version_only_once_no_other_may_have_begun_a_stream() {
    let mut runners = Runners::new(Settings::default());
    let sole = |runners: &Runners, now| runners.sole_software(now, &service(), SPAN).cloned();
    runners.on_registration(at(0), registration("a", "v1"));
    assert_eq!(sole(&runners, at(1_000)), None, "known too shortly");
    assert_eq!(sole(&runners, at(6_000)), Some(version("v1")));
    runners.on_registration(at(7_000), registration("bb", "v2"));
    assert_eq!(sole(&runners, at(20_000)), None);
    runners.on_removed(at(21_000), "a");
    assert_eq!(sole(&runners, at(26_000)), None, "v1 has just left");
    assert_eq!(sole(&runners, at(27_100)), Some(version("v2")));
    let departed = registration("a", "v1").incarnation;
    assert_eq!(runners.origin(&departed), Some(origin("v1")));
}

#[test]
fn an_unknown_service_has_no_sole_version() {
    let runners = Runners::new(Settings::default());
    assert_eq!(runners.sole_software(at(60_000), &service(), SPAN), None);
}

#[test]
fn agents_decide_only_if_they_agree_and_a_router_always() {
    let mut lookup = OriginLookup::default();
    assert!(!lookup.has_answer());
    lookup.on_agent(origin("v1"));
    lookup.on_agent(origin("v1"));
    assert_eq!(lookup.clone().into_origin(), Some(origin("v1")));
    lookup.on_agent(origin("v2"));
    assert_eq!(lookup.clone().into_origin(), None);
    lookup.on_router(origin("v2"));
    assert!(lookup.is_confirmed());
    assert_eq!(lookup.into_origin(), Some(origin("v2")));
}

/// Guards against waits for a version whose runners leave: they take no more requests.
#[test]
fn a_version_is_there_until_all_its_runners_leave() {
    let mut runners = Runners::new(Settings::default());
    let has = |runners: &Runners, software| runners.has_software(&service(), &version(software));
    runners.on_registration(at(0), registration("a", "v1"));
    runners.on_registration(at(0), registration("bb", "v2"));
    assert!(has(&runners, "v1"));
    let leaving = Registration {
        is_leaving: true,
        ..registration("a", "v1")
    };
    runners.on_registration(at(1), leaving);
    assert!(!has(&runners, "v1"));
    assert!(has(&runners, "v2"));
}

/// Guards against a stream that no router finds again because runners came or left since it
/// began.
#[test]
fn routers_that_know_different_runners_ask_one_that_keeps_the_stream() {
    let mut before = Runners::new(Settings::default());
    let mut after = Runners::new(Settings::default());
    for number in 0..24 {
        let registration = Registration {
            weights: vec![("model".parse().unwrap(), WeightsVersion(1))],
            ..registration(&format!("r{number:02}"), "v1")
        };
        // A third has left since, and as many have come.
        if number < 16 {
            before.on_registration(at(0), registration.clone());
        }
        if number >= 8 {
            after.on_registration(at(0), registration);
        }
    }
    let names = |runners: &Runners, stream, count| -> Vec<_> {
        let keepers = runners.stream_keepers(&service(), stream, count);
        let incarnations = keepers
            .iter()
            .map(|runner| &runner.registration.incarnation);
        incarnations
            .map(|incarnation| incarnation.name.clone())
            .collect()
    };
    let mut missed = 0;
    for number in 0..1_000 {
        let stream = RequestHash(number);
        let kept = names(&before, stream, 3);
        assert_eq!(kept.len(), 3);
        let asked = names(&after, stream, 4);
        let is_there = |name| after.incarnation(name).is_some();
        let is_kept = kept.iter().any(|name| is_there(name));
        missed += u32::from(is_kept && !kept.iter().any(|name| asked.contains(name)));
    }
    assert!(
        missed <= 50,
        "{missed} of 1,000 streams are asked of all agents"
    );
}
