//! Regions, scenarios and their faults.

use std::{fs, io, path};

use lentil_config::Config;
use lentil_trace::{Reader, Record};
use lentil_types::Instant;

use crate::ReplayError;

/// A region whose traffic is replayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Region {
    /// Long intake rules shared by most prompts, and scale and dock calls.
    Dalton,
    /// Long patient consultations, urgent fit checks and vouchers.
    Lombardy,
}

impl Region {
    /// The configuration text.
    pub fn config_text(self) -> &'static str {
        match self {
            Self::Dalton => include_str!("../../../examples/dalton.toml"),
            Self::Lombardy => include_str!("../../../examples/lombardy.toml"),
        }
    }

    /// The parsed configuration.
    ///
    /// # Errors
    /// [`ReplayError::Config`] when the text is not valid.
    pub fn config(self) -> Result<Config, ReplayError> {
        Config::parse(self.config_text()).map_err(ReplayError::Config)
    }
}

/// What is simulated during a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Scenario {
    /// Traffic without faults.
    Steady,
    /// Halfway, other prefixes become hot.
    Shift,
    /// A runner crashes and restarts with an empty cache.
    Crash,
    /// All entries restart at once.
    Herd,
    /// For a while, 1.3 times the traffic that the runners can serve.
    Overload,
}

impl Scenario {
    /// Whose trace is replayed. Crash and herd use the steady one.
    pub fn trace(self) -> Self {
        match self {
            Self::Crash | Self::Herd => Self::Steady,
            other => other,
        }
    }

    /// The fault that is injected, and its time.
    pub fn fault(self) -> Option<(Instant, Fault)> {
        match self {
            Self::Steady | Self::Shift | Self::Overload => None,
            Self::Crash => Some((FAULT_AT, Fault::Crash)),
            Self::Herd => Some((FAULT_AT, Fault::Herd)),
        }
    }
}

/// Time of a scenario's fault.
pub const FAULT_AT: Instant = Instant::from_millis(20_000);

/// A fault that is injected into a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The runner with the most requests crashes.
    Crash,
    /// All entries restart.
    Herd,
}

/// File name of a scenario's trace.
pub fn file_name(region: Region, scenario: Scenario) -> String {
    format!("{region}-{}.jsonl", scenario.trace())
}

/// Reads the trace of a scenario from the folder `traces`.
///
/// # Errors
/// [`ReplayError`] when there is no valid trace.
pub fn load(
    traces: &path::Path,
    region: Region,
    scenario: Scenario,
) -> Result<Vec<Record>, ReplayError> {
    let path = traces.join(file_name(region, scenario));
    let file = fs::File::open(&path).map_err(|source| ReplayError::File {
        path: path.clone(),
        source,
    })?;
    let read = || Reader::new(io::BufReader::new(file))?.collect::<Result<Vec<_>, _>>();
    read().map_err(|source| ReplayError::Read { path, source })
}
