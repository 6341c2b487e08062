//! Queue of a runner: strict classes with ageing, fair between teams.

use std::time;

use lentil_types::{
    AttemptId, Class, Instant, PIECE_TOKENS, PieceHash, Pieces, Table, TeamName, TokenRate, Tokens,
};

use crate::{protocol, queue};

use super::{
    rate::{MovingAverage, PrefillRate},
    shares::Shares,
};

/// Settings of a [`FairQueue`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most jobs that run at once.
    pub slots: u32,
    /// Slots reserved for urgent jobs.
    pub urgent_slots: u32,
    /// Uncached tokens that non-urgent jobs may prefill at once. A single job may
    /// exceed it.
    pub prefill_window: Tokens,
    /// Most waiting jobs.
    pub max_jobs: usize,
    /// A patient job that has waited this long counts as normal. After twice as
    /// long a patient or normal job is overdue: at least every second job that
    /// starts is overdue while there are any.
    pub ageing: time::Duration,
    /// Expected prefill rate until one was observed.
    pub prefill_rate: TokenRate,
    /// Expected run time of a job until some were observed.
    pub run_time: time::Duration,
    /// Expected size of an answer until some were observed.
    pub output_tokens: Tokens,
    /// Shortest retry-after hint to a refused caller.
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
    popped_at: Instant,
    /// Whether it is still in prefill.
    is_prefilling: bool,
    /// Tokens charged to its team when it was popped.
    charged: f64,
}

/// Order of service, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Overdue,
    Urgent,
    Normal,
    Patient,
}

/// Orders jobs by class, with ageing, and within a class by the tokens that
/// their teams were served.
#[derive(Clone, Debug)]
pub struct FairQueue {
    settings: Settings,
    waiting: Vec<queue::Job>,
    running: Vec<Running>,
    shares: Shares,
    rate: PrefillRate,
    run_time: MovingAverage,
    output: MovingAverage,
    /// Whether the last started job was overdue.
    last_was_overdue: bool,
    /// Requests that the engine reports and this queue did not start.
    external: u32,
    /// Most jobs that ran at once since the last engine report and since the
    /// one before: a late report may still count ended jobs.
    peaks: [u32; 2],
}

impl FairQueue {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            shares: Shares::default(),
            rate: PrefillRate::new(settings.prefill_rate),
            run_time: MovingAverage(settings.run_time.as_secs_f64()),
            output: MovingAverage(settings.output_tokens.0 as f64),
            waiting: Vec::new(),
            running: Vec::new(),
            last_was_overdue: false,
            external: 0,
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

    /// Index in `waiting` of the next job.
    fn next_index(&self, now: Instant) -> Option<usize> {
        let sort_key = |job: &queue::Job| {
            let rank = self.rank(now, job);
            let is_demoted = rank == Rank::Overdue && self.last_was_overdue;
            let rank = if is_demoted { Rank::Normal } else { rank };
            (rank, self.shares.served(&job.work.team), job.arrived)
        };
        let startable = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, job)| self.may_start(job));
        let next = startable.min_by(|(_, a), (_, b)| {
            let (rank_a, share_a, arrived_a) = sort_key(a);
            let (rank_b, share_b, arrived_b) = sort_key(b);
            rank_a
                .cmp(&rank_b)
                .then_with(|| share_a.total_cmp(&share_b))
                .then_with(|| arrived_a.cmp(&arrived_b))
        });
        next.map(|(index, _)| index)
    }

    fn may_start(&self, job: &queue::Job) -> bool {
        if self.is_prefix_in_prefill(job) {
            return false;
        }
        let others = self.not_urgent().count();
        let has_slot =
            count(others) + self.settings.urgent_slots + self.external < self.settings.slots;
        job.work.class == Class::Urgent || has_slot
    }

    /// Whether a job's prompt fits into the prefill window.
    fn fits_window(&self, job: &queue::Job) -> bool {
        let prefilling = self.not_urgent().filter(|run| run.is_prefilling);
        let tokens: Tokens = prefilling.map(|run| job_uncached(&run.job)).sum();
        let fits =
            tokens == Tokens(0) || tokens + job_uncached(job) <= self.settings.prefill_window;
        job.work.class == Class::Urgent || fits
    }

    /// Running jobs that are not urgent.
    fn not_urgent(&self) -> impl Iterator<Item = &Running> {
        self.running
            .iter()
            .filter(|run| run.job.work.class != Class::Urgent)
    }

    /// Whether a running job is prefilling the next piece of this one.
    fn is_prefix_in_prefill(&self, job: &queue::Job) -> bool {
        let index = job.cached.0 as usize;
        let Some(next) = job.work.pieces.get(index) else {
            return false;
        };
        let prefilling = self.running.iter().filter(|run| run.is_prefilling);
        prefilling
            .filter(|run| run.job.cached.0 as usize <= index)
            .any(|run| run.job.work.pieces.get(index) == Some(next))
    }

    fn is_isolating(&self) -> bool {
        self.running.iter().any(|run| run.job.isolated)
    }

    /// Counts the pieces of a finished prefill as cached for the waiting jobs.
    fn mark_cached(&mut self, pieces: &[PieceHash]) {
        for job in &mut self.waiting {
            let common = common_prefix(&job.work.pieces, pieces);
            job.cached = job.cached.max(common);
        }
    }

    /// Tokens charged at the start of a job; `finish` corrects them.
    fn expected_tokens(&self, work: &protocol::Work) -> f64 {
        work.prompt.0 as f64 + self.output.0.min(work.output.0 as f64)
    }

    /// Expected time until a slot is free for a job with `ahead` others before it.
    fn slot_wait(&self, class: Class, ahead: usize) -> time::Duration {
        let reserved = if class == Class::Urgent {
            0
        } else {
            self.settings.urgent_slots
        };
        let slots = self.settings.slots.saturating_sub(reserved).max(1);
        let taken = count(self.running.len()) + self.external;
        let free = slots.saturating_sub(taken);
        let needed = (count(ahead) + 1).saturating_sub(free);
        self.run_time.as_duration() * needed / slots
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
        let is_same_team = |other: &queue::Job| other.work.team == job.work.team;
        if !self.waiting.iter().any(is_same_team) {
            let teams = self.waiting.iter().map(|job| &job.work.team);
            self.shares.activate(&job.work.team, teams);
        }
        self.waiting.push(job);
        Ok(())
    }

    fn pop(&mut self, now: Instant) -> Option<queue::Job> {
        if self.running() + self.external >= self.settings.slots || self.is_isolating() {
            return None;
        }
        let index = self.next_index(now)?;
        if !self.fits_window(&self.waiting[index]) {
            // Shorter prompts must not overtake it, or it would starve.
            return None;
        }
        if self.waiting[index].isolated && !self.running.is_empty() {
            return None;
        }
        let is_overdue = self.rank(now, &self.waiting[index]) == Rank::Overdue;
        self.last_was_overdue = is_overdue;
        let job = self.waiting.remove(index);
        let charged = self.expected_tokens(&job.work);
        self.shares.charge(&job.work.team, charged);
        self.rate.on_begin(now);
        self.running.push(Running {
            job: job.clone(),
            popped_at: now,
            is_prefilling: true,
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
        let index = self.waiting.iter().position(|job| job.id == id)?;
        Some(self.waiting.remove(index))
    }

    fn on_started(&mut self, now: Instant, id: AttemptId) {
        let Some(run) = self.running.iter_mut().find(|run| run.job.id == id) else {
            return;
        };
        if !std::mem::take(&mut run.is_prefilling) {
            return;
        }
        let computed = job_uncached(&run.job);
        let pieces = run.job.work.pieces.clone();
        let has_more = self.running.iter().any(|run| run.is_prefilling);
        self.rate.on_done(now, computed, has_more);
        self.mark_cached(&pieces);
    }

    fn finish(&mut self, now: Instant, id: AttemptId, usage: &protocol::Usage) {
        let Some(index) = self.running.iter().position(|run| run.job.id == id) else {
            return;
        };
        let run = self.running.remove(index);
        if run.is_prefilling {
            // It ended during prefill: the computed part is unknown.
            let has_more = self.running.iter().any(|run| run.is_prefilling);
            self.rate.on_done(now, Tokens(0), has_more);
        }
        self.run_time.add(now.since(run.popped_at).as_secs_f64());
        self.output.add(usage.output.0 as f64);
        let used = (usage.prompt + usage.output).0 as f64;
        self.shares.charge(&run.job.work.team, used - run.charged);
    }

    fn expected_cached(&self, work: &protocol::Work, cached: Pieces) -> Pieces {
        let prefilling = self
            .running
            .iter()
            .filter(|run| run.is_prefilling)
            .map(|run| &run.job);
        let upcoming = prefilling
            .chain(&self.waiting)
            .map(|job| common_prefix(&work.pieces, &job.work.pieces));
        upcoming.max().unwrap_or_default().max(cached)
    }

    fn expected_wait(
        &self,
        _now: Instant,
        work: &protocol::Work,
        cached: Pieces,
    ) -> time::Duration {
        let is_ahead = |job: &&queue::Job| job.work.class <= work.class;
        let prefilling = self
            .running
            .iter()
            .filter(|run| run.is_prefilling)
            .map(|run| &run.job);
        let waiting = self.waiting.iter().filter(is_ahead);
        let ahead: Tokens = prefilling
            .filter(is_ahead)
            .chain(waiting.clone())
            .map(job_uncached)
            .sum();
        let own = uncached(work, cached);
        let prefill = self.rate.get().time_for(ahead + own);
        prefill + self.slot_wait(work.class, waiting.count())
    }

    fn on_engine_load(&mut self, _now: Instant, running: u32, _backlog: Tokens) {
        let own = self.peaks[0]
            .max(self.peaks[1])
            .max(count(self.running.len()));
        self.external = running.saturating_sub(own);
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
        let prefilling = self
            .running
            .iter()
            .filter(|run| run.is_prefilling)
            .map(|run| &run.job);
        prefilling.chain(&self.waiting).map(job_uncached).sum()
    }
}

/// Uncached tokens of a job's prompt.
fn job_uncached(job: &queue::Job) -> Tokens {
    uncached(&job.work, job.cached)
}

fn uncached(work: &protocol::Work, cached: Pieces) -> Tokens {
    let cached = Tokens(cached.0 * u64::from(PIECE_TOKENS));
    work.prompt.saturating_sub(cached)
}

/// Number of common leading pieces.
fn common_prefix(a: &[PieceHash], b: &[PieceHash]) -> Pieces {
    // A piece's hash covers all pieces before it, so bisection works.
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
