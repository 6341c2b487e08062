//! Messages to bytes and back.

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{self, Decoder as _, Encoder as _};

use crate::{WireError, generated, message};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

const CONFIG: bincode::config::Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    bincode::config::Limit<MAX_FRAME_BYTES>,
> = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// Writes a message as one frame.
///
/// # Errors
/// [`WireError::Encode`] or [`WireError::Io`] when it is larger than
/// [`MAX_FRAME_BYTES`].
pub fn encode(message: &message::Message) -> Result<Bytes, WireError> {
    encode_generated(&message.to_generated())
}

/// Takes the first whole frame out of `buffer`, or returns `None` when more
/// bytes are needed.
///
/// # Errors
/// [`WireError`] when the frame is too large, is no message of this version or
/// has bytes left over.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<message::Message>, WireError> {
    match decode_generated(buffer)? {
        Some(body) => Ok(Some(message::Message::from_generated(body)?)),
        None => Ok(None),
    }
}

pub(crate) fn encode_generated(body: &generated::message::Body) -> Result<Bytes, WireError> {
    let payload =
        bincode::encode_to_vec(body, CONFIG).map_err(|error| WireError::Encode(Box::new(error)))?;
    let mut frame = BytesMut::new();
    frames().encode(Bytes::from(payload), &mut frame)?;
    Ok(frame.freeze())
}

pub(crate) fn decode_generated(
    buffer: &mut BytesMut,
) -> Result<Option<generated::message::Body>, WireError> {
    let Some(frame) = frames().decode(buffer)? else {
        return Ok(None);
    };
    let (body, read) = bincode::decode_from_slice(&frame, CONFIG)
        .map_err(|error| WireError::Decode(Box::new(error)))?;
    if read < frame.len() {
        return Err(WireError::Trailing(frame.len() - read));
    }
    Ok(Some(body))
}

fn frames() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
