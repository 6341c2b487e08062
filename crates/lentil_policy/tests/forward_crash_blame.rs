//! Segments that crash runners are found in few crashes, and sound ones are served.
//!
//! A play of routers before runners: a part of the requests holds a segment of which each
//! runner dies soon after it has begun to answer. Sound requests share their other segments.

use std::time;

use lentil_policy::forward::{
    crash_blame::{CrashBlame, Settings, Suspicion},
    runners::{Incarnation, SegmentId},
};
use lentil_types::Instant;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation {
        name: format!("r{number}").parse().unwrap(),
        boot_id: number,
    }
}

const BAD: SegmentId = SegmentId(1);
/// First segments of prompts, shared by all callers.
const BASES: u64 = 4;

/// What happens in a play.
#[derive(Clone, Copy)]
struct Load {
    routers: usize,
    runners: usize,
    /// Sound requests in 100 ms.
    sound: u32,
    /// Requests with the bad segment in 100 ms, as a probability.
    bad: f64,
    /// Whether a second segment comes with the bad one only.
    has_companion: bool,
    /// Share of the messages between routers that are lost.
    loss: f64,
    /// Crashes in 100 ms that no request causes, as a probability.
    unrelated: f64,
}

const STORM: Load = Load {
    routers: 5,
    runners: 9,
    sound: 17,
    bad: 0.4,
    has_companion: false,
    loss: 0.0,
    unrelated: 0.0,
};

#[derive(Clone)]
struct Request {
    router: usize,
    segments: Vec<SegmentId>,
    is_bad: bool,
    begins_at: u64,
    ends_at: u64,
}

struct Runner {
    number: u64,
    down_until: u64,
    requests: Vec<Request>,
}

#[derive(Clone)]
enum Message {
    Crash(Incarnation, u64, Vec<SegmentId>),
    Query(usize, Suspicion),
    Survived(SegmentId, Instant),
    Refused(usize, Suspicion),
}

/// What callers and runners saw.
#[derive(Default)]
struct Outcome {
    crashes: Vec<u64>,
    /// Those of runners that had a request with the bad segment.
    bad_crashes: Vec<u64>,
    bad_sent: Vec<u64>,
    sound_sent: usize,
    sound_refused: usize,
}

/// Time from a crash until a new incarnation serves.
const RESTART_MS: u64 = 4_000;
/// Time until routers find a runner dead.
const FOUND_AFTER_MS: u64 = 400;
/// Time for a message between routers.
const DELAY_MS: u64 = 3;
const STEP_MS: u64 = 10;
const PLAY_MS: u64 = 60_000;

struct Play {
    load: Load,
    rng: Pcg64Mcg,
    routers: Vec<CrashBlame>,
    runners: Vec<Runner>,
    messages: Vec<(u64, usize, Message)>,
    next_runner: u64,
    next_own: u64,
    outcome: Outcome,
}

impl Play {
    fn run(load: Load, seed: u64) -> Outcome {
        let runners = 0..load.runners as u64;
        let mut play = Self {
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            routers: vec![CrashBlame::new(Settings::default()); load.routers],
            runners: runners
                .map(|number| Runner {
                    number,
                    down_until: 0,
                    requests: Vec::new(),
                })
                .collect(),
            messages: Vec::new(),
            next_runner: load.runners as u64,
            next_own: 1 << 32,
            outcome: Outcome::default(),
        };
        for now in (0..PLAY_MS).step_by(STEP_MS as usize) {
            play.step(now);
        }
        play.outcome
    }

    fn step(&mut self, now: u64) {
        self.deliver(now);
        self.finish(now);
        let share = STEP_MS as f64 / 100.0;
        let sound = f64::from(self.load.sound) * share;
        let count = sound as u32 + u32::from(self.rng.random_bool(sound.fract()));
        for _ in 0..count {
            self.send(now, false);
        }
        if self.rng.random_bool(self.load.bad * share) {
            self.send(now, true);
        }
        if self.rng.random_bool(self.load.unrelated * share) {
            let victim = self.rng.random_range(0..self.runners.len());
            self.crash(now, victim);
        }
        for router in 0..self.routers.len() {
            self.conclude(now, router);
        }
    }

    fn send(&mut self, now: u64, is_bad: bool) {
        let router = self.rng.random_range(0..self.routers.len());
        self.next_own += 1;
        let base = SegmentId(100 + self.rng.random_range(0..BASES));
        // Few catalogues are asked for often, most rarely.
        let rank = self.rng.random_range(0.0..1.0_f64).powi(3) * 300.0;
        let mut segments = match is_bad {
            true => vec![base, BAD],
            false => vec![base, SegmentId(1_000 + rank as u64)],
        };
        if is_bad && self.load.has_companion {
            segments.insert(1, SegmentId(2));
        }
        let routers = self.routers.len();
        let blame = &mut self.routers[router];
        let refused = blame.refusal(at(now), segments.iter().copied());
        let is_refused =
            refused.is_some_and(|(segment, _)| !blame.try_trial(at(now), segment, router, routers));
        if !is_bad {
            self.outcome.sound_sent += 1;
            self.outcome.sound_refused += usize::from(is_refused);
        }
        if is_refused {
            let segment = segments.into_iter();
            for segment in segment {
                if let Some(suspicion) = self.routers[router].due_notice(at(now), segment) {
                    self.broadcast(now, router, &Message::Refused(router, suspicion));
                }
            }
            return;
        }
        let up: Vec<_> = (0..self.runners.len())
            .filter(|index| self.runners[*index].down_until <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        if is_bad {
            self.outcome.bad_sent.push(now);
        }
        let begins_at = now + self.rng.random_range(10..400);
        let ends_at = begins_at
            + if is_bad {
                80
            } else {
                self.rng.random_range(60..300)
            };
        self.runners[index].requests.push(Request {
            router,
            segments,
            is_bad,
            begins_at,
            ends_at,
        });
    }

    /// Ends the requests that are due: whole, or with a crash.
    fn finish(&mut self, now: u64) {
        for index in 0..self.runners.len() {
            let requests = &mut self.runners[index].requests;
            if requests
                .iter()
                .any(|request| request.is_bad && request.ends_at <= now)
            {
                self.crash(now, index);
                continue;
            }
            let done: Vec<_> = requests
                .extract_if(.., |request| request.ends_at <= now)
                .collect();
            for request in done {
                let began_at = at(request.begins_at);
                let segments = request.segments.iter().copied();
                let allowed = self.routers[request.router].on_survived(began_at, segments);
                for segment in allowed {
                    let survived = Message::Survived(segment, began_at);
                    self.broadcast(now, request.router, &survived);
                }
            }
        }
    }

    fn crash(&mut self, now: u64, index: usize) {
        let runner = &mut self.runners[index];
        if runner.down_until > now {
            return;
        }
        let dead = incarnation(runner.number);
        runner.number = self.next_runner;
        self.next_runner += 1;
        runner.down_until = now + RESTART_MS;
        let requests = std::mem::take(&mut runner.requests);
        self.outcome.crashes.push(now);
        if requests.iter().any(|request| request.is_bad) {
            self.outcome.bad_crashes.push(now);
        }
        for router in 0..self.routers.len() {
            let own = requests.iter().filter(|request| request.router == router);
            let segments: Vec<_> = own.flat_map(|request| request.segments.clone()).collect();
            if segments.is_empty() {
                continue;
            }
            let crash = Message::Crash(dead.clone(), now, segments);
            let found_at = now + FOUND_AFTER_MS;
            self.messages.push((found_at, router, crash.clone()));
            self.broadcast(found_at, router, &crash);
        }
    }

    fn broadcast(&mut self, now: u64, from: usize, message: &Message) {
        for router in (0..self.routers.len()).filter(|router| *router != from) {
            self.tell(now, router, message.clone());
        }
    }

    fn tell(&mut self, now: u64, router: usize, message: Message) {
        if !self.rng.random_bool(self.load.loss) {
            self.messages.push((now + DELAY_MS, router, message));
        }
    }

    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(due, ..)| *due <= now)
            .collect();
        for (_, router, message) in due {
            let blame = &mut self.routers[router];
            match message {
                Message::Crash(dead, crashed_at, segments) => {
                    blame.on_crash(&dead, at(crashed_at), segments);
                }
                Message::Query(from, suspicion) => {
                    if let Some(began_at) = blame.acquittal(suspicion.segment, suspicion.since) {
                        let survived = Message::Survived(suspicion.segment, began_at);
                        self.tell(now, from, survived);
                    }
                }
                Message::Survived(segment, began_at) => {
                    blame.on_survived(began_at, [segment]);
                }
                Message::Refused(from, suspicion) => {
                    blame.on_refusal_notice(at(now), suspicion, ms(600_000));
                    if let Some(began_at) = blame.acquittal(suspicion.segment, suspicion.since) {
                        let survived = Message::Survived(suspicion.segment, began_at);
                        self.tell(now, from, survived);
                    }
                }
            }
        }
    }

    fn conclude(&mut self, now: u64, router: usize) {
        let conclusions = self.routers[router].conclude(at(now));
        for suspicion in conclusions.questions {
            self.broadcast(now, router, &Message::Query(router, suspicion));
        }
        for suspicion in conclusions.refused {
            self.broadcast(now, router, &Message::Refused(router, suspicion));
        }
    }
}

/// Later than this after the fifth crash, at most [`MAX_LATER`] requests with the segment
/// may reach runners.
const STABLE_MS: u64 = 3_000;
const MAX_LATER: usize = 3;
/// Share of the sound requests that is not refused, at least.
const MIN_SERVED: f64 = 0.95;
const SEEDS: u64 = 20;

impl Outcome {
    /// Share of the sound requests that was not refused.
    fn sound_share(&self) -> f64 {
        1.0 - self.sound_refused as f64 / self.sound_sent as f64
    }
}

#[rstest]
#[case::storm(STORM)]
#[case::slow_storm(Load { bad: 0.05, ..STORM })]
#[case::always_with_another_segment(Load { has_companion: true, ..STORM })]
#[case::lost_messages(Load { loss: 0.2, ..STORM })]
#[case::beside_unrelated_crashes(Load { unrelated: 0.1, ..STORM })]
#[case::many_routers(Load { routers: 40, runners: 60, sound: 100, bad: 1.0, ..STORM })]
fn a_segment_that_crashes_runners_is_refused_after_few_crashes(#[case] load: Load) {
    for seed in 0..SEEDS.min(200 / load.routers as u64) {
        let outcome = Play::run(load, seed);
        let fifth = outcome.bad_crashes.get(4).copied().unwrap_or(PLAY_MS);
        let is_later = |sent: &&u64| **sent > fifth + STABLE_MS;
        let later = outcome.bad_sent.iter().filter(is_later).count();
        assert!(
            later <= MAX_LATER,
            "seed {seed}: {later} later ones, crashes at {:?}",
            outcome.bad_crashes
        );
        let share = outcome.sound_share();
        assert!(
            share >= MIN_SERVED,
            "seed {seed}: {share} of the sound ones"
        );
    }
}

#[rstest]
#[case::single_crashes(0.1)]
#[case::many_crashes(0.5)]
fn sound_requests_are_served_while_runners_die_of_no_request(#[case] unrelated: f64) {
    let load = Load {
        bad: 0.0,
        unrelated,
        ..STORM
    };
    for seed in 0..SEEDS {
        let outcome = Play::run(load, seed);
        assert!(outcome.crashes.len() > 5);
        let share = outcome.sound_share();
        assert!(
            share >= MIN_SERVED,
            "seed {seed}: {share} of the sound ones"
        );
    }
}

fn blame_after_crashes(times: &[u64]) -> CrashBlame {
    let mut blame = CrashBlame::new(Settings::default());
    for (number, time) in (0..).zip(times) {
        blame.on_crash(&incarnation(number), at(*time), [BAD]);
    }
    blame
}

#[test]
fn crashes_at_the_same_moment_count_as_one() {
    let mut blame = blame_after_crashes(&[1_000, 1_050, 1_100, 1_150, 1_190]);
    blame.conclude(at(2_000));
    blame.conclude(at(3_000));
    assert_eq!(blame.refusal(at(3_000), [BAD]), None);
}

#[test]
fn a_request_that_ended_before_its_runner_died_is_not_blamed() {
    let mut blame = CrashBlame::new(Settings::default());
    let sound = SegmentId(7);
    for number in 0..4 {
        let died_at = 1_000 * (number + 1);
        let runner = incarnation(number);
        // Another router's answers had ended with their connections shortly before.
        let (ended, died) = (at(died_at - 600), at(died_at));
        if number % 2 == 0 {
            blame.on_crash(&runner, ended, [sound]);
            blame.on_crash(&runner, died, [BAD]);
        } else {
            blame.on_crash(&runner, died, [BAD]);
            blame.on_crash(&runner, ended, [sound]);
        }
    }
    blame.conclude(at(4_100));
    blame.conclude(at(4_400));
    assert_eq!(blame.refusal(at(4_400), [sound]), None);
    assert!(blame.refusal(at(4_400), [BAD]).is_some());
}

#[test]
fn a_whole_answer_that_began_before_the_crashes_is_no_evidence() {
    let mut blame = blame_after_crashes(&[1_000, 2_000, 3_000]);
    blame.on_survived(at(900), [BAD]);
    blame.conclude(at(3_100));
    blame.conclude(at(3_400));
    let (segment, remaining) = blame.refusal(at(3_400), [BAD]).unwrap();
    assert_eq!((segment, remaining), (BAD, ms(600_000)));
}

#[test]
fn a_refused_segment_is_allowed_again_after_a_whole_answer() {
    let mut blame = blame_after_crashes(&[1_000, 2_000, 3_000]);
    blame.conclude(at(3_100));
    blame.conclude(at(3_400));
    assert!(blame.refusal(at(3_400), [BAD]).is_some());
    assert_eq!(blame.on_survived(at(2_500), [BAD]), [BAD]);
    assert_eq!(blame.refusal(at(3_500), [BAD]), None);
}

#[test]
fn a_router_that_has_seen_a_whole_answer_does_not_follow_anothers_refusal() {
    let mut blame = CrashBlame::new(Settings::default());
    blame.on_survived(at(2_500), [BAD]);
    let suspicion = Suspicion {
        segment: BAD,
        since: at(1_000),
        crashes: 3,
    };
    blame.on_refusal_notice(at(3_000), suspicion, ms(1_000));
    assert_eq!(blame.refusal(at(3_000), [BAD]), None);
    assert_eq!(
        blame.acquittal(suspicion.segment, suspicion.since),
        Some(at(2_500))
    );
}

#[test]
fn a_refusal_ends_with_its_time() {
    let mut blame = blame_after_crashes(&[1_000, 2_000, 3_000]);
    blame.conclude(at(3_100));
    blame.conclude(at(3_400));
    let ended = at(3_400 + 600_000);
    assert_eq!(blame.refusal(ended, [BAD]), None);
    blame.conclude(ended);
    assert_eq!(blame.refused_len(), 0);
}
