//! Membership and health of runners.

use lentil_policy::forward::runners::{
    ChangeKind, HealthSignal, Incarnation, Registration, RequestCost, Runners, SaltHash, SegmentId,
    SegmentKey, Settings, Status, salt,
};
use lentil_types::{Instant, ServiceName, Tokens, WeightsVersion};
use rstest::rstest;

const MODEL: &str = "model";

fn incarnation(name: &str, boot_id: u64) -> Incarnation {
    Incarnation {
        name: name.parse().unwrap(),
        boot_id,
    }
}

/// A registration with an address of its own: the port is the name's first byte.
fn registration(name: &str, boot_id: u64) -> Registration {
    Registration {
        incarnation: incarnation(name, boot_id),
        address: ([127, 0, 0, 1], name.as_bytes()[0].into()).into(),
        service: service(),
        place: "here".parse().unwrap(),
        slots: 4,
        is_leaving: false,
        weights: vec![(MODEL.parse().unwrap(), WeightsVersion(1))],
        revision: 1,
    }
}

fn service() -> ServiceName {
    "sort".parse().unwrap()
}

fn runners(names: &[&str]) -> Runners {
    let mut runners = Runners::new(Settings::default());
    let registrations = names.iter().map(|name| registration(name, 1)).collect();
    runners.on_list(Instant::ZERO, registrations);
    runners
}

fn usable(runners: &Runners, now: Instant) -> Vec<String> {
    let usable = runners.usable(now, &service());
    usable
        .iter()
        .map(|r| r.registration.incarnation.name.to_string())
        .collect()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

#[test]
fn a_runner_whose_address_another_one_has_gets_nothing_more() {
    let later = Registration {
        address: registration("a", 1).address,
        revision: 2,
        ..registration("b", 1)
    };
    // The order of the list makes no difference.
    for registrations in [
        [registration("a", 1), later.clone()],
        [later, registration("a", 1)],
    ] {
        let mut runners = Runners::new(Settings::default());
        runners.on_list(Instant::ZERO, registrations.to_vec());
        assert_eq!(usable(&runners, at(1)), ["b"]);
    }
    let mut runners = runners(&["a", "b"]);
    runners.on_replaced(&incarnation("a", 1));
    assert_eq!(usable(&runners, at(1)), ["b"]);
}

#[test]
fn a_leaving_runner_gets_no_more_requests() {
    let mut runners = runners(&["a", "b"]);
    let leaving = Registration {
        is_leaving: true,
        ..registration("a", 1)
    };
    let change = runners.on_registration(at(1), leaving);
    assert_eq!(change.map(|change| change.kind), Some(ChangeKind::Leaving));
    assert_eq!(usable(&runners, at(1)), ["b"]);
}

#[test]
fn a_removed_runner_is_gone_at_once_while_the_store_is_available() {
    let mut runners = runners(&["a", "b"]);
    let change = runners.on_removed(at(1), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Gone);
    assert_eq!(usable(&runners, at(1)), ["b"]);
}

#[test]
fn registrations_that_lapse_in_an_outage_are_kept_for_the_return_grace() {
    let mut runners = runners(&["a", "b"]);
    runners.on_store_lost();
    runners.on_store_answer(at(10_000));
    let change = runners.on_removed(at(10_050), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Lapsed);
    assert_eq!(usable(&runners, at(11_900)), ["a", "b"]);
    assert!(runners.tick(at(11_900)).is_empty());
    let gone = runners.tick(at(12_000));
    assert_eq!(gone.len(), 1, "not restored within two seconds: gone");
    assert_eq!(usable(&runners, at(12_000)), ["b"]);
}

#[test]
fn a_registration_that_is_restored_after_an_outage_is_kept() {
    let mut runners = runners(&["a"]);
    runners.on_store_lost();
    runners.on_store_answer(at(10_000));
    runners.on_removed(at(10_050), "a");
    runners.on_registration(at(11_000), registration("a", 1));
    assert!(runners.tick(at(13_000)).is_empty());
    assert_eq!(usable(&runners, at(13_000)), ["a"]);
}

#[test]
fn a_leaving_runner_is_not_kept_through_an_outage() {
    let mut runners = runners(&["a"]);
    let leaving = Registration {
        is_leaving: true,
        ..registration("a", 1)
    };
    runners.on_registration(at(1), leaving);
    runners.on_store_lost();
    let change = runners.on_removed(at(2), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Gone);
}

#[test]
fn a_restarted_runner_starts_without_earlier_state() {
    let mut runners = runners(&["a"]);
    let key = SegmentKey::new(
        SegmentId::of("p"),
        SaltHash::of(&salt(WeightsVersion(1), None)),
    );
    let old = runners.get_mut(&incarnation("a", 1)).unwrap();
    old.segments
        .on_used(at(1), key, Tokens(2_000), Tokens(100_000));
    let change = runners
        .on_registration(at(2), registration("a", 2))
        .unwrap();
    assert_eq!(change.kind, ChangeKind::Restarted);
    assert!(runners.get(&incarnation("a", 1)).is_none());
    assert!(
        !runners
            .get(&incarnation("a", 2))
            .unwrap()
            .segments
            .holds(key)
    );
    assert!(!runners.on_status(at(3), &incarnation("a", 1), Status::default()));
}

#[rstest]
#[case(HealthSignal::Failure, 2)]
#[case(HealthSignal::Unreachable, 1)]
fn failures_eject_a_runner_for_a_while(#[case] signal: HealthSignal, #[case] count: usize) {
    let mut runners = runners(&["a", "b", "c"]);
    for _ in 0..count {
        assert_eq!(usable(&runners, at(0)).len(), 3);
        runners.on_health_signal(at(0), &incarnation("a", 1), signal);
    }
    assert_eq!(usable(&runners, at(0)), ["b", "c"]);
    assert_eq!(
        usable(&runners, at(500)).len(),
        3,
        "tried again after the ejection"
    );
    runners.on_health_signal(at(500), &incarnation("a", 1), HealthSignal::Failure);
    assert_eq!(
        usable(&runners, at(950)),
        ["b", "c"],
        "the second ejection is longer"
    );
}

#[test]
fn a_runner_that_fails_half_of_its_requests_is_ejected() {
    let mut runners = runners(&["a", "b", "c"]);
    let mut was_ejected = false;
    for number in 0..20 {
        let signal = if number % 2 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Success
        };
        runners.on_health_signal(at(number), &incarnation("a", 1), signal);
        was_ejected |= usable(&runners, at(number)).len() == 2;
    }
    assert!(was_ejected);
}

#[test]
fn most_of_a_service_is_never_ejected() {
    let mut runners = runners(&["a", "b", "c"]);
    for name in ["a", "b"] {
        runners.on_health_signal(at(0), &incarnation(name, 1), HealthSignal::Unreachable);
    }
    assert_eq!(usable(&runners, at(0)).len(), 3, "all are tried instead");
}

#[test]
fn new_weights_invalidate_cached_segments() {
    let mut runners = runners(&["a"]);
    let key = SegmentKey(7);
    let own = runners.get_mut(&incarnation("a", 1)).unwrap();
    own.segments
        .on_used(at(1), key, Tokens(2_000), Tokens(100_000));
    own.on_weights(&MODEL.parse().unwrap(), WeightsVersion(2));
    assert!(!own.segments.holds(key));
}

#[test]
fn cache_salts_differ_by_version_and_isolated_team() {
    let team = "red".parse().unwrap();
    let salts = [
        salt(WeightsVersion(1), None),
        salt(WeightsVersion(2), None),
        salt(WeightsVersion(1), Some(&team)),
        salt(WeightsVersion(2), Some(&team)),
    ];
    for (index, own) in salts.iter().enumerate() {
        assert!(salts[index + 1..].iter().all(|other| other != own));
    }
    // No team name can produce the salt of another team or version.
    assert!(!salts[1].starts_with(&salts[2]));
}

#[test]
fn other_requests_exclude_those_of_this_router() {
    let mut runners = runners(&["a"]);
    let own = runners.get_mut(&incarnation("a", 1)).unwrap();
    own.on_sent(RequestCost::default());
    let status = Status {
        running: 3,
        ..Status::default()
    };
    runners.on_status(at(1), &incarnation("a", 1), status);
    let own = runners.get_mut(&incarnation("a", 1)).unwrap();
    own.on_sent(RequestCost::default());
    let runner = runners.get(&incarnation("a", 1)).unwrap();
    assert_eq!(
        runner.other_requests(),
        Some(2),
        "one of the three is this router's"
    );
    assert_eq!(runner.in_flight, 2);
}
