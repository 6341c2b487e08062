//! Passes arriving requests to the readers of traces.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use lentil_policy::entry;
use lentil_process::Clock;
use lentil_trace::Record;
use lentil_types::Instant;
use smol::channel::{Receiver, Sender};

/// Records that may be queued for a slow reader. Further ones are dropped.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Records requests while a trace is read. Clones share the readers.
#[derive(Clone, Debug)]
pub(crate) struct Recorder {
    clock: Clock,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Whether there is a reader; without one a request does not take the lock.
    active: AtomicBool,
    readers: Mutex<Vec<Reader>>,
}

#[derive(Debug)]
struct Reader {
    start: Instant,
    records: Sender<Record>,
}

impl Recorder {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            inner: Arc::default(),
        }
    }

    /// Starts a trace. It ends when the receiver is dropped.
    pub(crate) fn subscribe(&self) -> Receiver<Record> {
        let (records, receiver) = smol::channel::bounded(MAX_QUEUED_RECORDS);
        let start = self.clock.now();
        self.readers().push(Reader { start, records });
        self.inner.active.store(true, Ordering::Release);
        receiver
    }

    /// Sends a request to every reader.
    pub(crate) fn record(&self, arrival: &entry::Arrival) {
        if !self.inner.active.load(Ordering::Acquire) {
            return;
        }
        let mut readers = self.readers();
        // Taken under the lock, so that the times of a trace never go back.
        let now = self.clock.now();
        readers.retain(|reader| {
            let at = Instant::ZERO + now.since(reader.start);
            let sent = reader.records.try_send(trace_record(at, arrival));
            !sent.is_err_and(|error| error.is_closed())
        });
        if readers.is_empty() {
            self.inner.active.store(false, Ordering::Release);
        }
    }

    fn readers(&self) -> MutexGuard<'_, Vec<Reader>> {
        self.inner
            .readers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Record of a request. The size of its answer is the maximum that it may have.
fn trace_record(at: Instant, arrival: &entry::Arrival) -> Record {
    let work = &arrival.work;
    Record {
        at,
        team: work.team.clone(),
        class: work.class,
        service: work.service.clone(),
        model: work.model.clone(),
        pieces: work.pieces.to_vec(),
        prompt: work.prompt,
        output: work.output,
        key: arrival.key.clone(),
    }
}
