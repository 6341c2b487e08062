//! What the driver gives a caller's connection.

use lentil_policy::{entry, protocol};
use lentil_types::RequestId;
use smol::channel::{Receiver, Sender};

use crate::driver::Input;

/// A part of a reply.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Status and headers.
    Head {
        status: u16,
        headers: Vec<protocol::Header>,
    },
    /// The next piece.
    Piece { offset: u64, data: Vec<u8> },
    /// The end.
    End(entry::Ending),
}

/// A caller's end of its request. Dropped before the end of the reply, it tells
/// the policy that the caller is gone.
#[derive(Debug)]
pub(crate) struct Replies {
    request: RequestId,
    inbox: Receiver<Reply>,
    inputs: Sender<Input>,
    ended: bool,
}

impl Replies {
    pub(crate) fn new(request: RequestId, inbox: Receiver<Reply>, inputs: Sender<Input>) -> Self {
        Self {
            request,
            inbox,
            inputs,
            ended: false,
        }
    }

    /// The next part, or `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<Reply> {
        if self.ended {
            return None;
        }
        let reply = self.inbox.recv().await.ok();
        self.ended = matches!(reply, None | Some(Reply::End(_)));
        reply
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        if !self.ended {
            let gone = entry::Event::CallerGone(self.request);
            // The channel is unbounded: this fails only when the driver is gone.
            let _ = self.inputs.try_send(Input::Event(gone));
        }
    }
}
