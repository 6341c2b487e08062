//! Runs a range of seeds.

use std::{collections::BTreeMap, fmt, ops};

use super::{FaultKind, Invariant, Settings, Violation, world::World};

/// Lines kept from the end of a trace.
const TRACE_LINES: usize = 400;

/// Results of a search.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Seeds run.
    pub seeds: u64,
    /// Requests sent, resent ones included.
    pub requests: u64,
    /// Requests by how they ended.
    pub endings: BTreeMap<String, u64>,
    /// Faults injected, by kind.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Checks, by invariant.
    pub checked: BTreeMap<Invariant, u64>,
    /// Violated invariants, each with its seed.
    pub violations: Vec<(u64, Violation)>,
}

/// Runs one seed and adds its results to `report`. Returns its trace, which is
/// empty unless `is_traced`.
pub fn run_seed(
    settings: &Settings,
    seed: u64,
    is_traced: bool,
    report: &mut Report,
) -> Vec<String> {
    let mut world = World::new(*settings, seed, is_traced);
    world.run();
    report.seeds += 1;
    world.report(seed, report);
    world.into_trace()
}

/// Runs every seed of a range, without traces.
pub fn search(settings: &Settings, seeds: ops::Range<u64>) -> Report {
    let mut report = Report::default();
    for seed in seeds {
        run_seed(settings, seed, false, &mut report);
    }
    report
}

impl Report {
    /// The end of the trace of the first seed with a violation.
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
        for (invariant, count) in &self.checked {
            writeln!(f, "  {invariant}: {count}")?;
        }
        writeln!(f, "violations: {}", self.violations.len())?;
        for (seed, violation) in &self.violations {
            writeln!(f, "  seed {seed}: {violation}")?;
        }
        Ok(())
    }
}
