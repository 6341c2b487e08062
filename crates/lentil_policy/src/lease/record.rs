//! The lease's object.

use std::{fmt, num, str, time};

use lentil_types::{FencingNumber, NameError, NodeName};

/// What the lease's object says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Number of the tenure.
    pub number: FencingNumber,
    /// Who has it; `None` when it was given back.
    pub holder: Option<NodeName>,
    /// Tells one life of the holder from another.
    pub nonce: u64,
    /// How long the tenure lasts after a renewal.
    pub term: time::Duration,
    /// Counts renewals, so that each writes another value.
    pub renewals: u64,
}

/// A lease's object is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// It has not five fields.
    #[error("a lease has five fields")]
    Fields,
    /// A number is not one.
    #[error("a lease's number: {0}")]
    Number(#[from] num::ParseIntError),
    /// The holder is no name.
    #[error("a lease's holder: {0}")]
    Holder(#[from] NameError),
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let holder = self.holder.as_ref().map_or("-", |holder| holder.as_str());
        let (number, nonce, renewals) = (self.number, self.nonce, self.renewals);
        write!(
            f,
            "{number} {holder} {nonce} {} {renewals}",
            self.term.as_millis()
        )
    }
}

impl str::FromStr for Record {
    type Err = RecordError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let fields: Vec<_> = s.split(' ').collect();
        let [number, holder, nonce, term, renewals] = fields[..] else {
            return Err(RecordError::Fields);
        };
        let holder = match holder {
            "-" => None,
            name => Some(NodeName::new(name)?),
        };
        Ok(Self {
            number: number.parse()?,
            holder,
            nonce: nonce.parse()?,
            term: time::Duration::from_millis(term.parse()?),
            renewals: renewals.parse()?,
        })
    }
}
