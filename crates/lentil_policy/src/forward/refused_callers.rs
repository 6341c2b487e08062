//! Callers that were refused with a time to come back at.
//!
//! Load: under overload a router refuses callers and names a time. One that comes back
//! then has waited already and goes before new requests. One that comes back earlier,
//! or at another router, is as good as new.

use std::{collections, time};

use lentil_types::{Fingerprint, Instant};

/// Most refused requests remembered; the rest are as good as new when they return.
const MAX_REFUSED: usize = 4_096;
/// A caller is in time until this many times the wait that was named. The time that it
/// is told has up to half of the wait added at random, and its call may be delayed.
const LATEST_RETURN: f64 = 3.0;

/// When the callers of refused requests are expected back.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    expected: collections::BTreeMap<Fingerprint, (Instant, Instant)>,
    /// The same by the end of the time.
    ends: collections::BTreeSet<(Instant, Fingerprint)>,
}

impl RefusedCallers {
    /// A request was refused; its caller was told to wait for at least `retry_after`.
    pub fn on_refused(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        retry_after: time::Duration,
    ) {
        self.forget(fingerprint);
        while let Some(&(end, oldest)) = self.ends.first()
            && (end < now || self.ends.len() >= MAX_REFUSED)
        {
            self.forget(oldest);
        }
        let end = now + retry_after.mul_f64(LATEST_RETURN);
        self.expected.insert(fingerprint, (now + retry_after, end));
        self.ends.insert((end, fingerprint));
    }

    /// Whether a request that arrives now comes back as it was told to. Counts once for
    /// each refusal.
    pub fn on_request(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        let expected = self.forget(fingerprint);
        expected.is_some_and(|(from, until)| from <= now && now <= until)
    }

    fn forget(&mut self, fingerprint: Fingerprint) -> Option<(Instant, Instant)> {
        let expected = self.expected.remove(&fingerprint)?;
        self.ends.remove(&(expected.1, fingerprint));
        Some(expected)
    }
}
