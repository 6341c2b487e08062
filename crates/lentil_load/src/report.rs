//! Summary of the answers by class and team.

use std::{fmt, time};

use lentil_types::{Class, Outcome, Table, TeamName, Tokens};
use strum::IntoEnumIterator as _;

use crate::{Answer, Ending};

/// Longest time that a histogram records; longer ones count as this.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Quantiles of a set of times.
#[derive(Clone, Debug, serde::Serialize)]
pub struct LatencySummary {
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    #[serde(skip)]
    histogram: hdrhistogram::Histogram<u64>,
}

impl LatencySummary {
    fn new(times: impl Iterator<Item = time::Duration>) -> Self {
        let mut histogram = hdrhistogram::Histogram::new_with_max(MAX_MICROS, DIGITS)
            .expect("the bounds of the histogram are valid");
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
            histogram.saturating_record(micros);
        }
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let (p50_ms, p95_ms, p99_ms) = (ms(0.50), ms(0.95), ms(0.99));
        Self {
            p50_ms,
            p95_ms,
            p99_ms,
            histogram,
        }
    }

    /// Number of times recorded.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether no time was recorded.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }

    /// Quantile in milliseconds; `share` is from 0 to 1.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1e3
    }
}

/// Answers of one class.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ClassReport {
    /// Priority class of the requests.
    pub class: Class,
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub whole: u64,
    /// Errors with the outcome not run.
    pub not_run: u64,
    /// Errors with the outcome unknown.
    pub unknown: u64,
    /// Answers that broke off without an error.
    pub broken: u64,
    /// Time to the first piece.
    pub first: LatencySummary,
    /// Longest time between two pieces of an answer.
    pub gap: LatencySummary,
}

/// Answers of one team.
#[derive(Clone, Debug, serde::Serialize)]
pub struct TeamReport {
    /// Name of the team.
    pub team: TeamName,
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub whole: u64,
    /// Tokens of its answers.
    pub output: Tokens,
}

/// Summary of a load run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Time from the start to the last answer, in seconds.
    pub seconds: f64,
    /// Fraction of the prompts' tokens that were cached, from 0 to 1.
    pub hit_rate: f64,
    /// Classes with requests.
    pub classes: Vec<ClassReport>,
    /// Teams with requests.
    pub teams: Vec<TeamReport>,
    /// Why the first few answers broke off.
    pub breaks: Vec<String>,
}

/// Most reasons listed in [`Report::breaks`].
const MAX_LISTED_BREAKS: usize = 5;

impl Report {
    /// Summarizes the answers of a run.
    pub fn new(answers: &[Answer], duration: time::Duration) -> Self {
        let prompt: Tokens = answers.iter().map(|answer| answer.prompt).sum();
        let cached: Tokens = answers.iter().map(|answer| answer.cached).sum();
        let breaks = answers.iter().filter_map(|answer| match &answer.ending {
            Ending::Broken(reason) => Some(reason.to_string()),
            Ending::Whole | Ending::Error { .. } => None,
        });
        Self {
            seconds: duration.as_secs_f64(),
            hit_rate: cached.0 as f64 / prompt.0.max(1) as f64,
            classes: Class::iter()
                .filter_map(|class| of_class(answers, class))
                .collect(),
            teams: by_team(answers),
            breaks: breaks.take(MAX_LISTED_BREAKS).collect(),
        }
    }

    /// Whether every answer was whole.
    pub fn all_whole(&self) -> bool {
        self.classes.iter().all(|class| class.whole == class.sent)
    }
}

fn of_class(answers: &[Answer], class: Class) -> Option<ClassReport> {
    let answers: Vec<_> = answers
        .iter()
        .filter(|answer| answer.class == class)
        .collect();
    if answers.is_empty() {
        return None;
    }
    let count = |matches_ending: fn(&Ending) -> bool| {
        answers
            .iter()
            .filter(|answer| matches_ending(&answer.ending))
            .count() as u64
    };
    Some(ClassReport {
        class,
        sent: answers.len() as u64,
        whole: count(is_whole),
        not_run: count(|ending| {
            matches!(
                ending,
                Ending::Error {
                    outcome: Outcome::NotRun,
                    ..
                }
            )
        }),
        unknown: count(|ending| {
            matches!(
                ending,
                Ending::Error {
                    outcome: Outcome::Unknown,
                    ..
                }
            )
        }),
        broken: count(|ending| matches!(ending, Ending::Broken(_))),
        first: LatencySummary::new(answers.iter().filter_map(|answer| answer.first_piece)),
        gap: LatencySummary::new(answers.iter().filter_map(|answer| answer.longest_gap)),
    })
}

fn by_team(answers: &[Answer]) -> Vec<TeamReport> {
    let mut teams: Table<TeamName, TeamReport> = Table::new();
    for answer in answers {
        let team = answer.team.clone();
        let report = teams.get_or_insert_with(team.clone(), || TeamReport {
            team,
            sent: 0,
            whole: 0,
            output: Tokens(0),
        });
        report.sent += 1;
        report.whole += u64::from(is_whole(&answer.ending));
        report.output += answer.output;
    }
    teams.values().cloned().collect()
}

fn is_whole(ending: &Ending) -> bool {
    *ending == Ending::Whole
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.1} s, prefix hit rate {:.3}",
            self.seconds, self.hit_rate
        )?;
        writeln!(
            f,
            "{:<8} {:>6} {:>6} {:>8} {:>8} {:>7} {:>27} {:>27}",
            "class",
            "sent",
            "whole",
            "not run",
            "unknown",
            "broken",
            "first piece p50/p95/p99 ms",
            "longest gap p50/p95/p99 ms"
        )?;
        for class in &self.classes {
            let ClassReport {
                sent,
                whole,
                not_run,
                unknown,
                broken,
                first,
                gap,
                ..
            } = class;
            let latencies = |latencies: &LatencySummary| {
                format!(
                    "{:.1}/{:.1}/{:.1}",
                    latencies.p50_ms, latencies.p95_ms, latencies.p99_ms
                )
            };
            writeln!(
                f,
                "{:<8} {sent:>6} {whole:>6} {not_run:>8} {unknown:>8} {broken:>7} {:>27} {:>27}",
                class.class.to_string(),
                latencies(first),
                latencies(gap)
            )?;
        }
        for team in &self.teams {
            writeln!(
                f,
                "{:<20} {:>6} sent {:>6} whole {}",
                team.team, team.sent, team.whole, team.output
            )?;
        }
        for reason in &self.breaks {
            writeln!(f, "broken: {reason}")?;
        }
        Ok(())
    }
}
