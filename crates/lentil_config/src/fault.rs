//! What is wrong with a text.

use std::fmt;

/// Kind of a fault, for programs that react to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[non_exhaustive]
pub enum FaultKind {
    /// The text is not TOML, or a value has another type than it must have.
    Syntax,
    /// A key that the text may not have.
    UnknownKey,
    /// A key that must be there is not.
    MissingKey,
    /// A value outside what is allowed.
    BadValue,
    /// A name that is defined twice.
    Duplicate,
    /// A name that is used and not defined.
    Dangling,
    /// Services that depend on each other in a circle.
    Cycle,
}

/// One fault of a text and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// The offending value as it stands in the text.
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

/// Every fault of a text, in the order of the text.
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
