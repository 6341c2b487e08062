//! Counters and timings, sent as StatsD and shown in the state dump.

mod histograms;

use std::{
    io, net,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use cadence::{Counted as _, Gauged as _, Timed as _};
use strum::{EnumCount as _, IntoEnumIterator as _};

/// Something that is counted.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Counter {
    /// Requests that callers sent.
    Requests,
    /// Requests refused before they reached the policy.
    RequestsRefused,
    /// Requests with a whole answer.
    OutcomeDone,
    /// Requests that were proved not to have run.
    OutcomeNotRun,
    /// Requests of which it is unknown whether they ran.
    OutcomeUnknown,
    /// Attempts sent to a runner.
    Attempts,
    /// Attempts after the first of their request.
    Retries,
    /// Offers sent to a runner.
    Offers,
    /// Bids that came in time.
    Bids,
    /// Pieces of answers passed on.
    Pieces,
    /// Answers dropped because their attempt was over.
    LateAnswers,
    /// Callers that hung up.
    CallersGone,
    /// Streams that went on at another attempt.
    StreamsResumed,
    /// Requests refused because they crashed engines.
    PoisonRefused,
    /// Times that the backend server went down.
    EngineCrashes,
    /// Fingerprints that ran when an engine died, as sidecars told.
    CrashNotices,
    /// Cache events whose numbers had a gap.
    CacheGaps,
    /// Peers that did not have the fleet key.
    Strangers,
    /// Calls to the platform's object API.
    StoreCalls,
    /// Of these, lists of a whole kind.
    StoreLists,
    /// Of these, watches for changes.
    StoreWatches,
    /// Calls to the object API without an answer.
    StoreLost,
    /// Configurations put in force.
    ConfigChanges,
    /// Documents of the store that could not be used.
    DocumentsUnusable,
    /// Retries that the budget did not allow.
    RetriesDenied,
    /// Attempts that gave nothing, or nothing more, to their caller.
    AttemptsFailed,
    /// Requests that a runner proved not to have run.
    RunnerRefusals,
    /// Streams that ended before their last event.
    StreamsCut,
    /// Connections opened to runners.
    ConnectionsOpened,
    /// Orders given to a runner.
    Orders,
    /// Agents asked how their runners are.
    AgentsAsked,
    /// Answers of a router's own because it knows no configuration.
    OwnNoConfiguration,
    /// Answers of a router's own because no route matches.
    OwnNoRoute,
    /// Answers of a router's own because the key belongs to no team.
    OwnUnknownKey,
    /// Answers of a router's own because the request killed runners.
    OwnPoison,
    /// Answers of a router's own because no runner may take requests.
    OwnNoRunner,
    /// Answers of a router's own because every runner would answer too late.
    OwnTooLate,
    /// Answers of a router's own because the runner refused the request.
    OwnRefused,
    /// Answers of a router's own because no runner could be reached.
    OwnUnreachable,
    /// Answers of a router's own because the runner failed.
    OwnRunnerFailed,
    /// Answers of a router's own because the time was over.
    OwnTimedOut,
    /// Log lines left out to bound their volume.
    LinesDropped,
}

/// Something that is timed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Timing {
    /// From a request to the first piece of its answer, in milliseconds.
    FirstPiece,
    /// From a request to the end of its answer, in milliseconds.
    WholeAnswer,
    /// In a sidecar's queue, in milliseconds.
    QueueWait,
}

/// Something that is measured now and then.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Requests in flight.
    InFlight,
    /// Requests that wait at a sidecar.
    Queued,
    /// Version of the configuration in force.
    ConfigVersion,
}

/// Settings of the metrics.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where StatsD datagrams go; nowhere when it is missing.
    pub statsd: Option<net::SocketAddr>,
    /// What every name begins with.
    pub prefix: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "lentilglade".to_owned(),
        }
    }
}

/// Counters and timings of one process. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<cadence::StatsdClient>,
    counts: Arc<[AtomicU64; Counter::COUNT]>,
    histograms: Arc<histograms::Histograms>,
}

impl Metrics {
    /// Metrics that go where `settings` says.
    ///
    /// # Errors
    /// An I/O error when no socket can be opened.
    pub fn new(settings: &Settings) -> io::Result<Self> {
        let prefix = settings.prefix.as_str();
        let client = match settings.statsd {
            None => cadence::StatsdClient::from_sink(prefix, cadence::NopMetricSink),
            Some(address) => {
                let socket = net::UdpSocket::bind(unspecified(address))?;
                socket.set_nonblocking(true)?;
                let sink = cadence::BufferedUdpMetricSink::from(address, socket)
                    .map_err(io::Error::other)?;
                cadence::StatsdClient::from_sink(prefix, cadence::QueuingMetricSink::from(sink))
            }
        };
        let counts = Arc::new(std::array::from_fn(|_| AtomicU64::new(0)));
        Ok(Self {
            client: Arc::new(client),
            counts,
            histograms: Arc::default(),
        })
    }

    /// Metrics that are only counted for the state dump.
    pub fn local() -> Self {
        let client = cadence::StatsdClient::from_sink("", cadence::NopMetricSink);
        let counts = Arc::new(std::array::from_fn(|_| AtomicU64::new(0)));
        Self {
            client: Arc::new(client),
            counts,
            histograms: Arc::default(),
        }
    }

    /// Counts one more.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts `more` more.
    pub fn add(&self, counter: Counter, more: u64) {
        self.counts[counter as usize].fetch_add(more, Ordering::Relaxed);
        // A datagram that cannot be sent is not worth a failure.
        let _ = self.client.count(counter.into(), more);
    }

    /// Reports how long something took.
    pub fn time(&self, timing: Timing, took: time::Duration) {
        self.histograms.record(timing, took);
        let _ = self.client.time(timing.into(), took);
    }

    /// Reports how much there is of something now.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge.into(), value);
    }

    /// What was counted since the process began.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// Every counter and timing as lines of text: name and value.
    pub fn text(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::new();
        // Writing into memory cannot fail.
        for counter in Counter::iter() {
            let _ = writeln!(text, "lentilglade_{counter}_total {}", self.get(counter));
        }
        let used = processor_time().as_millis();
        let _ = writeln!(text, "lentilglade_processor_milliseconds_total {used}");
        for timing in Timing::iter() {
            self.histograms.write(timing, &mut text);
        }
        text
    }

    /// Every counter, for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let row = |counter: Counter| (counter.to_string(), self.get(counter).into());
        serde_json::Value::Object(Counter::iter().map(row).collect())
    }
}

/// Processor time of this process since it began.
fn processor_time() -> time::Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    // The clock begins at zero and never goes back.
    time::Duration::try_from(used).unwrap_or_default()
}

fn unspecified(target: net::SocketAddr) -> net::SocketAddr {
    match target {
        net::SocketAddr::V4(_) => (net::Ipv4Addr::UNSPECIFIED, 0).into(),
        net::SocketAddr::V6(_) => (net::Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}
