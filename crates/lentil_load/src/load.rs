//! Sends a trace to an entry.

use std::{net, sync::Arc, time};

use lentil_trace::Record;
use trillium_client::Client;
use trillium_smol::ClientConfig;

use crate::{Answer, Report, caller};

/// Settings of a [`Load`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Loopback address of an entry.
    pub entry: net::SocketAddr,
    /// Prefix of a team's API key; the team's name follows.
    pub key_prefix: String,
    /// Factor on the recorded rate of requests.
    pub speed: f64,
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum time of sending.
    pub max_duration: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            entry: net::SocketAddr::from(([127, 0, 0, 1], 8080)),
            key_prefix: "demo-".to_owned(),
            speed: 1.0,
            requests: 10_000,
            max_duration: time::Duration::from_secs(60),
        }
    }
}

/// Settings with which no load can be sent.
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

/// A load generator for one entry.
pub struct Load {
    settings: Settings,
    caller: Arc<caller::Caller>,
}

impl Load {
    /// Checks the settings and creates a load generator.
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
            base_url: format!("http://{}", settings.entry),
            key_prefix: settings.key_prefix.clone(),
        };
        Ok(Self {
            settings,
            caller: Arc::new(caller),
        })
    }

    /// Sends each record at its time, whether or not earlier ones have been
    /// answered, and waits for every answer.
    pub async fn run(&self, records: &[Record]) -> Report {
        let start = time::Instant::now();
        let mut calls: Vec<smol::Task<Answer>> = Vec::new();
        let first = records.first().map(|record| record.at).unwrap_or_default();
        for record in records.iter().take(self.settings.requests) {
            let at = record.at.since(first).div_f64(self.settings.speed);
            if at > self.settings.max_duration {
                break;
            }
            smol::Timer::at(start + at).await;
            let (caller, record) = (self.caller.clone(), record.clone());
            calls.push(smol::spawn(async move { caller.call(&record).await }));
        }
        let mut answers = Vec::with_capacity(calls.len());
        for call in calls {
            answers.push(call.await);
        }
        Report::new(&answers, start.elapsed())
    }
}
