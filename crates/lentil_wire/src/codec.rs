//! Encodes messages as length-prefixed `bincode` frames and decodes them.

use bytes::{Buf as _, Bytes, BytesMut};
use tokio_util::codec::{self, Decoder as _};

use crate::{
    WireError,
    generated::message::Body,
    message::{self, Message},
};

/// Largest message in a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size of a frame's length prefix, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

const CONFIG: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_FRAME_BYTES>,
> = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// Encodes a message as one frame.
///
/// # Errors
/// [`WireError::TooLarge`] above [`MAX_FRAME_BYTES`], [`WireError::Encode`] when it
/// cannot be encoded.
pub fn encode(message: Message) -> Result<Bytes, WireError> {
    encode_body(&message.into_generated())
}

/// Removes the first complete frame from `buffer` and decodes it. `None` when
/// more bytes are needed.
///
/// # Errors
/// [`WireError`] when the frame is too large, is not a message of this version
/// or has trailing bytes.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Message>, WireError> {
    match decode_body(buffer, MAX_FRAME_BYTES)? {
        Some(body) => Ok(Some(Message::from_generated(body)?)),
        None => Ok(None),
    }
}

pub(crate) fn encode_body(body: &Body) -> Result<Bytes, WireError> {
    let mut frame = vec![0; LENGTH_BYTES];
    bincode::encode_into_std_write(body, &mut frame, CONFIG)
        .map_err(|error| WireError::Encode(Box::new(error)))?;
    let size = frame.len() - LENGTH_BYTES;
    match u32::try_from(size) {
        Ok(length) if size <= MAX_FRAME_BYTES => {
            frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
            Ok(frame.into())
        }
        _ => Err(too_large(size, MAX_FRAME_BYTES)),
    }
}

/// Size of the first frame in `buffer`, without its length prefix; `None` when
/// the prefix is incomplete.
pub(crate) fn frame_size(buffer: &BytesMut, limit: usize) -> Result<Option<usize>, WireError> {
    let Some(mut length) = buffer.get(..LENGTH_BYTES) else {
        return Ok(None);
    };
    match length.get_u32() as usize {
        size if size > limit => Err(too_large(size, limit)),
        size => Ok(Some(size)),
    }
}

/// Removes the first complete frame from `buffer` and decodes its body.
pub(crate) fn decode_body(buffer: &mut BytesMut, limit: usize) -> Result<Option<Body>, WireError> {
    match frame_size(buffer, limit)? {
        Some(size) if buffer.len() >= LENGTH_BYTES + size => {}
        _ => return Ok(None),
    }
    let mut frames = codec::LengthDelimitedCodec::builder()
        .max_frame_length(limit)
        .new_codec();
    match frames.decode(buffer)? {
        Some(frame) => decode_frame(&frame).map(Some),
        None => Ok(None),
    }
}

fn decode_frame(frame: &[u8]) -> Result<Body, WireError> {
    check_kind(frame)?;
    let (body, read) = bincode::decode_from_slice(frame, CONFIG)
        .map_err(|error| WireError::Decode(Box::new(error)))?;
    if read < frame.len() {
        return Err(WireError::TrailingBytes(frame.len() - read));
    }
    Ok(body)
}

/// Detects a message kind of a newer version, which the receiver can skip, unlike
/// invalid bytes.
fn check_kind(frame: &[u8]) -> Result<(), WireError> {
    let (kind, _) = bincode::decode_from_slice::<u32, _>(frame, CONFIG)
        .map_err(|error| WireError::Decode(Box::new(error)))?;
    if kind >= message::MESSAGE_KINDS {
        return Err(WireError::UnknownMessage(kind));
    }
    Ok(())
}

fn too_large(size: usize, limit: usize) -> WireError {
    WireError::TooLarge { size, limit }
}
