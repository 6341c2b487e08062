//! Bounds the memory that requests' bodies take.

use std::rc;

use super::Router;

/// A share of the memory for bodies, given back when this is dropped.
pub(super) struct BodyReservation {
    router: rc::Rc<Router>,
    bytes: usize,
}

impl BodyReservation {
    /// Takes `bytes`, if there are so many left.
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
