//! Reading.

use std::io;

use lentil_types::{Instant, PieceHash};

use crate::{FORMAT, Header, LineError, ReadError, Record, VERSION, line::Line};

/// Reads a trace: an iterator over its requests.
pub struct Reader<R> {
    lines: io::Lines<R>,
    header: Header,
    number: usize,
    chains: Vec<Vec<PieceHash>>,
    last: Instant,
}

impl<R: io::BufRead> Reader<R> {
    /// Reads the header.
    ///
    /// # Errors
    /// [`ReadError`] when there is none, or one of another format or version.
    pub fn new(from: R) -> Result<Self, ReadError> {
        let mut lines = from.lines();
        let header = header(lines.next()).map_err(|kind| ReadError { line: 1, kind })?;
        Ok(Self {
            lines,
            header,
            number: 1,
            chains: Vec::new(),
            last: Instant::ZERO,
        })
    }

    /// The header.
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn record(&mut self, text: io::Result<String>) -> Result<Record, LineError> {
        let text = text.map_err(LineError::Io)?;
        let line: Line<'_> = serde_json::from_str(&text).map_err(LineError::Json)?;
        if line.at < self.last {
            return Err(LineError::Order);
        }
        self.last = line.at;
        let pieces = self.pieces_of(&line)?;
        self.chains.push(pieces.clone());
        Ok(Record {
            at: line.at,
            team: line.team.into_owned(),
            class: line.class,
            service: line.service.into_owned(),
            model: line.model.map(|model| model.into_owned()),
            pieces,
            prompt: line.prompt,
            output: line.output,
            key: line.key.map(|key| key.into_owned()),
        })
    }

    fn pieces_of(&self, line: &Line<'_>) -> Result<Vec<PieceHash>, LineError> {
        let mut chain = match line.base {
            Some((request, pieces)) => {
                let start = self
                    .chains
                    .get(request)
                    .and_then(|chain| chain.get(..pieces));
                start.ok_or(LineError::Base { request, pieces })?.to_vec()
            }
            None => Vec::new(),
        };
        for text in &line.pieces {
            chain.push(piece(text)?);
        }
        Ok(chain)
    }
}

impl<R: io::BufRead> Iterator for Reader<R> {
    type Item = Result<Record, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        let text = self.lines.next()?;
        self.number += 1;
        let line = self.number;
        Some(self.record(text).map_err(|kind| ReadError { line, kind }))
    }
}

fn header(text: Option<io::Result<String>>) -> Result<Header, LineError> {
    let text = text.ok_or(LineError::NoHeader)?.map_err(LineError::Io)?;
    let header: Header = serde_json::from_str(&text).map_err(LineError::Json)?;
    if header.format != FORMAT {
        return Err(LineError::Format(header.format.into()));
    }
    if header.version != VERSION {
        return Err(LineError::Version(header.version));
    }
    Ok(header)
}

fn piece(text: &str) -> Result<PieceHash, LineError> {
    let error = || LineError::Piece(text.to_owned());
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(error());
    }
    let hash = u64::from_str_radix(text, 16).map_err(|_| error())?;
    Ok(PieceHash(hash))
}
