//! The event queue of a run, and its links.

use std::{cmp, collections::BinaryHeap, time};

use lentil_policy::{entry, sidecar, store};
use lentil_types::{AttemptId, BootId, Fingerprint, Instant};

/// A simulated event at a process, given by index. One that names an incarnation
/// does not reach a later one.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A caller sends the request with this number.
    Send(usize),
    HangUp(usize),
    ToEntry(usize, u32, Box<entry::Event>),
    ToSidecar(usize, u32, Box<sidecar::Event>),
    ToStore(usize, u32, Box<store::StoreCall>),
    /// A write reaches the store although its caller got a `Lost` reply.
    LateWrite(Box<store::StoreCall>),
    ToBackend(usize, u32, Box<lentil_policy::protocol::Dispatch>),
    /// A backend server continues the run with this serial.
    Step(usize, AttemptId, u64),
    WakeEntry(usize, u32),
    WakeSidecar(usize, u32),
    CrashEntry(usize),
    DrainEntry(usize),
    ReplaceEntry(usize, u32),
    StartEntry(usize),
    /// A sidecar crashes and restarts at once.
    CrashSidecar(usize),
    /// A backend server is asked to leave.
    Leave(usize),
    /// A backend server that left is replaced.
    ReplaceSidecar(usize),
    CrashEngine(usize),
    /// An engine starts, if its boot id is still this one.
    StartEngine(usize, BootId),
    /// The store fails (true) or recovers (false).
    StoreOutage(bool),
    /// All entries and sidecars learn of a fingerprint's crashes.
    Crashed(Fingerprint, u32),
}

#[derive(Debug)]
struct Scheduled {
    at: Instant,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == cmp::Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        // Reversed: the heap pops the greatest, which must be the earliest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events in order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Instant, event: Event) {
        self.count += 1;
        let order = self.count;
        self.heap.push(Scheduled { at, order, event });
    }

    pub(super) fn pop(&mut self) -> Option<(Instant, Event)> {
        self.heap
            .pop()
            .map(|scheduled| (scheduled.at, scheduled.event))
    }
}

/// A connection between one incarnation of an entry and one of a sidecar.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) entry: usize,
    pub(super) entry_incarnation: u32,
    pub(super) runner: usize,
    pub(super) runner_incarnation: u32,
    pub(super) id: AttemptId,
    pub(super) is_open: bool,
    pub(super) last_to_entry: Instant,
    pub(super) last_to_sidecar: Instant,
}

impl Link {
    /// When a message to the entry that is due at `at` arrives: after those
    /// sent before it.
    pub(super) fn next_to_entry(&mut self, at: Instant) -> Instant {
        self.last_to_entry = at.max(self.last_to_entry + time::Duration::from_micros(1));
        self.last_to_entry
    }

    /// The same to the sidecar.
    pub(super) fn next_to_sidecar(&mut self, at: Instant) -> Instant {
        self.last_to_sidecar = at.max(self.last_to_sidecar + time::Duration::from_micros(1));
        self.last_to_sidecar
    }
}
