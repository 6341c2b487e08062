//! Forwards HTTP/1.1 requests to runners unchanged.
//!
//! - [`router`]: accepts requests, chooses runners and forwards answers.
//! - [`agent`]: updates the weights of the runner beside it and reports its status
//!   to the routers.
//! - [`follow`]: keeps the configuration, the runners' registrations and the target
//!   weights up to date, from the store and from other routers.
//! - [`cache_store`]: follows which segments the cache store holds.
//! - [`peers`]: the datagrams between a router, the agents and other routers.
//! - [`h1`]: HTTP/1.1 that exposes the state of the connection.
//!
//! A deployment's header names and document formats are given as
//! [`names::HeaderNames`] and [`documents::Decoder`]; decisions are made in
//! `lentil_policy::forward`.

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
