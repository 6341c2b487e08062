//! Time to encode and decode a part of a streamed answer and an offer.

#![allow(missing_docs, reason = "criterion's macros generate public functions")]

use std::{hint::black_box, time};

use bytes::BytesMut;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use lentil_policy::protocol;
use lentil_types::{
    Attempt, AttemptId, BootId, Class, ModelName, PieceHash, RequestId, ServiceName, TeamName,
    Tokens, WeightsVersion,
};
use lentil_wire::{Message, decode, encode};

/// Pieces of the prompt in the offer.
const PIECES: u64 = 200;

fn id() -> AttemptId {
    AttemptId {
        request: RequestId(0x1234_5678),
        attempt: Attempt::FIRST,
    }
}

fn piece() -> Message {
    Message::Piece(protocol::Piece {
        id: id(),
        boot: BootId(7),
        offset: 31,
        text: "word31 ".to_owned(),
        data: vec![b'x'; 160],
    })
}

fn offer() -> Message {
    Message::Offer(protocol::Offer {
        id: id(),
        work: protocol::Work {
            service: ServiceName::new("sortmind").expect("well formed"),
            model: Some(ModelName::new("sortmind-7b").expect("well formed")),
            team: TeamName::new("recycler-a").expect("well formed"),
            class: Class::Normal,
            weights: WeightsVersion(1),
            pieces: (0..PIECES).map(|n| PieceHash(n).chain(b"piece")).collect(),
            prompt: Tokens(PIECES * 1_000),
            output: Tokens(256),
        },
        budget: time::Duration::from_secs(60),
    })
}

fn codec(criterion: &mut Criterion) {
    for (name, message) in [("piece", piece()), ("offer of 200 pieces", offer())] {
        criterion.bench_function(&format!("encode {name}"), |bencher| {
            bencher.iter_batched(
                || message.clone(),
                |message| encode(black_box(message)),
                BatchSize::SmallInput,
            );
        });
        let frame = encode(message).expect("encoded");
        criterion.bench_function(&format!("decode {name}"), |bencher| {
            bencher.iter_batched(
                || BytesMut::from(&frame[..]),
                |mut buffer| decode(black_box(&mut buffer)),
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, codec);
criterion_main!(benches);
