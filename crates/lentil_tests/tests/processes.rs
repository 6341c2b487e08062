//! The real binaries as processes of their own: stopped, killed and frozen.

use std::{io::Write as _, net::SocketAddr, time};

use lentil_fakes::{Engine, EngineSettings};
use lentil_sidecar::BackendKind;
use lentil_tests::{Caller, Process, Streamed, config_text, identity, wait};
use lentil_types::BootId;
use lentil_wire::{Identity, Link, WireError};

/// Streams that are in flight when something stops.
const STREAMS: usize = 4;
const WORDS: usize = 60;
const PROMPT: &str = "classify lot 7";
/// So slow that a stream does not end before a test speeds it up.
const SLOW: time::Duration = time::Duration::from_secs(1);

/// An entry and two sidecars as processes, before stand-ins in this process.
struct Market {
    engines: Vec<Engine>,
    sidecars: Vec<Process>,
    entry: Process,
    _text: tempfile::NamedTempFile,
}

impl Market {
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
        let mut text = tempfile::NamedTempFile::new().expect("a file can be made");
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let written = text.write_all(config_text(&addresses, nobody).as_bytes());
        written.expect("the file can be written");
        let entry = Process::entry(text.path()).await;
        for process in sidecars.iter().chain([&entry]) {
            until_ready(process, 200).await;
        }
        Self {
            engines,
            sidecars,
            entry,
            _text: text,
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

    /// Starts streams that do not end before the pace is set.
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

    /// Place of an engine that runs a request.
    fn busy(&self) -> usize {
        let busy = self.engines.iter().position(|engine| engine.running() > 0);
        busy.expect("an engine runs a request")
    }
}

async fn until_ready(process: &Process, status: u16) {
    let begin = time::Instant::now();
    while process.admin_status("/readyz").await != status {
        assert!(
            begin.elapsed() < wait::TIMEOUT,
            "still waiting for {status}"
        );
    }
}

async fn assert_whole(streams: Vec<smol::Task<Streamed>>) {
    for stream in streams {
        let answer = stream.await;
        assert!(answer.is_whole(), "{answer:?}");
    }
}

#[test]
fn sigterm_of_an_entry_cuts_no_stream() {
    wait::run(async {
        let mut market = Market::start().await;
        let streams = market.begin_streams().await;
        market.entry.terminate();
        until_ready(&market.entry, 503).await;
        market.set_pace(time::Duration::ZERO);
        assert_whole(streams).await;
        assert_eq!(market.entry.ended().await, Some(0));
    });
}

#[test]
fn sigterm_of_a_sidecar_cuts_no_stream() {
    wait::run(async {
        let mut market = Market::start().await;
        let streams = market.begin_streams().await;
        let busy = market.busy();
        market.sidecars[busy].terminate();
        until_ready(&market.sidecars[busy], 503).await;
        let runs = market.engines[busy].runs();
        market.set_pace(time::Duration::ZERO);
        for number in 0..STREAMS {
            let after = market.caller().stream(&format!("after {number}")).await;
            assert!(after.is_whole(), "{after:?}");
        }
        assert_whole(streams).await;
        assert_eq!(market.sidecars[busy].ended().await, Some(0));
        assert_eq!(
            market.engines[busy].runs(),
            runs,
            "a leaving runner got work"
        );
    });
}

#[rstest::rstest]
#[case::killed(Process::kill)]
#[case::frozen(Process::pause)]
fn a_sidecar_dies_mid_stream(#[case] harm: fn(&Process)) {
    wait::run(async {
        let market = Market::start().await;
        let undisturbed = market.caller().stream(PROMPT).await;
        assert!(undisturbed.is_whole(), "{undisturbed:?}");
        market.set_pace(time::Duration::from_millis(100));
        let caller = market.caller();
        let stream = smol::spawn(async move { caller.stream(PROMPT).await });
        wait::until("it runs", || market.running() == 1).await;
        harm(&market.sidecars[market.busy()]);
        market.set_pace(time::Duration::ZERO);
        let disturbed = stream.await;
        assert!(disturbed.is_whole(), "{disturbed:?}");
        assert_eq!(disturbed.text, undisturbed.text);
    });
}

#[test]
fn the_engine_stops_work_of_a_killed_entry() {
    wait::run(async {
        let market = Market::start().await;
        let streams = market.begin_streams().await;
        market.entry.kill();
        for stream in streams {
            assert!(!stream.await.is_whole(), "a cut stream passes for whole");
        }
        wait::until("no request runs", || market.running() == 0).await;
    });
}

#[test]
fn a_stranger_is_refused_and_logged_once() {
    wait::run(async {
        let engine = Engine::start(EngineSettings::default()).expect("an engine starts");
        let mut sidecar = Process::sidecar(engine.address(), BackendKind::Engine).await;
        let stranger = Identity {
            key: "a key of another fleet, long enough"
                .parse()
                .expect("long enough"),
            ..identity("stranger")
        };
        for _ in 0..3 {
            let refused = Link::connect(sidecar.address, &stranger).await;
            assert!(
                matches!(refused, Err(WireError::Unauthenticated(_))),
                "{refused:?}"
            );
        }
        let known = Link::connect(sidecar.address, &identity("entry")).await;
        assert!(known.is_ok(), "{known:?}");
        drop(known);
        sidecar.terminate();
        assert_eq!(sidecar.ended().await, Some(0));
        let log = sidecar.rest_of_log();
        let refusals = log.iter().filter(|line| line.contains("refused"));
        assert_eq!(refusals.count(), 1, "{log:#?}");
    });
}
