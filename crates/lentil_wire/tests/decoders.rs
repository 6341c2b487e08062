//! Decoding any bytes does not panic, and an encoded message decodes to itself.

use std::time;

use bytes::BytesMut;
use lentil_policy::protocol;
use lentil_types::{
    Attempt, AttemptId, BootId, Class, ConfigVersion, FailReason, Fingerprint, IdempotencyKey,
    ModelName, Outcome, PieceHash, Pieces, RequestId, RunnerState, ServiceName, TeamName, Tokens,
    WeightsVersion,
};
use lentil_wire::{ConfigDocument, Message, PoisonNotice, decode, encode};
use proptest::{collection, option, prelude::*};

fn id() -> impl Strategy<Value = AttemptId> {
    (any::<u128>(), any::<u32>()).prop_map(|(request, attempt)| AttemptId {
        request: RequestId(request),
        attempt: Attempt(attempt),
    })
}

fn span() -> impl Strategy<Value = time::Duration> {
    any::<u64>().prop_map(time::Duration::from_micros)
}

fn reason() -> impl Strategy<Value = FailReason> {
    (1..=20_u8).prop_filter_map("a reason", FailReason::from_repr)
}

fn load() -> impl Strategy<Value = protocol::Load> {
    let counts = (any::<u32>(), any::<u32>(), any::<u64>());
    (any::<u64>(), any::<u32>(), 0..4_u8, counts, any::<u64>()).prop_map(
        |(boot, weights, state, (queued, running, backlog), config)| protocol::Load {
            boot: BootId(boot),
            weights: WeightsVersion(weights),
            state: RunnerState::from_repr(state).unwrap_or_default(),
            queued,
            running,
            backlog: Tokens(backlog),
            config: ConfigVersion(config),
        },
    )
}

fn work() -> impl Strategy<Value = protocol::Work> {
    let names = ("[a-z]{1,12}", option::of("[a-z0-9.-]{1,12}"), "[a-z]{1,12}");
    let pieces = collection::vec(any::<u64>(), 0..200);
    let sizes = (any::<u64>(), any::<u64>());
    (names, 0..3_u8, any::<u32>(), pieces, sizes).prop_map(
        |((service, model, team), class, weights, pieces, (prompt, output))| protocol::Work {
            service: ServiceName::new(&service).expect("well formed"),
            model: model.map(|model| ModelName::new(&model).expect("well formed")),
            team: TeamName::new(&team).expect("well formed"),
            class: Class::from_repr(class).unwrap_or_default(),
            weights: WeightsVersion(weights),
            pieces: pieces.into_iter().map(PieceHash).collect(),
            prompt: Tokens(prompt),
            output: Tokens(output),
        },
    )
}

fn offer() -> impl Strategy<Value = protocol::Offer> {
    (id(), work(), span()).prop_map(|(id, work, budget)| protocol::Offer { id, work, budget })
}

fn headers() -> impl Strategy<Value = Vec<protocol::Header>> {
    let header = ("[a-z-]{1,20}", ".{0,40}");
    let header = header.prop_map(|(name, value)| protocol::Header { name, value });
    collection::vec(header, 0..6)
}

fn call() -> impl Strategy<Value = protocol::HttpCall> {
    let body = collection::vec(any::<u8>(), 0..2_000);
    ("[A-Z]{3,6}", "/.{0,40}", headers(), body).prop_map(|(method, path, headers, body)| {
        protocol::HttpCall {
            method,
            path,
            headers,
            body: body.into(),
        }
    })
}

fn dispatch() -> impl Strategy<Value = protocol::Dispatch> {
    let resume = (1..u64::MAX, ".{0,80}");
    let resume = resume.prop_map(|(offset, text)| protocol::Resume { offset, text });
    let boot = option::of((1..u64::MAX).prop_map(BootId));
    let key = option::of("[0-9]{10}-[a-z]{1,9}");
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let marks = (option::of(resume), key, any::<u64>(), flags);
    (offer(), boot, call(), marks).prop_map(|(offer, boot, call, (resume, key, print, flags))| {
        protocol::Dispatch {
            offer,
            boot,
            call,
            resume,
            once: flags.0,
            key: key.map(|key| IdempotencyKey::new(&key).expect("well formed")),
            fingerprint: Fingerprint(print),
            isolated: flags.1,
            recover: flags.2,
        }
    })
}

fn started() -> impl Strategy<Value = Message> {
    (id(), any::<u32>(), any::<u16>(), headers(), load()).prop_map(
        |(id, cached, status, headers, load)| {
            Message::Started(protocol::Started {
                id,
                cached: Pieces(u64::from(cached)),
                status,
                headers,
                load,
            })
        },
    )
}

fn piece() -> impl Strategy<Value = Message> {
    let data = collection::vec(any::<u8>(), 0..500);
    (id(), any::<u64>(), any::<u64>(), ".{0,40}", data).prop_map(
        |(id, boot, offset, text, data)| {
            Message::Piece(protocol::Piece {
                id,
                boot: BootId(boot),
                offset,
                text,
                data,
            })
        },
    )
}

fn end() -> impl Strategy<Value = Message> {
    let usage = (any::<u64>(), any::<u64>(), any::<u64>());
    (id(), any::<u64>(), any::<u64>(), usage, load()).prop_map(|(id, boot, offset, usage, load)| {
        Message::End(protocol::End {
            id,
            boot: BootId(boot),
            offset,
            usage: protocol::Usage {
                prompt: Tokens(usage.0),
                cached: Tokens(usage.1),
                output: Tokens(usage.2),
            },
            load,
        })
    })
}

fn failed() -> impl Strategy<Value = Message> {
    let retry = option::of((1..u64::MAX).prop_map(time::Duration::from_micros));
    (id(), 1..3_u8, reason(), retry, load()).prop_map(|(id, outcome, reason, retry, load)| {
        Message::Failed(protocol::Failed {
            id,
            outcome: Outcome::from_repr(outcome).expect("an outcome"),
            reason,
            retry,
            load,
        })
    })
}

fn bid() -> impl Strategy<Value = Message> {
    (id(), any::<u32>(), span(), load()).prop_map(|(id, cached, wait, load)| {
        Message::Bid(protocol::Bid {
            id,
            cached: Pieces(u64::from(cached)),
            wait,
            load,
        })
    })
}

/// Every kind of message but documents and orders, which `sync.rs` tests.
fn message() -> impl Strategy<Value = Message> {
    let withdrawn = |(id, started)| Message::Withdrawn(protocol::Withdrawn { id, started });
    let ask = |(config, want_text)| Message::Ask {
        config: ConfigVersion(config),
        want_text,
    };
    let text = |(version, text)| {
        Message::Text(ConfigDocument {
            version: ConfigVersion(version),
            text,
        })
    };
    let poison = |(fingerprint, crashes)| {
        Message::Poison(PoisonNotice {
            fingerprint: Fingerprint(fingerprint),
            crashes,
        })
    };
    prop_oneof![
        offer().prop_map(Message::Offer),
        bid(),
        dispatch().prop_map(|dispatch| Message::Dispatch(Box::new(dispatch))),
        started(),
        piece(),
        end(),
        failed(),
        id().prop_map(Message::Cancel),
        id().prop_map(Message::Withdraw),
        (id(), any::<bool>()).prop_map(withdrawn),
        (any::<u64>(), any::<bool>()).prop_map(ask),
        load().prop_map(Message::Load),
        (any::<u64>(), ".{0,200}").prop_map(text),
        (any::<u64>(), any::<u32>()).prop_map(poison),
        reason().prop_map(Message::Refused),
        Just(Message::Watch),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in collection::vec(any::<u8>(), 0..400)) {
        let _ = decode(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn decoding_any_body_of_a_kind_does_not_panic(
        kind in 0..30_u8,
        rest in collection::vec(any::<u8>(), 0..400),
    ) {
        let size = u32::try_from(rest.len() + 1).expect("small");
        let mut bytes = BytesMut::from(&size.to_be_bytes()[..]);
        bytes.extend_from_slice(&[kind]);
        bytes.extend_from_slice(&rest);
        let _ = decode(&mut bytes);
    }

    #[test]
    fn a_message_decodes_to_itself(message in message()) {
        let mut buffer = BytesMut::from(&encode(message.clone()).expect("encoded")[..]);
        prop_assert_eq!(decode(&mut buffer).expect("decoded"), Some(message));
        prop_assert!(buffer.is_empty());
    }

    #[test]
    fn decoding_a_corrupted_message_does_not_panic(
        message in message(),
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = BytesMut::from(&encode(message).expect("encoded")[..]);
        let index = index.index(bytes.len());
        bytes[index] = byte;
        let _ = decode(&mut bytes);
    }
}
