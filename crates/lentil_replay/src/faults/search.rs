//! Runs many seeds.

use std::{collections::BTreeMap, fmt, ops};

use super::{FaultKind, Promise, Settings, Violation, world::World};

/// Lines of a trace that are shown.
const TRACE_LINES: usize = 400;

/// What a search saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seeds tried.
    pub seeds: u64,
    /// Requests sent.
    pub requests: u64,
    /// How requests ended.
    pub endings: BTreeMap<String, u64>,
    /// Faults injected, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Checks made, by promise.
    pub checked: BTreeMap<Promise, u64>,
    /// The broken promises, with their seeds.
    pub violations: Vec<(u64, Violation)>,
}

/// Runs one seed and adds what it saw to `report`. Returns its trace, which is
/// empty unless `traced`.
pub fn run_seed(settings: &Settings, seed: u64, traced: bool, report: &mut Report) -> Vec<String> {
    let mut world = World::new(*settings, seed, traced);
    world.run();
    report.seeds += 1;
    world.report(seed, report);
    world.into_trace()
}

/// Runs `seeds`.
pub fn search(settings: &Settings, seeds: ops::Range<u64>) -> Report {
    let mut report = Report::default();
    for seed in seeds {
        run_seed(settings, seed, false, &mut report);
    }
    report
}

impl Report {
    /// The trace of the first seed with a violation.
    pub fn trace(&self, settings: &Settings) -> Option<(u64, Vec<String>)> {
        let (seed, _) = self.violations.first()?;
        let trace = run_seed(settings, *seed, true, &mut Self::default());
        let skip = trace.len().saturating_sub(TRACE_LINES);
        Some((*seed, trace.into_iter().skip(skip).collect()))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seeds tried: {}", self.seeds)?;
        writeln!(f, "requests: {}", self.requests)?;
        for (ending, count) in &self.endings {
            writeln!(f, "  {ending}: {count}")?;
        }
        writeln!(f, "faults injected: {}", self.faults.values().sum::<u64>())?;
        for (kind, count) in &self.faults {
            writeln!(f, "  {kind}: {count}")?;
        }
        writeln!(f, "promises checked:")?;
        for (promise, count) in &self.checked {
            writeln!(f, "  {promise}: {count}")?;
        }
        writeln!(f, "violations: {}", self.violations.len())?;
        for (seed, violation) in &self.violations {
            writeln!(f, "  seed {seed}: {violation}")?;
        }
        Ok(())
    }
}
