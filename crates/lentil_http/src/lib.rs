//! Reads HTTP messages of other processes within limits.
//!
//! - [`client`]: a client whose connections keep to the limits.
//! - [`read_all`]: reads a whole body of a limited size.
//! - [`Body`]: reads a body of any size.
//! - [`framing`]: the limit on bytes that belong to no body.
//!
//! The HTTP library keeps the line of an unfinished chunk without a limit and parses it from
//! its start with each read, and bodies have a limit of hundreds of megabytes.

mod body;
pub mod framing;
mod transport;

pub use body::{Body, read_all};
pub use transport::client;
