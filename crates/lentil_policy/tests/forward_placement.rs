//! Which runner gets a request.

use std::time;

use lentil_policy::forward::{
    placement::{self, Choice, Context, Refusal, Requirements, Settings},
    routing::Engine,
    runners::{
        self, Incarnation, Registration, RequestCost, Runners, SaltHash, SegmentId, SegmentKey,
        Status,
    },
    wait_queue::{Demand, WaitQueue},
};
use lentil_types::{
    Instant, ModelName, PlaceName, RunnerName, ServiceName, TeamName, Tokens, WeightsVersion,
};
use rand::SeedableRng as _;

const LONG: [(&str, u64); 2] = [("rules", 13_000), ("lot", 4_000)];
const SHORT: [(&str, u64); 2] = [("rules", 60), ("tag", 300)];

struct World {
    now: Instant,
    settings: Settings,
    runners: Runners,
    service: ServiceName,
    model: ModelName,
    place: PlaceName,
    engine: Engine,
    newest: Option<(WeightsVersion, time::Duration)>,
    isolated: Option<TeamName>,
    left: time::Duration,
    reserve: f64,
    rng: rand_pcg::Pcg64Mcg,
}

impl World {
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
            newest: None,
            isolated: None,
            left: time::Duration::from_secs(6),
            reserve: 0.0,
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
            newest: self.newest,
            segments: &segments,
            isolated: self.isolated.as_ref(),
            body_bytes: 100,
            place: &self.place,
            time_left: self.left,
            store: None,
            store_address: None,
            reserve: self.reserve,
            only_runner: None,
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

    fn hold(&mut self, number: usize, segment: &str, team: Option<&TeamName>) {
        let salt = runners::salt(WeightsVersion(1), team);
        let key = SegmentKey::new(SegmentId::of(segment), SaltHash::of(&salt));
        let now = self.now;
        let runner = self.runners.get_mut(&incarnation(number)).unwrap();
        runner
            .segments
            .on_used(now, key, Tokens(13_000), Tokens(140_000));
    }

    fn tell(&mut self, number: usize, status: Status) {
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
        slots: 12,
        is_leaving: false,
        weights: vec![("model".parse().unwrap(), WeightsVersion(1))],
        revision: 1,
    }
}

#[test]
fn a_runner_that_holds_the_shared_part_is_chosen() {
    let mut world = World::new(9, 1);
    world.hold(5, "rules", None);
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(5));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
    assert_eq!(choice.source, None);
}

#[test]
fn a_busy_holder_is_left_for_another_runner_that_fetches_from_it() {
    let mut world = World::new(9, 1);
    world.hold(5, "rules", None);
    world.tell(
        5,
        Status {
            backlog: Tokens(60_000),
            ..Status::default()
        },
    );
    world.hold(5, "rules", None);
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_ne!(choice.incarnation, incarnation(5));
    assert_eq!(choice.source, Some("127.0.0.1:1005".parse().unwrap()));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
}

#[test]
fn routers_agree_on_the_home_of_a_part_that_nobody_holds() {
    let homes = (0..20).map(|seed| World::new(9, seed).choose(&LONG, &[]).unwrap().incarnation);
    let mut homes: Vec<_> = homes.collect();
    homes.dedup();
    assert_eq!(homes.len(), 1);
}

#[test]
fn parts_are_spread_over_the_runners() {
    let mut world = World::new(9, 1);
    let mut counts = [0; 9];
    for number in 0..900 {
        let name = format!("part-{number}");
        let segments = [(name.as_str(), 13_000), ("lot", 4_000)];
        let choice = world.choose(&segments, &[]).unwrap();
        let at: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
        counts[at] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn what_another_team_holds_is_nothing_to_an_isolated_one() {
    let mut world = World::new(9, 1);
    let home = world.choose(&LONG, &[]).unwrap();
    let is_home = |number: &usize| {
        incarnation(*number) == home.incarnation
            || Some(registration(*number).address) == home.source
    };
    let other = (0..9).find(|number| !is_home(number)).unwrap();
    world.hold(other, "rules", None);
    world.isolated = Some("red".parse().unwrap());
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.request_cost.uncached, Tokens(17_000));
    assert!(choice.prefills);
    assert_ne!(choice.source, Some(registration(other).address));
}

#[test]
fn short_requests_keep_away_from_long_prompts() {
    let mut world = World::new(4, 1);
    for number in 0..3 {
        world.tell(
            number,
            Status {
                running: 1,
                backlog: Tokens(17_000),
                ..Status::default()
            },
        );
    }
    // Three short requests run on the one without a long prompt.
    world.tell(
        3,
        Status {
            running: 3,
            ..Status::default()
        },
    );
    for _ in 0..20 {
        assert_eq!(
            world.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(3)
        );
    }
}

#[test]
fn a_runner_whose_weights_change_gets_nothing() {
    let mut world = World::new(2, 1);
    world.tell(
        0,
        Status {
            is_changing: true,
            ..Status::default()
        },
    );
    for _ in 0..20 {
        assert_eq!(
            world.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(1)
        );
    }
}

#[test]
fn old_weights_are_used_while_they_cost_nothing_and_never_past_their_limit() {
    let mut world = World::new(2, 1);
    world.tell(
        0,
        Status {
            weights: vec![("model".parse().unwrap(), WeightsVersion(2))],
            running: 3,
            ..Status::default()
        },
    );
    let newest = WeightsVersion(2);
    world.newest = Some((newest, time::Duration::from_millis(100)));
    assert_eq!(
        world.choose(&SHORT, &[]).unwrap().version,
        Some(WeightsVersion(1))
    );
    world.newest = Some((newest, world.settings.old_grace));
    assert_eq!(world.choose(&SHORT, &[]).unwrap().version, Some(newest));
    world.newest = Some((newest, world.settings.old_limit));
    let exclude = [incarnation(0).name];
    assert_eq!(world.choose(&SHORT, &exclude), Err(Refusal::NoRunner));
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut world = World::new(2, 1);
    for number in 0..2 {
        world.tell(
            number,
            Status {
                backlog: Tokens(400_000),
                ..Status::default()
            },
        );
    }
    let refusal = world.choose(&SHORT, &[]).unwrap_err();
    let Refusal::TooLate { wait } = refusal else {
        panic!("{refusal:?}");
    };
    assert!(wait >= time::Duration::from_secs(7), "{wait:?}");
}

#[test]
fn a_part_that_is_being_read_is_not_read_elsewhere() {
    let mut world = World::new(5, 1);
    let home = world.choose(&LONG, &[]).unwrap().incarnation;
    let reader = (0..5).find(|number| incarnation(*number) != home).unwrap();
    let salt = runners::salt(WeightsVersion(1), None);
    let key = SegmentKey::new(SegmentId::of("rules"), SaltHash::of(&salt));
    world.tell(
        reader,
        Status {
            prefilling: vec![key],
            backlog: Tokens(5_000),
            ..Status::default()
        },
    );
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(reader));
    assert_eq!(choice.request_cost.uncached, Tokens(4_000));
    assert!(!choice.prefills);
}

#[test]
fn a_prompt_goes_where_there_is_memory_for_it() {
    let mut world = World::new(2, 1);
    world.hold(0, "rules", None);
    let full = Status {
        committed: Tokens(135_000),
        capacity: Tokens(140_000),
        ..Status::default()
    };
    world.tell(0, full);
    world.hold(0, "rules", None);
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_eq!(
        choice.incarnation,
        incarnation(1),
        "the holder would put other requests back"
    );
    assert_eq!(choice.source, Some("127.0.0.1:1000".parse().unwrap()));
}

#[test]
fn a_long_prompt_waits_until_a_runner_has_little_left() {
    let mut world = World::new(2, 1);
    for number in 0..2 {
        world.tell(
            number,
            Status {
                backlog: Tokens(30_000 + 10_000 * number as u64),
                ..Status::default()
            },
        );
    }
    let refusal = world.choose(&LONG, &[]).unwrap_err();
    let Refusal::Busy { wait } = refusal else {
        panic!("{refusal:?}");
    };
    let expected = 30_000.0 / world.settings.prefill_rate - world.settings.max_backlog;
    assert!(
        (wait.as_secs_f64() * 1e3 - expected).abs() < 1.0,
        "{wait:?}"
    );
    assert!(
        world.choose(&SHORT, &[]).is_ok(),
        "short requests do not wait"
    );
    world.now = world.now + wait + time::Duration::from_millis(1);
    assert_eq!(
        world.choose(&LONG, &[]).unwrap().incarnation,
        incarnation(0)
    );
}

#[test]
fn every_router_leaves_the_same_runners_to_short_requests() {
    let long = |seed| {
        let mut world = World::new(10, seed);
        world.reserve = 0.3;
        let mut names = Vec::new();
        for number in 0..200 {
            let segment = format!("part-{number}");
            let choice = world
                .choose(&[(&segment, 13_000), ("lot", 4_000)], &[])
                .unwrap();
            names.push(choice.incarnation.name.to_string());
        }
        names.sort();
        names.dedup();
        names
    };
    let first = long(1);
    assert_eq!(first.len(), 7);
    assert_eq!(long(2), first);
    let mut world = World::new(10, 3);
    world.reserve = 0.3;
    let short = world.choose(&SHORT, &[]).unwrap();
    assert!(!first.contains(&short.incarnation.name.to_string()));
}

#[test]
fn a_long_prompt_waits_and_does_not_take_a_reserved_runner() {
    let mut world = World::new(5, 1);
    world.reserve = 0.3;
    let first = world.choose(&SHORT, &[]).unwrap().incarnation;
    let others = (0..5).filter(|number| incarnation(*number) != first);
    for number in others.collect::<Vec<_>>() {
        world.tell(
            number,
            Status {
                running: 1,
                backlog: Tokens(30_000),
                ..Status::default()
            },
        );
    }
    assert!(matches!(
        world.choose(&LONG, &[]),
        Err(Refusal::Busy { .. })
    ));
    assert_eq!(world.choose(&SHORT, &[]).unwrap().incarnation, first);
    world.reserve = 0.0;
    assert_eq!(
        world.choose(&LONG, &[]).unwrap().incarnation,
        first,
        "nothing short comes"
    );
}

#[test]
fn the_line_goes_by_rank_then_by_arrival() {
    let (sort, desk) = ("sort".parse().unwrap(), "desk".parse().unwrap());
    let at = Instant::from_millis;
    let mut queue = WaitQueue::default();
    let late = queue.enqueue(&sort, 4, at(2), at(900));
    let early = queue.enqueue(&sort, 4, at(1), at(900));
    let urgent = queue.enqueue(&sort, 1, at(3), at(900));
    let other = queue.enqueue(&desk, 0, at(0), at(900));
    let places = |queue: &WaitQueue| {
        [urgent, early, late, other].map(|ticket| queue.position(at(9), ticket))
    };
    assert_eq!(places(&queue), [0, 1, 2, 0]);
    assert_eq!(queue.position_of_new(at(9), &sort, 4), 3);
    assert_eq!(queue.position_of_new(at(9), &sort, 0), 0);
    queue.remove(urgent);
    assert_eq!(places(&queue), [0, 0, 1, 0]);
}

/// Long prompts come 1.5 times as fast as they are computed, for ten seconds; a
/// caller leaves after three. Counts those that have a runner in time and late.
#[test]
fn under_overload_as_many_as_can_be_are_in_time() {
    const COMES_MS: u64 = 40;
    const TAKES_MS: u64 = 60;
    const SPARE_MS: u64 = 400;
    let at = Instant::from_millis;
    let service = "sort".parse().unwrap();
    let mut queue = WaitQueue::default();
    let mut waiting = Vec::new();
    let (mut in_time, mut late, mut free) = (0, 0, 0);
    for now in 0..10_000 {
        if now % COMES_MS == 0 {
            let ticket = queue.enqueue(&service, 1, at(now), at(now + SPARE_MS));
            waiting.push((now, ticket));
        }
        for (_, ticket) in waiting.extract_if(.., |(arrived, _)| now - *arrived > 3_000) {
            queue.remove(ticket);
        }
        if now < free {
            continue;
        }
        let first = |(_, ticket): &(u64, _)| queue.position(at(now), *ticket) == 0;
        let Some(first) = waiting.iter().position(first) else {
            continue;
        };
        let (arrived, ticket) = waiting.swap_remove(first);
        queue.remove(ticket);
        free = now + TAKES_MS;
        if now - arrived <= SPARE_MS {
            in_time += 1;
        } else {
            late += 1;
        }
    }
    let served = 10_000 / TAKES_MS;
    assert!(in_time + late >= served - 2, "no time is lost");
    assert!(
        in_time * 10 >= served * 9,
        "{in_time} in time, {late} late, {served} can be served"
    );
}

#[test]
fn runners_are_reserved_for_short_requests_as_their_share_asks() {
    let mut demand = Demand::default();
    assert_eq!(demand.reserve(), 0.0);
    for _ in 0..100 {
        demand.on_sent(Instant::from_millis(1), 300, false);
    }
    demand.on_sent(Instant::from_millis(1), 90_000, true);
    assert!((demand.reserve() - 0.25).abs() < 0.01);
    assert!((demand.mean_long() - 90_000.0).abs() < 1.0);
    for _ in 0..10 {
        demand.on_sent(Instant::from_millis(60_000), 9_000, true);
    }
    assert!(demand.reserve() < 0.01, "what was is forgotten");
}

#[test]
fn a_runner_that_falls_silent_with_requests_is_left() {
    let mut world = World::new(2, 1);
    for number in 0..2 {
        world.tell(number, Status::default());
    }
    // The first has requests of this router, and both have been quiet since.
    let cost = RequestCost {
        sent_at: world.now,
        ..RequestCost::default()
    };
    world
        .runners
        .get_mut(&incarnation(0))
        .unwrap()
        .on_sent(cost);
    world.now = world.now + time::Duration::from_millis(400);
    for _ in 0..20 {
        assert_eq!(
            world.choose(&SHORT, &[]).unwrap().incarnation,
            incarnation(1)
        );
    }
    let now = world.now;
    world.runners.get_mut(&incarnation(0)).unwrap().last_byte = now;
    world.settings.max_jitter = 20.0;
    let mut chosen: Vec<_> = (0..40)
        .map(|_| world.choose(&SHORT, &[]).unwrap().incarnation)
        .collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len(), 2, "it is heard again");
}

#[test]
fn a_told_backlog_is_worked_off_with_time() {
    let mut world = World::new(1, 1);
    world.tell(
        0,
        Status {
            backlog: Tokens(50_000),
            ..Status::default()
        },
    );
    let first = world.choose(&SHORT, &[]).unwrap().expected_ms;
    world.now = world.now + time::Duration::from_millis(800);
    let later = world.choose(&SHORT, &[]).unwrap().expected_ms;
    assert!(later < first / 3.0, "{first} ms, then {later} ms");
}

/// Plays a load of long and short prompts, sent by several routers to runners
/// that compute prompts in the order in which they come, and returns the first
/// byte times of the short ones in milliseconds, sorted. `tells`: whether
/// agents tell the routers how much is left to compute.
fn play(tells: bool) -> Vec<f64> {
    const RUNNERS: usize = 9;
    const ROUTERS: usize = 5;
    const RATE: f64 = 50.0;
    let mut routers: Vec<_> = (0..ROUTERS)
        .map(|n| World::new(RUNNERS, n as u64))
        .collect();
    let mut free_at = [0.0f64; RUNNERS];
    let mut waits = Vec::new();
    // Requests without an answer: when it comes, router, runner, work.
    let mut open: Vec<(f64, usize, usize, RequestCost)> = Vec::new();
    for step in 0..8_000usize {
        let ms = step as f64 * 4.0;
        let now = Instant::from_millis(10 + step as u64 * 4);
        for (_, router, at, cost) in open.extract_if(.., |(done, ..)| *done <= ms) {
            let runner = routers[router].runners.get_mut(&incarnation(at)).unwrap();
            runner.on_settled(cost);
            runner.on_ended();
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
        let at: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
        let tokens: u64 = segments.iter().map(|(_, tokens)| *tokens).sum();
        free_at[at] = free_at[at].max(ms) + tokens as f64 / RATE;
        if !is_long {
            waits.push(free_at[at] - ms);
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
        open.push((free_at[at], step % ROUTERS, at, cost));
        if tells && is_long {
            let left = Tokens(((free_at[at] - ms) * RATE) as u64);
            for router in &mut routers {
                router.now = now;
                router.tell(
                    at,
                    Status {
                        backlog: left,
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
fn short_requests_are_on_time_beside_long_prompts_when_agents_tell() {
    let waits = play(true);
    let p95 = waits[waits.len() * 95 / 100];
    assert!(
        p95 <= 300.0,
        "p95 of the first byte is {p95:.0} ms, the objective 300 ms"
    );
    let alone = play(false);
    let without = alone[alone.len() * 95 / 100];
    assert!(
        without > p95 * 2.0,
        "{without:.0} ms without, {p95:.0} ms with what agents tell"
    );
}

#[test]
fn old_news_do_not_send_every_router_to_the_same_runner() {
    const RUNNERS: usize = 20;
    const ROUTERS: u64 = 28;
    let mut counts = [0usize; RUNNERS];
    for seed in 0..ROUTERS {
        let mut router = World::new(RUNNERS, seed);
        for number in 0..RUNNERS {
            let running = if number == 3 { 0 } else { 6 };
            router.tell(
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
            let at: usize = choice.incarnation.name.as_str()[1..].parse().unwrap();
            counts[at] += 1;
            let runner = router.runners.get_mut(&choice.incarnation).unwrap();
            runner.on_sent(choice.request_cost);
        }
    }
    let mean = ROUTERS as usize;
    assert!(
        counts[3] <= mean * 2,
        "{} of a mean of {mean} went where it was idle two seconds ago",
        counts[3]
    );
}

#[test]
fn a_long_prompt_is_sent_where_its_part_is_read_although_that_runner_is_busy() {
    let mut world = World::new(5, 1);
    let home = world.choose(&LONG, &[]).unwrap().incarnation;
    let reader = (0..5).find(|number| incarnation(*number) != home).unwrap();
    let salt = runners::salt(WeightsVersion(1), None);
    let key = SegmentKey::new(SegmentId::of("rules"), SaltHash::of(&salt));
    let status = Status {
        prefilling: vec![key],
        backlog: Tokens(13_000),
        ..Status::default()
    };
    world.tell(reader, status);
    let choice = world.choose(&LONG, &[]).unwrap();
    assert_eq!(choice.incarnation, incarnation(reader));
    assert!(!choice.prefills, "it is not read twice");
}

#[test]
fn a_runner_that_reads_a_part_looks_for_it_at_the_parts_homes_first() {
    let mut world = World::new(9, 1);
    let first = world.choose(&LONG, &[]).unwrap();
    let second = world
        .choose(&LONG, std::slice::from_ref(&first.incarnation.name))
        .unwrap();
    let mut busy = World::new(9, 1);
    for number in 0..9 {
        let is_home =
            incarnation(number) == first.incarnation || incarnation(number) == second.incarnation;
        let backlog = Tokens(if is_home { 30_000 } else { 0 });
        busy.tell(
            number,
            Status {
                backlog,
                ..Status::default()
            },
        );
    }
    let choice = busy.choose(&LONG, &[]).unwrap();
    assert!(choice.incarnation != first.incarnation && choice.incarnation != second.incarnation);
    assert!(choice.prefills, "nobody is known to hold it");
    assert_eq!(choice.source, Some(first.address));
    assert_eq!(first.source, Some(second.address));
}

#[test]
fn a_reserved_runner_is_no_home() {
    let mut world = World::new(10, 1);
    world.reserve = 0.3;
    let short = world.choose(&SHORT, &[]).unwrap();
    for number in 0..60 {
        let segment = format!("part-{number}");
        let choice = world
            .choose(&[(&segment, 13_000), ("lot", 4_000)], &[])
            .unwrap();
        assert_ne!(choice.source, Some(short.address));
        assert_ne!(choice.incarnation, short.incarnation);
    }
}
