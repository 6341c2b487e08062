//! Passes an answer through unchanged.

use std::io;

use lentil_policy::entry;

use crate::answer::Encode;

/// Passes a backend server's answer through unchanged.
pub(crate) struct Passthrough;

impl Encode for Passthrough {
    fn piece(&mut self, _offset: u64, data: &[u8], out: &mut Vec<u8>) {
        out.extend_from_slice(data);
    }

    fn end(&mut self, ending: entry::Ending, _out: &mut Vec<u8>) -> io::Result<()> {
        match ending {
            entry::Ending::Whole(_) => Ok(()),
            // The head has been sent: only closing the connection can show that
            // the body is incomplete.
            entry::Ending::Failed { .. } => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    fn keep_alive(&self) -> &'static [u8] {
        b""
    }
}
