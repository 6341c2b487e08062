//! Decides which calls to the store stay open while others are made.
//!
//! The load it answers: a full link or a busy process, where an answer takes longer than other
//! sources should wait for. A call that is dropped then loses the answer that is on its way, and
//! so does every call that replaces it.

use std::time;

use lentil_types::Instant;

use crate::store::ObjectVersion;

/// Settings of [`OpenCalls`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time beyond its own wait after which a call is overdue: other sources are asked, and
    /// another call is made beside it. A slow store takes a few hundred milliseconds.
    pub overdue: time::Duration,
    /// The same for a listing, which may have several pages.
    pub list_overdue: time::Duration,
    /// Most calls that are open at once.
    pub most: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            overdue: time::Duration::from_millis(700),
            list_overdue: time::Duration::from_millis(1_400),
            most: 3,
        }
    }
}

/// Number of a call; later ones are higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// A call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCall {
    /// Its number.
    pub id: CallId,
    /// When it began.
    pub called_at: Instant,
    /// How long the store may wait for changes.
    pub wait: time::Duration,
    /// The version after which it asks for changes; `None` for a listing.
    pub after: Option<ObjectVersion>,
}

/// The calls for one kind of document that have no answer.
#[derive(Clone, Debug, Default)]
pub struct OpenCalls {
    settings: Settings,
    /// Oldest first.
    calls: Vec<OpenCall>,
    next: CallId,
}

impl OpenCalls {
    /// No calls, with other settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// A call begins. The oldest one is dropped if too many are open.
    pub fn on_call(
        &mut self,
        now: Instant,
        wait: time::Duration,
        after: Option<ObjectVersion>,
    ) -> OpenCall {
        let call = OpenCall {
            id: self.next,
            called_at: now,
            wait,
            after,
        };
        self.next.0 += 1;
        self.calls.push(call);
        let surplus = self.calls.len().saturating_sub(self.settings.most);
        self.calls.drain(..surplus);
        call
    }

    /// A call has failed. Returns whether it was the newest one, which others replace.
    pub fn on_failure(&mut self, id: CallId) -> bool {
        let is_newest = self.newest().is_some_and(|call| call.id == id);
        self.calls.retain(|call| call.id != id);
        is_newest
    }

    /// A call was answered, and documents are known up to `reached`. Earlier calls cannot
    /// tell more; later ones can if they ask for what follows.
    pub fn on_answer(&mut self, id: CallId, reached: Option<ObjectVersion>) {
        self.calls
            .retain(|call| call.id > id && call.after == reached);
    }

    /// Drops all calls.
    pub fn clear(&mut self) {
        self.calls.clear();
    }

    /// The call that began last.
    pub fn newest(&self) -> Option<&OpenCall> {
        self.calls.last()
    }

    /// An open call.
    pub fn get(&self, id: CallId) -> Option<&OpenCall> {
        self.calls.iter().find(|call| call.id == id)
    }

    /// When the newest call is overdue.
    pub fn overdue_at(&self) -> Option<Instant> {
        self.newest().map(|call| self.limit(call))
    }

    /// When the store has surely answered a call whose answer arrives now. An overdue answer
    /// may have been on its way for long.
    pub fn answered_at(&self, call: &OpenCall, now: Instant) -> Instant {
        if now < self.limit(call) {
            now
        } else {
            call.called_at
        }
    }

    fn limit(&self, call: &OpenCall) -> Instant {
        let overdue = match call.after {
            Some(_) => self.settings.overdue,
            None => self.settings.list_overdue,
        };
        call.called_at + call.wait + overdue
    }
}
