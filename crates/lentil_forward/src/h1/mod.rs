//! HTTP/1.1 messages and connections. A router must see how a connection ends, what
//! was read from it and when the peer disconnects, which HTTP libraries hide. Heads
//! are parsed by `httparse`.

mod body;
mod connection;
mod error;
mod head;
mod headers;

pub use body::{BodyReader, Framing};
pub use connection::{Connection, set_reset_on_close};
pub use error::{BadHead, ReadError};
pub use head::{RequestHead, ResponseHead};
pub use headers::Headers;
