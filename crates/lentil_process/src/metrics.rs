//! Counters, timings and gauges, sent to StatsD; counters also appear in the state
//! dump.

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

/// A counter; its metric is named in snake case.
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
    /// Requests received from callers.
    Requests,
    /// Requests refused before they reached the policy.
    RequestsRefused,
    /// Requests answered completely.
    OutcomeDone,
    /// Requests proven not to have run.
    OutcomeNotRun,
    /// Requests for which it is unknown whether they ran.
    OutcomeUnknown,
    /// Attempts sent to a runner.
    Attempts,
    /// Attempts after a request's first one.
    Retries,
    /// Offers sent to a runner.
    Offers,
    /// Bids received in time.
    Bids,
    /// Pieces of answers forwarded.
    Pieces,
    /// Answers dropped because their attempt had ended.
    LateAnswers,
    /// Callers that disconnected before their answer ended.
    CallersGone,
    /// Streams resumed by another attempt.
    StreamsResumed,
    /// Requests refused because their fingerprint had crashed engines.
    PoisonRefused,
    /// Times that the backend server went down.
    EngineCrashes,
    /// Sidecars' notices of a fingerprint that ran when an engine crashed.
    CrashNotices,
    /// Segments refused because requests with them crash runners.
    SegmentsRefused,
    /// Gaps in the numbers of cache events.
    CacheGaps,
    /// Peers refused in the handshake, e.g. without the fleet key.
    Strangers,
    /// Calls to the platform's object API.
    StoreCalls,
    /// Store calls that list a kind's objects.
    StoreLists,
    /// Store calls that watch for changes.
    StoreWatches,
    /// Store calls that got no answer.
    StoreLost,
    /// Listings because the store came back from an older copy.
    StoreRestored,
    /// Waiting store calls beside which another one was made because they may never be answered.
    WatchesDoubted,
    /// Notices of newer documents from other routers.
    DocumentNotices,
    /// Other routers that were asked for documents and offered none.
    DocumentsNotOffered,
    /// Requests decided by a configuration of which another router is known to have a newer
    /// version.
    DecidedOutdated,
    /// Timers of a process's periodic work that fired late.
    TicksLate,
    /// Configurations applied.
    ConfigChanges,
    /// Unusable documents from the store.
    DocumentsUnusable,
    /// Retries denied by the retry budget.
    RetriesDenied,
    /// Attempts that failed before or during their answer.
    AttemptsFailed,
    /// Requests refused by a runner and proven not to have run.
    RunnerRefusals,
    /// Streams that callers took up again and whose origin was found.
    StreamsTakenUp,
    /// Streams that ended before their last event.
    StreamsCut,
    /// Connections opened to runners.
    ConnectionsOpened,
    /// Orders sent to a runner.
    Orders,
    /// Status queries to agents.
    AgentsAsked,
    /// Runners asked whether they respond before a request that may run once was sent.
    RunnersPinged,
    /// Those of them that did not answer in time, so that another one was chosen.
    PingsUnanswered,
    /// Runners found unresponsive: they owed an answer, and neither they nor their
    /// agents sent anything.
    RunnersUnresponsive,
    /// Probes of unresponsive runners.
    RunnerProbes,
    /// Limits that runners have named, and changes of them.
    LimitsNamed,
    /// Runners that said that they leave.
    RunnersLeaving,
    /// Refusals in which a runner named a time before which to send it nothing.
    RetryAfterNamed,
    /// Invalid announcements of runners.
    AnnouncementsUnusable,
    /// Requests admitted within the limit of their team.
    LimitAdmitted,
    /// Questions to other routers for units of a team's limit, and units given back.
    LimitAsks,
    /// Units of teams' limits lent to other routers, without those given back.
    UnitsLent,
    /// Units of teams' limits borrowed from other routers.
    UnitsBorrowed,
    /// Changes of the learned speed class of a runner.
    SpeedClassChanges,
    /// Requests that a full runner rejected.
    RejectedFull,
    /// Requests that a runner rejected while it changed its weights.
    RejectedChanging,
    /// Requests that a runner rejected with a time before which it wants nothing.
    RejectedDeferred,
    /// Requests rejected because another runner has the address.
    RejectedRunner,
    /// Requests that a runner rejected because it has other weights.
    RejectedVersion,
    /// Requests that a runner rejected because of their deadline.
    RejectedDeadline,
    /// Requests that a runner rejected for any other reason.
    RejectedOther,
    /// Turns to change weights granted to runners.
    TurnsGranted,
    /// Router's own errors: no configuration.
    OwnNoConfiguration,
    /// Router's own errors: no route matches.
    OwnNoRoute,
    /// Router's own errors: the key belongs to no team.
    OwnUnknownKey,
    /// Router's own errors: the team has used its limit.
    OwnOverLimit,
    /// Router's own errors: the request has crashed runners.
    OwnPoison,
    /// Router's own errors: no runner may take requests.
    OwnNoRunner,
    /// Router's own errors: nobody knows where the stream began that is taken up.
    OwnUnknownOrigin,
    /// Router's own errors: every runner has had as many requests as it allows.
    OwnLimited,
    /// Router's own errors: every runner would answer too late.
    OwnTooLate,
    /// Router's own errors: too many requests wait for a runner.
    OwnQueueFull,
    /// Router's own errors: the runner refused the request.
    OwnRefused,
    /// Router's own errors: no runner could be reached.
    OwnUnreachable,
    /// Router's own errors: the runner failed.
    OwnRunnerFailed,
    /// Router's own errors: the deadline passed.
    OwnTimedOut,
    /// Router's own errors: it stops and may be gone before the answer.
    OwnStopping,
    /// Panics that ended a request or a task.
    Panics,
    /// Log lines dropped by the rate limit.
    LinesDropped,
}

/// A measured duration; its metric is named in snake case.
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

/// A sampled value; its metric is named in snake case.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Gauge {
    /// Requests in flight.
    InFlight,
    /// Requests queued at a sidecar.
    Queued,
    /// Version of the configuration in force.
    ConfigVersion,
    /// Time since when another router is known to have a newer configuration, in
    /// milliseconds.
    ConfigLag,
}

/// Settings of the metrics.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the StatsD server; `None` sends nothing.
    pub statsd: Option<net::SocketAddr>,
    /// Prefix of every StatsD metric name.
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

/// Counters, timings and gauges of one process. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<cadence::StatsdClient>,
    counts: Arc<[AtomicU64; Counter::COUNT]>,
    histograms: Arc<histograms::Histograms>,
}

impl Metrics {
    /// Metrics sent to the StatsD server of `settings`, if any.
    ///
    /// # Errors
    /// An I/O error when the UDP socket cannot be opened.
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

    /// Metrics not sent to StatsD.
    pub fn local() -> Self {
        let client = cadence::StatsdClient::from_sink("", cadence::NopMetricSink);
        let counts = Arc::new(std::array::from_fn(|_| AtomicU64::new(0)));
        Self {
            client: Arc::new(client),
            counts,
            histograms: Arc::default(),
        }
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counts[counter as usize].fetch_add(amount, Ordering::Relaxed);
        // Best effort: a datagram that cannot be sent is lost.
        let _ = self.client.count(counter.into(), amount);
    }

    /// Records a duration.
    pub fn time(&self, timing: Timing, duration: time::Duration) {
        self.histograms.record(timing, duration);
        let _ = self.client.time(timing.into(), duration);
    }

    /// Reports the current value of a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        let _ = self.client.gauge(gauge.into(), value);
    }

    /// Count since the process began.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// Counters, timings and CPU time as lines of name and value.
    pub fn text(&self) -> String {
        use std::fmt::Write as _;
        let mut text = String::new();
        // Writing into memory cannot fail.
        for counter in Counter::iter() {
            let _ = writeln!(text, "lentilglade_{counter}_total {}", self.get(counter));
        }
        let cpu_ms = cpu_time().as_millis();
        let _ = writeln!(text, "lentilglade_processor_milliseconds_total {cpu_ms}");
        for timing in Timing::iter() {
            self.histograms.write(timing, &mut text);
        }
        text
    }

    /// All counters, for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let row = |counter: Counter| (counter.to_string(), self.get(counter).into());
        serde_json::Value::Object(Counter::iter().map(row).collect())
    }
}

/// CPU time of this process since it began.
fn cpu_time() -> time::Duration {
    let used = rustix::time::clock_gettime(rustix::time::ClockId::ProcessCPUTime);
    // The clock is never negative.
    time::Duration::try_from(used).unwrap_or_default()
}

/// Wildcard address of `target`'s family, with a free port.
fn unspecified(target: net::SocketAddr) -> net::SocketAddr {
    match target {
        net::SocketAddr::V4(_) => (net::Ipv4Addr::UNSPECIFIED, 0).into(),
        net::SocketAddr::V6(_) => (net::Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}
