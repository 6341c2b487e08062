//! Forwards HTTP/1.1 requests to runners unchanged.
//!
//! - [`router`]: accepts requests, chooses runners and forwards answers.
//! - [`agent`]: updates the weights of the runner beside it and reports its status.
//! - [`follow`]: keeps configuration, registrations and target weights up to date.
//! - [`cache_store`]: follows which segments a cache store holds.
//! - [`peers`]: datagrams between a router, agents and other routers.
//! - [`runner_watch`]: checks runners that owe an answer.
//! - [`h1`]: HTTP/1.1 that exposes connection state.
//!
//! Deployments supply header names and document formats as [`names::HeaderNames`]
//! and [`documents::Decoder`]; `lentil_policy::forward` makes the decisions.

pub mod agent;
mod byte_budget;
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
mod open_futures;
pub mod peers;
pub mod router;
pub mod runner_watch;

pub use byte_budget::ByteBudget;
pub use client::Client;
pub use events::{EventSplitter, EventTooLarge};
pub use http_call::{Call, CallError, Reply};
