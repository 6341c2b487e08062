//! A request that crashes engines is refused, and other requests still complete.

use std::time;

use lentil_fakes::{Engine, EngineSettings};
use lentil_process::admin::ManagedProcess as _;
use lentil_tests::{Fleet, FleetSettings, wait};
use lentil_types::BootId;

const POISON: &str = "the lot that crashes engines";
/// Requests that run on the engines when one crashes.
const BYSTANDERS: usize = 6;

async fn start() -> Fleet {
    let engine = EngineSettings {
        words: 60,
        pace: time::Duration::from_millis(5),
        ..EngineSettings::default()
    };
    let fleet = Fleet::start(FleetSettings {
        engines: 3,
        entries: 2,
        engine,
    })
    .await;
    for engine in &fleet.engines {
        engine.crash_on(POISON);
    }
    fleet
}

/// Crashes of all engines so far. Boot ids count up from a multiple of 1,000.
fn crashes(fleet: &Fleet) -> u64 {
    let reboots = |engine: &Engine| {
        let BootId(boot) = engine.boot();
        boot % 1_000
    };
    fleet.engines.iter().map(reboots).sum()
}

#[test]
fn a_request_that_crashes_engines_is_refused_after_two_crashes() {
    wait::run(async {
        let fleet = start().await;
        let first = fleet.caller(0).stream(POISON).await;
        assert_eq!(first.code(), "poison", "{first:?}");
        let before = crashes(&fleet);
        assert!(before <= 2, "{before} crashes");
        let again = fleet.caller(0).stream(POISON).await;
        assert_eq!(again.code(), "poison", "{again:?}");
        assert_eq!(crashes(&fleet), before);
    });
}

#[test]
fn connected_entries_refuse_it_after_crash_notices() {
    wait::run(async {
        let fleet = start().await;
        connect_to_all(&fleet, 1).await;
        fleet.caller(0).stream(POISON).await;
        let before = crashes(&fleet);
        let entry = fleet.entries[1]
            .as_ref()
            .expect("the entry runs")
            .admin_handle();
        wait::until("the other entry has both crash notices", || {
            entry.dump()["counters"]["crash_notices"] == 2
        })
        .await;
        let again = fleet.caller(1).stream(POISON).await;
        assert_eq!(again.code(), "poison", "{again:?}");
        assert_eq!(crashes(&fleet), before);
    });
}

/// Sends requests through an entry until every engine has run one.
async fn connect_to_all(fleet: &Fleet, entry: usize) {
    while fleet.engines.iter().any(|engine| engine.runs() == 0) {
        let warm = |number: usize| {
            let caller = fleet.caller(entry);
            smol::spawn(async move { caller.stream(&format!("warm {number}")).await })
        };
        let warm: Vec<_> = (0..BYSTANDERS).map(warm).collect();
        for answer in warm {
            assert!(answer.await.is_complete());
        }
    }
}

#[test]
fn other_requests_on_the_crashed_engine_get_their_answers() {
    wait::run(async {
        let fleet = start().await;
        let begin = |number: usize| {
            let caller = fleet.caller(number % 2);
            smol::spawn(async move { caller.stream(&format!("innocent {number}")).await })
        };
        let bystanders: Vec<_> = (0..BYSTANDERS).map(begin).collect();
        let runs = || fleet.engines.iter().map(Engine::runs).sum::<u64>();
        wait::until("they run", || runs() == BYSTANDERS as u64).await;
        let poison = fleet.caller(0).stream(POISON).await;
        assert!(!poison.is_complete(), "{poison:?}");
        for bystander in bystanders {
            let answer = bystander.await;
            assert!(answer.is_complete(), "{answer:?}");
        }
        for number in 0..BYSTANDERS {
            let again = fleet.caller(0).stream(&format!("innocent {number}")).await;
            assert!(again.is_complete(), "{again:?}");
        }
    });
}
