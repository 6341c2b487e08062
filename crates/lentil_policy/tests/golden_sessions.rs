//! Snapshots of whole sessions: events in, commands and answers out.

mod support;

use std::{fmt::Write as _, time};

use lentil_policy::{entry, protocol, route, sidecar, store};
use lentil_types::{BootId, FailReason, Outcome, PlaceName, ServiceName, WeightsVersion};
use rstest::rstest;
use support::{
    Bench, MemoryStore, SidecarBench, attempt, dispatch, dispatch_in, end, failed, link, lost,
    op_of, piece, piece_of, started, store_call, up,
};

/// A session of one entry and its transcript.
struct Session {
    bench: Bench,
    store: MemoryStore,
    record: String,
}

impl Session {
    fn new() -> Self {
        Self {
            bench: Bench::new(),
            store: MemoryStore::default(),
            record: String::new(),
        }
    }

    fn on(&mut self, event: entry::Event) -> Vec<entry::Command> {
        self.write(&format!("<- {}", event_line(&event)));
        let commands = self.bench.on(event);
        self.write_commands(&commands);
        commands
    }

    fn wait(&mut self, millis: u64) -> Vec<entry::Command> {
        self.write(&format!("-- {millis} ms"));
        let commands = self.bench.wait(time::Duration::from_millis(millis));
        self.write_commands(&commands);
        commands
    }

    fn arrive(&mut self, arrival: entry::Arrival) -> Vec<entry::Command> {
        self.on(entry::Event::Arrived(Box::new(arrival)))
    }

    /// Answers the call to the store among `commands`.
    fn stored(&mut self, commands: &[entry::Command]) -> Vec<entry::Command> {
        let call = store_call(commands).expect("a call to the store");
        let reply = self.store.call(&call);
        self.on(entry::Event::Store(reply))
    }

    fn write(&mut self, line: &str) {
        writeln!(self.record, "{line}").expect("writing to a String cannot fail");
    }

    fn write_commands(&mut self, commands: &[entry::Command]) {
        for command in commands {
            self.write(&format!("   -> {}", command_line(command)));
        }
    }
}

fn event_line(event: &entry::Event) -> String {
    use entry::Event;
    match event {
        Event::Arrived(arrival) => {
            let key = arrival.key.as_deref().unwrap_or("none");
            format!(
                "arrived {} once={} key={key}",
                number(arrival.request),
                arrival.once
            )
        }
        Event::Started(runner, started) => format!("{runner}: started {}", id(started.id)),
        Event::Piece(runner, piece) => format!(
            "{runner}: piece {} boot={} @{} {:?}",
            id(piece.id),
            piece.boot.0,
            piece.offset,
            piece.text
        ),
        Event::Ended(runner, end) => format!("{runner}: end {} @{}", id(end.id), end.offset),
        Event::Failed(runner, failed) => format!(
            "{runner}: failed {} {} {}",
            id(failed.id),
            failed.outcome,
            failed.reason
        ),
        Event::Disconnected {
            runner,
            id: lost,
            sent,
        } => format!("{runner}: lost {} sent={sent}", id(*lost)),
        Event::Store(reply) => format!("store: {}", reply_line(reply)),
        Event::Runners(runners) => {
            let names: Vec<_> = runners.iter().map(|info| info.name.as_str()).collect();
            format!("runners {}", names.join(" "))
        }
        other => format!("{other:?}"),
    }
}

fn reply_line(reply: &store::StoreReply) -> String {
    match reply {
        store::StoreReply::Found { version, value, .. } => {
            format!("found v{} {}", version.0, String::from_utf8_lossy(value))
        }
        store::StoreReply::Updated { version, .. } => format!("updated v{}", version.0),
        store::StoreReply::Conflict { .. } => "conflict".to_owned(),
        store::StoreReply::Refused { .. } => "refused".to_owned(),
        store::StoreReply::Lost { .. } => "lost".to_owned(),
    }
}

fn command_line(command: &entry::Command) -> String {
    use entry::Command;
    match command {
        Command::Dispatch(runner, dispatch) => {
            let resume = dispatch.resume.as_ref();
            let resume = resume.map(|resume| format!("@{} {:?}", resume.offset, resume.text));
            format!(
                "dispatch {runner} {} boot={:?} resume={} isolated={} recover={}",
                id(dispatch.offer.id),
                dispatch.boot.map(|boot| boot.0),
                resume.unwrap_or_else(|| "none".to_owned()),
                dispatch.isolated,
                dispatch.recover
            )
        }
        Command::Cancel(runner, stopped) => format!("cancel {runner} {}", id(*stopped)),
        Command::Withdraw(runner, asked) => format!("withdraw {runner} {}", id(*asked)),
        Command::Head {
            request, status, ..
        } => format!("caller {}: head {status}", number(*request)),
        Command::Emit {
            request,
            offset,
            data,
        } => format!(
            "caller {}: @{offset} {:?}",
            number(*request),
            String::from_utf8_lossy(data)
        ),
        Command::Finish { request, ending } => match ending {
            entry::Ending::Whole(_) => format!("caller {}: whole", number(*request)),
            entry::Ending::Failed {
                outcome, reason, ..
            } => format!("caller {}: {outcome} {reason}", number(*request)),
        },
        Command::Store(store::StoreCall::Read { key, .. }) => {
            format!("store: read {}/{}", key.kind, key.name)
        }
        Command::Store(store::StoreCall::Update {
            key, expect, value, ..
        }) => format!(
            "store: update {}/{} if v{} {}",
            key.kind,
            key.name,
            expect.0,
            String::from_utf8_lossy(value)
        ),
        other @ Command::Offer(..) => format!("{other:?}"),
    }
}

fn id(id: lentil_types::AttemptId) -> String {
    format!("{}/{}", number(id.request), id.attempt)
}

fn number(request: lentil_types::RequestId) -> u128 {
    request.0
}

#[rstest]
fn plain_chat() {
    let mut session = Session::new();
    let arrival = session.bench.arrival(1);
    session.arrive(arrival);
    session.on(started("a", attempt(1)));
    session.on(piece("a", attempt(1), 0, "spring"));
    session.on(end("a", attempt(1), 1));
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn stream_with_resume() {
    let mut session = Session::new();
    let arrival = session.bench.arrival(1);
    session.arrive(arrival);
    session.on(started("a", attempt(1)));
    session.on(piece("a", attempt(1), 0, "one "));
    session.on(piece("a", attempt(1), 1, "two "));
    let commands = session.on(lost("a", attempt(1), true));
    let again = dispatch_in(&commands).expect("another attempt").1.offer.id;
    session.on(started("b", again));
    session.on(piece("b", again, 2, "three"));
    session.on(end("b", again, 3));
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn crossed_answers() {
    let mut session = Session::new();
    for number in [1, 2] {
        let arrival = session.bench.arrival(number);
        session.arrive(arrival);
        session.on(started("a", attempt(number)));
    }
    session.on(piece(
        "b",
        attempt(1),
        0,
        "from a runner that was not asked",
    ));
    session.on(piece("a", attempt(3), 0, "for nobody"));
    session.on(piece("a", attempt(2), 0, "second"));
    session.on(piece("a", attempt(1), 0, "first"));
    let commands = session.on(piece_of(
        BootId(6),
        "a",
        attempt(1),
        1,
        "from a dead engine",
    ));
    let again = dispatch_in(&commands).expect("another attempt").1.offer.id;
    session.on(piece("a", attempt(1), 1, "late"));
    session.on(started("a", again));
    session.on(end("a", again, 1));
    session.on(end("a", attempt(2), 1));
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn non_repeatable_call_with_lost_store_answer() {
    let mut session = Session::new();
    let arrival = session.bench.once(1, "1800000000-voucher-88", "apply");
    let read = session.arrive(arrival);
    let write = session.stored(&read);
    let call = store_call(&write).expect("a write");
    session.store.call(&call);
    let op = op_of(&call);
    let reread = session.on(entry::Event::Store(store::StoreReply::Lost { op }));
    session.stored(&reread);
    session.on(started("a", attempt(1)));
    session.on(piece("a", attempt(1), 0, "applied"));
    session.on(end("a", attempt(1), 1));
    let settle = session.wait(1_000);
    session.stored(&settle);
    let again = session.bench.once(2, "1800000000-voucher-88", "apply");
    session.arrive(again);
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn poison() {
    let mut session = Session::new();
    let died = |runner: &str, id| failed(runner, id, Outcome::Unknown, FailReason::EngineDied);
    let arrival = session.bench.arrival(1);
    session.arrive(arrival);
    let commands = session.on(died("a", attempt(1)));
    let again = dispatch_in(&commands).expect("another attempt").1.offer.id;
    session.on(died("b", again));
    let mut resent = session.bench.arrival(2);
    resent.fingerprint = session.bench.arrival(1).fingerprint;
    session.arrive(resent);
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn drain() {
    let mut session = Session::new();
    let arrival = session.bench.arrival(1);
    session.arrive(arrival);
    session.on(started("a", attempt(1)));
    session.on(entry::Event::Drain);
    let refused = session.bench.arrival(2);
    session.arrive(refused);
    session.on(piece("a", attempt(1), 0, "one "));
    let commands = session.on(lost("a", attempt(1), true));
    let again = dispatch_in(&commands).expect("another attempt").1.offer.id;
    session.on(started("b", again));
    session.on(piece("b", again, 1, "two"));
    session.on(end("b", again, 2));
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn config_change_mid_flight() {
    let mut session = Session::new();
    for number in [1, 2] {
        let arrival = session.bench.arrival(number);
        session.arrive(arrival);
    }
    session.on(started("a", attempt(1)));
    session.on(piece("a", attempt(1), 0, "old "));
    let info = |name: &str| route::RunnerInfo {
        name: support::name(name),
        service: ServiceName::new("s").expect("a valid name"),
        place: PlaceName::new("p").expect("a valid name"),
    };
    session.on(entry::Event::Runners(vec![info("b"), info("c")]));
    // A request in flight at an unlisted runner goes on.
    session.on(piece("a", attempt(1), 1, "answer"));
    session.on(end("a", attempt(1), 2));
    // One queued there for replaced weights goes to another runner.
    let stale = failed("a", attempt(2), Outcome::NotRun, FailReason::StaleWeights);
    let commands = session.on(stale);
    let again = dispatch_in(&commands).expect("another attempt").1.offer.id;
    session.on(started("b", again));
    session.on(end("b", again, 0));
    insta::assert_snapshot!(session.record);
}

#[rstest]
fn sidecar_weights_change_and_leave() {
    let mut bench = SidecarBench::with(sidecar::Settings::default(), 1);
    let mut record = String::new();
    let usage = protocol::Usage::default();
    let id = attempt(1);
    let (boot, weights) = (support::BOOT, WeightsVersion(2));
    let events = [
        sidecar::Event::Dispatch(link(1), dispatch(1, false)),
        sidecar::Event::Dispatch(link(2), dispatch(2, false)),
        sidecar::Event::EngineUp { boot, weights },
        sidecar::Event::Dispatch(link(3), dispatch(3, false)),
        sidecar::Event::Leave,
        sidecar::Event::Ended { id, usage },
        up(BootId(8)),
    ];
    for event in events {
        let line = match &event {
            sidecar::Event::Dispatch(link, dispatch) => {
                format!(
                    "dispatch {} on link {}",
                    dispatch.offer.id.request.0, link.0
                )
            }
            other => format!("{other:?}"),
        };
        writeln!(record, "<- {line}").expect("writing to a String cannot fail");
        for command in bench.on(event) {
            let line = match &command {
                sidecar::Command::Run(dispatch) => {
                    format!("run {}", dispatch.offer.id.request.0)
                }
                sidecar::Command::Fail(link, failed) => format!(
                    "link {}: {} {} {}, {}",
                    link.0, failed.id.request.0, failed.outcome, failed.reason, failed.load.state
                ),
                sidecar::Command::End(link, end) => {
                    format!("link {}: {} whole", link.0, end.id.request.0)
                }
                other => format!("{other:?}"),
            };
            writeln!(record, "   -> {line}").expect("writing to a String cannot fail");
        }
    }
    insta::assert_snapshot!(record);
}
