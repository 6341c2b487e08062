//! Order, fairness, limits and predictions of the fair queue.

use std::time::Duration;

use lentil_policy::{
    protocol,
    queue::{FairQueue, FairSettings, Job, Queue},
    sidecar,
};
use lentil_types::{
    Attempt, AttemptId, BootId, Class, FailReason, Fingerprint, Instant, PieceHash, Pieces,
    RequestId, Table, Tokens, WeightsVersion,
};
use rstest::rstest;

fn id(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        attempt: Attempt::FIRST,
    }
}

fn job(number: u128, team: &str, class: Class, arrived: Instant) -> Job {
    Job {
        id: id(number),
        work: protocol::Work {
            service: "sortmind".parse().unwrap(),
            model: None,
            team: team.parse().unwrap(),
            class,
            weights: WeightsVersion(1),
            pieces: [].into(),
            prompt: Tokens(1_000),
            output: Tokens(100),
        },
        cached: Pieces(0),
        arrived,
        deadline: arrived + Duration::from_secs(600),
        isolated: false,
    }
}

fn queue(slots: u32) -> FairQueue {
    FairQueue::new(FairSettings {
        slots,
        urgent_slots: 0,
        ..Default::default()
    })
}

const fn seconds(count: u64) -> Instant {
    Instant::from_millis(count * 1_000)
}

const USAGE: protocol::Usage = protocol::Usage {
    prompt: Tokens(1_000),
    cached: Tokens(0),
    output: Tokens(100),
};

/// Pops and completes one job; returns its number.
fn serve(queue: &mut FairQueue, now: Instant) -> Option<u128> {
    let job = queue.pop(now)?;
    queue.on_started(now, job.id);
    queue.finish(now, job.id, &USAGE);
    Some(job.id.request.0)
}

#[test]
fn urgent_goes_before_normal_before_patient() {
    let mut queue = queue(1);
    let classes = [Class::Patient, Class::Normal, Class::Urgent];
    for (i, class) in classes.into_iter().enumerate() {
        queue
            .push(Instant::ZERO, job(i as u128, "a", class, Instant::ZERO))
            .unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| serve(&mut queue, Instant::ZERO)).collect();
    assert_eq!(order, [2, 1, 0]);
}

#[test]
fn an_overdue_job_gets_every_second_start() {
    let mut queue = queue(1);
    let late = FairSettings::default().ageing * 2;
    queue
        .push(Instant::ZERO, job(0, "a", Class::Patient, Instant::ZERO))
        .unwrap();
    queue
        .push(Instant::ZERO, job(1, "a", Class::Patient, Instant::ZERO))
        .unwrap();
    let now = Instant::ZERO + late;
    for i in 10..14 {
        queue.push(now, job(i, "b", Class::Urgent, now)).unwrap();
    }
    let order: Vec<_> = std::iter::from_fn(|| serve(&mut queue, now)).collect();
    assert_eq!(order, [0, 10, 1, 11, 12, 13]);
}

#[rstest]
#[case::equal(1, 1)]
#[case::weighted(3, 1)]
fn tokens_are_shared_by_weight(#[case] weight_a: u32, #[case] weight_b: u32) {
    let shares: Table<_, _> = [("a", weight_a), ("b", weight_b)]
        .into_iter()
        .map(|(team, weight)| (team.parse().unwrap(), weight))
        .collect();
    let mut queue = queue(1);
    queue.set_shares(&shares);
    for i in 0..200 {
        // Team a sends first and three times as many requests.
        let team = if i % 4 == 3 { "b" } else { "a" };
        queue
            .push(Instant::ZERO, job(i, team, Class::Normal, Instant::ZERO))
            .unwrap();
    }
    let served: Vec<_> = (0..40)
        .filter_map(|_| serve(&mut queue, Instant::ZERO))
        .collect();
    let of_b = served.iter().filter(|number| **number % 4 == 3).count() as u32;
    assert_eq!(of_b, 40 * weight_b / (weight_a + weight_b));
}

#[test]
fn an_idle_team_builds_up_no_credit() {
    let mut queue = queue(1);
    for i in 0..50 {
        queue
            .push(Instant::ZERO, job(i, "a", Class::Normal, Instant::ZERO))
            .unwrap();
    }
    for _ in 0..20 {
        serve(&mut queue, Instant::ZERO).unwrap();
    }
    for i in 100..150 {
        queue
            .push(Instant::ZERO, job(i, "b", Class::Normal, Instant::ZERO))
            .unwrap();
    }
    let served: Vec<_> = (0..20)
        .filter_map(|_| serve(&mut queue, Instant::ZERO))
        .collect();
    assert_eq!(served.iter().filter(|number| **number >= 100).count(), 10);
}

#[test]
fn slots_are_reserved_for_urgent_jobs() {
    let mut queue = FairQueue::new(FairSettings {
        slots: 4,
        urgent_slots: 2,
        prefill_window: Tokens(1_000_000),
        ..Default::default()
    });
    for i in 0..8 {
        queue
            .push(Instant::ZERO, job(i, "a", Class::Patient, Instant::ZERO))
            .unwrap();
    }
    while queue.pop(Instant::ZERO).is_some() {}
    assert_eq!(queue.running(), 2);
    queue
        .push(Instant::ZERO, job(9, "b", Class::Urgent, Instant::ZERO))
        .unwrap();
    assert_eq!(queue.pop(Instant::ZERO).map(|job| job.id), Some(id(9)));
}

#[test]
fn long_prompts_are_prefilled_one_at_a_time() {
    let mut queue = queue(16);
    for i in 0..3 {
        let mut long = job(i, "a", Class::Patient, Instant::ZERO);
        long.work.prompt = Tokens(30_000);
        queue.push(Instant::ZERO, long).unwrap();
    }
    assert!(queue.pop(Instant::ZERO).is_some());
    assert!(queue.pop(Instant::ZERO).is_none());
    queue.on_started(seconds(3), id(0));
    assert!(queue.pop(seconds(3)).is_some());
}

#[test]
fn a_job_waits_for_a_prefix_that_is_being_prefilled() {
    let mut queue = queue(16);
    let chain: Vec<_> = (1..=3).map(PieceHash).collect();
    for i in 0..2 {
        let mut job = job(i, "a", Class::Normal, Instant::ZERO);
        job.work.pieces = chain.clone().into();
        job.work.prompt = Tokens(3_100);
        queue.push(Instant::ZERO, job).unwrap();
    }
    assert!(queue.pop(Instant::ZERO).is_some());
    assert!(
        queue.pop(Instant::ZERO).is_none(),
        "the prefix would be computed twice"
    );
    queue.on_started(seconds(1), id(0));
    let second = queue.pop(seconds(1)).unwrap();
    assert_eq!(second.cached, Pieces(3));
}

#[test]
fn an_isolated_job_runs_alone() {
    let mut queue = queue(16);
    queue
        .push(Instant::ZERO, job(0, "a", Class::Normal, Instant::ZERO))
        .unwrap();
    assert!(queue.pop(Instant::ZERO).is_some());
    let mut alone = job(1, "b", Class::Urgent, Instant::ZERO);
    alone.isolated = true;
    queue.push(Instant::ZERO, alone).unwrap();
    queue
        .push(Instant::ZERO, job(2, "c", Class::Urgent, seconds(1)))
        .unwrap();
    assert!(queue.pop(seconds(1)).is_none(), "another job runs");
    queue.finish(seconds(2), id(0), &USAGE);
    assert_eq!(queue.pop(seconds(2)).map(|job| job.id), Some(id(1)));
    assert!(queue.pop(seconds(2)).is_none(), "an isolated job runs");
}

#[test]
fn refuses_jobs_that_would_miss_their_deadline_except_patient_ones() {
    let mut queue = queue(1);
    for i in 0..20 {
        let mut long = job(i, "a", Class::Patient, Instant::ZERO);
        long.work.prompt = Tokens(30_000);
        queue.push(Instant::ZERO, long).unwrap();
    }
    let mut tight = job(50, "a", Class::Normal, Instant::ZERO);
    tight.work.prompt = Tokens(40_000);
    tight.deadline = seconds(2);
    let refusal = queue.push(Instant::ZERO, tight.clone()).unwrap_err();
    assert!(refusal.wait > Duration::from_secs(2));
    assert_eq!(refusal.retry, refusal.wait - Duration::from_secs(2));
    tight.work.class = Class::Patient;
    queue.push(Instant::ZERO, tight).unwrap();
}

#[test]
fn predictions_follow_the_observed_rate() {
    let mut queue = queue(16);
    let work = job(99, "a", Class::Normal, Instant::ZERO).work;
    let before = queue.expected_wait(Instant::ZERO, &work, Pieces(0));
    for i in 0..50 {
        // 1,000 tokens per second, a tenth of the expected rate.
        let now = seconds(i * 10);
        queue
            .push(now, job(u128::from(i), "a", Class::Normal, now))
            .unwrap();
        let job = queue.pop(now).unwrap();
        queue.on_started(seconds(i * 10 + 1), job.id);
        queue.finish(seconds(i * 10 + 1), job.id, &USAGE);
    }
    let after = queue.expected_wait(seconds(500), &work, Pieces(0));
    assert!(after > before * 8, "{before:?} {after:?}");
}

#[test]
fn external_requests_at_the_engine_take_slots() {
    let mut queue = queue(4);
    queue.on_engine_load(Instant::ZERO, 4, Tokens(0));
    queue
        .push(Instant::ZERO, job(0, "a", Class::Normal, Instant::ZERO))
        .unwrap();
    assert!(queue.pop(Instant::ZERO).is_none());
    queue.on_engine_load(seconds(1), 0, Tokens(0));
    assert!(queue.pop(seconds(1)).is_some());
    // A late report that counts the queue's own job adds no external request.
    queue.finish(seconds(2), id(0), &USAGE);
    queue.on_engine_load(seconds(2), 1, Tokens(0));
    for i in 1..=4 {
        queue
            .push(seconds(2), job(i, "a", Class::Normal, seconds(2)))
            .unwrap();
    }
    let popped = std::iter::from_fn(|| queue.pop(seconds(2))).count();
    assert_eq!(popped, 4);
}

#[test]
fn a_refusal_carries_the_predicted_retry_delay() {
    let queue = Box::new(FairQueue::new(FairSettings::default()));
    let mut policy = sidecar::SidecarPolicy::new(sidecar::Settings::default(), queue);
    let (boot, weights) = (BootId(1), WeightsVersion(1));
    policy.on_event(Instant::ZERO, sidecar::Event::EngineUp { boot, weights });
    let mut work = job(1, "a", Class::Normal, Instant::ZERO).work;
    work.prompt = Tokens(50_000);
    let budget = Duration::from_secs(2);
    let dispatch = protocol::Dispatch {
        offer: protocol::Offer {
            id: id(1),
            work,
            budget,
        },
        boot: None,
        call: protocol::HttpCall::default(),
        resume: None,
        once: false,
        key: None,
        fingerprint: Fingerprint(1),
        isolated: false,
        recover: false,
    };
    let event = sidecar::Event::Dispatch(sidecar::LinkId(1), Box::new(dispatch));
    policy.on_event(Instant::ZERO, event);
    let commands = policy.tick(Instant::ZERO);
    let failed = commands.iter().find_map(|command| match command {
        sidecar::Command::Fail(_, failed) => Some(failed),
        _ => None,
    });
    let failed = failed.expect("a refusal");
    assert_eq!(failed.reason, FailReason::Overloaded);
    // 50,000 tokens at 10,000 per second take 5 s, 3 s more than the budget.
    assert_eq!(failed.retry, Some(Duration::from_secs(3)));
}
