//! Membership and health of runners.

use lentil_policy::forward::backlog::RequestHash;
use lentil_policy::forward::runners::{
    CacheGroup, ChangeKind, HealthSignal, Incarnation, LivenessAction, ProbeReport, Registration,
    RequestCost, Runners, SaltHash, SegmentId, SegmentKey, Settings, Share, Status, salt,
};
use lentil_types::{Instant, ServiceName, SoftwareVersion, Tokens, WeightsVersion};
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
        software: SoftwareVersion::default(),
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
    runners.on_denied(at(1), &incarnation("a", 1), at(1), None);
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
    runners.on_store_failure();
    runners.on_store_answer(at(10_000));
    let change = runners.on_removed(at(10_050), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Lapsed);
    assert_eq!(usable(&runners, at(11_900)), ["a", "b"]);
    assert!(runners.tick(at(11_900)).is_empty());
    let gone = runners.tick(at(12_000));
    assert_eq!(gone.len(), 1, "not restored within two seconds: gone");
    assert_eq!(usable(&runners, at(12_000)), ["b"]);
}

// Requests went to a runner that had left for up to a tick longer than the grace.
#[test]
fn a_missing_runner_gets_nothing_from_the_end_of_the_return_grace_on() {
    let mut runners = runners(&["a", "b"]);
    runners.on_store_answer(at(1_000));
    runners.on_store_failure();
    runners.on_store_answer(at(10_000));
    runners.on_removed(at(10_050), "a");
    assert_eq!(usable(&runners, at(11_999)), ["a", "b"]);
    assert_eq!(usable(&runners, at(12_000)), ["b"], "also before a tick");
}

// A call that failed once made each removal of the next two seconds an expiry.
#[test]
fn a_runner_removed_around_a_failure_shorter_than_two_heartbeats_is_gone_at_once() {
    let mut runners = runners(&["a", "b", "c"]);
    runners.on_store_answer(at(1_000));
    runners.on_store_failure();
    let change = runners.on_removed(at(3_300), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Gone, "in another router's list");
    runners.on_store_answer(at(3_399));
    let change = runners.on_removed(at(3_399), "b").unwrap();
    assert_eq!(change.kind, ChangeKind::Gone);
    assert_eq!(usable(&runners, at(3_400)), ["c"]);
}

#[rstest]
#[case::as_long_as_two_heartbeats(Some(1_000), 3_400)]
#[case::never_answered(None, 3_399)]
fn registrations_that_may_have_lapsed_in_an_outage_are_kept(
    #[case] answered_at: Option<u64>,
    #[case] returned_at: u64,
) {
    let mut runners = runners(&["a"]);
    if let Some(answered_at) = answered_at {
        runners.on_store_answer(at(answered_at));
    }
    runners.on_store_failure();
    runners.on_store_answer(at(returned_at));
    let change = runners.on_removed(at(returned_at), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Lapsed);
}

#[test]
fn the_return_grace_does_not_include_a_second_outage() {
    for (second, returned_at) in [(600, 12_600), (3_000, 15_500)] {
        let mut runners = runners(&["a"]);
        runners.on_store_answer(at(1_000));
        runners.on_store_failure();
        runners.on_store_answer(at(10_000));
        runners.on_removed(at(10_050), "a");
        runners.on_store_answer(at(10_500));
        runners.on_store_failure();
        assert_eq!(usable(&runners, at(13_000)), ["a"], "kept while calls fail");
        runners.on_store_answer(at(10_500 + second));
        assert_eq!(usable(&runners, at(returned_at - 1)), ["a"]);
        assert!(usable(&runners, at(returned_at)).is_empty());
    }
}

#[test]
fn a_registration_that_is_restored_after_an_outage_is_kept() {
    let mut runners = runners(&["a"]);
    runners.on_store_failure();
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
    runners.on_store_failure();
    let change = runners.on_removed(at(2), "a").unwrap();
    assert_eq!(change.kind, ChangeKind::Gone);
}

#[test]
fn a_restarted_runner_starts_without_earlier_state() {
    let mut runners = runners(&["a"]);
    let key = SegmentKey::new(
        SegmentId::of("p"),
        SaltHash::of(&salt(WeightsVersion(1), &CacheGroup::default())),
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
    let common = CacheGroup::default();
    let own = CacheGroup::isolated(&"red".parse().unwrap());
    let salts = [
        salt(WeightsVersion(1), &common),
        salt(WeightsVersion(2), &common),
        salt(WeightsVersion(1), &own),
        salt(WeightsVersion(2), &own),
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

/// A status of a runner of [`MODEL`].
fn report() -> Status {
    Status {
        weights: vec![(MODEL.parse().unwrap(), WeightsVersion(1))],
        ..Status::default()
    }
}

/// Sends a request to a runner at a time.
fn send(runners: &mut Runners, name: &str, now: Instant) {
    let cost = RequestCost {
        sent_at: now,
        ..RequestCost::default()
    };
    runners
        .get_mut(&incarnation(name, 1))
        .unwrap()
        .on_sent(cost);
}

/// Actions that are due, each with the runner's name.
fn due(runners: &mut Runners, now: Instant) -> Vec<(String, LivenessAction)> {
    let due = runners.due_actions(now, std::time::Duration::ZERO);
    let named = due
        .into_iter()
        .map(|(incarnation, action)| (incarnation.name.to_string(), action));
    named.collect()
}

#[test]
fn silence_does_not_end_with_the_requests_of_callers_that_leave() {
    let mut runners = runners(&["a", "b", "c"]);
    send(&mut runners, "a", at(100));
    let runner = runners.get_mut(&incarnation("a", 1)).unwrap();
    runner.on_ended(false);
    assert_eq!(runner.silence(at(2_100)), std::time::Duration::from_secs(2));
    runner.on_heard(at(2_200));
    assert_eq!(runner.silence(at(4_000)), std::time::Duration::ZERO);
}

#[test]
fn a_runner_that_owes_an_answer_is_unusable_until_it_or_its_agent_answers() {
    let mut runners = runners(&["a", "b", "c"]);
    let a = incarnation("a", 1);
    let ask = || ("a".to_owned(), LivenessAction::AskAgent);
    assert!(due(&mut runners, at(50)).is_empty(), "it owes nothing");
    send(&mut runners, "a", at(100));
    assert!(due(&mut runners, at(139)).is_empty());
    assert_eq!(due(&mut runners, at(140)), [ask()]);
    assert_eq!(
        due(&mut runners, at(160)),
        [ask()],
        "a datagram may be lost"
    );
    assert_eq!(usable(&runners, at(179)), ["a", "b", "c"]);
    assert_eq!(usable(&runners, at(180)), ["b", "c"]);
    let actions = due(&mut runners, at(180));
    for action in [
        LivenessAction::LogUnresponsive,
        LivenessAction::Probe,
        LivenessAction::TellRouters,
    ] {
        assert!(actions.contains(&("a".to_owned(), action)), "{action}");
    }
    runners.get_mut(&a).unwrap().on_ended(false);
    for ms in (200..5_000).step_by(20) {
        assert_eq!(usable(&runners, at(ms)), ["b", "c"], "at {ms} ms");
        let actions = due(&mut runners, at(ms));
        assert!(!actions.contains(&("a".to_owned(), LivenessAction::TellRouters)));
    }
    assert!(runners.on_heard(at(5_000), &a));
    assert_eq!(usable(&runners, at(5_000)), ["a", "b", "c"]);
    assert!(due(&mut runners, at(9_000)).is_empty(), "it owes nothing");
}

#[test]
fn a_busy_runner_whose_agent_answers_stays_usable() {
    let mut runners = runners(&["a", "b", "c"]);
    send(&mut runners, "a", at(0));
    for ms in (0..3_000).step_by(20) {
        let actions = due(&mut runners, at(ms));
        assert!(
            actions
                .iter()
                .all(|(_, action)| *action == LivenessAction::AskAgent)
        );
        // The agent answers ten milliseconds after each question.
        if !actions.is_empty() {
            runners.on_status(at(ms + 10), &incarnation("a", 1), report());
        }
        assert_eq!(usable(&runners, at(ms + 10)), ["a", "b", "c"], "at {ms} ms");
    }
}

/// Routers that have nothing at a frozen runner would each send it a request to find out.
#[test]
fn what_another_router_finds_unresponsive_is_not_used_until_its_agent_answers() {
    let mut runners = runners(&["a", "b", "c"]);
    let asks = |name: &str| [(name.to_owned(), LivenessAction::AskAgent)];
    runners.on_suspected(at(1_000), &incarnation("a", 1));
    assert_eq!(usable(&runners, at(1_000)), ["b", "c"]);
    assert_eq!(due(&mut runners, at(1_000)), asks("a"));
    let actions = due(&mut runners, at(1_040));
    let tell = ("a".to_owned(), LivenessAction::TellRouters);
    assert!(!actions.contains(&tell), "all routers know");
    assert_eq!(usable(&runners, at(1_400)), ["b", "c"]);
    runners.on_heard(at(1_500), &incarnation("a", 1));
    // A router that is cut off from a runner is wrong about it.
    runners.on_suspected(at(2_000), &incarnation("b", 1));
    assert_eq!(due(&mut runners, at(2_000)), asks("b"));
    runners.on_status(at(2_003), &incarnation("b", 1), report());
    assert_eq!(usable(&runners, at(2_003)), ["a", "b", "c"]);
    // Its word does not count against what has just been heard.
    runners.on_suspected(at(2_004), &incarnation("b", 1));
    assert_eq!(usable(&runners, at(2_004)), ["a", "b", "c"]);
}

/// A mute runner answers its probes and no requests: these move elsewhere, as far as
/// they may be repeated.
#[test]
fn a_runner_without_an_agent_is_used_while_it_answers_probes() {
    let mut runners = runners(&["a", "b", "c"]);
    let a = incarnation("a", 1);
    send(&mut runners, "a", at(0));
    let mut probes = 0;
    let mut unusable = 0;
    for ms in (0..3_000).step_by(10) {
        let probe = ("a".to_owned(), LivenessAction::Probe);
        unusable += u32::from(!usable(&runners, at(ms)).contains(&"a".to_owned()));
        if due(&mut runners, at(ms)).contains(&probe) {
            probes += 1;
            assert!(runners.on_probe_answered(at(ms), &a, ProbeReport::default()));
        }
    }
    assert!((4..=7).contains(&probes), "{probes} probes");
    assert!(unusable <= probes, "not usable {unusable} times");
    let runner = runners.get(&a).unwrap();
    assert_eq!(runner.last_heard(), Instant::ZERO, "its requests are stuck");
}

#[test]
fn a_runner_without_models_is_not_lost_by_a_request_without_an_answer() {
    let mut runners = Runners::new(Settings::default());
    let plain = |name| Registration {
        weights: Vec::new(),
        ..registration(name, 1)
    };
    runners.on_list(Instant::ZERO, vec![plain("a"), plain("b")]);
    send(&mut runners, "a", at(0));
    assert!(due(&mut runners, at(900)).is_empty());
    let runner = runners.get_mut(&incarnation("a", 1)).unwrap();
    runner.on_ended(false);
    assert_eq!(runner.silence(at(1_000)), std::time::Duration::ZERO);
    assert_eq!(usable(&runners, at(1_000)), ["a", "b"]);
}

/// Plays routers that send streams to nine runners, one of which freezes at a random
/// moment, while callers of what it has leave after two seconds. Returns how many
/// requests are sent to it after the freeze, and when the last one is, in milliseconds.
fn sent_to_a_frozen_runner(seed: u64, routers: usize, requests_per_second: u64) -> (u32, u64) {
    use rand::{RngExt as _, SeedableRng as _};
    const RUNNERS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    const PATIENCE_MS: u64 = 2_000;
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut tables: Vec<_> = (0..routers).map(|_| runners(&RUNNERS)).collect();
    for (rank, table) in tables.iter_mut().enumerate() {
        table.set_share(Share {
            routers: Some(routers),
            rank,
        });
        for name in RUNNERS {
            table.on_status(Instant::ZERO, &incarnation(name, 1), report());
        }
    }
    let frozen = incarnation("a", 1);
    let freeze = rng.random_range(1_000..1_100);
    let (mut sent, mut last_sent) = (0, 0);
    // Time, router, runner and whether it ends with a whole answer.
    let mut ends: Vec<(u64, usize, Incarnation, bool)> = Vec::new();
    let mut told = false;
    for ms in 0..freeze + 5_000 {
        for (_, router, runner, is_answered) in ends.extract_if(.., |(end, ..)| *end <= ms) {
            let runner = tables[router].get_mut(&runner).unwrap();
            if is_answered {
                runner.on_heard(at(ms));
            }
            runner.on_ended(is_answered);
        }
        if rng.random_range(0..1_000) < requests_per_second {
            let router = rng.random_range(0..routers);
            let responds = |name: &str| name != "a" || ms < freeze;
            let pick = |among: &[String]| among[rng.random_range(0..among.len())].clone();
            let name = confirmed(&mut tables[router], at(ms), responds, pick);
            let is_lost = name == "a" && ms >= freeze;
            if is_lost {
                (sent, last_sent) = (sent + 1, ms - freeze);
            }
            send(&mut tables[router], &name, at(ms));
            let end = ms
                + if is_lost {
                    PATIENCE_MS
                } else {
                    rng.random_range(30..600)
                };
            let end = if name == "a" && end >= freeze {
                ms + PATIENCE_MS
            } else {
                end
            };
            let is_answered = name != "a" || end < freeze;
            ends.push((end, router, incarnation(&name, 1), is_answered));
        }
        // Streams that run send events.
        for (_, router, runner, _) in &ends {
            if *runner != frozen || ms < freeze {
                tables[*router].get_mut(runner).unwrap().on_heard(at(ms));
            }
        }
        for (router, table) in tables.iter_mut().enumerate() {
            // Each router looks at another moment.
            if !(ms + router as u64 * 7).is_multiple_of(15) {
                continue;
            }
            let delay = std::time::Duration::from_millis(rng.random_range(0..routers as u64));
            for (runner, action) in table.due_actions(at(ms), delay) {
                match action {
                    LivenessAction::AskAgent if runner != frozen || ms < freeze => {
                        table.on_status(at(ms), &runner, report());
                    }
                    LivenessAction::TellRouters => told = true,
                    _ => {}
                }
            }
        }
        if std::mem::take(&mut told) {
            for table in &mut tables {
                table.on_suspected(at(ms), &frozen);
            }
        }
    }
    (sent, last_sent)
}

/// Chooses a runner for a request that may run once as a router does: it asks the agent of a
/// runner that may have frozen, and chooses another one if there is no answer.
fn confirmed(
    runners: &mut Runners,
    now: Instant,
    responds: impl Fn(&str) -> bool,
    mut pick: impl FnMut(&[String]) -> String,
) -> String {
    runners.on_once_request(now, &service());
    let mut candidates = usable(runners, now);
    let is_asked = |name: &String| {
        let runner = runners.get(&incarnation(name, 1));
        runner.is_some_and(|runner| runner.is_being_checked())
    };
    if !candidates.iter().all(is_asked) {
        candidates.retain(|name| !is_asked(name));
    }
    loop {
        let name = pick(&candidates);
        let runner = incarnation(&name, 1);
        if !runners.needs_confirmation(now, &runner) {
            return name;
        }
        runners.on_question(now, &runner);
        if responds(&name) {
            runners.on_answer(now, &runner);
            return name;
        }
        candidates.retain(|other| *other != name);
    }
}

/// The operators count more than a few requests that reach a runner after their callers
/// have left. The traffic of nine runners, as in a deployment of five routers on two days
/// and in one of 103 routers.
#[rstest]
#[case(5, 85)]
#[case(5, 220)]
#[case(103, 137)]
fn few_requests_are_sent_to_a_frozen_runner(#[case] routers: usize, #[case] per_second: u64) {
    let plays: Vec<_> = (0..20)
        .map(|seed| sent_to_a_frozen_runner(seed, routers, per_second))
        .collect();
    let last = plays.iter().map(|(_, last)| *last).max().unwrap();
    assert!(last < 400, "one was sent {last} ms after the freeze");
    let sum: u32 = plays.iter().map(|(sent, _)| *sent).sum();
    let most = plays.iter().map(|(sent, _)| *sent).max().unwrap();
    let mean = f64::from(sum) / plays.len() as f64;
    assert!(mean <= 3.0, "{mean} on average, {most} at most");
    assert!(most <= 3, "{most} of all routers together");
}

/// At the size to design for, silence is noticed before a runner has had another request.
#[test]
fn agents_are_not_asked_for_each_request_where_runners_get_few() {
    let names: Vec<_> = (0..40).map(|number| format!("r{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut runners = runners(&names);
    runners.set_share(Share {
        routers: Some(20),
        rank: 0,
    });
    for name in &names {
        runners.on_status(Instant::ZERO, &incarnation(name, 1), report());
    }
    // Three requests a second for each runner, of all routers.
    for number in 0..60 {
        let now = at(10_000 + number * 167);
        runners.on_once_request(now, &service());
        let name = names[(number * 7 % 40) as usize];
        assert!(!runners.needs_confirmation(now, &incarnation(name, 1)));
        send(&mut runners, name, now);
    }
}

/// A runner without an agent would be asked in vain before each request.
#[test]
fn a_runner_that_answers_probes_is_not_asked_for_each_request() {
    let mut runners = runners(&["a", "b"]);
    let a = incarnation("a", 1);
    for ms in 0..200 {
        runners.on_once_request(at(ms), &service());
    }
    assert!(!runners.needs_confirmation(at(200), &a), "no agent yet");
    runners.on_status(at(100), &a, report());
    assert!(runners.needs_confirmation(at(200), &a));
    assert!(runners.on_question(at(200), &a));
    assert!(!runners.on_question(at(201), &a), "one question at a time");
    assert!(due(&mut runners, at(260)).contains(&("a".to_owned(), LivenessAction::Probe)));
    runners.on_probe_answered(at(262), &a, ProbeReport::default());
    assert!(!runners.needs_confirmation(at(300), &a));
}

/// An older copy of the store shows a runner as ready that is leaving. The same
/// registration, listed again later, says nothing new.
#[test]
fn a_leaving_runner_stays_so_until_its_registration_is_written_again() {
    let mut runners = runners(&["a", "b"]);
    let leaving = Registration {
        is_leaving: true,
        revision: 5,
        ..registration("a", 1)
    };
    runners.on_registration(at(1), leaving);
    runners.on_store_restored();
    let copied = |name| Registration {
        revision: 100,
        ..registration(name, 1)
    };
    for ms in [10, 500, 900] {
        runners.on_list(at(ms), vec![copied("a"), copied("b")]);
        assert_eq!(usable(&runners, at(ms)), ["b"], "at {ms} ms");
    }
    let written = Registration {
        revision: 101,
        ..registration("a", 1)
    };
    runners.on_registration(at(1_000), written);
    assert_eq!(usable(&runners, at(1_000)), ["a", "b"]);
}

/// The answer of an agent in another region takes longer than a frozen one's silence is
/// waited for at first.
#[test]
fn an_agent_far_away_is_waited_for_as_long_as_its_answers_take() {
    const ROUND_TRIP_MS: u64 = 130;
    let mut runners = runners(&["a", "b", "c"]);
    let a = incarnation("a", 1);
    let mut answers = Vec::new();
    let mut unusable = 0;
    for ms in (0..20_000).step_by(10) {
        if ms % 400 == 0 {
            send(&mut runners, "a", at(ms));
        }
        if answers.first().is_some_and(|due| *due <= ms) {
            answers.clear();
            runners.on_status(at(ms), &a, report());
            runners.get_mut(&a).unwrap().on_ended(true);
        }
        let actions = due(&mut runners, at(ms));
        if actions.contains(&("a".to_owned(), LivenessAction::AskAgent)) {
            answers.push(ms + ROUND_TRIP_MS);
        }
        // The runner takes longer than its agent.
        unusable += u32::from(usable(&runners, at(ms)).len() < 3);
    }
    // Once, until the first answer has shown how long it takes.
    assert!(unusable <= 15, "not usable for {unusable} times 10 ms");
}

/// An answer proves that nothing was registered before its call began, and not later.
#[test]
fn registrations_are_current_up_to_the_beginning_of_the_last_call() {
    let mut runners = runners(&["a"]);
    assert!(!runners.is_current(Instant::ZERO), "no call was answered");
    runners.on_store_answer(at(1_500));
    runners.on_store_applied(at(1_000));
    assert!(runners.is_current(at(1_000)));
    assert!(!runners.is_current(at(1_001)));
    runners.on_store_applied(at(900));
    assert!(
        runners.is_current(at(1_000)),
        "an older call takes nothing back"
    );
}

/// Requests stayed at runners that answered probes and had lost them.
#[rstest]
#[case::runs(vec!["own"], 0, true)]
#[case::may_wait(vec![], 1, true)]
#[case::another_runs(vec!["other"], 0, false)]
#[case::idle(vec![], 0, false)]
fn an_answer_to_a_probe_counts_only_if_it_shows_the_request(
    #[case] runs: Vec<&str>,
    #[case] waiting: u32,
    #[case] has_request: bool,
) {
    let timeout = std::time::Duration::from_millis(100);
    let mut runners = runners(&["a"]);
    let a = incarnation("a", 1);
    let own = RequestHash::of("own");
    let shows =
        |runners: &Runners, ms| runners.get(&a).unwrap().shows_request(at(ms), timeout, own);
    assert!(!shows(&runners, 0), "not probed");
    let runs = runs.into_iter().map(RequestHash::of).collect();
    runners.on_probe_answered(at(10), &a, ProbeReport { runs, waiting });
    assert_eq!(shows(&runners, 20), has_request);
}
