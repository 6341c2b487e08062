//! Faults of a configuration text.

use std::fmt;

/// Kind of a fault, for programs that handle it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[non_exhaustive]
pub enum FaultKind {
    /// The text is not valid TOML.
    Syntax,
    /// A key that is not allowed in its table.
    UnknownKey,
    /// A required key is missing.
    MissingKey,
    /// A value of a wrong type or outside the allowed range.
    BadValue,
    /// A name that is defined more than once.
    Duplicate,
    /// A name that is used but not defined.
    Dangling,
    /// Services whose dependencies form a cycle.
    Cycle,
}

/// A fault of a configuration text and its position.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in characters, from 1.
    pub column: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// What was found, such as `deadline_s = 0`.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            kind,
            found,
            allowed,
        } = self;
        write!(f, "{line}:{column}: {kind}: {found}; allowed: {allowed}")
    }
}

/// All faults of a configuration text, in text order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}
