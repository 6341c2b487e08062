//! Bounds the memory of buffered request bodies.

use std::rc;

use super::Router;

/// Reserved bytes of the body memory, released on drop.
pub(super) struct BodyReservation {
    router: rc::Rc<Router>,
    bytes: usize,
}

impl BodyReservation {
    /// Reserves `bytes`; `None` if the limit would be exceeded.
    pub(super) fn try_new(router: &rc::Rc<Router>, bytes: usize) -> Option<Self> {
        let reserved = router.reserved_bytes.get().checked_add(bytes)?;
        if reserved > router.settings.body_memory {
            return None;
        }
        router.reserved_bytes.set(reserved);
        Some(Self {
            router: router.clone(),
            bytes,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.router
            .reserved_bytes
            .set(self.router.reserved_bytes.get() - self.bytes);
    }
}
