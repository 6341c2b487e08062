//! Writes traces.

use std::{borrow::Cow, io};

use lentil_types::{PieceHash, Table};

use crate::{Header, Record, WriteError, line::Line};

/// Most pieces kept to shorten later chains. All are dropped beyond this.
const MAX_POSITIONS: usize = 50_000;

/// Writes a trace.
pub struct Writer<W> {
    output: W,
    count: usize,
    /// A request whose chain has the piece, and the index there.
    positions: Table<PieceHash, (usize, usize)>,
}

impl<W: io::Write> Writer<W> {
    /// Creates a writer and writes the header.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn new(output: W, header: &Header) -> Result<Self, WriteError> {
        let mut writer = Self {
            output,
            count: 0,
            positions: Table::new(),
        };
        writer.write_line(header)?;
        Ok(writer)
    }

    /// Writes a request. Requests must be written in order of time.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn write(&mut self, record: &Record) -> Result<(), WriteError> {
        let base = self.find_base(&record.pieces);
        let shared = base.map_or(0, |(_, pieces)| pieces);
        let rest = &record.pieces[shared..];
        self.write_line(&Line {
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
        self.add_positions(shared, rest);
        self.count += 1;
        Ok(())
    }

    /// Flushes the underlying writer.
    ///
    /// # Errors
    /// [`WriteError`] when the underlying writer fails.
    pub fn flush(&mut self) -> Result<(), WriteError> {
        Ok(self.output.flush()?)
    }

    fn write_line(&mut self, line: &impl serde::Serialize) -> Result<(), WriteError> {
        serde_json::to_writer(&mut self.output, line)?;
        self.output.write_all(b"\n")?;
        Ok(())
    }

    /// The request that shares the longest known prefix with `chain`, and its length.
    fn find_base(&self, chain: &[PieceHash]) -> Option<(usize, usize)> {
        chain.iter().rev().find_map(|piece| {
            let (request, index) = self.positions.get(piece)?;
            Some((*request, index + 1))
        })
    }

    fn add_positions(&mut self, shared: usize, rest: &[PieceHash]) {
        if self.positions.len() + rest.len() > MAX_POSITIONS {
            self.positions = Table::new();
        }
        for (i, piece) in rest.iter().enumerate() {
            self.positions.insert(*piece, (self.count, shared + i));
        }
    }
}
