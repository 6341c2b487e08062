//! At-most-once calls run at most once, whatever fails.

use std::{sync::LazyLock, time};

use lentil_fakes::EngineSettings;
use lentil_tests::{Answer, Caller, Fleet, FleetSettings, wait};

/// An idempotency key; it starts with the Unix time in seconds.
static KEY: LazyLock<String> = LazyLock::new(|| {
    let unix = time::SystemTime::UNIX_EPOCH.elapsed();
    format!("{}-release-7", unix.unwrap_or_default().as_secs())
});

async fn start() -> Fleet {
    Fleet::start(FleetSettings {
        engines: 1,
        entries: 2,
        engine: EngineSettings::default(),
    })
    .await
}

async fn release(caller: &Caller, body: &str) -> Answer {
    caller.plain("POST", "/release", Some(&KEY), body).await
}

/// Starts a call and waits until it has run. Its answer is delayed beyond the
/// rest of the test.
async fn begin(fleet: &Fleet) -> smol::Task<Answer> {
    fleet.plain.delay_answers(time::Duration::from_secs(2));
    let caller = fleet.caller(0).with_deadline(time::Duration::from_secs(5));
    let call = smol::spawn(async move { release(&caller, "lot 7").await });
    wait::until("the call ran", || fleet.plain.runs(&KEY) == 1).await;
    call
}

#[test]
fn a_repeated_call_gets_the_recorded_answer() {
    wait::run(async {
        let fleet = start().await;
        let first = release(&fleet.caller(0), "lot 7").await;
        assert_eq!((first.status, first.outcome.as_str()), (200, "done"));
        let again = release(&fleet.caller(0), "lot 7").await;
        let elsewhere = release(&fleet.caller(1), "lot 7").await;
        for answer in [again, elsewhere] {
            assert_eq!(answer.body, first.body, "{answer:?}");
        }
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    wait::run(async {
        let fleet = start().await;
        release(&fleet.caller(0), "lot 7").await;
        for entry in [0, 1] {
            let answer = release(&fleet.caller(entry), "lot 8").await;
            assert_eq!(answer.status, 422, "{answer:?}");
        }
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}

#[test]
fn a_call_whose_answer_is_lost_does_not_run_again() {
    wait::run(async {
        let fleet = start().await;
        fleet.plain.lose_answers(1);
        let lost = release(&fleet.caller(0), "lot 7").await;
        assert_eq!(lost.outcome, "unknown", "{lost:?}");
        for entry in [0, 1] {
            let again = release(&fleet.caller(entry), "lot 7").await;
            assert_ne!(again.outcome, "not-run", "{again:?}");
        }
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}

#[test]
fn an_entry_is_killed_while_its_call_runs() {
    wait::run(async {
        let mut fleet = start().await;
        let call = begin(&fleet).await;
        drop(fleet.entries[0].take());
        drop(call);
        let again = release(&fleet.caller(1), "lot 7").await;
        assert_ne!(again.outcome, "not-run", "{again:?}");
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}

#[test]
fn a_sidecar_is_killed_while_its_call_runs() {
    wait::run(async {
        let mut fleet = start().await;
        let call = begin(&fleet).await;
        drop(fleet.sidecars[1].take());
        let answer = call.await;
        assert_ne!(answer.outcome, "not-run", "{answer:?}");
        assert_ne!(answer.outcome, "done", "{answer:?}");
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}

#[test]
fn a_restarted_service_runs_a_refused_call_once() {
    wait::run(async {
        let fleet = start().await;
        fleet.plain.crash().await;
        let refused = release(&fleet.caller(0), "lot 7").await;
        assert_eq!(refused.outcome, "not-run", "{refused:?}");
        fleet.plain.restart().await.expect("the port is free");
        let done = release(&fleet.caller(0), "lot 7").await;
        assert_eq!((done.status, done.outcome.as_str()), (200, "done"));
        assert_eq!(fleet.plain.runs(&KEY), 1);
    });
}
