//! The real binaries in processes of their own: stopped, killed and frozen.

use std::{io::Write as _, net::SocketAddr, time};

use lentil_fakes::{Engine, EngineSettings};
use lentil_sidecar::BackendKind;
use lentil_tests::{Caller, Process, Streamed, config_text, identity, wait};
use lentil_types::BootId;
use lentil_wire::{Identity, Link, WireError};

/// Streams in flight when a process stops.
const STREAMS: usize = 4;
const WORDS: usize = 60;
const PROMPT: &str = "classify lot 7";
/// Slow enough that no stream ends before a test lowers the pace.
const SLOW: time::Duration = time::Duration::from_secs(1);

/// An entry and two sidecars as processes, with engine stand-ins in this process.
struct ProcessFleet {
    engines: Vec<Engine>,
    sidecars: Vec<Process>,
    entry: Process,
    _config: tempfile::NamedTempFile,
}

impl ProcessFleet {
    async fn start() -> Self {
        let (mut engines, mut sidecars) = (Vec::new(), Vec::new());
        for boot in [BootId(1_000), BootId(2_000)] {
            let settings = EngineSettings {
                boot,
                words: WORDS,
                ..EngineSettings::default()
            };
            let engine = Engine::start(settings).expect("an engine starts");
            sidecars.push(Process::sidecar(engine.address(), BackendKind::Engine).await);
            engines.push(engine);
        }
        let addresses: Vec<_> = sidecars.iter().map(|sidecar| sidecar.address).collect();
        let mut config = tempfile::NamedTempFile::new().expect("a file can be made");
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let written = config.write_all(config_text(&addresses, nobody).as_bytes());
        written.expect("the file can be written");
        let entry = Process::entry(config.path()).await;
        for process in sidecars.iter().chain([&entry]) {
            wait_for_readyz(process, 200).await;
        }
        Self {
            engines,
            sidecars,
            entry,
            _config: config,
        }
    }

    fn caller(&self) -> Caller {
        Caller::new(self.entry.address, "alpha")
    }

    fn set_pace(&self, pace: time::Duration) {
        for engine in &self.engines {
            engine.set_pace(pace);
        }
    }

    /// Starts streams that do not end before the pace is set again.
    async fn begin_streams(&self) -> Vec<smol::Task<Streamed>> {
        self.set_pace(SLOW);
        let begin = |number: usize| {
            let caller = self.caller();
            smol::spawn(async move { caller.stream(&format!("long {number}")).await })
        };
        let streams = (0..STREAMS).map(begin).collect();
        wait::until("every stream runs", || self.running() == STREAMS).await;
        streams
    }

    fn running(&self) -> usize {
        let running = |engine: &Engine| engine.running() as usize;
        self.engines.iter().map(running).sum()
    }

    /// Index of an engine that runs a request.
    fn busy_engine(&self) -> usize {
        let busy = self.engines.iter().position(|engine| engine.running() > 0);
        busy.expect("an engine runs a request")
    }
}

async fn wait_for_readyz(process: &Process, status: u16) {
    let start = time::Instant::now();
    while process.admin_status("/readyz").await != status {
        assert!(
            start.elapsed() < wait::TIMEOUT,
            "still waiting for {status}"
        );
    }
}

async fn assert_complete(streams: Vec<smol::Task<Streamed>>) {
    for stream in streams {
        let answer = stream.await;
        assert!(answer.is_complete(), "{answer:?}");
    }
}

#[test]
fn sigterm_of_an_entry_cuts_no_stream() {
    wait::run(async {
        let mut fleet = ProcessFleet::start().await;
        let streams = fleet.begin_streams().await;
        fleet.entry.terminate();
        wait_for_readyz(&fleet.entry, 503).await;
        fleet.set_pace(time::Duration::ZERO);
        assert_complete(streams).await;
        assert_eq!(fleet.entry.exit_code().await, Some(0));
    });
}

#[test]
fn sigterm_of_a_sidecar_cuts_no_stream() {
    wait::run(async {
        let mut fleet = ProcessFleet::start().await;
        let streams = fleet.begin_streams().await;
        let busy = fleet.busy_engine();
        fleet.sidecars[busy].terminate();
        wait_for_readyz(&fleet.sidecars[busy], 503).await;
        let runs = fleet.engines[busy].runs();
        fleet.set_pace(time::Duration::ZERO);
        for number in 0..STREAMS {
            let after = fleet.caller().stream(&format!("after {number}")).await;
            assert!(after.is_complete(), "{after:?}");
        }
        assert_complete(streams).await;
        assert_eq!(fleet.sidecars[busy].exit_code().await, Some(0));
        assert_eq!(
            fleet.engines[busy].runs(),
            runs,
            "a leaving runner got new work"
        );
    });
}

#[rstest::rstest]
#[case::killed(Process::kill)]
#[case::frozen(Process::pause)]
fn a_sidecar_fails_mid_stream(#[case] fail: fn(&Process)) {
    wait::run(async {
        let fleet = ProcessFleet::start().await;
        let uninterrupted = fleet.caller().stream(PROMPT).await;
        assert!(uninterrupted.is_complete(), "{uninterrupted:?}");
        fleet.set_pace(time::Duration::from_millis(100));
        let caller = fleet.caller();
        let stream = smol::spawn(async move { caller.stream(PROMPT).await });
        wait::until("it runs", || fleet.running() == 1).await;
        fail(&fleet.sidecars[fleet.busy_engine()]);
        fleet.set_pace(time::Duration::ZERO);
        let interrupted = stream.await;
        assert!(interrupted.is_complete(), "{interrupted:?}");
        assert_eq!(interrupted.text, uninterrupted.text);
    });
}

#[test]
fn the_engine_stops_the_requests_of_a_killed_entry() {
    wait::run(async {
        let fleet = ProcessFleet::start().await;
        let streams = fleet.begin_streams().await;
        fleet.entry.kill();
        for stream in streams {
            assert!(!stream.await.is_complete(), "a cut stream seems complete");
        }
        wait::until("no request runs", || fleet.running() == 0).await;
    });
}

#[test]
fn a_process_with_a_wrong_key_is_refused_and_logged_once() {
    wait::run(async {
        let engine = Engine::start(EngineSettings::default()).expect("an engine starts");
        let mut sidecar = Process::sidecar(engine.address(), BackendKind::Engine).await;
        let wrong_key = Identity {
            key: "a key of another fleet, long enough"
                .parse()
                .expect("long enough"),
            ..identity("stranger")
        };
        for _ in 0..3 {
            let refused = Link::connect(sidecar.address, &wrong_key).await;
            assert!(
                matches!(refused, Err(WireError::Unauthenticated(_))),
                "{refused:?}"
            );
        }
        let known = Link::connect(sidecar.address, &identity("entry")).await;
        assert!(known.is_ok(), "{known:?}");
        drop(known);
        sidecar.terminate();
        assert_eq!(sidecar.exit_code().await, Some(0));
        let log = sidecar.rest_of_log();
        let refusals = log.iter().filter(|line| line.contains("refused"));
        assert_eq!(refusals.count(), 1, "{log:#?}");
    });
}
