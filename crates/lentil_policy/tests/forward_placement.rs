//! Placement of requests, shared segments and the wait queue.

use std::time;

use lentil_policy::forward::{
    pace,
    placement::{self, Choice, Context, Refusal, Requirements, Settings},
    routing::{CacheStore, Engine},
    runners::{
        self, CacheGroup, Incarnation, LivenessAction, Registration, RequestCost, Runners,
        SaltHash, SegmentId, SegmentKey, Status,
    },
};
use lentil_types::{
    Instant, ModelName, PlaceName, RequestRate, RunnerName, ServiceName, SoftwareVersion, Tokens,
    WeightsVersion,
};
use rand::SeedableRng as _;
use rstest::rstest;

const LONG: [(&str, u64); 2] = [("rules", 13_000), ("lot", 4_000)];
const SHORT: [(&str, u64); 2] = [("rules", 60), ("tag", 300)];

/// A router's knowledge of the runners.
struct RouterFixture {
    now: Instant,
    settings: Settings,
    runners: Runners,
    service: ServiceName,
    model: ModelName,
    place: PlaceName,
    engine: Engine,
    targets: Vec<(WeightsVersion, Instant)>,
    stores: Vec<placement::Store<'static>>,
    cache_group: CacheGroup,
    time_left: time::Duration,
    max_status_age: Option<time::Duration>,
    runs_once: bool,
    rng: rand_pcg::Pcg64Mcg,
}

impl RouterFixture {
    fn new(count: usize, seed: u64) -> Self {
        let mut runners = Runners::new(runners::Settings::default());
        let registrations = (0..count).map(registration).collect();
        runners.on_list(Instant::ZERO, registrations);
        Self {
            now: Instant::from_millis(10),
            settings: Settings::default(),
            runners,
            service: "sort".parse().unwrap(),
            model: "model".parse().unwrap(),
            place: "here".parse().unwrap(),
            engine: Engine {
                slots: 12,
                capacity: Tokens(140_000),
                token_bytes: 160_000.0,
                link_rate: 1e11,
                models: Vec::new(),
            },
            targets: Vec::new(),
            stores: Vec::new(),
            cache_group: CacheGroup::default(),
            time_left: time::Duration::from_secs(6),
            max_status_age: None,
            runs_once: false,
            rng: rand_pcg::Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn choose(
        &mut self,
        segments: &[(&str, u64)],
        exclude: &[RunnerName],
    ) -> Result<Choice, Refusal> {
        let segments: Vec<_> = segments
            .iter()
            .map(|(id, tokens)| (SegmentId::of(id), Tokens(*tokens)))
            .collect();
        let requirements = Requirements {
            service: &self.service,
            model: Some(&self.model),
            targets: &self.targets,
            segments: &segments,
            cache_group: &self.cache_group,
            body_bytes: 100,
            place: &self.place,
            time_left: self.time_left,
            objective_left: time::Duration::from_millis(800),
            stores: &self.stores,
            max_status_age: self.max_status_age,
            runs_once: self.runs_once,
            only_runner: None,
            software: None,
        };
        placement::choose(
            Context {
                now: self.now,
                settings: &self.settings,
                runners: &self.runners,
                engine: Some(&self.engine),
            },
            &requirements,
            exclude,
            &mut self.rng,
        )
    }

    fn add_segment(&mut self, number: usize, segment: &str) {
        let salt = runners::salt(WeightsVersion(1), &CacheGroup::default());
        let key = SegmentKey::new(SegmentId::of(segment), SaltHash::of(&salt));
        let now = self.now;
        let runner = self.runners.get_mut(&incarnation(number)).unwrap();
        runner
            .segments
            .on_used(now, key, Tokens(13_000), Tokens(140_000));
    }

    fn report_status(&mut self, number: usize, status: Status) {
        let weights = vec![(self.model.clone(), WeightsVersion(1))];
        let status = Status {
            weights: if status.weights.is_empty() {
                weights
            } else {
                status.weights
            },
            ..status
        };
        self.runners
            .on_status(self.now, &incarnation(number), status);
    }
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation {
        name: format!("r{number}").parse().unwrap(),
        boot_id: 1,
    }
}

fn registration(number: usize) -> Registration {
    Registration {
        incarnation: incarnation(number),
        address: format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
        service: "sort".parse().unwrap(),
        place: "here".parse().unwrap(),
        software: SoftwareVersion::default(),
        slots: 12,
        is_leaving: false,
        weights: vec![("model".parse().unwrap(), WeightsVersion(1))],
        revision: 1,
    }
}

#[test]
fn a_runner_with_the_shared_segment_cached_is_chosen() {
    let mut router = RouterFixture::new(9, 1);
    router.add_segment(5, "rules");
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(5));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
    assert_eq!(choice.source, None);
}

#[test]
fn another_runner_fetches_the_segment_from_a_busy_holder() {
    let mut router = RouterFixture::new(9, 1);
    router.add_segment(5, "rules");
    router.report_status(
        5,
        Status {
            backlog: Tokens(60_000),
            ..Status::default()
        },
    );
    router.add_segment(5, "rules");
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_ne!(choice.incarnation, incarnation(5));
    assert_eq!(choice.source, Some("127.0.0.1:1005".parse().unwrap()));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
}

#[test]
fn routers_agree_on_the_home_of_an_uncached_segment() {
    let homes = (0..20).map(|seed| {
        RouterFixture::new(9, seed)
            .choose(&LONG, &[])
            .unwrap()
            .incarnation
    });
    let mut homes: Vec<_> = homes.collect();
    homes.dedup();
    assert_eq!(homes.len(), 1);
}

#[test]
fn segments_are_spread_over_the_runners() {
    let mut router = RouterFixture::new(9, 1);
    let mut counts = [0; 9];
    for number in 0..900 {
        let name = format!("part-{number}");
        let segments = [(name.as_str(), 13_000), ("lot", 4_000)];
        let choice = router.choose(&segments, &[]).unwrap();
        let index: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn an_isolated_team_does_not_use_segments_of_other_teams() {
    let mut router = RouterFixture::new(9, 1);
    let home = router.choose(&LONG, &[]).unwrap();
    let is_home = |number: &usize| {
        incarnation(*number) == home.incarnation
            || Some(registration(*number).address) == home.source
    };
    let other = (0..9).find(|number| !is_home(number)).unwrap();
    router.add_segment(other, "rules");
    router.cache_group = CacheGroup::isolated(&"red".parse().unwrap());
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.request_cost.uncached, Tokens(17_000));
    assert!(choice.prefills);
    assert_ne!(choice.source, Some(registration(other).address));
}

#[test]
fn short_requests_avoid_runners_with_long_prompts() {
    let mut router = RouterFixture::new(4, 1);
    for number in 0..3 {
        router.report_status(
            number,
            Status {
                running: 1,
                backlog: Tokens(17_000),
                ..Status::default()
            },
        );
    }
    // The runner without a long prompt has three short requests.
    router.report_status(
        3,
        Status {
            running: 3,
            ..Status::default()
        },
    );
    for _ in 0..20 {
        assert_eq!(
            router.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(3)
        );
    }
}

#[test]
fn a_runner_that_changes_weights_gets_no_requests() {
    let mut router = RouterFixture::new(2, 1);
    router.report_status(
        0,
        Status {
            is_changing: true,
            ..Status::default()
        },
    );
    for _ in 0..20 {
        assert_eq!(
            router.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(1)
        );
    }
}

#[test]
fn old_weights_cost_nothing_in_their_grace_and_are_never_used_past_their_limit() {
    let mut router = RouterFixture::new(2, 1);
    router.report_status(
        0,
        Status {
            weights: vec![("model".parse().unwrap(), WeightsVersion(2))],
            running: 3,
            ..Status::default()
        },
    );
    let newest = WeightsVersion(2);
    router.targets = vec![(newest, Instant::ZERO)];
    router.now = Instant::from_millis(100);
    assert_eq!(
        router.choose(&SHORT, &[]).unwrap().version,
        Some(WeightsVersion(1))
    );
    router.now = Instant::ZERO + router.settings.old_grace;
    assert_eq!(router.choose(&SHORT, &[]).unwrap().version, Some(newest));
    router.now = Instant::ZERO + router.settings.old_limit;
    let exclude = [incarnation(0).name];
    assert_eq!(router.choose(&SHORT, &exclude), Err(Refusal::NoRunner));
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut router = RouterFixture::new(2, 1);
    for number in 0..2 {
        router.report_status(
            number,
            Status {
                backlog: Tokens(400_000),
                ..Status::default()
            },
        );
    }
    let refusal = router.choose(&SHORT, &[]).unwrap_err();
    let Refusal::TooLate { wait } = refusal else {
        panic!("{refusal:?}");
    };
    assert!(wait >= time::Duration::from_secs(7), "{wait:?}");
}

#[test]
fn a_segment_in_prefill_is_not_prefilled_elsewhere() {
    let mut router = RouterFixture::new(5, 1);
    let home = router.choose(&LONG, &[]).unwrap().incarnation;
    let prefiller = (0..5).find(|number| incarnation(*number) != home).unwrap();
    let salt = runners::salt(WeightsVersion(1), &CacheGroup::default());
    let key = SegmentKey::new(SegmentId::of("rules"), SaltHash::of(&salt));
    router.report_status(
        prefiller,
        Status {
            prefilling: vec![key],
            backlog: Tokens(5_000),
            ..Status::default()
        },
    );
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(prefiller));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
    assert!(!choice.prefills);
}

#[test]
fn a_prompt_goes_to_a_runner_with_free_memory() {
    let mut router = RouterFixture::new(2, 1);
    router.add_segment(0, "rules");
    let full = Status {
        committed: Tokens(135_000),
        capacity: Tokens(140_000),
        ..Status::default()
    };
    router.report_status(0, full);
    router.add_segment(0, "rules");
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_eq!(
        choice.incarnation,
        incarnation(1),
        "the holder would preempt other requests"
    );
    assert_eq!(choice.source, Some("127.0.0.1:1000".parse().unwrap()));
}

#[test]
fn a_long_prompt_waits_until_a_runner_has_a_small_backlog() {
    let mut router = RouterFixture::new(2, 1);
    for number in 0..2 {
        router.report_status(
            number,
            Status {
                backlog: Tokens(30_000 + 10_000 * number as u64),
                ..Status::default()
            },
        );
    }
    let refusal = router.choose(&LONG, &[]).unwrap_err();
    let Refusal::Busy { wait } = refusal else {
        panic!("{refusal:?}");
    };
    let expected = 30_000.0 / router.settings.prefill_rate - router.settings.max_backlog;
    assert!(
        (wait.as_secs_f64() * 1e3 - expected).abs() < 1.0,
        "{wait:?}"
    );
    assert!(
        router.choose(&SHORT, &[]).is_ok(),
        "short requests do not wait"
    );
    router.now = router.now + wait + time::Duration::from_millis(1);
    assert_eq!(
        router.choose(&LONG, &[]).unwrap().incarnation,
        incarnation(0)
    );
}

/// Homes used to depend on each router's estimate of the demand, on the weights and on
/// the health of runners: half of the requests of a segment met another home.
#[test]
fn homes_do_not_depend_on_what_a_router_has_seen() {
    for number in 0..60 {
        let segment = format!("part-{number}");
        let prompt = [(segment.as_str(), 13_000), ("lot", 4_000)];
        let mut router = RouterFixture::new(10, 1);
        let home = router.choose(&prompt, &[]).unwrap();
        assert_eq!(home.home_rank, Some(0));
        let mut other = RouterFixture::new(10, 2);
        for runner in 0..10 {
            let version = WeightsVersion(1 + runner as u32 % 2);
            other.report_status(
                runner,
                Status {
                    weights: vec![("model".parse().unwrap(), version)],
                    ..Status::default()
                },
            );
        }
        let choice = other.choose(&prompt, &[]).unwrap();
        assert_eq!(choice.incarnation, home.incarnation);
        let exclude = [home.incarnation.name.clone()];
        let second = other.choose(&prompt, &exclude).unwrap();
        assert_eq!(second.home_rank, Some(1), "an exclusion makes no new homes");
    }
}

#[test]
fn a_long_prompt_waits_while_no_runner_has_a_small_backlog() {
    let mut router = RouterFixture::new(5, 1);
    for number in 0..5 {
        router.report_status(
            number,
            Status {
                running: 1,
                backlog: Tokens(30_000),
                ..Status::default()
            },
        );
    }
    assert!(matches!(
        router.choose(&LONG, &[]),
        Err(Refusal::Busy { .. })
    ));
    assert!(router.choose(&SHORT, &[]).is_ok());
}

/// A runner with a full memory or without a free slot preempts long prompts, and
/// computes them again. On the heaviest day of a fleet of 144 runners each prompt was
/// preempted more than once.
#[rstest]
#[case::memory(Status { running: 2, committed: Tokens(125_000), capacity: Tokens(131_000), ..Status::default() })]
#[case::slots(Status { running: 4, waiting: 2, committed: Tokens(20_000), capacity: Tokens(131_000), ..Status::default() })]
fn a_long_prompt_waits_until_a_runner_has_room(#[case] full: Status) {
    let mut router = RouterFixture::new(3, 1);
    for number in 0..3 {
        router.report_status(number, full.clone());
    }
    let Err(Refusal::Busy { wait }) = router.choose(&LONG, &[]) else {
        panic!("there is no room");
    };
    assert!(wait > time::Duration::ZERO, "there is none at once either");
    assert!(router.choose(&SHORT, &[]).is_ok(), "a short one fits");
    let free = Status {
        running: 2,
        committed: Tokens(20_000),
        capacity: Tokens(131_000),
        ..Status::default()
    };
    router.report_status(1, free);
    assert_eq!(
        router.choose(&LONG, &[]).unwrap().incarnation,
        incarnation(1)
    );
}

#[test]
fn a_prompt_that_no_runner_can_hold_does_not_wait_for_room() {
    let mut router = RouterFixture::new(3, 1);
    for number in 0..3 {
        let status = Status {
            running: 1,
            committed: Tokens(2_000),
            capacity: Tokens(16_000),
            ..Status::default()
        };
        router.report_status(number, status);
    }
    assert!(
        router.choose(&LONG, &[]).is_ok(),
        "the runner refuses it at once"
    );
}

#[test]
fn a_refused_caller_returns_when_a_runner_is_expected_to_have_room() {
    let (min, wait) = (
        time::Duration::from_millis(500),
        time::Duration::from_secs(2),
    );
    assert_eq!(Refusal::Busy { wait }.retry_after(min), wait);
    assert_eq!(Refusal::TooLate { wait }.retry_after(min), wait);
    let wait = time::Duration::from_millis(3);
    assert_eq!(
        Refusal::Busy { wait }.retry_after(min),
        min,
        "not all at once"
    );
    assert_eq!(Refusal::NoRunner.retry_after(min), min);
}

/// Old statuses show runners as idle that were idle then. Under overload they
/// attracted every long prompt, because the current ones show that runners are busy.
#[test]
fn a_long_prompt_does_not_go_to_a_runner_with_an_old_status() {
    let mut router = RouterFixture::new(4, 1);
    router.report_status(0, Status::default());
    router.now = Instant::from_millis(5_000);
    let busy = Status {
        running: 5,
        backlog: Tokens(40_000),
        ..Status::default()
    };
    for number in 1..4 {
        router.report_status(number, busy.clone());
    }
    assert_eq!(
        router.choose(&LONG, &[]).unwrap().incarnation,
        incarnation(0)
    );
    router.max_status_age = Some(time::Duration::from_millis(60));
    assert!(matches!(
        router.choose(&LONG, &[]),
        Err(Refusal::Busy { .. })
    ));
}

const STORE_LINK: f64 = 5e10;

fn stores(count: u16) -> Vec<CacheStore> {
    let store = |number| CacheStore {
        address: ([172, 20, 0, 1], 8_000 + number).into(),
        place: "there".parse().unwrap(),
        link_rate: STORE_LINK,
    };
    (0..count).map(store).collect()
}

/// Only the routers that follow a store used to save to it, and only to the one in
/// their data centre.
#[test]
fn every_router_saves_a_segment_to_the_same_store_and_looks_for_it_there() {
    let infos: &'static [CacheStore] = Box::leak(stores(6).into_boxed_slice());
    let mut counts = [0; 6];
    for number in 0..600 {
        let segment = format!("part-{number}");
        let prompt = [(segment.as_str(), 13_000), ("lot", 4_000)];
        let mut choices = Vec::new();
        for seed in 0..2 {
            let mut router = RouterFixture::new(9, seed);
            // A home with a current status does not hold it.
            for runner in 0..9 {
                router.report_status(runner, Status::default());
            }
            router.stores = infos
                .iter()
                .map(|info| placement::Store { info, keys: None })
                .collect();
            choices.push(router.choose(&prompt, &[]).unwrap());
        }
        let store = choices[0].store.expect("a store");
        assert_eq!(choices[1].store, Some(store));
        assert!(choices[0].prefills && choices[0].source == Some(store));
        // The whole prompt crosses the link, at half the speed between data centres.
        assert_eq!(choices[0].save_bytes, 17_000.0 * 160_000.0 * 2.0);
        let index = infos.iter().position(|info| info.address == store).unwrap();
        counts[index] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..140).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn short_segments_meet_at_a_home_and_are_not_saved() {
    let infos: &'static [CacheStore] = Box::leak(stores(2).into_boxed_slice());
    let prompt = [("claims", 568), ("proof", 400)];
    let mut names = Vec::new();
    for seed in 0..20 {
        let mut router = RouterFixture::new(9, seed);
        router.stores = infos
            .iter()
            .map(|info| placement::Store { info, keys: None })
            .collect();
        let choice = router.choose(&prompt, &[]).unwrap();
        assert_eq!(choice.store, None);
        assert!(choice.source.is_none_or(|source| source.ip().is_loopback()));
        names.push(choice.incarnation.name);
    }
    names.sort();
    names.dedup();
    assert!(names.len() <= 2, "{names:?}");
}

#[test]
fn a_runner_that_is_silent_with_requests_in_flight_is_avoided() {
    let mut router = RouterFixture::new(2, 1);
    for number in 0..2 {
        router.report_status(number, Status::default());
    }
    // The first runner has a request of this router; neither has sent a byte since.
    let cost = RequestCost {
        sent_at: router.now,
        ..RequestCost::default()
    };
    router
        .runners
        .get_mut(&incarnation(0))
        .unwrap()
        .on_sent(cost);
    router.now = router.now + time::Duration::from_millis(400);
    for _ in 0..20 {
        assert_eq!(
            router.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(1)
        );
    }
    let now = router.now;
    router
        .runners
        .get_mut(&incarnation(0))
        .unwrap()
        .on_heard(now);
    router.settings.max_jitter = 20.0;
    let mut chosen: Vec<_> = (0..40)
        .map(|_| router.choose(&SHORT, &[]).unwrap().incarnation)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 2, "the silence has ended");
}

/// Guards against requests for a runner that has rejected some while another has room,
/// and against a rejection of a long prompt where no runner has room.
#[test]
fn a_runner_whose_limit_is_reached_is_avoided_and_long_prompts_wait() {
    let mut router = RouterFixture::new(2, 1);
    for number in 0..2 {
        router.report_status(number, Status::default());
    }
    let reach_limit = |router: &mut RouterFixture, number| {
        let now = router.now;
        let runner = router.runners.get_mut(&incarnation(number)).unwrap();
        runner.on_sent(RequestCost::default());
        runner.concurrency.on_rejected(now, now, 1);
    };
    reach_limit(&mut router, 0);
    for prompt in [&SHORT, &LONG] {
        for _ in 0..20 {
            let choice = router.choose(prompt, &[]).unwrap();
            assert_eq!(choice.incarnation, incarnation(1));
        }
    }
    reach_limit(&mut router, 1);
    let wait = time::Duration::ZERO;
    assert_eq!(
        router.choose(&LONG, &[]).unwrap_err(),
        placement::Refusal::Busy { wait }
    );
    assert!(router.choose(&SHORT, &[]).is_ok());
}

#[test]
fn a_request_that_may_run_once_avoids_a_runner_whose_agent_has_not_answered_yet() {
    let mut router = RouterFixture::new(2, 1);
    // The other runner is far busier.
    let busy = Status {
        running: 4,
        backlog: Tokens(4_000),
        ..Status::default()
    };
    router.report_status(1, busy);
    let cost = RequestCost {
        sent_at: router.now,
        ..RequestCost::default()
    };
    let runner = router.runners.get_mut(&incarnation(0)).unwrap();
    runner.on_sent(cost);
    router.now = router.now + time::Duration::from_millis(45);
    let asked = router.runners.due_actions(router.now, time::Duration::ZERO);
    assert_eq!(asked, [(incarnation(0), LivenessAction::AskAgent)]);
    let chosen = |router: &mut RouterFixture| router.choose(&SHORT, &[]).unwrap().incarnation;
    assert_eq!(chosen(&mut router), incarnation(0));
    router.runs_once = true;
    assert_eq!(chosen(&mut router), incarnation(1));
    router.report_status(0, Status::default());
    assert_eq!(chosen(&mut router), incarnation(0));
}

#[test]
fn a_runner_that_has_had_as_much_as_it_allows_is_passed_over() {
    let mut router = RouterFixture::new(2, 1);
    let busy = Status {
        running: 4,
        backlog: Tokens(4_000),
        ..Status::default()
    };
    router.report_status(1, busy);
    let share = runners::Share {
        routers: Some(1),
        rank: 0,
    };
    router.runners.set_share(share);
    let now = router.now;
    let name_limit = |router: &mut RouterFixture, number| {
        let said = runners::Announcement {
            limit: Some(RequestRate(0.5)),
            ..runners::Announcement::default()
        };
        let named = incarnation(number);
        let news = router.runners.on_announcement(now, &named, now, &said);
        assert_eq!(news.changes.len(), 1);
        assert!(router.runners.admit(now, &incarnation(number)).is_some());
    };
    assert_eq!(
        router.choose(&SHORT, &[]).unwrap().incarnation,
        incarnation(0)
    );
    name_limit(&mut router, 0);
    assert_eq!(
        router.choose(&SHORT, &[]).unwrap().incarnation,
        incarnation(1)
    );
    name_limit(&mut router, 1);
    router.now = now + time::Duration::from_millis(1_000);
    // Each allows one request in four seconds.
    let refusal = router.choose(&SHORT, &[]).unwrap_err();
    let expected = Refusal::Limited {
        wait: time::Duration::from_secs(3),
        interval: time::Duration::from_secs(2),
    };
    assert_eq!(refusal, expected);
    router.now = now + time::Duration::from_secs(4);
    assert!(router.choose(&SHORT, &[]).is_ok());
}

#[test]
fn a_reported_backlog_shrinks_with_time() {
    let mut router = RouterFixture::new(1, 1);
    router.report_status(
        0,
        Status {
            backlog: Tokens(50_000),
            ..Status::default()
        },
    );
    let first = router.choose(&SHORT, &[]).unwrap().expected_ms;
    router.now = router.now + time::Duration::from_millis(800);
    let later = router.choose(&SHORT, &[]).unwrap().expected_ms;
    assert!(later < first / 3.0, "{first} ms, then {later} ms");
}

/// Simulates routers that send long and short prompts to runners, which compute them
/// in order of arrival. Returns the first byte times of the short ones in
/// milliseconds, sorted. `reports_backlog`: whether agents report backlogs.
fn short_prompt_waits(reports_backlog: bool) -> Vec<f64> {
    const RUNNERS: usize = 9;
    const ROUTERS: usize = 5;
    const RATE: f64 = 50.0;
    let mut routers: Vec<_> = (0..ROUTERS)
        .map(|n| RouterFixture::new(RUNNERS, n as u64))
        .collect();
    let mut free_at = [0.0f64; RUNNERS];
    let mut waits = Vec::new();
    // Requests without an answer: answer time in milliseconds, router, runner, cost.
    let mut in_flight: Vec<(f64, usize, usize, RequestCost)> = Vec::new();
    for step in 0..8_000usize {
        let ms = step as f64 * 4.0;
        let now = Instant::from_millis(10 + step as u64 * 4);
        for (_, router, index, cost) in in_flight.extract_if(.., |(done, ..)| *done <= ms) {
            let runner = routers[router]
                .runners
                .get_mut(&incarnation(index))
                .unwrap();
            runner.on_settled(cost);
            runner.on_ended(true);
        }
        // One in nine is long: 63% of what the runners can compute.
        let is_long = step % 9 == 0;
        let name = format!("part-{}", step % 93);
        let segments: &[(&str, u64)] = if is_long {
            &[(name.as_str(), 8_000), ("lot", 1_300)]
        } else {
            &[("rules", 60), ("tag", 300)]
        };
        let router = &mut routers[step % ROUTERS];
        router.now = now;
        let choice = router.choose(segments, &[]).unwrap();
        let index: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
        let tokens: u64 = segments.iter().map(|(_, tokens)| *tokens).sum();
        free_at[index] = free_at[index].max(ms) + tokens as f64 / RATE;
        if !is_long {
            waits.push(free_at[index] - ms);
        }
        let cost = RequestCost {
            uncached: Tokens(tokens),
            memory: Tokens(tokens),
            sent_at: now,
        };
        router
            .runners
            .get_mut(&choice.incarnation)
            .unwrap()
            .on_sent(cost);
        in_flight.push((free_at[index], step % ROUTERS, index, cost));
        if reports_backlog && is_long {
            let remaining = Tokens(((free_at[index] - ms) * RATE) as u64);
            for router in &mut routers {
                router.now = now;
                router.report_status(
                    index,
                    Status {
                        backlog: remaining,
                        ..Status::default()
                    },
                );
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

#[test]
fn short_requests_are_on_time_beside_long_prompts_when_agents_report_backlogs() {
    let waits = short_prompt_waits(true);
    let p95 = waits[waits.len() * 95 / 100];
    assert!(
        p95 <= 300.0,
        "p95 of the first byte is {p95:.0} ms, the objective 300 ms"
    );
    let alone = short_prompt_waits(false);
    let without = alone[alone.len() * 95 / 100];
    assert!(
        without > p95 * 2.0,
        "{without:.0} ms without backlog reports, {p95:.0} ms with them"
    );
}

#[test]
fn outdated_reports_do_not_send_all_routers_to_one_runner() {
    const RUNNERS: usize = 20;
    const ROUTERS: u64 = 28;
    let mut counts = [0usize; RUNNERS];
    for seed in 0..ROUTERS {
        let mut router = RouterFixture::new(RUNNERS, seed);
        for number in 0..RUNNERS {
            let running = if number == 3 { 0 } else { 6 };
            router.report_status(
                number,
                Status {
                    running,
                    ..Status::default()
                },
            );
        }
        router.now = router.now + time::Duration::from_secs(2);
        for _ in 0..RUNNERS {
            let choice = router.choose(&SHORT, &[]).unwrap();
            let index: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
            counts[index] += 1;
            let runner = router.runners.get_mut(&choice.incarnation).unwrap();
            runner.on_sent(choice.request_cost);
        }
    }
    let mean = ROUTERS as usize;
    assert!(
        counts[3] <= mean * 2,
        "{} requests, mean {mean}, went to the runner that was idle two seconds ago",
        counts[3]
    );
}

#[test]
fn a_long_prompt_goes_to_a_busy_runner_that_is_prefilling_its_segment() {
    let mut router = RouterFixture::new(5, 1);
    let home = router.choose(&LONG, &[]).unwrap().incarnation;
    let prefiller = (0..5).find(|number| incarnation(*number) != home).unwrap();
    let salt = runners::salt(WeightsVersion(1), &CacheGroup::default());
    let key = SegmentKey::new(SegmentId::of("rules"), SaltHash::of(&salt));
    let status = Status {
        prefilling: vec![key],
        backlog: Tokens(13_000),
        ..Status::default()
    };
    router.report_status(prefiller, status);
    let choice = router.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(prefiller));
    assert!(
        !choice.prefills,
        "the segment is not prefilled a second time"
    );
}

#[test]
fn a_runner_first_looks_for_a_segment_at_its_homes() {
    let mut router = RouterFixture::new(9, 1);
    let first = router.choose(&LONG, &[]).unwrap();
    let second = router
        .choose(&LONG, std::slice::from_ref(&first.incarnation.name))
        .unwrap();
    let mut busy = RouterFixture::new(9, 1);
    for number in 0..9 {
        let is_home =
            incarnation(number) == first.incarnation || incarnation(number) == second.incarnation;
        let backlog = Tokens(if is_home { 30_000 } else { 0 });
        busy.report_status(
            number,
            Status {
                backlog,
                ..Status::default()
            },
        );
    }
    let choice = busy.choose(&LONG, &[]).unwrap();
    assert!(choice.incarnation != first.incarnation && choice.incarnation != second.incarnation);
    assert!(choice.prefills, "no runner is known to hold it");
    assert_eq!(choice.source, Some(first.address));
    assert_eq!(first.source, Some(second.address));
}

/// A request at a [`ModelEngine`].
#[derive(Clone, Copy)]
struct ModelRun {
    is_long: bool,
    arrived: f64,
    tokens: f64,
    /// Prompt tokens that remain to be computed.
    remaining: f64,
    /// Time that the generation of its tokens still takes, in milliseconds.
    generation: f64,
}

/// An engine with few slots. Short requests are urgent: one that finds no slot preempts
/// the newest long prompt, which is computed again.
#[derive(Default)]
struct ModelEngine {
    running: Vec<ModelRun>,
    waiting: Vec<ModelRun>,
}

/// What callers got on a day of overload.
#[derive(Debug, Default)]
struct OverloadOutcome {
    /// Times to the first token of short requests, in milliseconds.
    short: Vec<f64>,
    long_in_time: usize,
    long_late: usize,
    long_refused: usize,
    preempted: usize,
}

const STEP_MS: f64 = 4.0;
const ENGINE_RATE: f64 = 50.0;
const ENGINE_SLOTS: usize = 6;
/// Time of one step, which computes a chunk of 1,024 prompt tokens and one token of each
/// answer.
const CHUNK_MS: f64 = 20.0;
const LONG_OBJECTIVE_MS: f64 = 600.0;

impl ModelEngine {
    fn admit(&mut self, outcome: &mut OverloadOutcome) {
        self.waiting.sort_by(|a, b| {
            (a.is_long, a.arrived)
                .partial_cmp(&(b.is_long, b.arrived))
                .unwrap()
        });
        while let Some(next) = self.waiting.first().copied() {
            if self.running.len() >= ENGINE_SLOTS {
                let newest = self.running.iter().rposition(|run| run.is_long);
                let Some(newest) = newest.filter(|_| !next.is_long) else {
                    return;
                };
                let preempted = self.running.remove(newest);
                outcome.preempted += 1;
                self.waiting.push(ModelRun {
                    remaining: preempted.tokens,
                    ..preempted
                });
            }
            self.running.push(self.waiting.remove(0));
        }
    }

    fn step(&mut self, now: f64, outcome: &mut OverloadOutcome) {
        self.admit(outcome);
        let mut budget = STEP_MS * ENGINE_RATE;
        for run in &mut self.running {
            if run.remaining <= 0.0 {
                run.generation -= STEP_MS;
                continue;
            }
            let computed = budget.min(run.remaining);
            budget -= computed;
            run.remaining -= computed;
            if run.remaining > 0.0 {
                continue;
            }
            let took = now - run.arrived;
            match run.is_long {
                false => outcome.short.push(took),
                true if took <= LONG_OBJECTIVE_MS => outcome.long_in_time += 1,
                true => outcome.long_late += 1,
            }
        }
        self.running.retain(|run| run.generation > 0.0);
    }

    fn status(&self) -> Status {
        let all = || self.running.iter().chain(&self.waiting);
        let long = || all().filter(|run| run.is_long);
        let tokens = |tokens: f64| Tokens(tokens as u64);
        Status {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            backlog: tokens(long().map(|run| run.remaining).sum()),
            committed: tokens(all().map(|run| run.tokens).sum()),
            capacity: Tokens(131_000),
            ..Status::default()
        }
    }
}

/// Plays 20 s in which short requests need most of the slots, and long prompts arrive
/// 1.2 times as fast as the engines compute them.
fn play_overload(long_share: f64) -> OverloadOutcome {
    const RUNNERS: usize = 12;
    const STEPS: usize = 5_000;
    const LONG_TOKENS: u64 = 17_000;
    let mut router = RouterFixture::new(RUNNERS, 1);
    router.settings.long_share = long_share;
    let mut engines: Vec<_> = (0..RUNNERS).map(|_| ModelEngine::default()).collect();
    let mut outcome = OverloadOutcome::default();
    let mut queue: Vec<f64> = Vec::new();
    let (mut short_due, mut long_due) = (0.0, 0.0);
    for step in 0..STEPS {
        let now = step as f64 * STEP_MS;
        router.now = Instant::from_millis(10 + now as u64);
        // Agents tell at once of long prompts, and answer when they are asked.
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.step(now, &mut outcome);
            router.report_status(number, engine.status());
        }
        short_due += 0.264 * STEP_MS;
        while short_due >= 1.0 {
            short_due -= 1.0;
            let choice = router.choose(&SHORT, &[]).unwrap();
            let run = ModelRun {
                is_long: false,
                arrived: now,
                tokens: 360.0,
                remaining: 360.0,
                generation: 3.0 * CHUNK_MS,
            };
            place(&mut engines, &mut router, &choice, run);
        }
        long_due += 0.036 * STEP_MS;
        while long_due >= 1.0 {
            long_due -= 1.0;
            queue.push(now);
        }
        // A prompt that cannot be in time any more is refused.
        let slack = LONG_OBJECTIVE_MS - LONG_TOKENS as f64 / ENGINE_RATE;
        let waiting = queue.len();
        queue.retain(|arrived| now - arrived <= slack);
        outcome.long_refused += waiting - queue.len();
        while let Some(arrived) = queue.first().copied() {
            let segment = format!("part-{}", (step * 7) % 97);
            let Ok(choice) = router.choose(&[(&segment, 13_000), ("lot", 4_000)], &[]) else {
                break;
            };
            queue.remove(0);
            let run = ModelRun {
                is_long: true,
                arrived,
                tokens: LONG_TOKENS as f64,
                remaining: LONG_TOKENS as f64,
                generation: 7.0 * CHUNK_MS,
            };
            place(&mut engines, &mut router, &choice, run);
        }
    }
    outcome.short.sort_by(f64::total_cmp);
    outcome
}

fn place(engines: &mut [ModelEngine], router: &mut RouterFixture, choice: &Choice, run: ModelRun) {
    let number: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
    engines[number].waiting.push(run);
    router.report_status(number, engines[number].status());
}

/// The heaviest day of a large fleet: without the limit on slots, urgent short requests
/// preempted the long prompts again and again, and hardly any was served. The design
/// size asks for the first token within 0.35 s for 95 in 100.
#[test]
fn under_overload_long_prompts_leave_slots_to_short_requests() {
    let with_limit = play_overload(Settings::default().long_share);
    let without = play_overload(f64::INFINITY);
    let p95 = |outcome: &OverloadOutcome| outcome.short[outcome.short.len() * 95 / 100];
    assert!(p95(&with_limit) <= 350.0, "{} ms", p95(&with_limit));
    let summary = |outcome: &OverloadOutcome| {
        let OverloadOutcome {
            long_in_time,
            long_late,
            long_refused,
            preempted,
            ..
        } = outcome;
        format!(
            "{long_in_time} in time, {long_late} late, {long_refused} refused, {preempted} preempted"
        )
    };
    let (with_text, without_text) = (summary(&with_limit), summary(&without));
    assert!(
        with_limit.preempted * 2 <= without.preempted,
        "{with_text}; without the limit {without_text}"
    );
    assert!(
        with_limit.long_in_time >= without.long_in_time,
        "{with_text}; without the limit {without_text}"
    );
}

/// An answer to a prompt of `tokens` that took `observed_ms` at an idle runner.
fn observation(tokens: u64, observed_ms: f64, moment: Option<u32>) -> pace::Observation {
    pace::Observation {
        uncached: Some(Tokens(tokens)),
        wait_ms: 0.0,
        waited: false,
        observed_ms,
        moment,
    }
}

/// Learns a fixed time of 60 ms and 40 tokens per millisecond, for runners of these speeds.
fn learn_speeds(router: &mut RouterFixture, speeds: &[f64], moment: Option<u32>) {
    for tokens in (0..60).flat_map(|_| [383, 17_000]) {
        for (number, speed) in speeds.iter().enumerate() {
            let took = (60.0 + tokens as f64 / 40.0) / speed;
            let observation = observation(tokens, took, moment);
            let (now, incarnation) = (router.now, incarnation(number));
            router
                .runners
                .on_observation(now, &incarnation, &observation);
        }
    }
}

/// Services whose runners do not report a pace are placed as before speeds were learned:
/// prompt tokens at the default rate, multiplied by the slowness.
#[test]
fn without_a_reported_pace_predictions_stay_as_they_were() {
    let (mut router, mut other) = (RouterFixture::new(5, 3), RouterFixture::new(5, 3));
    learn_speeds(&mut router, &[1.0, 0.5, 1.5, 2.0, 1.0], None);
    assert!(router.runners.pace(&router.service).is_none());
    let slowness = 2.0;
    for fixture in [&mut router, &mut other] {
        for number in 0..5 {
            let status = Status {
                running: number as u32,
                backlog: Tokens(500 * number as u64),
                ..Status::default()
            };
            fixture.report_status(number, status);
            let runner = fixture.runners.get_mut(&incarnation(number)).unwrap();
            runner.slowness = slowness;
        }
    }
    let exclude: Vec<_> = (0..4).map(|number| incarnation(number).name).collect();
    for segments in [&SHORT[..], &LONG[..]] {
        let choice = router.choose(segments, &exclude).unwrap();
        let tokens: u64 = segments.iter().map(|(_, tokens)| tokens).sum();
        let wait = 2_000.0 / 50.0 + 4.0 * router.settings.per_request;
        let expected = (wait + tokens as f64 / 50.0) * slowness;
        assert!((choice.expected_ms - expected).abs() < 1e-9, "{choice:?}");
        assert_eq!(Ok(choice), other.choose(segments, &exclude));
        for _ in 0..20 {
            assert_eq!(router.choose(segments, &[]), other.choose(segments, &[]));
        }
    }
}

/// A fixed time per prompt must not count as slowness, which would multiply every wait.
#[test]
fn learned_times_predict_the_first_byte() {
    let mut router = RouterFixture::new(3, 3);
    learn_speeds(&mut router, &[0.6, 1.0, 1.6], Some(100));
    let mean = f64::powf(0.6 * 1.6, 1.0 / 3.0);
    for (number, speed) in [0.6, 1.0, 1.6].into_iter().enumerate() {
        let others = (0..3).filter(|other| *other != number);
        let exclude: Vec<_> = others.map(|other| incarnation(other).name).collect();
        for segments in [&SHORT[..], &LONG[..]] {
            let choice = router.choose(segments, &exclude).unwrap();
            let tokens: u64 = segments.iter().map(|(_, tokens)| tokens).sum();
            let truth = (60.0 + tokens as f64 / 40.0) / speed;
            let ratio = choice.expected_ms / truth;
            assert!(
                (0.85..1.15).contains(&ratio),
                "{speed}: {choice:?}, {truth}"
            );
            let ratio = choice.speed.speed * mean / speed;
            assert!((0.85..1.15).contains(&ratio), "{speed}: {choice:?}");
        }
    }
}

/// A runner that is slow at the moment gets no short prompts, and gets them again once
/// its figure is old.
#[test]
fn a_runner_that_is_slow_at_the_moment_is_avoided_while_its_figure_is_fresh() {
    let mut router = RouterFixture::new(2, 3);
    learn_speeds(&mut router, &[1.0, 1.0], Some(100));
    let slow = pace::Observation {
        uncached: None,
        ..observation(383, 100.0, Some(250))
    };
    router
        .runners
        .on_observation(router.now, &incarnation(0), &slow);
    let of_first = |router: &mut RouterFixture| {
        let choices = (0..40).map(|_| router.choose(&SHORT, &[]).unwrap().incarnation);
        choices.filter(|chosen| *chosen == incarnation(0)).count()
    };
    assert_eq!(of_first(&mut router), 0);
    router.now = router.now + time::Duration::from_secs(3);
    assert!(of_first(&mut router) > 5);
}

/// Number of requests of each runner of six with the mix of a fifth of short prompts.
fn placed_by_kind(segments: &[(&str, u64)], backlog: u64) -> Vec<usize> {
    let mut router = RouterFixture::new(6, 3);
    learn_speeds(&mut router, &[0.6, 0.6, 1.0, 1.0, 1.6, 1.6], Some(100));
    for _ in 0..60 {
        router.now = router.now + time::Duration::from_millis(50);
        for uncached in [383, 383, 383, 17_000] {
            let service = router.service.clone();
            router
                .runners
                .on_demand(router.now, &service, Tokens(uncached));
        }
    }
    for number in 0..6 {
        let is_open = number > 1;
        let status = Status {
            backlog: Tokens(if is_open { backlog } else { 0 }),
            ..Status::default()
        };
        router.report_status(number, status);
    }
    let mut counts = vec![0; 6];
    for _ in 0..40 {
        if let Ok(choice) = router.choose(segments, &[]) {
            let number: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
            counts[number] += 1;
        }
    }
    counts
}

/// A short prompt behind a long one that no status has told of is late, so long prompts
/// leave some runners to short ones while others can take them on time.
#[test]
fn long_prompts_avoid_the_runners_that_are_kept_for_short_ones() {
    let long = [("own", 17_000)];
    let counts = placed_by_kind(&long, 0);
    assert_eq!((counts[0], counts[1]), (0, 0), "{counts:?}");
    assert_eq!(counts.iter().sum::<usize>(), 40);
    let counts = placed_by_kind(&SHORT, 2_000);
    assert!(counts[0] + counts[1] >= 36, "{counts:?}");
    // The others would make it late.
    let counts = placed_by_kind(&[("own", 12_000)], 40_000);
    assert_eq!(counts[0] + counts[1], 40, "{counts:?}");
}

/// Counts the first homes of segments at nine runners.
fn count_homes(router: &mut RouterFixture) -> ([usize; 9], Vec<RunnerName>) {
    let mut counts = [0; 9];
    let mut homes = Vec::new();
    for number in 0..600 {
        let name = format!("part-{number}");
        let segments = [(name.as_str(), 13_000), ("lot", 4_000)];
        let choice = router.choose(&segments, &[]).unwrap();
        let index: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
        counts[index] += usize::from(choice.home_rank == Some(0));
        homes.push(choice.incarnation.name);
    }
    (counts, homes)
}

/// Slow runners must not be homes of as many segments as fast ones, and a change of one
/// runner's class moves only its own.
#[test]
fn segments_have_homes_in_proportion_to_the_speed_of_the_runners() {
    let speeds = [0.6, 0.6, 0.6, 1.0, 1.0, 1.0, 1.6, 1.6, 1.6];
    let mut router = RouterFixture::new(9, 1);
    // The time to compute must not decide this test.
    router.settings.nonhome_ratio = 50.0;
    router.settings.secondary_ratio = 50.0;
    learn_speeds(&mut router, &speeds, Some(100));
    let (counts, homes) = count_homes(&mut router);
    let of = |range: std::ops::Range<usize>| counts[range].iter().sum::<usize>();
    let (slow, mean, fast) = (of(0..3), of(3..6), of(6..9));
    assert!(slow * 4 < mean * 3 && mean * 4 < fast * 3, "{counts:?}");
    let mut changed = speeds;
    changed[0] = 1.1;
    learn_speeds(&mut router, &changed, Some(100));
    let (_, after) = count_homes(&mut router);
    let moved = homes.iter().zip(&after).filter(|(a, b)| a != b);
    for (_, to) in moved.clone() {
        assert_eq!(*to, incarnation(0).name);
    }
    let moved = moved.count();
    assert!((5..60).contains(&moved), "{moved}");
}
