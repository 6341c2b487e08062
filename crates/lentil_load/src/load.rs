//! Sends a trace.

use std::{net, sync::Arc, time};

use lentil_trace::Record;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::{Answer, Report, caller};

/// Settings of a [`Load`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of an entry on this machine.
    pub entry: net::SocketAddr,
    /// What a team's API key begins with; the team's name follows.
    pub key_prefix: String,
    /// How many times faster than recorded requests are sent.
    pub speed: f64,
    /// Most requests that are sent.
    pub requests: usize,
    /// Longest time in which requests are sent.
    pub span: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entry: net::SocketAddr::from(([127, 0, 0, 1], 8080)),
            key_prefix: "demo-".to_owned(),
            speed: 1.0,
            requests: 10_000,
            span: time::Duration::from_secs(60),
        }
    }
}

/// A load cannot be run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum LoadError {
    /// The entry is not on this machine.
    #[error("{0} is not a loopback address; load is sent to this machine only")]
    NotLoopback(net::SocketAddr),
    /// The speed is not a positive number.
    #[error("the speed {0} is not a positive number")]
    Speed(f64),
}

/// Sends a trace to an entry.
pub struct Load {
    settings: Settings,
    caller: Arc<caller::Caller>,
}

impl Load {
    /// A load tool with these settings.
    ///
    /// # Errors
    /// [`LoadError`] when the entry is not on this machine or the speed is not a
    /// positive number.
    pub fn new(settings: Settings) -> Result<Self, LoadError> {
        if !settings.entry.ip().is_loopback() {
            return Err(LoadError::NotLoopback(settings.entry));
        }
        if !(settings.speed.is_finite() && settings.speed > 0.0) {
            return Err(LoadError::Speed(settings.speed));
        }
        let caller = caller::Caller {
            client: Client::new(ClientConfig::new().with_nodelay(true)).with_default_pool(),
            base: format!("http://{}", settings.entry),
            key_prefix: settings.key_prefix.clone(),
        };
        Ok(Self {
            settings,
            caller: Arc::new(caller),
        })
    }

    /// Sends the records at their times, each whether or not earlier ones have
    /// been answered, and waits for every answer.
    pub async fn run(&self, records: &[Record]) -> Report {
        let begin = time::Instant::now();
        let mut calls: Vec<smol::Task<Answer>> = Vec::new();
        let first = records.first().map(|record| record.at).unwrap_or_default();
        for record in records.iter().take(self.settings.requests) {
            let at = record.at.since(first).div_f64(self.settings.speed);
            if at > self.settings.span {
                break;
            }
            smol::Timer::at(begin + at).await;
            let (caller, record) = (self.caller.clone(), record.clone());
            calls.push(smol::spawn(async move { caller.call(&record).await }));
        }
        let mut answers = Vec::with_capacity(calls.len());
        for call in calls {
            answers.push(call.await);
        }
        Report::new(&answers, begin.elapsed())
    }
}
