//! Reads traces.

use std::io;

use lentil_types::{Instant, PieceHash};

use crate::{FORMAT, Header, LineError, ReadError, Record, VERSION, line::Line};

/// Reads a trace: an iterator over its requests.
pub struct Reader<R> {
    lines: io::Lines<R>,
    header: Header,
    line_number: usize,
    chains: Vec<Vec<PieceHash>>,
    last_at: Instant,
}

impl<R: io::BufRead> Reader<R> {
    /// Reads and checks the header.
    ///
    /// # Errors
    /// [`ReadError`] when there is no header, or one of another format or version.
    pub fn new(input: R) -> Result<Self, ReadError> {
        let mut lines = input.lines();
        let header = header(lines.next()).map_err(|kind| ReadError { line: 1, kind })?;
        Ok(Self {
            lines,
            header,
            line_number: 1,
            chains: Vec::new(),
            last_at: Instant::ZERO,
        })
    }

    /// The header of the trace.
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn parse_record(&mut self, text: io::Result<String>) -> Result<Record, LineError> {
        let text = text.map_err(LineError::Io)?;
        let line: Line<'_> = serde_json::from_str(&text).map_err(LineError::Json)?;
        if line.at < self.last_at {
            return Err(LineError::Order);
        }
        self.last_at = line.at;
        let pieces = self.full_chain(&line)?;
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

    fn full_chain(&self, line: &Line<'_>) -> Result<Vec<PieceHash>, LineError> {
        let mut chain = match line.base {
            Some((request, pieces)) => {
                let prefix = self
                    .chains
                    .get(request)
                    .and_then(|chain| chain.get(..pieces));
                prefix.ok_or(LineError::Base { request, pieces })?.to_vec()
            }
            None => Vec::new(),
        };
        for text in &line.pieces {
            chain.push(parse_piece(text)?);
        }
        Ok(chain)
    }
}

impl<R: io::BufRead> Iterator for Reader<R> {
    type Item = Result<Record, ReadError>;

    fn next(&mut self) -> Option<Self::Item> {
        let text = self.lines.next()?;
        self.line_number += 1;
        let line = self.line_number;
        Some(
            self.parse_record(text)
                .map_err(|kind| ReadError { line, kind }),
        )
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

fn parse_piece(text: &str) -> Result<PieceHash, LineError> {
    let error = || LineError::Piece(text.to_owned());
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(error());
    }
    let hash = u64::from_str_radix(text, 16).map_err(|_| error())?;
    Ok(PieceHash(hash))
}
