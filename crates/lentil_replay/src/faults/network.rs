//! What travels between the parts of a run.

use std::{cmp, collections::BinaryHeap, time};

use lentil_policy::{entry, sidecar, store};
use lentil_types::{AttemptId, BootId, Fingerprint, Instant};

/// Something that will happen.
#[derive(Clone, Debug)]
pub(super) enum What {
    /// A caller sends the request with this number.
    Send(usize),
    /// A caller hangs up.
    HangUp(usize),
    /// An event reaches an entry, if it is still in this life.
    ToEntry(usize, u32, Box<entry::Event>),
    /// An event reaches a sidecar, if it is still in this life.
    ToSidecar(usize, u32, Box<sidecar::Event>),
    /// A call reaches the store.
    ToStore(usize, u32, Box<store::StoreCall>),
    /// A write reaches the store that nobody waits for any more.
    LateWrite(Box<store::StoreCall>),
    /// A request reaches a backend server.
    ToBackend(usize, u32, Box<lentil_policy::protocol::Dispatch>),
    /// A backend server goes on with a run of an attempt.
    Step(usize, AttemptId, u64),
    /// An entry's timer.
    WakeEntry(usize, u32),
    /// A sidecar's timer.
    WakeSidecar(usize, u32),
    /// An entry crashes.
    CrashEntry(usize),
    /// An entry is told to drain.
    DrainEntry(usize),
    /// A drained entry is replaced, if it is still in this life.
    ReplaceEntry(usize, u32),
    /// An entry comes back.
    StartEntry(usize),
    /// A sidecar crashes and comes back at once.
    CrashSidecar(usize),
    /// A backend server is told to leave.
    Leave(usize),
    /// A backend server that left is replaced.
    Rejoin(usize),
    /// An engine crashes.
    CrashEngine(usize),
    /// An engine comes back, if it is still in this life.
    StartEngine(usize, BootId),
    /// The store goes down, or comes back.
    StoreOutage(bool),
    /// Every entry hears of crashes.
    Crashed(Fingerprint, u32),
}

#[derive(Debug)]
struct Due {
    at: Instant,
    number: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // The heap gives the greatest first; the earliest is wanted.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// What will happen, in order of time.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    heap: BinaryHeap<Due>,
    count: u64,
}

impl Agenda {
    pub(super) fn push(&mut self, at: Instant, what: What) {
        self.count += 1;
        let number = self.count;
        self.heap.push(Due { at, number, what });
    }

    pub(super) fn pop(&mut self) -> Option<(Instant, What)> {
        self.heap.pop().map(|due| (due.at, due.what))
    }
}

/// An exchange between an entry and a sidecar, in their lives of its beginning.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) entry: usize,
    pub(super) entry_life: u32,
    pub(super) runner: usize,
    pub(super) runner_life: u32,
    pub(super) id: AttemptId,
    pub(super) open: bool,
    pub(super) last_up: Instant,
    pub(super) last_down: Instant,
}

impl Link {
    /// When a message towards the entry arrives that is sent to arrive at `at`:
    /// after those sent before it.
    pub(super) fn up(&mut self, at: Instant) -> Instant {
        self.last_up = at.max(self.last_up + time::Duration::from_micros(1));
        self.last_up
    }

    /// The same towards the sidecar.
    pub(super) fn down(&mut self, at: Instant) -> Instant {
        self.last_down = at.max(self.last_down + time::Duration::from_micros(1));
        self.last_down
    }
}
