//! Recent request counts per piece.

use std::time;

use lentil_types::{Instant, PieceHash};

/// Cells per row of the sketch.
const CELLS: usize = 16_384;
/// Rows of the sketch. A piece's estimate is the minimum of its cells.
const ROWS: usize = 2;
/// Counts are rescaled once the weight of a new request exceeds this.
const MAX_WEIGHT: f32 = 1_048_576.0;

/// Decayed request counts per piece, in a count-min sketch of fixed size.
#[derive(Clone, Debug)]
pub(super) struct RequestCounts {
    half_life: time::Duration,
    cells: Vec<f32>,
    total: f32,
    start: Instant,
}

impl RequestCounts {
    pub(super) fn new(half_life: time::Duration) -> Self {
        Self {
            half_life,
            cells: vec![0.0; CELLS * ROWS],
            total: 0.0,
            start: Instant::ZERO,
        }
    }

    /// Counts one request for every piece of `chain`.
    pub(super) fn add(&mut self, now: Instant, chain: &[PieceHash]) {
        let weight = self.weight(now);
        if weight > MAX_WEIGHT {
            self.rescale(now, weight);
        }
        let weight = self.weight(now);
        self.total += weight;
        for piece in chain {
            for row in 0..ROWS {
                self.cells[cell(*piece, row)] += weight;
            }
        }
    }

    /// Decayed number of all requests.
    pub(super) fn total(&self, now: Instant) -> f32 {
        self.total / self.weight(now)
    }

    /// Decayed number of requests with this piece.
    pub(super) fn count(&self, now: Instant, piece: PieceHash) -> f32 {
        let cells = (0..ROWS).map(|row| self.cells[cell(piece, row)]);
        cells.fold(f32::INFINITY, f32::min) / self.weight(now)
    }

    /// Weight of a request at `now` relative to one at `start`.
    fn weight(&self, now: Instant) -> f32 {
        let half_lives = now.since(self.start).as_secs_f32() / self.half_life.as_secs_f32();
        half_lives.exp2()
    }

    fn rescale(&mut self, now: Instant, weight: f32) {
        self.start = now;
        self.total /= weight;
        for cell in &mut self.cells {
            *cell /= weight;
        }
    }
}

/// Each row uses its own 32 bits of the hash.
fn cell(piece: PieceHash, row: usize) -> usize {
    let bits = (piece.0 >> (row * 32)) as usize;
    row * CELLS + bits % CELLS
}
