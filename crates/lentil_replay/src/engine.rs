//! A runner's engine: limited memory, continuous batching, priorities.

use std::time;

use lentil_types::{
    AttemptId, BootId, Class, Instant, PIECE_TOKENS, PieceHash, Pieces, Table, TeamName, Tokens,
};

use crate::{Model, keeper::Keeper};

#[derive(Clone, Copy, Debug)]
struct Block {
    used: Instant,
    /// Place in its chain. Deeper pieces are evicted first.
    depth: usize,
    pins: u32,
    uses: u32,
}

/// A request in an engine.
#[derive(Clone, Debug)]
struct Sequence {
    id: AttemptId,
    team: TeamName,
    class: Class,
    since: Instant,
    pieces: std::sync::Arc<[PieceHash]>,
    cached: Pieces,
    prompt: Tokens,
    output: Tokens,
    /// Until when pieces are imported.
    importing: Instant,
    /// Prompt tokens still to be computed.
    missing: f64,
    /// Answer tokens made.
    made: f64,
}

/// What an engine did in a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The first token of an answer is out.
    Started(AttemptId, Pieces),
    /// An answer is whole: prompt, cached and answer tokens.
    Ended(AttemptId, [Tokens; 3]),
    /// These pieces are cached now.
    Stored(Vec<PieceHash>),
    /// These pieces are no longer cached.
    Evicted(Vec<PieceHash>),
}

/// What a request found when it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Found {
    /// Pieces of its prompt.
    pub all: u64,
    /// Pieces that the runner had cached.
    pub cached: u64,
    /// Pieces that came from the keeper.
    pub imported: u64,
}

/// One life of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    model: Model,
    /// Which life it is.
    pub boot: BootId,
    blocks: Table<PieceHash, Block>,
    sequences: Vec<Sequence>,
    /// The sequence whose chunk is being computed, and what is left of that.
    chunk: Option<(AttemptId, f64)>,
    /// Tokens served to each team and not yet taken.
    pub served: Table<TeamName, f64>,
}

impl Engine {
    /// A cold engine.
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

    /// Requests in the engine.
    pub fn running(&self) -> usize {
        self.sequences.len()
    }

    /// Prompt tokens still to be computed.
    pub fn backlog(&self) -> Tokens {
        let missing: f64 = self.sequences.iter().map(|seq| seq.missing).sum();
        Tokens(missing as u64)
    }

    /// Takes a request in. Pieces that the keeper holds are imported where that
    /// is faster than computing them.
    pub fn start(
        &mut self,
        now: Instant,
        id: AttemptId,
        work: &lentil_policy::protocol::Work,
        output: Tokens,
        keeper: &mut Keeper,
    ) -> Found {
        let cached = Pieces(
            work.pieces
                .iter()
                .take_while(|piece| self.has(piece))
                .count() as u64,
        );
        let held = keeper.leading(now, &work.pieces);
        let imported = self.model.import.plan(cached, held, self.model.prefill);
        for (depth, piece) in work.pieces.iter().enumerate().take(cached.0 as usize) {
            self.pin(now, *piece, depth);
        }
        let have = Tokens((cached + imported).0 * u64::from(PIECE_TOKENS));
        let importing = match imported {
            Pieces(0) => now,
            pieces => now + self.model.import.time_for(pieces),
        };
        self.serve(&work.team, have.0 as f64);
        self.sequences.push(Sequence {
            id,
            team: work.team.clone(),
            class: work.class,
            since: now,
            pieces: work.pieces.clone(),
            cached,
            prompt: work.prompt,
            output,
            importing,
            missing: work.prompt.saturating_sub(have).0.max(1) as f64,
            made: 0.0,
        });
        Found {
            all: work.pieces.len() as u64,
            cached: cached.0,
            imported: imported.0,
        }
    }

    /// Takes a request out.
    pub fn stop(&mut self, id: AttemptId) {
        let Some(at) = self.sequences.iter().position(|seq| seq.id == id) else {
            return;
        };
        let seq = self.sequences.remove(at);
        let pinned = if seq.missing > 0.0 {
            seq.cached.0 as usize
        } else {
            seq.pieces.len()
        };
        self.unpin(&seq.pieces[..pinned]);
    }

    /// Ends this life. Returns the requests that were cut off.
    pub fn crash(&mut self, boot: BootId) -> Vec<AttemptId> {
        let cut = self.sequences.iter().map(|seq| seq.id).collect();
        *self = Self::new(self.model, boot);
        cut
    }

    /// Works for one time step that ends `now`.
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
            let Some(at) = self.next_prefill(now) else {
                break;
            };
            busy = true;
            let seq = &mut self.sequences[at];
            let left = match self.chunk {
                Some((id, left)) if id == seq.id && left > 0.0 => left,
                _ => self.model.chunk.0 as f64,
            };
            let part = budget.min(left).min(seq.missing);
            seq.missing -= part;
            budget -= part;
            self.chunk = Some((seq.id, left - part));
            let team = seq.team.clone();
            let is_done = seq.missing <= 0.0;
            self.serve(&team, part);
            if is_done {
                self.chunk = None;
                self.finish_prefill(now, at, actions, keeper);
            }
        }
        busy
    }

    /// The sequence whose prompt is computed next: the one whose chunk is under
    /// way, then the most urgent, then the oldest.
    fn next_prefill(&self, now: Instant) -> Option<usize> {
        let waits = |seq: &Sequence| seq.missing > 0.0 && seq.importing <= now;
        if let Some((id, left)) = self.chunk
            && left > 0.0
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
        let first = waiting.min_by_key(|(_, seq)| (seq.class, seq.since, seq.id));
        first.map(|(at, _)| at)
    }

    fn finish_prefill(
        &mut self,
        now: Instant,
        at: usize,
        actions: &mut Vec<Action>,
        keeper: &mut Keeper,
    ) {
        let seq = &self.sequences[at];
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
        let hot = pieces
            .iter()
            .take_while(|piece| uses(piece) >= self.model.export_uses);
        keeper.store(now, hot.copied());
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
        let part = self.model.decode.0 * self.model.step.as_secs_f64() * share;
        let mut served = Vec::new();
        let mut ended = Vec::new();
        for seq in self.sequences.iter_mut().filter(|seq| seq.missing <= 0.0) {
            seq.made += part;
            served.push(seq.team.clone());
            if seq.made >= seq.output.0 as f64 {
                let cached = Tokens(seq.cached.0 * u64::from(PIECE_TOKENS));
                ended.push((seq.id, [seq.prompt, cached, seq.output]));
            }
        }
        for team in served {
            self.serve(&team, part);
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
            used: now,
            depth,
            pins: 0,
            uses: 0,
        });
        block.used = now;
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

    /// Drops the least recently used pieces that no request needs, until the
    /// rest fits.
    fn evict(&mut self) -> Vec<PieceHash> {
        let over = self
            .blocks
            .len()
            .saturating_sub(self.model.capacity.0 as usize);
        if over == 0 {
            return Vec::new();
        }
        let mut free: Vec<_> = self
            .blocks
            .iter()
            .filter(|(_, block)| block.pins == 0)
            .collect();
        free.sort_by_key(|(piece, block)| (block.used, std::cmp::Reverse(block.depth), **piece));
        let evicted: Vec<_> = free
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

/// Time from popping a plain call to its answer, as answer tokens.
pub fn plain_output(model: &Model) -> Tokens {
    let time: time::Duration = model.plain_time;
    Tokens((time.as_secs_f64() * model.decode.0).ceil() as u64)
}
