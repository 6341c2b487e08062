//! Checks the figures of replays against the bounds.

use std::path;

use lentil_config::{Config, Objective};
use lentil_trace::Record;
use lentil_types::{Class, Instant, Table};
use strum::IntoEnumIterator as _;

use crate::{
    FAULT_AT, Model, Policy, Region, ReplayError, Report, Scenario, Setup, bounds, load, sim,
};

/// One bound on a figure of a replay and whether it holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Check {
    /// Region, scenario and figure, as in the list of known failures.
    pub name: String,
    /// Measured value.
    pub measured: f64,
    /// Value that it is compared with.
    pub bound: f64,
    /// Whether it is within the bound.
    pub holds: bool,
}

impl Check {
    fn at_least(name: String, measured: f64, bound: f64) -> Self {
        let holds = measured >= bound;
        Self {
            name,
            measured,
            bound,
            holds,
        }
    }

    fn above(name: String, measured: f64, bound: f64) -> Self {
        let holds = measured > bound;
        Self {
            name,
            measured,
            bound,
            holds,
        }
    }

    fn at_most(name: String, measured: f64, bound: f64) -> Self {
        let holds = measured <= bound;
        Self {
            name,
            measured,
            bound,
            holds,
        }
    }
}

/// Replays of one region, cached by scenario and policy.
pub struct Runs {
    region: Region,
    config: Config,
    traces: path::PathBuf,
    reports: Table<(usize, usize), Report>,
}

impl Runs {
    /// Runs nothing yet. Traces are read from the folder `traces`.
    ///
    /// # Errors
    /// [`ReplayError::Config`] when the region's configuration is not valid.
    pub fn new(region: Region, traces: &path::Path) -> Result<Self, ReplayError> {
        Ok(Self {
            region,
            config: region.config()?,
            traces: traces.to_owned(),
            reports: Table::new(),
        })
    }

    /// The replay of a scenario under a policy, run on first use.
    ///
    /// # Errors
    /// [`ReplayError`] when the trace cannot be read.
    pub fn get(&mut self, scenario: Scenario, policy: Policy) -> Result<&Report, ReplayError> {
        let key = (scenario as usize, policy as usize);
        if !self.reports.contains(&key) {
            let report = self.run(scenario, policy, self.config.objective, |_| true)?;
            self.reports.insert(key, report);
        }
        Ok(self.reports.get_or_insert_with(key, Report::default))
    }

    /// Replays the requests for which `keep` returns true.
    ///
    /// # Errors
    /// [`ReplayError`] when the trace cannot be read.
    pub fn run(
        &self,
        scenario: Scenario,
        policy: Policy,
        objective: Objective,
        keep: impl Fn(&Record) -> bool,
    ) -> Result<Report, ReplayError> {
        let mut records = load(&self.traces, self.region, scenario)?;
        records.retain(|record| keep(record));
        Ok(sim::run(Setup {
            config: &self.config,
            objective,
            records: &records,
            fault: scenario.fault(),
            model: Model::new(self.region),
            policy,
        }))
    }

    fn name(&self, scenario: Scenario, what: &str) -> String {
        format!("{} {scenario}: {what}", self.region)
    }
}

/// Checks every bound for one region.
///
/// # Errors
/// [`ReplayError`] when a trace cannot be read.
pub fn check_region(runs: &mut Runs) -> Result<Vec<Check>, ReplayError> {
    let mut checks = Vec::new();
    for scenario in Scenario::iter() {
        checks.extend(check_oracle(runs, scenario)?);
        checks.extend(check_service(runs, scenario)?);
    }
    for scenario in [Scenario::Steady, Scenario::Shift, Scenario::Crash] {
        checks.extend(check_baselines(runs, scenario)?);
    }
    checks.extend(check_urgent(runs)?);
    checks.extend(check_recovery(runs)?);
    checks.extend(check_objectives(runs)?);
    Ok(checks)
}

fn check_oracle(runs: &mut Runs, scenario: Scenario) -> Result<Vec<Check>, ReplayError> {
    let oracle = runs.get(scenario, Policy::Oracle)?.figures();
    let nested = runs.get(scenario, Policy::Nested)?.figures();
    let hit_rate = oracle.hit_rate * bounds::HIT_RATE_OF_ORACLE;
    let waste = oracle.waste * bounds::WASTE_OF_ORACLE + bounds::WASTE_OF_PIECES;
    Ok(vec![
        Check::at_least(
            runs.name(scenario, "hit rate of the oracle's"),
            nested.hit_rate,
            hit_rate,
        ),
        Check::at_most(
            runs.name(scenario, "waste of the oracle's"),
            nested.waste,
            waste,
        ),
    ])
}

/// No request is lost or starved, no patient one is dropped, and teams are served
/// fairly.
fn check_service(runs: &mut Runs, scenario: Scenario) -> Result<Vec<Check>, ReplayError> {
    let report = runs.get(scenario, Policy::Nested)?;
    let lost: u64 = report.lost.iter().sum();
    let dropped = report.refused[Class::Patient as usize];
    let starved = report.starved;
    let fairness = report.fairness();
    let mut checks = vec![
        Check::at_most(runs.name(scenario, "requests lost"), lost as f64, 0.0),
        Check::at_most(
            runs.name(scenario, "patient requests dropped"),
            dropped as f64,
            0.0,
        ),
        Check::at_most(runs.name(scenario, "requests starved"), starved as f64, 0.0),
    ];
    if let Some(fairness) = fairness {
        let name = runs.name(scenario, "fairness");
        checks.push(Check::at_least(name, fairness, bounds::MIN_FAIRNESS));
    }
    Ok(checks)
}

fn check_baselines(runs: &mut Runs, scenario: Scenario) -> Result<Vec<Check>, ReplayError> {
    let nested = runs.get(scenario, Policy::Nested)?.figures();
    let mut checks = Vec::new();
    for policy in Policy::iter().filter(|policy| policy.is_baseline()) {
        let baseline = runs.get(scenario, policy)?.figures();
        let hit_rate = runs.name(scenario, &format!("hit rate against {policy}"));
        checks.push(Check::above(hit_rate, nested.hit_rate, baseline.hit_rate));
        let waste = runs.name(scenario, &format!("waste of {policy} against ours"));
        checks.push(Check::above(waste, baseline.waste, nested.waste));
    }
    Ok(checks)
}

fn check_urgent(runs: &mut Runs) -> Result<Vec<Check>, ReplayError> {
    let steady = Scenario::Steady;
    let report = runs.get(steady, Policy::Nested)?;
    let p95 = report.first_token(Class::Urgent, 0.95);
    let p99 = report.first_token(Class::Urgent, 0.99);
    let is_short = |record: &Record| record.pieces.len() < bounds::LONG_PIECES;
    let alone = runs.run(steady, Policy::Nested, runs.config.objective, is_short)?;
    let bound = alone.first_token(Class::Urgent, 0.99) * bounds::URGENT_BESIDE_LONG;
    Ok(vec![
        Check::at_most(
            runs.name(steady, "urgent first token p95"),
            p95,
            bounds::URGENT_FIRST_TOKEN_SECS,
        ),
        Check::at_most(
            runs.name(steady, "urgent first token p99 beside long"),
            p99,
            bound,
        ),
    ])
}

fn check_recovery(runs: &mut Runs) -> Result<Vec<Check>, ReplayError> {
    let herd_end = bounds::millis_after(FAULT_AT, bounds::HERD_MILLIS);
    let crash_end = bounds::millis_after(FAULT_AT, bounds::CRASH_MILLIS);
    let steady = runs.get(Scenario::Steady, Policy::Nested)?;
    let steady_rate = steady.piece_counts().hit_rate();
    let late_rate = steady
        .piece_counts_between(crash_end, Instant::NEVER)
        .hit_rate();
    let herd = runs.get(Scenario::Herd, Policy::Nested)?;
    let herd_rate = herd.piece_counts_between(FAULT_AT, herd_end).hit_rate();
    let crash = runs.get(Scenario::Crash, Policy::Nested)?;
    let crash_rate = crash
        .piece_counts_between(crash_end, Instant::NEVER)
        .hit_rate();
    let stale = crash.stale as f64;
    Ok(vec![
        Check::at_least(
            runs.name(Scenario::Herd, "hit rate of the first second"),
            herd_rate,
            steady_rate * bounds::HERD_HIT_RATE,
        ),
        Check::at_least(
            runs.name(Scenario::Crash, "hit rate after the crash"),
            crash_rate,
            late_rate * bounds::CRASH_HIT_RATE,
        ),
        Check::at_most(
            runs.name(Scenario::Crash, "requests that relied on a dead engine"),
            stale,
            0.0,
        ),
    ])
}

/// The objectives trade the hit rate against the tail of urgent requests' time to
/// the first token.
fn check_objectives(runs: &mut Runs) -> Result<Vec<Check>, ReplayError> {
    let scenario = Scenario::Steady;
    let hit_rate = runs.run(scenario, Policy::Nested, Objective::HitRate, |_| true)?;
    let first_token = runs.run(scenario, Policy::Nested, Objective::FirstToken, |_| true)?;
    let tail = |report: &Report| report.first_token(Class::Urgent, 0.95);
    Ok(vec![
        Check::above(
            runs.name(scenario, "hit rate by objective"),
            hit_rate.piece_counts().hit_rate(),
            first_token.piece_counts().hit_rate(),
        ),
        Check::above(
            runs.name(scenario, "urgent first token p95 by objective"),
            tail(&hit_rate),
            tail(&first_token),
        ),
    ])
}
