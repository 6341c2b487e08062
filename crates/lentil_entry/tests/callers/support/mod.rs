//! Runs an entry with a scripted sidecar, and a caller that writes raw HTTP.

mod caller;
mod runner;

use std::{net, sync::Arc};

use lentil_config::Config;
use lentil_entry::{Entry, Limits, NoStore, Settings};
use lentil_process::metrics::Metrics;
use lentil_types::{ConfigVersion, NodeName};
use lentil_wire::Identity;

pub use caller::{Caller, Response};
pub use runner::{Event, Runner, Script, Step};

/// API key of the team that the tests use.
pub const KEY: &str = "demo-recycler-a";
/// Generous timeout of a test.
const TEST_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(60);

/// An entry with one scripted sidecar that serves both services.
pub struct Bench {
    pub entry: Entry,
    pub runner: Runner,
}

impl Bench {
    pub async fn start(script: Script) -> Self {
        Self::with_limits(script, Limits::default()).await
    }

    pub async fn with_limits(script: Script, limits: Limits) -> Self {
        let runner = Runner::start(script).await;
        let entry = Entry::start(Settings {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            identity: identity("entry-1"),
            place: None,
            version: ConfigVersion(1),
            config: Arc::new(config(runner.addresses, "")),
            store: Arc::new(NoStore),
            limits,
            metrics: Metrics::local(),
        });
        let entry = entry.await.expect("the entry listens");
        Self { entry, runner }
    }

    pub async fn caller(&self) -> Caller {
        Caller::connect(self.entry.address()).await
    }

    /// Sends one request on its own connection.
    pub async fn call(&self, method: &str, path: &str, headers: &str, body: &[u8]) -> Response {
        let mut caller = self.caller().await;
        caller.request(method, path, headers, body).await;
        caller.response().await
    }

    pub async fn chat(&self, body: &serde_json::Value) -> Response {
        let body = body.to_string();
        self.call("POST", "/v1/chat/completions", &auth(), body.as_bytes())
            .await
    }
}

pub fn auth() -> String {
    format!("authorization: Bearer {KEY}\r\n")
}

pub fn identity(node: &str) -> Identity {
    Identity {
        node: NodeName::new(node).expect("a valid name"),
        key: "the key of a test on loopback"
            .parse()
            .expect("long enough"),
    }
}

/// A configuration with one engine service and one plain service, plus `extra` TOML.
pub fn config([engine, plain]: [net::SocketAddr; 2], extra: &str) -> Config {
    let text = format!(
        r#"
region = "nw-georgia"

[[place]]
name = "hall-intake"

[[model]]
name = "sortmind-7b"
service = "sortmind"
weights = 1

[[service]]
name = "sortmind"
kind = "engine"
runners = [{{ name = "sortmind-1", place = "hall-intake", address = "{engine}" }}]

[[service]]
name = "dockdesk"
kind = "plain"
class = "urgent"
once = [{{ method = "POST", path = "/release" }}]
runners = [{{ name = "dockdesk-1", place = "hall-intake", address = "{plain}" }}]

[[team]]
name = "recycler-a"
scope = "recycler-a"
keys = ["a1a843c9830b6c56a5c2cf908be5dbc558490438bef75b0e8fc52e7bc89f963a"]

[[team]]
name = "recycler-b"
scope = "recycler-b"
keys = ["835e667fb619b6c2cc61bdd1233ac7f845b6ffe9c454ecd2618675b68a990bb2"]
{extra}"#
    );
    Config::parse(&text).expect("a valid text")
}

/// Runs a test within [`TEST_TIMEOUT`].
pub fn run(test: impl Future<Output = ()>) {
    smol::block_on(with_timeout(test));
}

/// Panics if `work` does not end within [`TEST_TIMEOUT`].
pub async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    let timeout = async {
        smol::Timer::after(TEST_TIMEOUT).await;
        panic!("nothing happened within {TEST_TIMEOUT:?}");
    };
    smol::future::or(work, timeout).await
}

/// Polls until `condition` holds.
pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        smol::Timer::after(std::time::Duration::from_millis(1)).await;
    }
}
