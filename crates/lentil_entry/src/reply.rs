//! Carries an answer from the driver to a caller's connection.

use std::{
    future,
    pin::Pin,
    task::{self, Context, Poll},
    time,
};

use futures_lite::Stream as _;
use lentil_policy::{entry, protocol};
use lentil_types::RequestId;
use smol::channel::{Receiver, Sender};

use crate::{
    backpressure::Backpressure,
    driver::{Caller, Input},
};

/// A part of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    Head {
        status: u16,
        headers: Vec<protocol::Header>,
    },
    Piece {
        offset: u64,
        data: Vec<u8>,
    },
    End(entry::Ending),
}

impl Reply {
    /// Bytes that this part adds to the caller's queue.
    pub(crate) fn queued_bytes(&self) -> usize {
        match self {
            Self::Piece { data, .. } => data.len(),
            Self::Head { .. } | Self::End(_) => 0,
        }
    }
}

/// Receives the answer to one request. If dropped before the end, it reports to the
/// policy that the caller is gone.
#[derive(Debug)]
pub(crate) struct ReplyReceiver {
    request: RequestId,
    inbox: Pin<Box<Receiver<Reply>>>,
    backpressure: Backpressure,
    inputs: Sender<Input>,
    has_ended: bool,
}

impl ReplyReceiver {
    /// Submits a request to the driver.
    pub(crate) fn submit(inputs: &Sender<Input>, arrival: Box<entry::Arrival>) -> Self {
        let (replies, inbox) = smol::channel::unbounded();
        let backpressure = Backpressure::default();
        let caller = Caller {
            replies,
            backpressure: backpressure.clone(),
            started_at: time::Instant::now(),
            team: arrival.work.team.clone(),
            runner: None,
        };
        let request = arrival.request;
        // The channel is unbounded. If the driver is gone, the caller is
        // dropped, which ends the answer.
        let _ = inputs.try_send(Input::Arrived(arrival, caller));
        Self {
            request,
            inbox: Box::pin(inbox),
            backpressure,
            inputs: inputs.clone(),
            has_ended: false,
        }
    }

    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// The next part, or `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<Reply> {
        future::poll_fn(|context| self.poll_next(context)).await
    }

    /// The next part, or `None` after the end.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Reply>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let reply = task::ready!(self.inbox.as_mut().poll_next(context));
        self.has_ended = matches!(reply, None | Some(Reply::End(_)));
        if let Some(reply) = &reply {
            self.backpressure.remove(reply.queued_bytes());
        }
        Poll::Ready(reply)
    }
}

impl Drop for ReplyReceiver {
    fn drop(&mut self) {
        if !self.has_ended {
            let gone = entry::Event::CallerGone(self.request);
            // The channel is unbounded, so this fails only when the driver is gone.
            let _ = self.inputs.try_send(Input::Event(gone));
        }
    }
}
