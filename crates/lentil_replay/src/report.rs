//! Measurements of a replay.

use lentil_types::{Class, Instant};
use strum::IntoEnumIterator as _;

use crate::engine::PieceCounts;

/// Width of a bucket of the hit rate.
const BUCKET_MICROS: u64 = 1_000_000;
/// Length of a window of fairness.
const WINDOW_SAMPLES: usize = 100;
/// Samples between the starts of two windows.
const STRIDE_SAMPLES: usize = 10;
/// Sampling rate of fairness.
pub const SAMPLES_PER_SECOND: u64 = 10;
/// Start of the measurements, as runners start cold.
pub const WARM_UP: Instant = Instant::from_millis(15_000);

/// What a runner served a team since the previous sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TeamSample {
    /// Tokens served, divided by the team's weight.
    pub(crate) weighted_tokens: f64,
    /// Whether requests of the team are queued there.
    pub(crate) is_waiting: bool,
}

/// One row for each runner, with an item for each team.
pub(crate) type Sample = Vec<Vec<TeamSample>>;

/// Counters and samples of a replay. Arrays are indexed by class.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Pieces of all requests, by second of their start.
    buckets: Vec<PieceCounts>,
    /// Pieces computed although a live runner or the keeper held them.
    pub wasted: u64,
    /// Times to the first token in microseconds, by class.
    first_token: [Vec<u64>; 3],
    /// Longest time in a sidecar's queue, in microseconds, by class.
    pub longest_wait: [u64; 3],
    /// Requests sent, by class.
    pub requests: [u64; 3],
    /// Requests that were refused or missed their deadline, by class.
    pub refused: [u64; 3],
    /// Requests that never ended, by class.
    pub lost: [u64; 3],
    /// Messages between entries and sidecars, without the pieces of answers.
    pub messages: u64,
    /// Requests run that were dispatched for an earlier boot of the engine.
    pub stale: u64,
    /// Requests overtaken more often than ageing allows.
    pub starved: u64,
    samples: Vec<Sample>,
}

impl Report {
    pub(crate) fn on_pieces(&mut self, now: Instant, piece_counts: PieceCounts, wasted: u64) {
        if now < WARM_UP {
            return;
        }
        let index = (now.0 / BUCKET_MICROS) as usize;
        if self.buckets.len() <= index {
            self.buckets.resize(index + 1, PieceCounts::default());
        }
        let bucket = &mut self.buckets[index];
        bucket.total += piece_counts.total;
        bucket.cached += piece_counts.cached;
        bucket.imported += piece_counts.imported;
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

    /// Pieces of all requests.
    pub fn piece_counts(&self) -> PieceCounts {
        self.piece_counts_between(Instant::ZERO, Instant::NEVER)
    }

    /// Pieces of requests that started between two instants, to the second.
    pub fn piece_counts_between(&self, from: Instant, to: Instant) -> PieceCounts {
        let start = (from.0 / BUCKET_MICROS) as usize;
        let end = (to.0 / BUCKET_MICROS) as usize;
        let buckets = self.buckets.iter().take(end).skip(start);
        buckets.fold(PieceCounts::default(), |sum, bucket| PieceCounts {
            total: sum.total + bucket.total,
            cached: sum.cached + bucket.cached,
            imported: sum.imported + bucket.imported,
        })
    }

    /// Wasted recomputation as a fraction of all pieces.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / self.piece_counts().total.max(1) as f64
    }

    /// Quantile of a class's time to the first token, in seconds.
    pub fn first_token(&self, class: Class, quantile: f64) -> f64 {
        let mut times = self.first_token[class as usize].clone();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let index = (last as f64 * quantile).round() as usize;
        times.get(index).map_or(0.0, |&micros| micros as f64 / 1e6)
    }

    /// Minimum ratio of the service of two teams, over all windows of ten
    /// seconds and the runners at which both were queued all the time; `None`
    /// without two such teams.
    pub fn fairness(&self) -> Option<f64> {
        self.window_fairness().min_by(f64::total_cmp)
    }

    /// Median over the windows of [`Report::fairness`].
    pub fn median_fairness(&self) -> Option<f64> {
        let mut sorted: Vec<_> = self.window_fairness().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied()
    }

    fn window_fairness(&self) -> impl Iterator<Item = f64> {
        let windows = self.samples.windows(WINDOW_SAMPLES).step_by(STRIDE_SAMPLES);
        windows.filter_map(|window| self.fairness_of(window))
    }

    fn fairness_of(&self, window: &[Sample]) -> Option<f64> {
        let teams = window[0].first().map_or(0, Vec::len);
        let pairs = (0..teams).flat_map(|a| (0..a).map(move |b| (a, b)));
        let ratios = pairs.filter_map(|(a, b)| pair_fairness(window, a, b));
        ratios.min_by(f64::total_cmp)
    }

    /// Summary of the measurements.
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
        let piece_counts = self.piece_counts();
        Figures {
            hit_rate: piece_counts.hit_rate(),
            imported: piece_counts.imported as f64 / piece_counts.total.max(1) as f64,
            waste: self.waste(),
            fairness: self.fairness(),
            median_fairness: self.median_fairness(),
            messages: self.messages as f64 / requests.max(1) as f64,
            classes: Class::iter().map(class).collect(),
        }
    }
}

/// Ratio of the service of two teams at the runners where both were queued.
fn pair_fairness(window: &[Sample], a: usize, b: usize) -> Option<f64> {
    let runners = 0..window[0].len();
    let both_wait = |row: &Vec<TeamSample>| row[a].is_waiting && row[b].is_waiting;
    let is_contended = |runner: &usize| window.iter().all(|sample| both_wait(&sample[*runner]));
    let contended: Vec<_> = runners.filter(is_contended).collect();
    if contended.is_empty() {
        return None;
    }
    let rows = || {
        window
            .iter()
            .flat_map(|sample| contended.iter().map(|runner| &sample[*runner]))
    };
    let of = |team: usize| rows().map(|row| row[team].weighted_tokens).sum::<f64>();
    let (one, other) = (of(a), of(b));
    Some(one.min(other) / one.max(other).max(1.0))
}

impl PieceCounts {
    /// Fraction of the pieces that the runner had cached.
    pub fn hit_rate(self) -> f64 {
        self.cached as f64 / self.total.max(1) as f64
    }
}

/// Summary of one replay, printed by `compare`.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Fraction of the pieces that the runner had cached.
    pub hit_rate: f64,
    /// Fraction of the pieces imported from the keeper.
    pub imported: f64,
    /// Fraction of the pieces computed although a runner or the keeper held them.
    pub waste: f64,
    /// Minimum fairness of the windows.
    pub fairness: Option<f64>,
    /// Median fairness of the windows.
    pub median_fairness: Option<f64>,
    /// Messages between entries and sidecars per request.
    pub messages: f64,
    /// Figures of every class.
    pub classes: Vec<ClassFigures>,
}

/// Summary of one class. Times are in seconds.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct ClassFigures {
    /// The class of the requests.
    pub class: Class,
    /// Requests sent.
    pub requests: u64,
    /// Refused, or past their deadline.
    pub refused: u64,
    /// Requests that never ended.
    pub lost: u64,
    /// Median time to the first token.
    pub p50: f64,
    /// 95th percentile of the time to the first token.
    pub p95: f64,
    /// 99th percentile of the time to the first token.
    pub p99: f64,
    /// Longest time in a sidecar's queue.
    pub longest_wait: f64,
}
