//! Merging the late instance list with the processes' own reports.

use std::time;

use lentil_policy::membership::{Event, ListedProcess, Membership, Meter, Settings};
use lentil_types::{BootId, Bytes, Instant, NodeName, PlaceName, RunnerState};

const MINUTE: time::Duration = time::Duration::from_secs(60);

fn node(name: &str) -> NodeName {
    NodeName::new(name).expect("a name")
}

fn listed(name: &str, state: RunnerState) -> ListedProcess {
    ListedProcess {
        node: node(name),
        place: PlaceName::new("hall-intake").expect("a name"),
        address: ([127, 0, 0, 1], 7100).into(),
        state,
    }
}

fn reported(name: &str, boot: u64, state: RunnerState) -> Event {
    Event::Reported {
        node: node(name),
        boot: BootId(boot),
        state,
    }
}

/// Processes `a` and `b`, listed and reported as live.
fn two_live() -> Membership {
    let mut table = Membership::new(Settings::default());
    let list = ["a", "b"]
        .map(|name| listed(name, RunnerState::Live))
        .to_vec();
    table.on_event(Instant::ZERO, Event::Listed(list));
    for name in ["a", "b"] {
        table.on_event(Instant::ZERO, reported(name, 1, RunnerState::Live));
    }
    assert!(table.tick(Instant::ZERO));
    table
}

fn state(table: &Membership, name: &str) -> Option<RunnerState> {
    table.get(&node(name)).map(|member| member.state)
}

#[test]
fn a_listed_process_is_joining_until_it_reports() {
    let mut table = Membership::new(Settings::default());
    table.on_event(
        Instant::ZERO,
        Event::Listed(vec![listed("a", RunnerState::Live)]),
    );
    assert_eq!(state(&table, "a"), Some(RunnerState::Joining));
    assert_eq!(table.peers().len(), 1);
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Live));
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
}

#[test]
fn an_unanswered_process_is_silent_and_not_gone() {
    let mut table = two_live();
    table.on_event(Instant::ZERO, Event::Unanswered(node("a")));
    table.tick(Instant::ZERO + 60 * MINUTE);
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
    let peers: Vec<_> = table
        .peers()
        .iter()
        .map(|(name, _)| name.to_string())
        .collect();
    assert_eq!(peers, ["b"]);
}

#[test]
fn a_partitioned_place_keeps_its_peers() {
    let mut table = two_live();
    // Nothing answers and the list cannot be read for an hour.
    for name in ["a", "b"] {
        table.on_event(Instant::ZERO, Event::Unanswered(node(name)));
    }
    table.tick(Instant::ZERO + 60 * MINUTE);
    assert_eq!(table.count(RunnerState::Live), 2);
    assert_eq!(table.peers().len(), 2);
}

#[test]
fn a_process_off_the_list_that_still_answers_is_not_gone() {
    let mut table = two_live();
    table.on_event(
        Instant::ZERO,
        Event::Listed(vec![listed("b", RunnerState::Live)]),
    );
    table.tick(Instant::ZERO + 10 * MINUTE);
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
}

#[test]
fn a_process_off_the_list_and_silent_is_gone_and_then_expires() {
    let mut table = two_live();
    table.on_event(
        Instant::ZERO,
        Event::Listed(vec![listed("b", RunnerState::Live)]),
    );
    table.on_event(Instant::ZERO, Event::Unanswered(node("a")));
    let before_limit = Instant::ZERO + MINUTE / 2;
    table.tick(before_limit);
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
    assert!(table.tick(Instant::ZERO + MINUTE));
    assert_eq!(state(&table, "a"), Some(RunnerState::Gone));
    table.tick(Instant::ZERO + 20 * MINUTE);
    assert_eq!(state(&table, "a"), None);
}

// A process that was cut off for a minute was out of use for ten more.
#[rstest::rstest]
#[case::listed(Event::Listed(vec![listed("a", RunnerState::Live)]))]
#[case::reporting(reported("a", 1, RunnerState::Live))]
fn a_process_that_was_taken_for_gone_is_used_again_once_it_is_found(#[case] found: Event) {
    let mut table = two_live();
    table.on_event(Instant::ZERO, Event::Listed(Vec::new()));
    table.on_event(Instant::ZERO, Event::Unanswered(node("a")));
    table.tick(Instant::ZERO + MINUTE);
    assert_eq!(state(&table, "a"), Some(RunnerState::Gone));
    table.on_event(Instant::ZERO + MINUTE, found);
    assert!(table.tick(Instant::ZERO + MINUTE));
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
}

#[test]
fn a_leaving_process_that_was_taken_for_gone_is_leaving_once_it_is_found() {
    let mut table = two_live();
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Leaving));
    table.on_event(Instant::ZERO, Event::Listed(Vec::new()));
    table.on_event(Instant::ZERO, Event::Unanswered(node("a")));
    table.tick(Instant::ZERO + MINUTE);
    assert_eq!(state(&table, "a"), Some(RunnerState::Gone));
    table.on_event(Instant::ZERO + MINUTE, reported("a", 1, RunnerState::Live));
    assert_eq!(state(&table, "a"), Some(RunnerState::Leaving));
}

#[test]
fn a_leaving_process_gets_no_new_work_whichever_source_said_so() {
    let mut table = two_live();
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Leaving));
    // The list lags and still has it as live.
    let stale_list = ["a", "b"]
        .map(|name| listed(name, RunnerState::Live))
        .to_vec();
    table.on_event(Instant::ZERO, Event::Listed(stale_list));
    assert_eq!(state(&table, "a"), Some(RunnerState::Leaving));
    table.on_event(
        Instant::ZERO,
        Event::Listed(vec![listed("b", RunnerState::Leaving)]),
    );
    assert_eq!(state(&table, "b"), Some(RunnerState::Leaving));
    assert_eq!(table.peers().len(), 0);
}

#[test]
fn a_late_report_of_an_earlier_boot_is_ignored() {
    let mut table = two_live();
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Leaving));
    table.on_event(Instant::ZERO, reported("a", 2, RunnerState::Live));
    assert_eq!(state(&table, "a"), Some(RunnerState::Live));
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Gone));
    let member = table.get(&node("a")).expect("known");
    assert_eq!(
        (member.state, member.boot),
        (RunnerState::Live, Some(BootId(2)))
    );
}

#[test]
fn within_one_boot_leaving_is_final() {
    let mut table = two_live();
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Leaving));
    table.on_event(Instant::ZERO, reported("a", 1, RunnerState::Live));
    assert_eq!(state(&table, "a"), Some(RunnerState::Leaving));
}

#[test]
fn the_meter_counts_bytes_and_averages_their_rate() {
    let mut meter = Meter::default();
    let mut now = Instant::ZERO;
    for _ in 0..600 {
        now = now + time::Duration::from_secs(1);
        meter.add(now, Bytes(100));
    }
    assert_eq!(meter.total(), Bytes(60_000));
    assert!(
        (90.0..110.0).contains(&meter.rate(now)),
        "{}",
        meter.rate(now)
    );
    assert!(meter.rate(now + 10 * MINUTE) < 1.0);
}
