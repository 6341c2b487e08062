//! Text form of the lease: five fields, separated by spaces.

use std::{fmt, num, str, time};

use lentil_types::{FencingNumber, NameError, NodeName};

/// Content of the lease's object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Fencing number of the tenure.
    pub number: FencingNumber,
    /// The holder; `None` (written `-`) after it was released.
    pub holder: Option<NodeName>,
    /// Distinguishes starts of the holder's process.
    pub nonce: u64,
    /// Tenure from a renewal, written in milliseconds.
    pub term: time::Duration,
    /// Changes with each renewal, so that each writes a different value.
    pub renewals: u64,
}

/// The lease's object could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum RecordError {
    /// The number of fields is wrong.
    #[error("a lease record must have five fields: number, holder, nonce, term, renewals")]
    Fields,
    /// A field is not a number.
    #[error("invalid number in a lease record: {0}")]
    Number(#[from] num::ParseIntError),
    /// The holder is not a valid name.
    #[error("invalid holder in a lease record: {0}")]
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
