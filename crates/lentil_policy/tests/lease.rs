//! A lease has at most one holder; superseded holders are refused.

use std::time;

use lentil_policy::{
    lease::{FencingGate, GateError, Lease, Record, Settings},
    store::{ObjectKey, ObjectVersion, StoreCall, StoreReply},
};
use lentil_types::{FencingNumber, Instant, NodeName};
use rstest::rstest;

const STEP: time::Duration = time::Duration::from_millis(100);

/// Fault injected into a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write is lost and so is its answer.
    WriteLost,
}

#[derive(Default)]
struct Store {
    version: u64,
    value: Vec<u8>,
}

impl Store {
    fn answer(&mut self, call: StoreCall, fault: Fault) -> StoreReply {
        match call {
            StoreCall::Read { op, .. } => StoreReply::Found {
                op,
                version: ObjectVersion(self.version),
                value: self.value.clone(),
            },
            StoreCall::Update { op, .. } if fault == Fault::WriteLost => StoreReply::Lost { op },
            StoreCall::Update {
                op, expect, value, ..
            } => {
                if expect.0 != self.version {
                    return StoreReply::Conflict { op };
                }
                self.version += 1;
                self.value = value;
                if fault == Fault::AnswerLost {
                    return StoreReply::Lost { op };
                }
                let version = ObjectVersion(self.version);
                StoreReply::Updated { op, version }
            }
        }
    }
}

fn lease(node: &str) -> Lease {
    let key = ObjectKey {
        kind: "leases".into(),
        name: "orders".into(),
    };
    let nonce = u64::from(node.as_bytes()[0]);
    Lease::new(Settings::new(
        NodeName::new(node).expect("a name"),
        nonce,
        key,
    ))
}

/// Steps every lease for `span`, checking that at most one is held. Returns the
/// end.
fn run(
    store: &mut Store,
    leases: &mut [&mut Lease],
    from: Instant,
    span: time::Duration,
    fault: Fault,
) -> Instant {
    let mut now = from;
    while now < from + span {
        now = now + STEP;
        for lease in leases.iter_mut() {
            if let Some(call) = lease.tick(now) {
                let reply = store.answer(call, fault);
                lease.on_reply(now, &reply);
            }
        }
        let held = leases
            .iter()
            .filter(|lease| lease.permit(now).is_some())
            .count();
        assert!(held <= 1, "{held} holders at {now}");
    }
    now
}

const SECOND: time::Duration = time::Duration::from_secs(1);

#[test]
fn one_of_two_takes_a_free_lease_and_keeps_it() {
    let (mut store, mut a, mut b) = (Store::default(), lease("a"), lease("b"));
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        Instant::ZERO,
        120 * SECOND,
        Fault::None,
    );
    assert_eq!(a.permit(now), Some(FencingNumber(1)));
    assert_eq!(b.permit(now), None);
    assert_eq!(b.number(), FencingNumber(1));
}

#[test]
fn a_holder_paused_past_its_term_stops_and_its_orders_are_refused() {
    let (mut store, mut a, mut b) = (Store::default(), lease("a"), lease("b"));
    let now = run(
        &mut store,
        &mut [&mut a],
        Instant::ZERO,
        5 * SECOND,
        Fault::None,
    );
    let old = a.permit(now).expect("it holds the lease");
    // a is paused; b waits for a whole term and takes over.
    let now = run(&mut store, &mut [&mut b], now, 40 * SECOND, Fault::None);
    let new = b.permit(now).expect("it took over");
    assert!(new > old);
    // a resumes: it knows from its clock alone that its tenure is over.
    assert_eq!(a.permit(now), None);
    // The gate refuses an order that a had checked just before the pause.
    let mut gate = FencingGate::new();
    gate.learn(new);
    assert_eq!(
        gate.pass(old),
        Err(GateError::Stale {
            got: old,
            highest: new
        })
    );
    assert_eq!(gate.pass(new), Ok(()));
    // Both continue: there is never a second holder.
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        now,
        60 * SECOND,
        Fault::None,
    );
    assert_eq!(b.permit(now), Some(new));
}

#[rstest]
#[case::the_write_took_effect(Fault::AnswerLost)]
#[case::the_write_is_lost(Fault::WriteLost)]
fn a_lost_answer_is_settled_by_reading_back(#[case] fault: Fault) {
    let (mut store, mut a, mut b) = (Store::default(), lease("a"), lease("b"));
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        Instant::ZERO,
        60 * SECOND,
        fault,
    );
    if fault == Fault::AnswerLost {
        assert!(store.version > 0);
    } else {
        assert_eq!((a.permit(now), b.permit(now)), (None, None));
    }
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        now,
        60 * SECOND,
        Fault::None,
    );
    let holders = [a.permit(now), b.permit(now)];
    assert_eq!(holders.iter().flatten().count(), 1);
}

#[test]
fn a_lost_renewal_does_not_extend_the_tenure() {
    let (mut store, mut a, mut b) = (Store::default(), lease("a"), lease("b"));
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        Instant::ZERO,
        2 * SECOND,
        Fault::None,
    );
    assert!(a.permit(now).is_some());
    // Every renewal is lost; b takes over only after a has stopped.
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        now,
        15 * SECOND,
        Fault::WriteLost,
    );
    assert_eq!(a.permit(now), None);
    let now = run(&mut store, &mut [&mut b], now, 20 * SECOND, Fault::None);
    assert_eq!(b.permit(now), Some(FencingNumber(2)));
}

#[test]
fn a_store_that_is_down_ends_the_tenure() {
    let (mut store, mut a) = (Store::default(), lease("a"));
    let mut now = run(
        &mut store,
        &mut [&mut a],
        Instant::ZERO,
        5 * SECOND,
        Fault::None,
    );
    for _ in 0..200 {
        now = now + STEP;
        if let Some(StoreCall::Update { op, .. } | StoreCall::Read { op, .. }) = a.tick(now) {
            a.on_reply(now, &StoreReply::Refused { op });
        }
    }
    assert_eq!(a.permit(now), None);
}

#[test]
fn a_released_lease_is_taken_at_once_with_a_higher_number() {
    let (mut store, mut a, mut b) = (Store::default(), lease("a"), lease("b"));
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        Instant::ZERO,
        5 * SECOND,
        Fault::None,
    );
    a.release();
    assert_eq!(a.permit(now), None);
    let now = run(
        &mut store,
        &mut [&mut a, &mut b],
        now,
        5 * SECOND,
        Fault::None,
    );
    assert_eq!(b.permit(now), Some(FencingNumber(2)));
}

#[test]
fn a_gate_passes_nothing_before_it_has_learned_a_number() {
    let mut gate = FencingGate::new();
    assert_eq!(gate.pass(FencingNumber(7)), Err(GateError::NotLearned));
    gate.learn(FencingNumber(6));
    assert_eq!(gate.pass(FencingNumber(7)), Ok(()));
    let old = GateError::Stale {
        got: FencingNumber(6),
        highest: FencingNumber(7),
    };
    assert_eq!(gate.pass(FencingNumber(6)), Err(old));
}

#[test]
fn a_record_round_trips_through_its_text_form() {
    let record = Record {
        number: FencingNumber(7),
        holder: Some(NodeName::new("entry-1").expect("a name")),
        nonce: 9,
        term: 15 * SECOND,
        renewals: 3,
    };
    assert_eq!(record.to_string().parse(), Ok(record.clone()));
    let free = Record {
        holder: None,
        ..record
    };
    assert_eq!(free.to_string().parse(), Ok(free));
    assert!("7 entry-1".parse::<Record>().is_err());
}
