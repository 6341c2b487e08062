//! Model of an engine with limited memory, continuous batching and priorities.

use std::time;

use lentil_types::{
    AttemptId, BootId, Class, Instant, PIECE_TOKENS, PieceHash, Pieces, Table, TeamName, Tokens,
};

use crate::{Model, keeper::Keeper};

#[derive(Clone, Copy, Debug)]
struct Block {
    last_used: Instant,
    /// Index in its chain. Deeper pieces are evicted first.
    depth: usize,
    pins: u32,
    uses: u32,
}

/// A request that runs in an engine.
#[derive(Clone, Debug)]
struct Sequence {
    id: AttemptId,
    team: TeamName,
    class: Class,
    started_at: Instant,
    pieces: std::sync::Arc<[PieceHash]>,
    cached: Pieces,
    prompt: Tokens,
    output: Tokens,
    /// When the import of its pieces ends.
    import_end: Instant,
    /// Uncached tokens still to be computed.
    uncached: f64,
    /// Answer tokens generated.
    generated: f64,
}

/// An event of an engine step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The first token is out. Carries the cached pieces.
    Started(AttemptId, Pieces),
    /// An answer is complete: prompt, cached and answer tokens.
    Ended(AttemptId, [Tokens; 3]),
    /// These pieces are cached now.
    Stored(Vec<PieceHash>),
    /// These pieces are no longer cached.
    Evicted(Vec<PieceHash>),
}

/// Pieces of a request's prompt, counted at its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PieceCounts {
    /// All pieces.
    pub total: u64,
    /// Pieces that the runner had cached.
    pub cached: u64,
    /// Pieces that are imported from the keeper.
    pub imported: u64,
}

/// One boot of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: Model,
    /// Identifies this boot.
    pub boot: BootId,
    blocks: Table<PieceHash, Block>,
    sequences: Vec<Sequence>,
    /// The sequence in prefill, and the remaining tokens of its chunk.
    chunk: Option<(AttemptId, f64)>,
    /// Tokens served to each team and not yet taken by the caller.
    pub served: Table<TeamName, f64>,
}

impl Engine {
    /// An engine with an empty cache.
    pub fn new(model: Model, boot: BootId) -> Self {
        Self {
            model,
            boot,
            blocks: Table::new(),
            sequences: Vec::new(),
            chunk: None,
            served: Table::new(),
        }
    }

    /// Whether a piece is cached.
    pub fn has(&self, piece: &PieceHash) -> bool {
        self.blocks.contains(piece)
    }

    /// All cached pieces.
    pub fn list(&self) -> Vec<PieceHash> {
        self.blocks.keys().copied().collect()
    }

    /// Number of requests in the engine.
    pub fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Prompt tokens still to be computed.
    pub fn backlog(&self) -> Tokens {
        let uncached: f64 = self.sequences.iter().map(|seq| seq.uncached).sum();
        Tokens(uncached as u64)
    }

    /// Starts a request. Pieces that the keeper holds are imported where that is
    /// faster than computing them.
    pub fn start(
        &mut self,
        now: Instant,
        id: AttemptId,
        work: &lentil_policy::protocol::Work,
        output: Tokens,
        keeper: &mut Keeper,
    ) -> PieceCounts {
        let cached = Pieces(
            work.pieces
                .iter()
                .take_while(|piece| self.has(piece))
                .count() as u64,
        );
        let held = keeper.touch_leading(now, &work.pieces);
        let imported = self.model.import.plan(cached, held, self.model.prefill);
        for (depth, piece) in work.pieces.iter().enumerate().take(cached.0 as usize) {
            self.pin(now, *piece, depth);
        }
        let have = Tokens((cached + imported).0 * u64::from(PIECE_TOKENS));
        let import_end = match imported {
            Pieces(0) => now,
            pieces => now + self.model.import.time_for(pieces),
        };
        self.serve(&work.team, have.0 as f64);
        self.sequences.push(Sequence {
            id,
            team: work.team.clone(),
            class: work.class,
            started_at: now,
            pieces: work.pieces.clone(),
            cached,
            prompt: work.prompt,
            output,
            import_end,
            uncached: work.prompt.saturating_sub(have).0.max(1) as f64,
            generated: 0.0,
        });
        PieceCounts {
            total: work.pieces.len() as u64,
            cached: cached.0,
            imported: imported.0,
        }
    }

    /// Removes a request and unpins its pieces.
    pub fn stop(&mut self, id: AttemptId) {
        let Some(index) = self.sequences.iter().position(|seq| seq.id == id) else {
            return;
        };
        let seq = self.sequences.remove(index);
        let pinned = if seq.uncached > 0.0 {
            seq.cached.0 as usize
        } else {
            seq.pieces.len()
        };
        self.unpin(&seq.pieces[..pinned]);
    }

    /// Ends this boot. Returns the requests that were cut off.
    pub fn crash(&mut self, boot: BootId) -> Vec<AttemptId> {
        let cut = self.sequences.iter().map(|seq| seq.id).collect();
        *self = Self::new(self.model, boot);
        cut
    }

    /// Simulates one time step that ends `now`.
    pub fn step(&mut self, now: Instant, keeper: &mut Keeper) -> Vec<Action> {
        let mut actions = Vec::new();
        let busy = self.prefill(now, &mut actions, keeper);
        self.decode(busy, &mut actions);
        actions
    }

    fn prefill(&mut self, now: Instant, actions: &mut Vec<Action>, keeper: &mut Keeper) -> bool {
        let mut budget = self.model.prefill.0 * self.model.step.as_secs_f64();
        let mut busy = false;
        while budget > 0.0 {
            let Some(index) = self.next_prefill(now) else {
                break;
            };
            busy = true;
            let seq = &mut self.sequences[index];
            let remaining = match self.chunk {
                Some((id, remaining)) if id == seq.id && remaining > 0.0 => remaining,
                _ => self.model.chunk.0 as f64,
            };
            let computed = budget.min(remaining).min(seq.uncached);
            seq.uncached -= computed;
            budget -= computed;
            self.chunk = Some((seq.id, remaining - computed));
            let team = seq.team.clone();
            let is_done = seq.uncached <= 0.0;
            self.serve(&team, computed);
            if is_done {
                self.chunk = None;
                self.finish_prefill(now, index, actions, keeper);
            }
        }
        busy
    }

    /// The sequence to prefill next: the one with a chunk in progress, then the
    /// most urgent, then the oldest.
    fn next_prefill(&self, now: Instant) -> Option<usize> {
        let waits = |seq: &Sequence| seq.uncached > 0.0 && seq.import_end <= now;
        if let Some((id, remaining)) = self.chunk
            && remaining > 0.0
        {
            let current = self
                .sequences
                .iter()
                .position(|seq| seq.id == id && waits(seq));
            if current.is_some() {
                return current;
            }
        }
        let waiting = self
            .sequences
            .iter()
            .enumerate()
            .filter(|(_, seq)| waits(seq));
        let first = waiting.min_by_key(|(_, seq)| (seq.class, seq.started_at, seq.id));
        first.map(|(index, _)| index)
    }

    fn finish_prefill(
        &mut self,
        now: Instant,
        index: usize,
        actions: &mut Vec<Action>,
        keeper: &mut Keeper,
    ) {
        let seq = &self.sequences[index];
        let (id, pieces, cached) = (seq.id, seq.pieces.clone(), seq.cached);
        actions.push(Action::Started(id, cached));
        let mut stored = Vec::new();
        for (depth, piece) in pieces.iter().enumerate().skip(cached.0 as usize) {
            if !self.has(piece) {
                stored.push(*piece);
            }
            self.pin(now, *piece, depth);
        }
        let uses = |piece: &PieceHash| self.blocks.get(piece).map_or(0, |block| block.uses);
        let reused = pieces
            .iter()
            .take_while(|piece| uses(piece) >= self.model.export_uses);
        keeper.store(now, reused.copied());
        if !stored.is_empty() {
            actions.push(Action::Stored(stored));
        }
        let evicted = self.evict();
        if !evicted.is_empty() {
            actions.push(Action::Evicted(evicted));
        }
    }

    fn decode(&mut self, busy: bool, actions: &mut Vec<Action>) {
        let share = if busy { self.model.decode_share } else { 1.0 };
        let tokens = self.model.decode.0 * self.model.step.as_secs_f64() * share;
        let mut served = Vec::new();
        let mut ended = Vec::new();
        for seq in self.sequences.iter_mut().filter(|seq| seq.uncached <= 0.0) {
            seq.generated += tokens;
            served.push(seq.team.clone());
            if seq.generated >= seq.output.0 as f64 {
                let cached = Tokens(seq.cached.0 * u64::from(PIECE_TOKENS));
                ended.push((seq.id, [seq.prompt, cached, seq.output]));
            }
        }
        for team in served {
            self.serve(&team, tokens);
        }
        for (id, usage) in ended {
            self.stop(id);
            actions.push(Action::Ended(id, usage));
        }
    }

    fn serve(&mut self, team: &TeamName, tokens: f64) {
        *self.served.get_or_insert_with(team.clone(), || 0.0) += tokens;
    }

    fn pin(&mut self, now: Instant, piece: PieceHash, depth: usize) {
        let block = self.blocks.get_or_insert_with(piece, || Block {
            last_used: now,
            depth,
            pins: 0,
            uses: 0,
        });
        block.last_used = now;
        block.pins += 1;
        block.uses += 1;
    }

    fn unpin(&mut self, pieces: &[PieceHash]) {
        for piece in pieces {
            if let Some(block) = self.blocks.get_mut(piece) {
                block.pins = block.pins.saturating_sub(1);
            }
        }
    }

    /// Evicts the least recently used unpinned pieces until the rest fits.
    fn evict(&mut self) -> Vec<PieceHash> {
        let over = self
            .blocks
            .len()
            .saturating_sub(self.model.capacity.0 as usize);
        if over == 0 {
            return Vec::new();
        }
        let mut unpinned: Vec<_> = self
            .blocks
            .iter()
            .filter(|(_, block)| block.pins == 0)
            .collect();
        unpinned.sort_by_key(|(piece, block)| {
            (block.last_used, std::cmp::Reverse(block.depth), **piece)
        });
        let evicted: Vec<_> = unpinned
            .into_iter()
            .take(over)
            .map(|(piece, _)| *piece)
            .collect();
        for piece in &evicted {
            self.blocks.remove(piece);
        }
        evicted
    }
}

/// Time that a plain call takes, as a number of answer tokens.
pub fn plain_output(model: &Model) -> Tokens {
    let time: time::Duration = model.plain_time;
    Tokens((time.as_secs_f64() * model.decode.0).ceil() as u64)
}
