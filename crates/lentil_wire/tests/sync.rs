//! Messages about documents and orders decode to what was encoded.

use std::time;

use bytes::BytesMut;
use lentil_policy::{
    config_sync::{Doc, Edit, KnownVersion, Reply, Update, UpdateBody},
    rollout,
    store::ObjectVersion,
};
use lentil_types::{BootId, FencingNumber, ModelName, RunnerState, WeightsVersion};
use lentil_wire::{Message, Sync, Synced, decode, encode};
use rstest::rstest;

fn known() -> Vec<KnownVersion> {
    vec![KnownVersion {
        doc: Doc::Poison,
        version: ObjectVersion(7),
    }]
}

fn synced(body: UpdateBody, age: Option<time::Duration>) -> Message {
    let update = Update {
        doc: Doc::Config,
        version: ObjectVersion(9),
        body,
    };
    Message::Synced(Synced {
        boot: BootId(3),
        state: RunnerState::Live,
        known: known(),
        reply: Reply {
            updates: vec![update],
            age,
        },
    })
}

fn order() -> rollout::Order {
    rollout::Order {
        number: FencingNumber(7),
        model: ModelName::new("sortmind-7b").expect("a name"),
        weights: WeightsVersion(2),
    }
}

fn edits() -> UpdateBody {
    UpdateBody::Edits {
        base: ObjectVersion(8),
        edits: vec![Edit::between(b"old", b"gold")],
    }
}

#[rstest]
#[case::request(Message::Sync(Sync { known: known(), wait: time::Duration::from_secs(2) }))]
#[case::full(synced(UpdateBody::Full(b"text".to_vec()), None))]
#[case::edits(synced(edits(), Some(time::Duration::from_micros(5))))]
#[case::order(Message::Order(order()))]
#[case::accepted(Message::Ordered(Ok(())))]
#[case::refused(Message::Ordered(Err(rollout::OrderFault::Fenced)))]
fn a_message_decodes_to_itself(#[case] message: Message) {
    let mut buffer = BytesMut::from(&encode(message.clone()).expect("encoded")[..]);
    assert_eq!(decode(&mut buffer).expect("decoded"), Some(message));
}
