//! Message bodies.

use bytes::{Bytes, BytesMut};

use super::{connection::Connection, error::ReadError};

/// Longest chunk-size line. Chunk extensions are rare and short.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 4_096;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// `Content-Length` in bytes.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// It ends when the connection closes; a reset is an error.
    UntilClose,
}

/// What to read next of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Remaining bytes of a body with a length.
    Length(u64),
    UntilClose,
    /// Line with a chunk's size.
    ChunkSize,
    /// Remaining bytes of a chunk.
    Chunk(u64),
    /// CR LF after a chunk's data.
    ChunkEnd,
    /// Trailer section, with the bytes read so far.
    Trailers(usize),
    Done,
}

/// Reads one body from a connection.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// A reader at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(size) => State::Length(size),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body ends with its connection.
    pub fn is_until_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// The next bytes of the body, `None` at its end.
    ///
    /// # Errors
    /// [`ReadError`] when the connection ends early or a chunk is malformed.
    pub async fn next(&mut self, from: &mut Connection) -> Result<Option<Bytes>, ReadError> {
        loop {
            match self.state {
                State::Done => return Ok(None),
                State::Length(remaining) => {
                    let bytes = read_up_to(from, remaining).await?;
                    self.state = match remaining - bytes.len() as u64 {
                        0 => State::Done,
                        remaining => State::Length(remaining),
                    };
                    return Ok(Some(bytes));
                }
                State::Chunk(remaining) => {
                    let bytes = read_up_to(from, remaining).await?;
                    self.state = match remaining - bytes.len() as u64 {
                        0 => State::ChunkEnd,
                        remaining => State::Chunk(remaining),
                    };
                    return Ok(Some(bytes));
                }
                State::UntilClose => {
                    if from.buffer.is_empty() && from.fill().await? == 0 {
                        self.state = State::Done;
                        return Ok(None);
                    }
                    return Ok(Some(from.buffer.split().freeze()));
                }
                State::ChunkSize => {
                    let line = read_line(from, MAX_CHUNK_LINE_BYTES).await?;
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    if !read_line(from, 2).await?.is_empty() {
                        return Err(ReadError::Chunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailers(read) => {
                    let line = read_line(from, MAX_TRAILER_BYTES - read).await?;
                    self.state = match line.len() {
                        0 => State::Done,
                        size => State::Trailers(read + size + 2),
                    };
                }
            }
        }
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    /// [`ReadError`] as for [`Self::next`], and when it is larger than `limit`.
    pub async fn all(&mut self, from: &mut Connection, limit: usize) -> Result<Bytes, ReadError> {
        self.all_within(from, limit, |_| true).await
    }

    /// Reads the rest of the body, whose bytes `reserve` allows as they arrive.
    ///
    /// # Errors
    /// [`ReadError`] as for [`Self::all`], and when bytes are not allowed.
    pub(crate) async fn all_within(
        &mut self,
        from: &mut Connection,
        limit: usize,
        mut reserve: impl FnMut(usize) -> bool,
    ) -> Result<Bytes, ReadError> {
        if let State::Length(size) = self.state
            && size > limit as u64
        {
            return Err(ReadError::BodyTooLarge(limit));
        }
        let mut body = BytesMut::new();
        while let Some(bytes) = self.next(from).await? {
            if body.len() + bytes.len() > limit || !reserve(bytes.len()) {
                return Err(ReadError::BodyTooLarge(limit));
            }
            if body.is_empty() && self.is_done() {
                return Ok(bytes);
            }
            body.extend_from_slice(&bytes);
        }
        Ok(body.freeze())
    }
}

/// Reads at least one byte and at most `max`.
async fn read_up_to(from: &mut Connection, max: u64) -> Result<Bytes, ReadError> {
    if from.buffer.is_empty() && from.fill().await? == 0 {
        return Err(ReadError::Truncated);
    }
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    let size = from.buffer.len().min(max);
    Ok(from.buffer.split_to(size).freeze())
}

/// Reads a line of at most `limit` bytes with its CR LF; returns it without.
async fn read_line(from: &mut Connection, limit: usize) -> Result<Bytes, ReadError> {
    loop {
        let line_feed = from.buffer.iter().position(|&b| b == b'\n');
        match line_feed {
            Some(end) if end >= 1 && end < limit && from.buffer[end - 1] == b'\r' => {
                let line = from.buffer.split_to(end + 1).freeze();
                return Ok(line.slice(..end - 1));
            }
            Some(_) => return Err(ReadError::Chunk),
            None if from.buffer.len() >= limit => return Err(ReadError::Chunk),
            None => {}
        }
        if from.fill().await? == 0 {
            return Err(ReadError::Truncated);
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, ReadError> {
    let digits = line.split(|&b| b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_size = !digits.is_empty() && digits.len() <= 15;
    if !is_size || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ReadError::Chunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ReadError::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| ReadError::Chunk)
}
