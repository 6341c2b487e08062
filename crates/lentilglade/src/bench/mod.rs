//! What entry and sidecar add to a request, on loopback.
//!
//! The same stand-in engine is called directly and through an entry and a
//! sidecar, by the same client in the same process. Differences are what the
//! two add.

mod client;
mod figures;

use std::{fmt::Write as _, time};

use lentil_config::Config;
use lentil_fakes::EngineSettings;

use crate::Demo;

pub use client::BenchError;
use client::Target;
pub use figures::Figures;

/// The market of a benchmark.
const MARKET: &str = include_str!("market.toml");

/// Settings of a benchmark.
#[derive(Clone, Copy, Debug)]
pub struct BenchSettings {
    /// Requests of each run.
    pub requests: usize,
    /// Requests at once in the runs under load.
    pub connections: usize,
    /// Words of each answer.
    pub words: usize,
    /// Longest time of each run.
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

/// One pair of runs: direct, and through entry and sidecar.
#[derive(Debug)]
pub struct Pair {
    /// What was asked.
    pub name: String,
    /// At the stand-in.
    pub direct: Figures,
    /// At the entry.
    pub routed: Figures,
}

/// Runs every pair.
///
/// # Errors
/// [`BenchError`] when a part cannot start or a request fails.
pub async fn run(settings: BenchSettings) -> Result<Vec<Pair>, BenchError> {
    let market = Config::parse(MARKET).map_err(BenchError::Market)?;
    let engine = EngineSettings {
        words: settings.words,
        pace: time::Duration::ZERO,
        prefill: time::Duration::ZERO,
        slots: settings.connections,
        ..EngineSettings::default()
    };
    let demo = Demo::with_engine(market, &engine)
        .await
        .map_err(BenchError::Demo)?;
    let mut pairs = Vec::new();
    for (connections, load) in [(1, "one at a time"), (settings.connections, "under load")] {
        for (stream, kind) in [(true, "streamed"), (false, "whole")] {
            let name = format!("{kind}, {load}");
            let direct = Target::engine(demo.engines());
            let routed = Target::entry(demo.address(), stream);
            // Connections and caches are warm before anything counts.
            for target in [&direct, &routed] {
                client::drive(target, connections, connections, settings.limit).await?;
            }
            let (requests, limit) = (settings.requests, settings.limit);
            pairs.push(Pair {
                name,
                direct: client::drive(&direct, requests, connections, limit).await?,
                routed: client::drive(&routed, requests, connections, limit).await?,
            });
        }
    }
    Ok(pairs)
}

/// The figures of every pair, and what entry and sidecar add.
pub fn table(pairs: &[Pair]) -> String {
    let mut table = String::new();
    let head = [
        "first p50",
        "first p99",
        "whole p50",
        "whole p99",
        "cpu each",
    ];
    let head: String = head.iter().map(|name| format!("{name:>12}")).collect();
    // Writing to a string cannot fail.
    let _ = writeln!(
        table,
        "{:<38}{head}{:>12}   (microseconds)",
        "", "requests/s"
    );
    for pair in pairs {
        for (name, figures) in [("direct", &pair.direct), ("routed", &pair.routed)] {
            let row: String = times(figures)
                .iter()
                .map(|us| format!("{us:>12}"))
                .collect();
            let rate = figures.requests as f64 / figures.took.as_secs_f64();
            let _ = writeln!(table, "{:<30}{name:<8}{row}{rate:>12.0}", pair.name);
        }
        let added = times(&pair.routed).into_iter().zip(times(&pair.direct));
        let row: String = added
            .map(|(routed, direct)| format!("{:>12}", routed - direct))
            .collect();
        let _ = writeln!(table, "{:<30}{:<8}{row}", pair.name, "added");
        let cpu = pair
            .routed
            .cpu_each()
            .saturating_sub(pair.direct.cpu_each());
        let rate = 1.0 / cpu.as_secs_f64();
        let _ = writeln!(
            table,
            "{:<30}{rate:.0} requests/s a core of entry and sidecar",
            ""
        );
    }
    table
}

fn times(figures: &Figures) -> [i64; 5] {
    [
        figures.first(0.5),
        figures.first(0.99),
        figures.whole(0.5),
        figures.whole(0.99),
        figures.cpu_each(),
    ]
    .map(|time| time.as_micros() as i64)
}
