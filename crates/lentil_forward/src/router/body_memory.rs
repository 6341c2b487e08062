//! Bounds the memory of buffered bodies: those of requests, and of answers that are not
//! complete yet.

use std::rc;

use super::Router;

/// Whose bodies a reservation is for. Each kind has memory of its own, so that answers
/// without end leave room for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyKind {
    Request,
    Answer,
}

impl BodyKind {
    pub(super) const COUNT: usize = 2;
}

/// Memory for the bodies of requests divided by that for answers. A request's body is
/// held twice while it is forwarded, and answers are mostly small.
const ANSWERS_DIVISOR: usize = 2;

/// Reserved bytes of the body memory, released on drop.
pub(super) struct BodyReservation {
    router: rc::Rc<Router>,
    kind: BodyKind,
    bytes: usize,
}

impl BodyReservation {
    /// An empty reservation.
    pub(super) fn new(router: &rc::Rc<Router>, kind: BodyKind) -> Self {
        Self {
            router: router.clone(),
            kind,
            bytes: 0,
        }
    }

    /// Reserves `bytes` for the body of a request; `None` if the limit would be exceeded.
    pub(super) fn for_request(router: &rc::Rc<Router>, bytes: usize) -> Option<Self> {
        let mut reservation = Self::new(router, BodyKind::Request);
        reservation.try_resize(bytes).then_some(reservation)
    }

    /// Reserves `bytes` in place of what is reserved so far. Returns `false`, and changes
    /// nothing, if the limit would be exceeded.
    pub(super) fn try_resize(&mut self, bytes: usize) -> bool {
        let total = self.others().saturating_add(bytes);
        if bytes > self.bytes && total > self.limit() {
            return false;
        }
        self.router.reserved_bytes[self.kind as usize].set(total);
        self.bytes = bytes;
        true
    }

    fn limit(&self) -> usize {
        let for_requests = self.router.settings.body_memory;
        match self.kind {
            BodyKind::Request => for_requests,
            BodyKind::Answer => for_requests / ANSWERS_DIVISOR,
        }
    }

    /// Bytes of all other reservations of the kind.
    fn others(&self) -> usize {
        self.router.reserved_bytes[self.kind as usize].get() - self.bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.router.reserved_bytes[self.kind as usize].set(self.others());
    }
}
