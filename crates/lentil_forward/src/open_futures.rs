//! A few futures that are polled together and may be dropped one by one.

use std::{future, pin, task::Poll};

type BoxedFuture<'a, T> = pin::Pin<Box<dyn Future<Output = T> + 'a>>;

/// Futures with a key each, polled in the order in which they were added.
pub(crate) struct OpenFutures<'a, K, T> {
    futures: Vec<(K, BoxedFuture<'a, T>)>,
}

impl<'a, K: Copy, T> OpenFutures<'a, K, T> {
    pub(crate) fn new() -> Self {
        Self {
            futures: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, key: K, future: impl Future<Output = T> + 'a) {
        self.futures.push((key, Box::pin(future)));
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.futures.is_empty()
    }

    /// Drops the oldest futures beyond `most`.
    pub(crate) fn drop_oldest(&mut self, most: usize) {
        let surplus = self.futures.len().saturating_sub(most);
        self.futures.drain(..surplus);
    }

    /// Drops the futures whose keys do not hold.
    pub(crate) fn retain(&mut self, holds: impl Fn(K) -> bool) {
        self.futures.retain(|(key, _)| holds(*key));
    }

    /// Key and output of the first future that ends. Never returns while there is none.
    pub(crate) async fn next(&mut self) -> (K, T) {
        future::poll_fn(|cx| {
            for index in 0..self.futures.len() {
                let (key, future) = &mut self.futures[index];
                if let Poll::Ready(output) = future.as_mut().poll(cx) {
                    let key = *key;
                    drop(self.futures.remove(index));
                    return Poll::Ready((key, output));
                }
            }
            Poll::Pending
        })
        .await
    }
}
