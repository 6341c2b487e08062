//! Measures the overhead of entry and sidecar per request, on loopback.
//!
//! The same client in the same process calls the same engine stand-ins directly and
//! through an entry and a sidecar. The difference is the overhead.

mod client;
mod stats;

use std::{fmt::Write as _, time};

use lentil_config::Config;
use lentil_fakes::EngineSettings;

use crate::Demo;

pub use client::BenchError;
use client::Target;
pub use stats::RunStats;

/// The configuration of a benchmark.
const CONFIG_TEXT: &str = include_str!("market.toml");

/// Settings of a benchmark.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// Requests per run.
    pub requests: usize,
    /// Concurrent requests in the runs under load.
    pub connections: usize,
    /// Words per answer.
    pub words: usize,
    /// Longest duration of a run.
    pub limit: time::Duration,
}

impl Default for BenchSettings {
    fn default() -> Self {
        Self {
            requests: 2_000,
            connections: 32,
            words: 32,
            limit: time::Duration::from_secs(30),
        }
    }
}

/// Two runs of the same requests: direct, and through entry and sidecar.
#[derive(Debug)]
pub struct Pair {
    /// Kind of request and load, as printed.
    pub name: String,
    /// Results of calling the stand-ins directly.
    pub direct: RunStats,
    /// Results of calling the entry.
    pub routed: RunStats,
}

/// Runs the benchmark.
///
/// # Errors
/// [`BenchError`] when a part cannot start or a request fails.
pub async fn run(settings: BenchSettings) -> Result<Vec<Pair>, BenchError> {
    let config = Config::parse(CONFIG_TEXT).map_err(BenchError::Config)?;
    let engine = EngineSettings {
        words: settings.words,
        pace: time::Duration::ZERO,
        prefill: time::Duration::ZERO,
        slots: settings.connections,
        ..EngineSettings::default()
    };
    let demo = Demo::with_engine(config, &engine)
        .await
        .map_err(BenchError::Demo)?;
    let mut pairs = Vec::new();
    for (connections, load) in [(1, "one at a time"), (settings.connections, "under load")] {
        for (stream, kind) in [(true, "streamed"), (false, "whole")] {
            let name = format!("{kind}, {load}");
            let direct = Target::engine(demo.engines());
            let routed = Target::entry(demo.address(), stream);
            // Warms up connections and caches before the measurement.
            for target in [&direct, &routed] {
                client::send_all(target, connections, connections, settings.limit).await?;
            }
            let (requests, limit) = (settings.requests, settings.limit);
            pairs.push(Pair {
                name,
                direct: client::send_all(&direct, requests, connections, limit).await?,
                routed: client::send_all(&routed, requests, connections, limit).await?,
            });
        }
    }
    Ok(pairs)
}

/// A table of the results of every pair and of the overhead.
pub fn table(pairs: &[Pair]) -> String {
    let mut table = String::new();
    let columns = [
        "first p50",
        "first p99",
        "whole p50",
        "whole p99",
        "cpu each",
    ];
    let header: String = columns.iter().map(|name| format!("{name:>12}")).collect();
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        table,
        "{:<38}{header}{:>12}   (microseconds)",
        "", "requests/s"
    );
    for pair in pairs {
        for (name, stats) in [("direct", &pair.direct), ("routed", &pair.routed)] {
            let row: String = times(stats).iter().map(|us| format!("{us:>12}")).collect();
            let rate = stats.requests as f64 / stats.elapsed.as_secs_f64();
            let _ = writeln!(table, "{:<30}{name:<8}{row}{rate:>12.0}", pair.name);
        }
        let overhead = times(&pair.routed).into_iter().zip(times(&pair.direct));
        let row: String = overhead
            .map(|(routed, direct)| format!("{:>12}", routed - direct))
            .collect();
        let _ = writeln!(table, "{:<30}{:<8}{row}", pair.name, "added");
        let cpu = pair
            .routed
            .cpu_per_request()
            .saturating_sub(pair.direct.cpu_per_request());
        let rate = 1.0 / cpu.as_secs_f64();
        let _ = writeln!(
            table,
            "{:<30}{rate:.0} requests/s a core of entry and sidecar",
            ""
        );
    }
    table
}

fn times(stats: &RunStats) -> [i64; 5] {
    [
        stats.first_event(0.5),
        stats.first_event(0.99),
        stats.total(0.5),
        stats.total(0.99),
        stats.cpu_per_request(),
    ]
    .map(|time| time.as_micros() as i64)
}
