//! `GET /trace?seconds=N` of the admin server: the requests of the next N
//! seconds as JSON Lines.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    time,
};

use futures_lite::AsyncWriteExt as _;
use lentil_trace::{Header, Record, WriteError, Writer};
use smol::channel::Receiver;
use trillium::{Conn, Handler};
use trillium_router::Router;

use crate::recorder::Recorder;

/// Longest trace, in seconds.
const MAX_SECONDS: u64 = 3_600;
/// Length of a trace when none is asked for, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Capacity of the pipe to the reader of a trace, in bytes.
const PIPE_BYTES: usize = 256 * 1024;

/// Bytes of a trace that are not in the pipe yet.
#[derive(Clone, Debug, Default)]
struct PendingBytes(Arc<Mutex<Vec<u8>>>);

impl PendingBytes {
    fn take(&self) -> Vec<u8> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl io::Write for PendingBytes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut pending = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        pending.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Handler for the admin server.
pub(crate) fn handler(recorder: Recorder) -> impl Handler {
    Router::new().get("/trace", move |conn: Conn| {
        let recorder = recorder.clone();
        async move { answer(&recorder, conn) }
    })
}

fn answer(recorder: &Recorder, conn: Conn) -> Conn {
    let Some(seconds) = seconds(conn.querystring()) else {
        return conn
            .with_status(400)
            .with_body(format!("seconds is a number from 1 to {MAX_SECONDS}\n"))
            .halt();
    };
    let (reader, writer) = piper::pipe(PIPE_BYTES);
    let (records, duration) = (recorder.subscribe(), time::Duration::from_secs(seconds));
    smol::spawn(async move {
        if let Err(error) = write(&records, duration, writer).await {
            log::debug!("a trace ended early: {error}");
        }
    })
    .detach();
    conn.with_response_header("content-type", "application/jsonl")
        .ok(trillium::Body::new_streaming(reader, None))
}

/// The requested duration in seconds; `None` if it is invalid or out of range.
fn seconds(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    match pairs.find(|(name, _)| *name == "seconds") {
        None => Some(DEFAULT_SECONDS),
        Some((_, text)) => text
            .parse()
            .ok()
            .filter(|seconds| (1..=MAX_SECONDS).contains(seconds)),
    }
}

async fn write(
    records: &Receiver<Record>,
    duration: time::Duration,
    mut output: piper::Writer,
) -> Result<(), WriteError> {
    let pending = PendingBytes::default();
    let mut writer = Writer::new(pending.clone(), &Header::new("entry"))?;
    let mut end = smol::Timer::after(duration);
    loop {
        output.write_all(&pending.take()).await?;
        let record = async { records.recv().await.ok() };
        let ended = async {
            (&mut end).await;
            None
        };
        match smol::future::or(ended, record).await {
            Some(record) => writer.write(&record)?,
            None => return Ok(()),
        }
    }
}
