//! Hand-made frames: each is decoded or refused with the expected error.

use bytes::{BufMut as _, BytesMut};
use lentil_types::{Attempt, AttemptId, FailReason, RequestId};
use lentil_wire::{ConvertError, MAX_FRAME_BYTES, Message, WireError, decode, encode};

/// Index of `refused` in `Message.body`, from 0.
const REFUSED: u8 = 18;
/// Index of `cancel`.
const CANCEL: u8 = 11;
/// An index that no version uses yet.
const UNKNOWN: u8 = 200;

fn frame(payload: &[u8]) -> BytesMut {
    let mut frame = BytesMut::new();
    frame.put_u32(u32::try_from(payload.len()).expect("small"));
    frame.put_slice(payload);
    frame
}

fn cancel() -> Message {
    Message::Cancel(AttemptId {
        request: RequestId(7),
        attempt: Attempt(2),
    })
}

#[test]
fn the_numbers_of_refused_and_cancel_are_fixed() {
    let reason = FailReason::Poison as u8;
    let refused = decode(&mut frame(&[REFUSED, reason])).expect("a message");
    assert_eq!(refused, Some(Message::Refused(FailReason::Poison)));
    let encoded = encode(cancel()).expect("encoded");
    assert_eq!(encoded[4], CANCEL);
}

#[test]
fn a_message_kind_of_a_newer_version_is_reported_and_skipped() {
    let mut buffer = frame(&[UNKNOWN, 1, 2, 3]);
    buffer.unsplit(frame(&[REFUSED, FailReason::Leaving as u8]));
    let unknown = decode(&mut buffer);
    assert!(
        matches!(unknown, Err(WireError::UnknownMessage(200))),
        "{unknown:?}"
    );
    let next = decode(&mut buffer).expect("the next message");
    assert_eq!(next, Some(Message::Refused(FailReason::Leaving)));
}

#[test]
fn bytes_after_a_message_are_refused() {
    let trailing = decode(&mut frame(&[REFUSED, 1, 9, 9]));
    assert!(
        matches!(trailing, Err(WireError::TrailingBytes(2))),
        "{trailing:?}"
    );
}

#[test]
fn a_truncated_message_is_refused() {
    let short = decode(&mut frame(&[REFUSED]));
    assert!(matches!(short, Err(WireError::Decode(_))), "{short:?}");
    let empty = decode(&mut frame(&[]));
    assert!(matches!(empty, Err(WireError::Decode(_))), "{empty:?}");
}

#[test]
fn an_unknown_enum_number_is_refused() {
    let unknown = decode(&mut frame(&[REFUSED, 250]));
    assert!(
        matches!(
            unknown,
            Err(WireError::Invalid(ConvertError::UnknownValue { .. }))
        ),
        "{unknown:?}"
    );
}

#[test]
fn an_id_of_another_size_is_refused() {
    // Attempt present, a request id of 2 bytes, attempt 1.
    let short = decode(&mut frame(&[CANCEL, 1, 2, 0, 0, 1]));
    assert!(
        matches!(short, Err(WireError::Invalid(ConvertError::IdSize(2)))),
        "{short:?}"
    );
}

#[test]
fn a_handshake_message_is_refused_after_the_handshake() {
    // A proof of 0 bytes.
    let proof = decode(&mut frame(&[2, 0]));
    assert!(matches!(proof, Err(WireError::Invalid(_))), "{proof:?}");
}

#[test]
fn a_frame_over_the_limit_is_refused_by_its_length() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(u32::try_from(MAX_FRAME_BYTES + 1).expect("32 bits"));
    let large = decode(&mut buffer);
    assert!(
        matches!(large, Err(WireError::TooLarge { .. })),
        "{large:?}"
    );
    assert!(
        buffer.capacity() < MAX_FRAME_BYTES,
        "memory was allocated for the frame"
    );
}

#[test]
fn a_claimed_length_allocates_no_memory() {
    // An offer whose service name has a claimed length of 2^62 bytes.
    let claim = [4, 0, 253, 0, 0, 0, 0, 0, 0, 0, 64];
    let refused = decode(&mut frame(&claim));
    assert!(matches!(refused, Err(WireError::Decode(_))), "{refused:?}");
}

#[test]
fn a_frame_may_arrive_byte_by_byte() {
    let whole = encode(cancel()).expect("encoded");
    let mut buffer = BytesMut::new();
    for (index, byte) in whole.iter().enumerate() {
        buffer.put_u8(*byte);
        let message = decode(&mut buffer).expect("no error");
        let last = index + 1 == whole.len();
        assert_eq!(message, last.then(cancel));
    }
}
