//! The decision logic of the router.
//!
//! Nothing here sleeps, reads a clock, draws random numbers of its own or opens a
//! socket. An I/O shell turns input into events, passes them in with the time,
//! calls `tick` and carries out the commands that it returns. The daemons, the
//! replay and the fault search run this same code.
//!
//! - [`config_sync`]: distribution of documents to every process.
//! - [`claim`]: claims for calls that may run at most once.
//! - [`entry`]: a caller's request at an entry process.
//! - [`sidecar`]: the requests of one backend server.
//! - [`forward`]: requests forwarded to a backend server unchanged.
//! - [`route`]: which runner gets a request.
//! - [`rollout`]: which runner loads new weights next.
//! - [`queue`]: which waiting request a backend server runs next.
//! - [`cache`]: a sidecar's view of its engine's KV cache.
//! - [`lease`]: which process may give orders, and its fencing number.
//! - [`membership`]: which processes exist and their state.
//! - [`poison`]: isolation and refusal of requests that crash engines.
//! - [`protocol`]: messages between entries and sidecars.
//! - [`store`]: calls to the platform's object API and their replies.
//! - [`store_budget`]: rate limit of this process's calls to that API.

pub mod cache;
pub mod claim;
pub mod config_sync;
pub mod entry;
pub mod forward;
pub mod lease;
pub mod membership;
pub mod poison;
pub mod protocol;
pub mod queue;
pub mod rollout;
pub mod route;
pub mod sidecar;
pub mod store;
pub mod store_budget;
pub mod store_era;
