//! Forwards HTTP/1.1 requests to runners as they are.
//!
//! - [`router`]: takes callers' requests, chooses runners, passes answers on.
//! - [`agent`]: looks after the weights of the runner beside it and tells the
//!   routers how it is.
//! - [`follow`]: keeps the accepted configuration, the runners and the named
//!   weights up to date, from the store and from other routers.
//! - [`cache_store`]: what the store of cache entries holds.
//! - [`peers`]: what a router exchanges with agents and other routers.
//! - [`h1`]: HTTP/1.1 with everything that a router must see of a connection.
//!
//! A deployment's own names and formats come in through [`names::HeaderNames`]
//! and [`documents::Decoder`]; `lentil_policy::forward` takes the decisions.

pub mod agent;
pub mod cache;
pub mod cache_store;
mod client;
pub mod datagram;
mod datagram_socket;
pub mod documents;
mod events;
pub mod follow;
#[allow(
    dead_code,
    missing_docs,
    clippy::doc_markdown,
    reason = "written by lentil_gen"
)]
mod generated;
pub mod h1;
mod http_call;
pub mod names;
pub mod peers;
pub mod router;

pub use client::Client;
pub use events::{EventSplitter, EventTooLarge};
pub use http_call::{Call, CallError, Reply};
