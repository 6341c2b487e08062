//! What a replay measured.

use lentil_types::{Class, Instant};
use strum::IntoEnumIterator as _;

use crate::engine::Found;

/// Width of a bucket of the hit rate over time, in microseconds.
const BUCKET: u64 = 1_000_000;
/// Length of a window in which fairness is measured, in samples.
const WINDOW: usize = 100;
/// Samples between the starts of two windows.
const STRIDE: usize = 10;
/// Samples of fairness a second.
pub const SAMPLES_PER_SECOND: u64 = 10;
/// Runners begin cold. What happens before this is not measured.
pub const WARM_UP: Instant = Instant::from_millis(15_000);

/// What a runner did for a team since the sample before.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    /// Tokens, over the team's weight.
    pub(crate) tokens: f64,
    /// Whether requests of the team wait there.
    pub(crate) waits: bool,
}

/// What every runner did for every team: a row a runner.
pub(crate) type Sample = Vec<Vec<Served>>;

/// Counts of a replay.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Pieces that all requests found, by second.
    buckets: Vec<Found>,
    /// Pieces computed that a live runner or the keeper held.
    pub wasted: u64,
    /// Time to the first token in microseconds, by class.
    first_token: [Vec<u64>; 3],
    /// Longest time that a request waited at a sidecar, in microseconds, by class.
    pub longest_wait: [u64; 3],
    /// Requests by class.
    pub requests: [u64; 3],
    /// Requests that were refused or missed their deadline, by class.
    pub refused: [u64; 3],
    /// Requests that never ended, by class.
    pub lost: [u64; 3],
    /// Messages between entries and sidecars, without pieces of answers.
    pub messages: u64,
    /// Requests run that relied on an engine's earlier life.
    pub stale: u64,
    /// Requests that were overtaken more often than ageing allows.
    pub starved: u64,
    samples: Vec<Sample>,
}

impl Report {
    pub(crate) fn on_found(&mut self, now: Instant, found: Found, wasted: u64) {
        if now < WARM_UP {
            return;
        }
        let at = (now.0 / BUCKET) as usize;
        if self.buckets.len() <= at {
            self.buckets.resize(at + 1, Found::default());
        }
        let bucket = &mut self.buckets[at];
        bucket.all += found.all;
        bucket.cached += found.cached;
        bucket.imported += found.imported;
        self.wasted += wasted;
    }

    pub(crate) fn on_first_token(&mut self, class: Class, micros: u64) {
        self.first_token[class as usize].push(micros);
    }

    pub(crate) fn on_wait(&mut self, class: Class, micros: u64) {
        let longest = &mut self.longest_wait[class as usize];
        *longest = micros.max(*longest);
    }

    pub(crate) fn on_sample(&mut self, now: Instant, sample: Sample) {
        if now >= WARM_UP {
            self.samples.push(sample);
        }
    }

    /// All pieces that requests had.
    pub fn found(&self) -> Found {
        self.found_between(Instant::ZERO, Instant::NEVER)
    }

    /// Pieces that requests had which began between two instants, to the second.
    pub fn found_between(&self, from: Instant, to: Instant) -> Found {
        let start = (from.0 / BUCKET) as usize;
        let end = (to.0 / BUCKET) as usize;
        let buckets = self.buckets.iter().take(end).skip(start);
        buckets.fold(Found::default(), |sum, bucket| Found {
            all: sum.all + bucket.all,
            cached: sum.cached + bucket.cached,
            imported: sum.imported + bucket.imported,
        })
    }

    /// Wasted recomputation as a part of all pieces.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / self.found().all.max(1) as f64
    }

    /// Time to the first token, in seconds, that `part` of a class's requests
    /// had at most.
    pub fn first_token(&self, class: Class, part: f64) -> f64 {
        let mut times = self.first_token[class as usize].clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let at = (last as f64 * part).round() as usize;
        times.get(at).map_or(0.0, |&micros| micros as f64 / 1e6)
    }

    /// The least that a team was served against another, over all windows of
    /// ten seconds and the runners at which both had requests waiting all the
    /// time; `None` when there never were two such teams.
    pub fn fairness(&self) -> Option<f64> {
        self.window_fairness().min_by(f64::total_cmp)
    }

    /// Median over the windows of [`Report::fairness`].
    pub fn median_fairness(&self) -> Option<f64> {
        let mut all: Vec<_> = self.window_fairness().collect();
        all.sort_by(f64::total_cmp);
        all.get(all.len() / 2).copied()
    }

    fn window_fairness(&self) -> impl Iterator<Item = f64> {
        let windows = self.samples.windows(WINDOW).step_by(STRIDE);
        windows.filter_map(|window| self.fairness_of(window))
    }

    fn fairness_of(&self, window: &[Sample]) -> Option<f64> {
        let teams = window[0].first().map_or(0, Vec::len);
        let pairs = (0..teams).flat_map(|a| (0..a).map(move |b| (a, b)));
        let ratios = pairs.filter_map(|(a, b)| pair_fairness(window, a, b));
        ratios.min_by(f64::total_cmp)
    }

    /// The figures, for people and programs.
    pub fn figures(&self) -> Figures {
        let class = |class: Class| ClassFigures {
            class,
            requests: self.requests[class as usize],
            refused: self.refused[class as usize],
            lost: self.lost[class as usize],
            p50: self.first_token(class, 0.5),
            p95: self.first_token(class, 0.95),
            p99: self.first_token(class, 0.99),
            longest_wait: self.longest_wait[class as usize] as f64 / 1e6,
        };
        let requests: u64 = self.requests.iter().sum();
        let found = self.found();
        Figures {
            hit_rate: found.hit_rate(),
            imported: found.imported as f64 / found.all.max(1) as f64,
            waste: self.waste(),
            fairness: self.fairness(),
            median_fairness: self.median_fairness(),
            messages: self.messages as f64 / requests.max(1) as f64,
            classes: Class::iter().map(class).collect(),
        }
    }
}

/// What two teams were served at the runners that both waited for.
fn pair_fairness(window: &[Sample], a: usize, b: usize) -> Option<f64> {
    let runners = 0..window[0].len();
    let waits = |row: &Vec<Served>| row[a].waits && row[b].waits;
    let is_contended = |runner: &usize| window.iter().all(|sample| waits(&sample[*runner]));
    let contended: Vec<_> = runners.filter(is_contended).collect();
    if contended.is_empty() {
        return None;
    }
    let rows = || {
        window
            .iter()
            .flat_map(|sample| contended.iter().map(|at| &sample[*at]))
    };
    let of = |team: usize| rows().map(|row| row[team].tokens).sum::<f64>();
    let (one, other) = (of(a), of(b));
    Some(one.min(other) / one.max(other).max(1.0))
}

impl Found {
    /// Part of the pieces that was cached.
    pub fn hit_rate(self) -> f64 {
        self.cached as f64 / self.all.max(1) as f64
    }
}

/// Figures of one replay.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Part of the pieces that the runner had cached.
    pub hit_rate: f64,
    /// Part of the pieces that came from the keeper.
    pub imported: f64,
    /// Part of the pieces computed that a runner or the keeper held.
    pub waste: f64,
    /// Least of the windows' fairness.
    pub fairness: Option<f64>,
    /// Median of the windows' fairness.
    pub median_fairness: Option<f64>,
    /// Messages a request between entries and sidecars.
    pub messages: f64,
    /// By class.
    pub classes: Vec<ClassFigures>,
}

/// Figures of one class. Times are in seconds.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: Class,
    /// Requests.
    pub requests: u64,
    /// Refused, or past their deadline.
    pub refused: u64,
    /// Never ended.
    pub lost: u64,
    /// Median time to the first token.
    pub p50: f64,
    /// 95 in 100 had their first token by then.
    pub p95: f64,
    /// 99 in 100 had their first token by then.
    pub p99: f64,
    /// Longest wait at a sidecar.
    pub longest_wait: f64,
}
