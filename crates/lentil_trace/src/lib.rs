//! Recorded traffic as JSON Lines.
//!
//! The first line is a [`Header`] with the version of the format. Every other
//! line is one request. A prompt is stored as the hash chain of its pieces. For a
//! prefix shared with an earlier request, `base` has that request's number from 0
//! and the number of pieces; `pieces` holds the rest in hexadecimal:
//!
//! ```json
//! {"format":"lentilglade-trace","version":1,"source":"dalton/steady"}
//! {"at":81,"team":"a","class":"normal","service":"s","model":"m","pieces":["0000000000000001"],"prompt":1000,"output":9}
//! {"at":99,"team":"a","class":"urgent","service":"s","model":"m","base":[0,1],"prompt":1200,"output":9}
//! ```

mod error;
mod line;
mod reader;
mod record;
mod writer;

pub use error::{LineError, ReadError, WriteError};
pub use reader::Reader;
pub use record::{FORMAT, Header, Record, VERSION};
pub use writer::Writer;
