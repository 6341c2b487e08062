//! Which runner is used where several registrations name an address.

use lentil_policy::forward::runners::{
    ChangeKind, Incarnation, MembershipChange, Registration, Runners, Settings,
};
use lentil_types::{Instant, ServiceName, SoftwareVersion};
use rstest::rstest;

const CONFIGURED: [&str; 2] = ["desk", "sort"];

fn incarnation(name: &str) -> Incarnation {
    Incarnation {
        name: name.parse().unwrap(),
        boot_id: 0,
    }
}

/// A registration at the one address of these tests.
fn registration(name: &str, service: &str, revision: u64) -> Registration {
    Registration {
        incarnation: incarnation(name),
        address: ([127, 0, 0, 1], 80).into(),
        service: service.parse().unwrap(),
        place: "here".parse().unwrap(),
        software: SoftwareVersion::default(),
        slots: 4,
        is_leaving: false,
        weights: Vec::new(),
        revision,
    }
}

fn services() -> Vec<ServiceName> {
    CONFIGURED.map(|name| name.parse().unwrap()).to_vec()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A runner `old` of `desk` that has answered, and one that is registered there later.
fn with_later(name: &str, service: &str) -> Runners {
    let mut runners = Runners::new(Settings::default());
    runners.set_services(at(0), services());
    runners.on_list(at(0), vec![registration("old", "desk", 1)]);
    runners.on_confirmed(at(1_900), &incarnation("old"), at(1_900));
    runners.on_registration(at(2_000), registration(name, service, 2));
    runners
}

/// Names of the usable runners of `desk` and `sort`.
fn usable(runners: &mut Runners, now: Instant) -> Vec<String> {
    runners.tick(now);
    let services = services();
    let usable = services
        .iter()
        .flat_map(|service| runners.usable(now, service));
    usable
        .map(|runner| runner.registration.incarnation.name.to_string())
        .collect()
}

// An entry of an unknown service took a sound runner away for good (review 10).
#[test]
fn a_registration_of_an_unknown_service_takes_no_runner_away() {
    let mut runners = with_later("odd", "elsewhere");
    assert_eq!(usable(&mut runners, at(2_001)), ["old"]);
    runners.on_removed(at(3_000), "odd");
    assert_eq!(usable(&mut runners, at(3_001)), ["old"]);
    assert_eq!(runners.take_replacements(), []);
}

#[test]
fn a_service_that_becomes_known_counts_with_what_is_registered() {
    let mut runners = with_later("new", "later");
    let mut more = services();
    more.push("later".parse().unwrap());
    runners.set_services(at(2_100), more);
    assert_eq!(usable(&mut runners, at(2_101)), [""; 0]);
    runners.set_services(at(2_200), services());
    assert_eq!(usable(&mut runners, at(2_201)), ["old"]);
}

#[rstest]
#[case::of_the_same_service("desk")]
#[case::of_another_service("sort")]
fn the_later_one_of_two_registrations_is_used(#[case] service: &str) {
    let mut runners = with_later("new", service);
    assert_eq!(usable(&mut runners, at(2_001)), ["new"]);
    let replaced = MembershipChange {
        name: incarnation("old").name,
        kind: ChangeKind::Replaced,
    };
    assert_eq!(runners.take_replacements(), [replaced]);
    runners.on_confirmed(at(2_100), &incarnation("new"), at(2_100));
    assert_eq!(
        usable(&mut runners, at(6_900)),
        ["new"],
        "its answer proves it"
    );
}

#[test]
fn a_runner_is_used_again_once_the_other_registration_is_removed() {
    let mut runners = with_later("new", "desk");
    assert_eq!(usable(&mut runners, at(2_001)), ["new"]);
    runners.on_removed(at(2_500), "new");
    assert_eq!(usable(&mut runners, at(2_501)), ["old"]);
}

#[test]
fn a_refusal_shows_that_the_later_registration_is_wrong() {
    let mut runners = with_later("odd", "desk");
    runners.on_denied(at(2_110), &incarnation("odd"), at(2_100), Some("old"));
    assert_eq!(usable(&mut runners, at(2_120)), ["old"]);
    runners.on_confirmed(at(6_900), &incarnation("old"), at(6_800));
    assert_eq!(usable(&mut runners, at(9_000)), ["old"], "it answers still");
}

#[test]
fn a_runner_that_is_refused_by_an_unknown_one_is_tried_again_after_four_heartbeats() {
    let mut runners = Runners::new(Settings::default());
    runners.on_list(at(0), vec![registration("old", "desk", 1)]);
    runners.on_denied(at(110), &incarnation("old"), at(100), Some("unknown"));
    assert_eq!(usable(&mut runners, at(4_900)), [""; 0]);
    assert_eq!(usable(&mut runners, at(4_901)), ["old"]);
}

#[test]
fn an_answer_from_before_a_refusal_proves_nothing() {
    let mut runners = Runners::new(Settings::default());
    runners.on_list(at(0), vec![registration("old", "desk", 1)]);
    runners.on_denied(at(150), &incarnation("old"), at(100), None);
    runners.on_confirmed(at(200), &incarnation("old"), at(90));
    assert_eq!(usable(&mut runners, at(201)), [""; 0], "it was sent before");
    runners.on_confirmed(at(300), &incarnation("old"), at(110));
    assert_eq!(usable(&mut runners, at(301)), ["old"]);
}

#[test]
fn a_registration_of_a_service_without_requests_takes_a_runner_away_for_seconds_at_most() {
    let mut runners = with_later("odd", "sort");
    assert_eq!(usable(&mut runners, at(6_800)), ["odd"]);
    assert_eq!(
        usable(&mut runners, at(6_801)),
        ["old", "odd"],
        "nothing proves either"
    );
    runners.on_confirmed(at(7_100), &incarnation("old"), at(7_050));
    assert_eq!(usable(&mut runners, at(7_101)), ["old"]);
}

#[test]
fn a_registration_at_a_new_address_has_nothing_against_it() {
    let mut runners = with_later("new", "desk");
    let moved = Registration {
        address: ([127, 0, 0, 2], 80).into(),
        ..registration("old", "desk", 3)
    };
    runners.on_registration(at(2_100), moved);
    assert_eq!(usable(&mut runners, at(2_101)), ["new", "old"]);
}
