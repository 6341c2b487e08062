//! What the driver gives a caller's connection.

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
    driver::{Caller, Input},
    flow::Flow,
};

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

impl Reply {
    /// Bytes that wait for the caller with this part.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Piece { data, .. } => data.len(),
            Self::Head { .. } | Self::End(_) => 0,
        }
    }
}

/// A caller's end of its request. Dropped before the end of the reply, it tells
/// the policy that the caller is gone.
#[derive(Debug)]
pub(crate) struct Replies {
    request: RequestId,
    inbox: Pin<Box<Receiver<Reply>>>,
    flow: Flow,
    inputs: Sender<Input>,
    ended: bool,
}

impl Replies {
    /// Hands a request to the driver.
    pub(crate) fn submit(inputs: &Sender<Input>, arrival: Box<entry::Arrival>) -> Self {
        let (replies, inbox) = smol::channel::unbounded();
        let flow = Flow::default();
        let caller = Caller {
            replies,
            flow: flow.clone(),
            begin: time::Instant::now(),
            team: arrival.work.team.clone(),
            runner: None,
        };
        let request = arrival.request;
        // The channel is unbounded. When the driver is gone it drops the
        // caller, which ends the reply.
        let _ = inputs.try_send(Input::Arrived(arrival, caller));
        Self {
            request,
            inbox: Box::pin(inbox),
            flow,
            inputs: inputs.clone(),
            ended: false,
        }
    }

    /// The request.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// The next part, or `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<Reply> {
        future::poll_fn(|context| self.poll_next(context)).await
    }

    /// The next part, or `None` after the end.
    pub(crate) fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Reply>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let reply = task::ready!(self.inbox.as_mut().poll_next(context));
        self.ended = matches!(reply, None | Some(Reply::End(_)));
        if let Some(reply) = &reply {
            self.flow.take(reply.size());
        }
        Poll::Ready(reply)
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
