//! An answer passed on as it is.

use std::io;

use lentil_policy::entry;

use crate::answer::Encode;

/// Passes a backend server's answer on as it is.
pub(crate) struct Passthrough;

impl Encode for Passthrough {
    fn piece(&mut self, _offset: u64, data: &[u8], out: &mut Vec<u8>) {
        out.extend_from_slice(data);
    }

    fn end(&mut self, ending: entry::Ending, _out: &mut Vec<u8>) -> io::Result<()> {
        match ending {
            entry::Ending::Whole(_) => Ok(()),
            // The head is out: cutting the connection off is all that shows
            // that the body is not whole.
            entry::Ending::Failed { .. } => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn keep_alive(&self) -> &'static [u8] {
        b""
    }
}
