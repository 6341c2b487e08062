//! What is learned of the speed of a service's runners, and which are kept for short
//! prompts.

use lentil_policy::forward::{
    lanes::{self, Demand},
    pace::{Observation, RunnerPace, Sample, ServicePace, ServiceState},
};
use lentil_types::{Instant, RunnerName, Tokens};
use rand::{RngExt as _, SeedableRng as _};

const SHORT: u64 = 383;
const LONG: u64 = 17_020;

fn rng() -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(7)
}

/// Time of a prompt at the mean runner of these tests: 61 ms and 45 tokens per ms.
fn truth(tokens: u64) -> f64 {
    61.0 + tokens as f64 / 45.0
}

/// A quarter of the samples waited behind work that the router did not know of.
#[test]
fn unseen_waits_do_not_change_the_times_of_a_service() {
    let (mut pace, mut rng) = (ServicePace::default(), rng());
    assert!(!pace.is_learned());
    for number in 0..200 {
        let tokens = if number % 4 == 0 { LONG } else { SHORT };
        let noise = 0.95 + 0.1 * rng.random::<f64>();
        let unseen = match rng.random::<f64>() < 0.25 {
            true => 400.0 * rng.random::<f64>(),
            false => 0.0,
        };
        let ms = truth(tokens) * noise + unseen;
        let tokens = Tokens(tokens);
        pace.on_first_byte(Sample { tokens, ms });
    }
    let (base, rate) = (pace.base_ms(), pace.rate());
    assert!((52.0..72.0).contains(&base), "{base}");
    assert!((38.0..52.0).contains(&rate), "{rate}");
}

/// Speeds are known after a few dozen answers per runner, and neither drift nor follow the
/// pace of the moment.
#[test]
fn speeds_are_learned_apart_from_the_pace_of_the_moment() {
    let speeds = [0.6, 1.0, 1.0, 1.0, 1.6];
    let mut state = ServiceState::default();
    let mut paces = [RunnerPace::default(); 5];
    let mut rng = rng();
    let mut now = Instant::ZERO;
    for round in 0..400 {
        for (pace, speed) in paces.iter_mut().zip(speeds) {
            now = now + std::time::Duration::from_millis(40);
            let is_slow = rng.random::<f64>() < 0.15;
            let moment = if is_slow { 2.5 } else { 1.0 };
            let tokens = if rng.random::<f64>() < 0.1 {
                LONG
            } else {
                SHORT
            };
            let unseen = match rng.random::<f64>() < 0.15 {
                true => 300.0 * rng.random::<f64>(),
                false => 0.0,
            };
            let observation = Observation {
                uncached: Some(Tokens(tokens)),
                wait_ms: 0.0,
                waited: false,
                observed_ms: truth(tokens) * moment / speed + unseen,
                moment: Some((moment * 100.0) as u32),
            };
            state.on_answer(now, pace, &observation);
        }
        state.mean_speed = lentil_policy::forward::pace::mean_speed(paces.iter());
        if round < 40 {
            continue;
        }
        let mean: f64 = speeds.iter().product::<f64>().powf(0.2);
        for (pace, speed) in paces.iter().zip(speeds) {
            let ratio = state.speed(pace) * mean / speed;
            assert!((0.7..1.4).contains(&ratio), "{round}: {speed} {ratio}");
        }
    }
    let base = state.pace.base_ms();
    assert!((45.0..80.0).contains(&base), "{base}");
}

/// A runner that slows to a third is known as such after two dozen answers.
#[test]
fn a_lasting_change_is_learned_within_two_dozen_answers() {
    let mut pace = RunnerPace::default();
    let mut now = Instant::ZERO;
    for answer in 0..124 {
        now = now + std::time::Duration::from_millis(100);
        let speed = if answer < 100 { 1.0 } else { 1.0 / 3.0 };
        pace.on_first_byte(now, 100.0 / speed, 100.0 / pace.speed(), false);
    }
    assert!((0.3..0.4).contains(&pace.speed()), "{}", pace.speed());
}

/// Routers with slightly different figures must not change classes all the time: each
/// change moves segments and reserved runners.
#[test]
fn a_speed_at_the_border_of_a_class_does_not_alternate() {
    let mut pace = RunnerPace::default();
    let mut changes = 0;
    let mut rng = rng();
    let mut now = Instant::ZERO;
    for answer in 0..1_000 {
        now = now + std::time::Duration::from_millis(100);
        let speed = 1.22 * (0.8 + 0.4 * rng.random::<f64>());
        pace.on_first_byte(now, 100.0 / speed, 100.0 / pace.speed(), false);
        let class = pace.class();
        pace.update_class(1.0);
        changes += u32::from(answer > 50 && pace.class() != class);
    }
    assert!(changes <= 1, "{changes}");
}

/// The weight of the figure of the moment halves every 300 ms.
#[test]
fn the_pace_of_the_moment_fades() {
    let mut pace = RunnerPace::default();
    let now = Instant::from_millis(1_000);
    assert!((pace.moment(now) - 1.0).abs() < 1e-9);
    pace.on_moment(now, 250);
    let at = |ms: u64| pace.moment(Instant::from_millis(1_000 + ms));
    assert!((at(0) - 2.5).abs() < 1e-9);
    assert!((at(300) - 1.75).abs() < 1e-9);
    assert!(at(3_000) < 1.01);
}

/// Sends short prompts of `short` ms and long ones of `long` ms of computation a second
/// until `end`, in ms.
fn send(demand: &mut Demand, from: u64, end: u64, short: f64, long: f64) {
    let settings = lanes::Settings::default();
    for now in (from..end).step_by(10) {
        let at = Instant::from_millis(now);
        if short > 0.0 {
            demand.on_sent(at, &settings, false, short / 100.0);
        }
        if now.is_multiple_of(100) && long > 0.0 {
            demand.on_sent(at, &settings, true, long / 10.0);
        }
    }
}

fn names(count: usize) -> Vec<RunnerName> {
    let names = (0..count).map(|number| format!("r{number}").parse().unwrap());
    names.collect()
}

fn reserved(demand: &Demand, now: u64, runners: &[(&RunnerName, f64)]) -> Vec<RunnerName> {
    let settings = lanes::Settings::default();
    let share = demand.short_share(Instant::from_millis(now), &settings);
    lanes::reserved(&settings, share, runners)
}

/// The reserved runners are the slowest, cover the demand with headroom, and are the same
/// for routers that know the runners in another order.
#[test]
fn routers_reserve_the_same_slow_runners() {
    let names = names(12);
    let speeds = [0.67, 1.0, 1.5];
    let runners = names.iter().enumerate();
    let mut runners: Vec<_> = runners
        .map(|(number, name)| (name, speeds[number % 3]))
        .collect();
    let mut demand = Demand::default();
    send(&mut demand, 0, 10_000, 100.0, 400.0);
    let chosen = reserved(&demand, 10_000, &runners);
    let is_slow = |name: &RunnerName| {
        let index = names.iter().position(|other| other == name).unwrap();
        index % 3 == 0
    };
    assert!(chosen.iter().filter(|name| is_slow(name)).count() == 4);
    let covered = chosen.iter().map(|name| {
        let index = names.iter().position(|other| other == name).unwrap();
        speeds[index % 3]
    });
    let share = covered.sum::<f64>() / (4.0 * speeds.iter().sum::<f64>());
    assert!((0.25..0.4).contains(&share), "{share}");
    runners.reverse();
    assert_eq!(reserved(&demand, 10_000, &runners), chosen);
}

/// Runners stay reserved neither without short prompts nor for more than half of a
/// service, and one of two is reserved for a few short prompts.
#[test]
fn the_number_of_reserved_runners_follows_the_demand_within_a_second() {
    let names = names(20);
    let runners: Vec<_> = names.iter().map(|name| (name, 1.0)).collect();
    let mut demand = Demand::default();
    assert!(reserved(&demand, 0, &runners).is_empty());
    send(&mut demand, 0, 10_000, 1_000.0, 200.0);
    assert_eq!(reserved(&demand, 10_000, &runners).len(), 10);
    send(&mut demand, 10_000, 15_000, 200.0, 800.0);
    let before = reserved(&demand, 15_000, &runners).len();
    send(&mut demand, 15_000, 16_000, 20.0, 800.0);
    let after = reserved(&demand, 16_000, &runners).len();
    assert!(before >= 6 && after <= before / 2, "{before} {after}");
    send(&mut demand, 16_000, 21_000, 10.0, 990.0);
    assert_eq!(reserved(&demand, 21_000, &runners).len(), 1);
    assert_eq!(reserved(&demand, 21_000, &runners[..2]).len(), 1);
    assert!(reserved(&demand, 21_000, &runners[..1]).is_empty());
}
