//! Writes a request to a runner while its answer is read.

use std::{cell, future, pin, rc, task};

use futures_lite::AsyncWriteExt as _;

use crate::h1;

/// A request that is being written. It goes on only while something is read
/// [`Self::beside`] it; dropping it ends the writing.
pub(super) struct Upload {
    /// Never ends: the answer decides.
    write: pin::Pin<Box<dyn Future<Output = ()>>>,
    is_complete: rc::Rc<cell::Cell<bool>>,
}

impl Upload {
    pub(super) fn new(connection: &h1::Connection, bytes: bytes::BytesMut) -> Self {
        let is_complete = rc::Rc::new(cell::Cell::new(false));
        let mut stream = connection.stream();
        let complete = is_complete.clone();
        let write = Box::pin(async move {
            // A runner that answers early may stop reading; its answer may be valid.
            let end = stream.write_all(&bytes).await;
            drop(bytes);
            complete.set(end.is_ok());
            future::pending::<()>().await;
        });
        Self { write, is_complete }
    }

    /// Writes on until `read` ends.
    pub(super) fn beside<T>(&mut self, read: impl Future<Output = T>) -> impl Future<Output = T> {
        let write = future::poll_fn(|context| {
            let _never_ends = self.write.as_mut().poll(context);
            task::Poll::Pending
        });
        futures_lite::future::or(read, write)
    }

    /// Whether the whole request was written without an error.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete.get()
    }
}
