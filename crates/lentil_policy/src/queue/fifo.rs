//! First-in, first-out queue, as a baseline.

use std::{collections::VecDeque, time};

use lentil_types::{AttemptId, Instant, Pieces, Table, TeamName, Tokens};

use crate::{protocol, queue};

/// Settings of a [`Fifo`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most jobs that run at once.
    pub slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { slots: 16 }
    }
}

/// Runs jobs in order of arrival and accepts every job.
#[derive(Debug, Default)]
pub struct Fifo {
    settings: Settings,
    waiting: VecDeque<queue::Job>,
    running: Vec<queue::Job>,
}

impl Fifo {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }
}

impl queue::Queue for Fifo {
    fn push(&mut self, _now: Instant, job: queue::Job) -> Result<(), queue::QueueFull> {
        self.waiting.push_back(job);
        Ok(())
    }

    fn pop(&mut self, _now: Instant) -> Option<queue::Job> {
        if self.running() >= self.settings.slots {
            return None;
        }
        let is_isolated = |job: &queue::Job| job.isolated;
        let must_isolate =
            self.waiting.front().is_some_and(is_isolated) || self.running.iter().any(is_isolated);
        if must_isolate && !self.running.is_empty() {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running.push(job.clone());
        Some(job)
    }

    fn expire(&mut self, now: Instant) -> Vec<queue::Job> {
        let is_late = |job: &queue::Job| job.deadline <= now;
        let (late, kept): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_late);
        self.waiting = kept.into();
        late
    }

    fn remove(&mut self, id: AttemptId) -> Option<queue::Job> {
        let index = self.waiting.iter().position(|job| job.id == id)?;
        self.waiting.remove(index)
    }

    fn on_started(&mut self, _now: Instant, _id: AttemptId) {}

    fn finish(&mut self, _now: Instant, id: AttemptId, _usage: &protocol::Usage) {
        self.running.retain(|job| job.id != id);
    }

    fn expected_cached(&self, _work: &protocol::Work, cached: Pieces) -> Pieces {
        cached
    }

    fn expected_wait(
        &self,
        _now: Instant,
        _work: &protocol::Work,
        _cached: Pieces,
    ) -> time::Duration {
        time::Duration::ZERO
    }

    fn on_engine_load(&mut self, _now: Instant, _running: u32, _backlog: Tokens) {}

    /// Shares have no effect: jobs run in order of arrival.
    fn set_shares(&mut self, _shares: &Table<TeamName, u32>) {}

    fn waiting(&self) -> u32 {
        count(self.waiting.len())
    }

    fn running(&self) -> u32 {
        count(self.running.len())
    }

    fn backlog(&self) -> Tokens {
        self.waiting.iter().map(|job| job.work.prompt).sum()
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
