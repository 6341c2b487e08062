//! Messages between the processes: `h2` streams that carry `bincode`.
//!
//! A [`Link`] is a connection that this process opened, a [`Peer`] one that it
//! accepted. Both begin with a handshake that checks the version and
//! authenticates both sides by the fleet key. Then messages are sent on
//! [`Exchange`]s: one `h2` stream each, opened by the [`Link`].
//!
//! `docs/wire.md` gives the limits and the compatibility rule. Public messages are
//! validated types; the generated ones are private.

mod codec;
mod convert;
mod convert_sync;
mod error;
mod exchange;
#[allow(
    dead_code,
    missing_docs,
    clippy::doc_markdown,
    reason = "written by lentil_gen"
)]
mod generated;
mod handshake;
mod keep_alive;
mod link;
mod message;
mod peer;
mod refusal_log;
mod usage;

pub use codec::{MAX_FRAME_BYTES, decode, encode};
pub use error::{ConvertError, WireError};
pub use exchange::{Exchange, Receiver, Sender};
pub use handshake::{FleetKey, Identity, KeyTooShort, MAJOR, MINOR};
pub use link::Link;
pub use message::{ConfigDocument, Message, PoisonNotice, Sync, Synced};
pub use peer::Peer;
pub use refusal_log::{RefusalLog, RefusalLogSettings};
pub use usage::MAX_BUFFERED_BYTES;
