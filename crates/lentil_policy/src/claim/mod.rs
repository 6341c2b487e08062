//! Claims make at-most-once calls run at most once, across all entries.
//!
//! A claim is committed to the platform's store before its call is sent. See
//! `docs/at-most-once.md`.

mod commit;
mod key;
mod ledger;
mod object;
mod shard;

pub use key::{KeyAge, age_of};
pub use ledger::{ClaimRequest, ClaimVerdict, Decision, Ledger, Settings};
pub use object::{Answer, MAX_OBJECT_BYTES, Object, ObjectError, Record, Settled, State};
