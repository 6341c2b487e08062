//! Writing.

use std::{borrow::Cow, io};

use lentil_types::{PieceHash, Table};

use crate::{Header, Record, WriteError, line::Line};

/// Pieces remembered to shorten later chains. At this many, they are forgotten.
const MAX_KNOWN: usize = 50_000;

/// Writes a trace.
pub struct Writer<W> {
    to: W,
    count: usize,
    /// A piece, and the request and the place in its chain where it stands.
    known: Table<PieceHash, (usize, usize)>,
}

impl<W: io::Write> Writer<W> {
    /// Writes the header.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn new(to: W, header: &Header) -> Result<Self, WriteError> {
        let mut writer = Self {
            to,
            count: 0,
            known: Table::new(),
        };
        writer.line(header)?;
        Ok(writer)
    }

    /// Writes a request. Requests are written in the order of their times.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn write(&mut self, record: &Record) -> Result<(), WriteError> {
        let base = self.base(&record.pieces);
        let shared = base.map_or(0, |(_, pieces)| pieces);
        let rest = &record.pieces[shared..];
        self.line(&Line {
            at: record.at,
            team: Cow::Borrowed(&record.team),
            class: record.class,
            service: Cow::Borrowed(&record.service),
            model: record.model.as_ref().map(Cow::Borrowed),
            base,
            pieces: rest.iter().map(ToString::to_string).collect(),
            prompt: record.prompt,
            output: record.output,
            key: record.key.as_ref().map(Cow::Borrowed),
        })?;
        self.remember(shared, rest);
        self.count += 1;
        Ok(())
    }

    /// Passes on what is buffered.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn flush(&mut self) -> Result<(), WriteError> {
        Ok(self.to.flush()?)
    }

    fn line(&mut self, line: &impl serde::Serialize) -> Result<(), WriteError> {
        serde_json::to_writer(&mut self.to, line)?;
        self.to.write_all(b"\n")?;
        Ok(())
    }

    /// The request whose chain begins most like `chain`.
    fn base(&self, chain: &[PieceHash]) -> Option<(usize, usize)> {
        chain.iter().rev().find_map(|piece| {
            let (request, place) = self.known.get(piece)?;
            Some((*request, place + 1))
        })
    }

    fn remember(&mut self, shared: usize, rest: &[PieceHash]) {
        if self.known.len() + rest.len() > MAX_KNOWN {
            self.known = Table::new();
        }
        for (i, piece) in rest.iter().enumerate() {
            self.known.insert(*piece, (self.count, shared + i));
        }
    }
}
