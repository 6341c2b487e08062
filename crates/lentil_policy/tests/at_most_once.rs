//! An at-most-once call never runs twice.

mod support;

use std::time;

use lentil_policy::{claim, entry, store};
use lentil_types::{FailReason, Outcome, RequestId};
use rstest::rstest;
use support::{
    Bench, MemoryStore, UNIX, dispatch_in, end, ending_in, failed, failure_in, lost, op_of, piece,
    settle, started, store_call, text_in,
};

const KEY: &str = "1800000000-release-1";

fn arrive(bench: &mut Bench, arrival: entry::Arrival) -> Vec<entry::Command> {
    bench.on(entry::Event::Arrived(Box::new(arrival)))
}

/// Claims a call and sends it to `a`. Returns its attempt.
fn claim_and_send(bench: &mut Bench, store: &mut MemoryStore) -> lentil_types::AttemptId {
    let arrival = bench.once(1, KEY, "lot 7");
    let commands = arrive(bench, arrival);
    let commands = settle(bench, store, commands);
    dispatch_in(&commands)
        .expect("the call is dispatched")
        .1
        .offer
        .id
}

fn finish(bench: &mut Bench, runner: &str, id: lentil_types::AttemptId) -> Vec<entry::Command> {
    bench.on(started(runner, id));
    bench.on(piece(runner, id, 0, "released"));
    bench.on(end(runner, id, 1))
}

/// Advances the time in steps of 10 ms, with a working store.
fn wait(bench: &mut Bench, store: &mut MemoryStore, span: time::Duration) -> Vec<entry::Command> {
    let mut out = Vec::new();
    let until = bench.now + span;
    while bench.now < until {
        let commands = bench.wait(time::Duration::from_millis(10));
        out.extend(settle(bench, store, commands));
    }
    out
}

/// Answers the call to the store among `commands`.
fn reply_to_call(
    bench: &mut Bench,
    commands: &[entry::Command],
    answer: impl FnOnce(&store::StoreCall) -> store::StoreReply,
) -> Vec<entry::Command> {
    let call = store_call(commands).expect("a call to the store");
    let reply = answer(&call);
    bench.on(entry::Event::Store(reply))
}

#[rstest]
fn the_claim_is_committed_before_the_call_is_sent() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    assert!(dispatch_in(&read).is_none());
    let write = reply_to_call(&mut bench, &read, |call| store.call(call));
    assert!(dispatch_in(&write).is_none());
    let committed = reply_to_call(&mut bench, &write, |call| store.call(call));
    assert!(dispatch_in(&committed).is_some());
}

#[rstest]
fn the_same_key_at_another_entry_gets_the_recorded_answer() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    finish(&mut bench, "a", id);
    wait(&mut bench, &mut store, time::Duration::from_secs(2));
    let mut other = Bench::new();
    let arrival = other.once(2, KEY, "lot 7");
    let commands = arrive(&mut other, arrival);
    let commands = settle(&mut other, &mut store, commands);
    assert!(dispatch_in(&commands).is_none());
    assert_eq!(text_in(&commands), "released");
}

#[rstest]
fn the_same_key_at_the_same_entry_waits_for_the_answer() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    let arrival = bench.once(2, KEY, "lot 7");
    let commands = arrive(&mut bench, arrival);
    assert!(dispatch_in(&settle(&mut bench, &mut store, commands)).is_none());
    finish(&mut bench, "a", id);
    let commands = wait(&mut bench, &mut store, time::Duration::from_secs(2));
    assert_eq!(text_in(&commands), "released");
}

#[rstest]
#[case::other_body("1800000000-release-1", "lot 8", FailReason::KeyReused)]
#[case::too_old("1700000000-release-1", "lot 7", FailReason::KeyExpired)]
#[case::without_time("release-1", "lot 7", FailReason::BadRequest)]
#[case::from_the_future("1900000000-release-1", "lot 7", FailReason::BadRequest)]
fn unusable_keys_are_refused_as_not_run(
    #[case] key: &str,
    #[case] body: &str,
    #[case] reason: FailReason,
) {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    claim_and_send(&mut bench, &mut store);
    let arrival = bench.once(2, key, body);
    let mut commands = arrive(&mut bench, arrival);
    commands.extend(wait(
        &mut bench,
        &mut store,
        time::Duration::from_millis(100),
    ));
    assert_eq!(failure_in(&commands), Some((Outcome::NotRun, reason)));
}

#[rstest]
fn a_call_is_refused_as_not_run_while_the_store_is_down() {
    let mut bench = Bench::new();
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let refused = |call: &store::StoreCall| store::StoreReply::Refused { op: op_of(call) };
    let commands = reply_to_call(&mut bench, &read, refused);
    let not_run = (Outcome::NotRun, FailReason::StoreDown);
    assert_eq!(failure_in(&commands), Some(not_run));
}

#[rstest]
#[case::in_force(true)]
#[case::not_in_force(false)]
fn a_lost_store_reply_is_resolved_by_reading_back(#[case] in_force: bool) {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let write = reply_to_call(&mut bench, &read, |call| store.call(call));
    let commands = reply_to_call(&mut bench, &write, |call| {
        if in_force {
            store.call(call);
        }
        store::StoreReply::Lost { op: op_of(call) }
    });
    assert!(
        dispatch_in(&commands).is_none(),
        "the write may or may not have taken effect"
    );
    let commands = settle(&mut bench, &mut store, commands);
    assert!(dispatch_in(&commands).is_some());
    assert_eq!(store.writes, 1, "a claim is written only once");
}

#[rstest]
fn a_lost_write_that_commits_late_is_found_through_a_conflict() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let write = reply_to_call(&mut bench, &read, |call| store.call(call));
    let late = store_call(&write).expect("a write");
    let lost = |call: &store::StoreCall| store::StoreReply::Lost { op: op_of(call) };
    let reread = reply_to_call(&mut bench, &write, lost);
    let rewrite = reply_to_call(&mut bench, &reread, |call| store.call(call));
    store.call(&late);
    let commands = reply_to_call(&mut bench, &rewrite, |call| store.call(call));
    assert!(dispatch_in(&commands).is_none());
    let commands = settle(&mut bench, &mut store, commands);
    assert!(
        dispatch_in(&commands).is_some(),
        "the claim found is its own"
    );
}

#[rstest]
fn only_one_of_two_concurrent_claims_sends() {
    let mut store = MemoryStore::default();
    let (mut first, mut second) = (Bench::new(), Bench::new());
    let arrival = first.once(1, KEY, "lot 7");
    let read_first = arrive(&mut first, arrival);
    let arrival = second.once(2, KEY, "lot 7");
    let read_second = arrive(&mut second, arrival);
    let write_first = reply_to_call(&mut first, &read_first, |call| store.call(call));
    let write_second = reply_to_call(&mut second, &read_second, |call| store.call(call));
    let won = settle(&mut first, &mut store, write_first);
    let held = settle(&mut second, &mut store, write_second);
    assert!(dispatch_in(&won).is_some());
    assert!(dispatch_in(&held).is_none());
}

#[rstest]
fn the_answer_of_a_crashed_entry_is_recovered_from_the_runner() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    drop(bench);
    let mut other = Bench::new();
    other.policy.on_event(
        other.now,
        entry::Event::Clock(time::Duration::from_secs(UNIX + 2)),
    );
    let arrival = other.once(2, KEY, "lot 7");
    let commands = arrive(&mut other, arrival);
    let commands = settle(&mut other, &mut store, commands);
    let (runner, asked) = dispatch_in(&commands).expect("a recovery");
    assert_eq!((runner, asked.offer.id), (support::name("a"), id));
    assert!(asked.recover, "the call must not run again");
    let commands = finish(&mut other, "a", id);
    assert_eq!(text_in(&commands), "released");
}

#[rstest]
#[case::proof(Outcome::NotRun, true)]
#[case::no_proof(Outcome::Unknown, false)]
fn a_claim_is_replaced_only_if_proven_not_run(#[case] outcome: Outcome, #[case] runs: bool) {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    drop(bench);
    let mut other = Bench::new();
    other.policy.on_event(
        other.now,
        entry::Event::Clock(time::Duration::from_secs(UNIX + 2)),
    );
    let arrival = other.once(2, KEY, "lot 7");
    let commands = arrive(&mut other, arrival);
    settle(&mut other, &mut store, commands);
    let commands = other.on(failed("a", id, outcome, FailReason::Withdrawn));
    let mut commands = settle(&mut other, &mut store, commands);
    commands.extend(wait(&mut other, &mut store, time::Duration::from_secs(1)));
    let sent = dispatch_in(&commands);
    assert_eq!(sent.is_some(), runs);
    if let Some((_, dispatch)) = sent {
        assert_eq!(dispatch.offer.id.request, RequestId(2));
        assert!(!dispatch.recover);
    } else {
        assert_eq!(
            failure_in(&commands).map(|(outcome, _)| outcome),
            Some(Outcome::Unknown)
        );
    }
}

#[rstest]
fn an_old_claim_is_not_replaced_even_with_proof() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    drop(bench);
    let mut other = Bench::new();
    let hour = time::Duration::from_secs(UNIX + 3_600);
    other.policy.on_event(other.now, entry::Event::Clock(hour));
    let arrival = other.once(2, KEY, "lot 7");
    let commands = arrive(&mut other, arrival);
    settle(&mut other, &mut store, commands);
    let commands = other.on(failed("a", id, Outcome::NotRun, FailReason::Withdrawn));
    assert_eq!(
        failure_in(&commands).map(|(outcome, _)| outcome),
        Some(Outcome::Unknown)
    );
}

#[rstest]
fn a_paused_owner_rereads_its_claim_before_sending() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let write = reply_to_call(&mut bench, &read, |call| store.call(call));
    let reply = store.call(&store_call(&write).expect("a write"));
    // Meanwhile another entry proves that the call never started and takes
    // over.
    let key = store.objects.keys().next().cloned().expect("an object");
    let (version, value) = store.objects[&key].clone();
    let mut object = claim::Object::parse(&value).expect("well formed");
    let (_, record) = object.records.iter_mut().next().expect("a claim");
    record.id.request = RequestId(2);
    let replaced = (store::ObjectVersion(version.0 + 1), object.to_bytes());
    store.objects.insert(key, replaced);

    bench.now = bench.now + time::Duration::from_secs(9);
    let commands = bench.on(entry::Event::Store(reply));
    let commands = settle(&mut bench, &mut store, commands);
    let dispatch = dispatch_in(&commands);
    assert!(dispatch.is_none_or(|(_, dispatch)| dispatch.recover));
}

#[rstest]
fn a_lost_exchange_is_recovered_and_not_sent_again() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    let commands = bench.on(lost("a", id, true));
    let (runner, asked) = dispatch_in(&commands).expect("a recovery");
    assert_eq!((runner, asked.offer.id), (support::name("a"), id));
    assert!(asked.recover);
    assert_eq!(bench.on(lost("a", id, false)), [], "asked again later");
    let commands = wait(&mut bench, &mut store, time::Duration::from_millis(200));
    assert!(dispatch_in(&commands).expect("a recovery").1.recover);
    let commands = finish(&mut bench, "a", id);
    assert!(matches!(
        ending_in(&commands),
        Some(entry::Ending::Whole(_))
    ));
}

#[rstest]
fn a_refused_call_is_sent_elsewhere_under_a_new_claim() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    let commands = bench.on(failed("a", id, Outcome::NotRun, FailReason::Leaving));
    let mut commands = settle(&mut bench, &mut store, commands);
    commands.extend(wait(
        &mut bench,
        &mut store,
        time::Duration::from_millis(100),
    ));
    let (runner, again) = dispatch_in(&commands).expect("another attempt");
    assert_eq!(runner, support::name("b"));
    assert_eq!(again.offer.id.attempt, id.attempt.next());
    let (_, value) = store.objects.values().next().expect("an object");
    let object = claim::Object::parse(value).expect("well formed");
    let record = object.records.values().next().expect("a claim");
    assert_eq!(record.id, again.offer.id);
}

#[rstest]
fn a_draining_entry_records_its_ends_at_once() {
    let (mut bench, mut store) = (Bench::new(), MemoryStore::default());
    let id = claim_and_send(&mut bench, &mut store);
    bench.on(entry::Event::Drain);
    let commands = finish(&mut bench, "a", id);
    assert_eq!(bench.policy.unsettled(), 1);
    settle(&mut bench, &mut store, commands);
    wait(&mut bench, &mut store, time::Duration::from_millis(60));
    assert_eq!(bench.policy.unsettled(), 0);
}

#[rstest]
fn a_full_object_takes_no_more_claims() {
    let mut object = claim::Object::default();
    let record = |number: u64| claim::Record {
        digest: 1,
        id: support::attempt(u128::from(number)),
        runner: support::name("runner"),
        claimed_at: time::Duration::from_secs(UNIX),
        state: claim::State::Done(None),
    };
    for number in 0..6_000 {
        let key = format!("team/{number:0100}").into();
        object.records.insert(key, record(number));
    }
    let value = object.to_bytes();
    assert!(value.len() > claim::MAX_OBJECT_BYTES);
    let mut bench = Bench::new();
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let commands = reply_to_call(&mut bench, &read, |call| store::StoreReply::Found {
        op: op_of(call),
        version: store::ObjectVersion(1),
        value,
    });
    let full = (Outcome::NotRun, FailReason::Overloaded);
    assert_eq!(failure_in(&commands), Some(full));
}

#[rstest]
#[case(b"{")]
#[case(b"[1]")]
#[case(b"\xff")]
fn a_malformed_object_is_never_overwritten(#[case] value: &[u8]) {
    let mut bench = Bench::new();
    let arrival = bench.once(1, KEY, "lot 7");
    let read = arrive(&mut bench, arrival);
    let commands = reply_to_call(&mut bench, &read, |call| store::StoreReply::Found {
        op: op_of(call),
        version: store::ObjectVersion(1),
        value: value.to_vec(),
    });
    let down = (Outcome::NotRun, FailReason::StoreDown);
    assert_eq!(failure_in(&commands), Some(down));
    assert!(store_call(&commands).is_none());
}
