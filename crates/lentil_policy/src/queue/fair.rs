//! The queue of a runner: strict classes with ageing, fair between teams.

use std::time;

use lentil_types::{
    AttemptId, Class, Instant, PIECE_TOKENS, PieceHash, Pieces, Table, TeamName, TokenRate, Tokens,
};

use crate::{protocol, queue};

use super::{
    rate::{Mean, PrefillRate},
    shares::Shares,
};

/// Settings of a [`FairQueue`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most jobs that run at once.
    pub slots: u32,
    /// Slots that only urgent jobs take.
    pub urgent_slots: u32,
    /// Prompt tokens that may be computed at once for jobs that are not urgent.
    /// A single job may have more.
    pub prefill_window: Tokens,
    /// Most jobs that wait.
    pub max_jobs: usize,
    /// A patient job that has waited for this long counts as a normal one, and
    /// after twice as long it is overdue: at least every second job that starts
    /// is an overdue one while there are any.
    pub ageing: time::Duration,
    /// Expected rate of prompt computation until one was observed.
    pub prefill_rate: TokenRate,
    /// Expected time that a job runs until some were observed.
    pub run_time: time::Duration,
    /// Expected size of an answer until some were observed.
    pub output_tokens: Tokens,
    /// Shortest advice to a refused caller.
    pub min_retry: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            urgent_slots: 2,
            prefill_window: Tokens(4_000),
            max_jobs: 4_096,
            ageing: time::Duration::from_secs(15),
            prefill_rate: TokenRate(10_000.0),
            run_time: time::Duration::from_secs(2),
            output_tokens: Tokens(100),
            min_retry: time::Duration::from_millis(200),
        }
    }
}

#[derive(Clone, Debug)]
struct Running {
    job: queue::Job,
    /// When it was popped.
    since: Instant,
    /// Whether its prompt is still being computed.
    prefilling: bool,
    /// Tokens charged to its team so far.
    charged: f64,
}

/// Order of service. The least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Overdue,
    Urgent,
    Normal,
    Patient,
}

/// Orders jobs by class, with ageing, and inside a class by the tokens that
/// their teams were served.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: Settings,
    waiting: Vec<queue::Job>,
    running: Vec<Running>,
    shares: Shares,
    rate: PrefillRate,
    run_time: Mean,
    output: Mean,
    /// Whether the last job that started was overdue.
    overdue_last: bool,
    /// Requests that the engine reports and this queue did not start.
    foreign: u32,
    /// Most jobs that ran at once since the last report and the one before.
    peaks: [u32; 2],
}

impl FairQueue {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            shares: Shares::default(),
            rate: PrefillRate::new(settings.prefill_rate),
            run_time: Mean(settings.run_time.as_secs_f64()),
            output: Mean(settings.output_tokens.0 as f64),
            waiting: Vec::new(),
            running: Vec::new(),
            overdue_last: false,
            foreign: 0,
            peaks: [0; 2],
            settings,
        }
    }

    fn rank(&self, now: Instant, job: &queue::Job) -> Rank {
        let waited = now.since(job.arrived);
        match job.work.class {
            Class::Urgent => Rank::Urgent,
            Class::Normal if waited >= self.settings.ageing * 2 => Rank::Overdue,
            Class::Normal => Rank::Normal,
            Class::Patient if waited >= self.settings.ageing * 2 => Rank::Overdue,
            Class::Patient if waited >= self.settings.ageing => Rank::Normal,
            Class::Patient => Rank::Patient,
        }
    }

    /// Place of the job that runs next.
    fn next(&self, now: Instant) -> Option<usize> {
        let place = |job: &queue::Job| {
            let rank = self.rank(now, job);
            let turn = rank == Rank::Overdue && self.overdue_last;
            let rank = if turn { Rank::Normal } else { rank };
            (rank, self.shares.of(&job.work.team), job.arrived)
        };
        let startable = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, job)| self.may_start(job));
        let next = startable.min_by(|(_, a), (_, b)| {
            let (rank_a, share_a, came_a) = place(a);
            let (rank_b, share_b, came_b) = place(b);
            rank_a
                .cmp(&rank_b)
                .then_with(|| share_a.total_cmp(&share_b))
                .then_with(|| came_a.cmp(&came_b))
        });
        next.map(|(at, _)| at)
    }

    fn may_start(&self, job: &queue::Job) -> bool {
        if self.computes_for(job) {
            return false;
        }
        let others = self.ordinary().count();
        let has_slot =
            count(others) + self.settings.urgent_slots + self.foreign < self.settings.slots;
        job.work.class == Class::Urgent || has_slot
    }

    /// Whether a job's prompt may be computed beside those under way.
    fn fits_window(&self, job: &queue::Job) -> bool {
        let computing = self.ordinary().filter(|run| run.prefilling);
        let ahead: Tokens = computing.map(|run| missing(&run.job)).sum();
        let fits = ahead == Tokens(0) || ahead + missing(job) <= self.settings.prefill_window;
        job.work.class == Class::Urgent || fits
    }

    /// Running jobs that are not urgent.
    fn ordinary(&self) -> impl Iterator<Item = &Running> {
        self.running
            .iter()
            .filter(|run| run.job.work.class != Class::Urgent)
    }

    /// Whether a running job computes a piece that this one needs next.
    fn computes_for(&self, job: &queue::Job) -> bool {
        let at = job.cached.0 as usize;
        let Some(next) = job.work.pieces.get(at) else {
            return false;
        };
        let computing = self.running.iter().filter(|run| run.prefilling);
        computing
            .filter(|run| run.job.cached.0 as usize <= at)
            .any(|run| run.job.work.pieces.get(at) == Some(next))
    }

    fn is_isolating(&self) -> bool {
        self.running.iter().any(|run| run.job.isolated)
    }

    /// Pieces of a finished prompt are cached now for those that wait.
    fn share(&mut self, pieces: &[PieceHash]) {
        for job in &mut self.waiting {
            let common = common(&job.work.pieces, pieces);
            job.cached = job.cached.max(common);
        }
    }

    fn charge(&self, work: &protocol::Work) -> f64 {
        work.prompt.0 as f64 + self.output.0.min(work.output.0 as f64)
    }

    /// Time until a slot is free for a job with `ahead` others before it.
    fn slot_wait(&self, class: Class, ahead: usize) -> time::Duration {
        let reserved = if class == Class::Urgent {
            0
        } else {
            self.settings.urgent_slots
        };
        let slots = self.settings.slots.saturating_sub(reserved).max(1);
        let taken = count(self.running.len()) + self.foreign;
        let free = slots.saturating_sub(taken);
        let short = (count(ahead) + 1).saturating_sub(free);
        self.run_time.seconds() * short / slots
    }
}

impl queue::Queue for FairQueue {
    fn push(&mut self, now: Instant, job: queue::Job) -> Result<(), queue::QueueFull> {
        let wait = self.expected_wait(now, &job.work, job.cached);
        let budget = job.deadline.since(now);
        let is_late = wait > budget && job.work.class != Class::Patient;
        if is_late || self.waiting.len() >= self.settings.max_jobs {
            let retry = wait.saturating_sub(budget).max(self.settings.min_retry);
            return Err(queue::QueueFull { wait, retry });
        }
        let waits = |other: &queue::Job| other.work.team == job.work.team;
        if !self.waiting.iter().any(waits) {
            let teams = self.waiting.iter().map(|job| &job.work.team);
            self.shares.enter(&job.work.team, teams);
        }
        self.waiting.push(job);
        Ok(())
    }

    fn pop(&mut self, now: Instant) -> Option<queue::Job> {
        if self.running() + self.foreign >= self.settings.slots || self.is_isolating() {
            return None;
        }
        let at = self.next(now)?;
        if !self.fits_window(&self.waiting[at]) {
            // Shorter prompts do not overtake it, or it would starve.
            return None;
        }
        if self.waiting[at].isolated && !self.running.is_empty() {
            return None;
        }
        let is_overdue = self.rank(now, &self.waiting[at]) == Rank::Overdue;
        self.overdue_last = is_overdue;
        let job = self.waiting.remove(at);
        let charged = self.charge(&job.work);
        self.shares.charge(&job.work.team, charged);
        self.rate.on_begin(now);
        self.running.push(Running {
            job: job.clone(),
            since: now,
            prefilling: true,
            charged,
        });
        self.peaks[0] = self.peaks[0].max(count(self.running.len()));
        Some(job)
    }

    fn expire(&mut self, now: Instant) -> Vec<queue::Job> {
        let is_late = |job: &mut queue::Job| job.deadline <= now;
        self.waiting.extract_if(.., is_late).collect()
    }

    fn remove(&mut self, id: AttemptId) -> Option<queue::Job> {
        let at = self.waiting.iter().position(|job| job.id == id)?;
        Some(self.waiting.remove(at))
    }

    fn on_started(&mut self, now: Instant, id: AttemptId) {
        let Some(run) = self.running.iter_mut().find(|run| run.job.id == id) else {
            return;
        };
        if !std::mem::take(&mut run.prefilling) {
            return;
        }
        let computed = missing(&run.job);
        let pieces = run.job.work.pieces.clone();
        let more = self.running.iter().any(|run| run.prefilling);
        self.rate.on_done(now, computed, more);
        self.share(&pieces);
    }

    fn finish(&mut self, now: Instant, id: AttemptId, usage: &protocol::Usage) {
        let Some(at) = self.running.iter().position(|run| run.job.id == id) else {
            return;
        };
        let run = self.running.remove(at);
        if run.prefilling {
            // It broke off: what it computed is not known.
            let more = self.running.iter().any(|run| run.prefilling);
            self.rate.on_done(now, Tokens(0), more);
        }
        self.run_time.add(now.since(run.since).as_secs_f64());
        self.output.add(usage.output.0 as f64);
        let used = (usage.prompt + usage.output).0 as f64;
        self.shares.charge(&run.job.work.team, used - run.charged);
    }

    fn expected_cached(&self, work: &protocol::Work, cached: Pieces) -> Pieces {
        let running = self
            .running
            .iter()
            .filter(|run| run.prefilling)
            .map(|run| &run.job);
        let coming = running
            .chain(&self.waiting)
            .map(|job| common(&work.pieces, &job.work.pieces));
        coming.max().unwrap_or_default().max(cached)
    }

    fn expected_wait(
        &self,
        _now: Instant,
        work: &protocol::Work,
        cached: Pieces,
    ) -> time::Duration {
        let before = |job: &&queue::Job| job.work.class <= work.class;
        let computing = self
            .running
            .iter()
            .filter(|run| run.prefilling)
            .map(|run| &run.job);
        let waiting = self.waiting.iter().filter(before);
        let ahead: Tokens = computing
            .filter(before)
            .chain(waiting.clone())
            .map(missing)
            .sum();
        let own = uncached(work, cached);
        let compute = self.rate.get().time_for(ahead + own);
        compute + self.slot_wait(work.class, waiting.count())
    }

    fn on_engine_load(&mut self, _now: Instant, running: u32, _backlog: Tokens) {
        let own = self.peaks[0]
            .max(self.peaks[1])
            .max(count(self.running.len()));
        self.foreign = running.saturating_sub(own);
        self.peaks = [count(self.running.len()), self.peaks[0]];
    }

    fn set_shares(&mut self, shares: &Table<TeamName, u32>) {
        self.shares.set(shares.clone());
    }

    fn waiting(&self) -> u32 {
        count(self.waiting.len())
    }

    fn running(&self) -> u32 {
        count(self.running.len())
    }

    fn backlog(&self) -> Tokens {
        let computing = self
            .running
            .iter()
            .filter(|run| run.prefilling)
            .map(|run| &run.job);
        computing.chain(&self.waiting).map(missing).sum()
    }
}

/// Prompt tokens that a job has to compute.
fn missing(job: &queue::Job) -> Tokens {
    uncached(&job.work, job.cached)
}

fn uncached(work: &protocol::Work, cached: Pieces) -> Tokens {
    let cached = Tokens(cached.0 * u64::from(PIECE_TOKENS));
    work.prompt.saturating_sub(cached)
}

/// Leading pieces that two chains have in common.
fn common(a: &[PieceHash], b: &[PieceHash]) -> Pieces {
    // A piece's hash covers all pieces before it, so bisection finds the end.
    let shorter = a.len().min(b.len());
    let mut low = 0;
    let mut high = shorter;
    while low < high {
        let middle = (low + high) / 2;
        if a[middle] == b[middle] {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    Pieces(low as u64)
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
