//! Configuration from outside the process.

use std::sync::Arc;

use lentil_config::Config;
use lentil_policy::sidecar;
use lentil_types::{ConfigVersion, FencingNumber, Fingerprint};
use smol::channel::Sender;

use crate::{driver::Input, orders::Orders, state::State};

/// A handle that changes what a running sidecar works with. Clones act on the
/// same sidecar.
#[derive(Clone)]
pub struct Control {
    pub(crate) state: Arc<State>,
    pub(crate) events: Sender<Input>,
    pub(crate) orders: Arc<Orders>,
}

impl Control {
    /// The version in force; 0 when no text is known yet.
    pub fn version(&self) -> ConfigVersion {
        self.state.config().0
    }

    /// The text in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state.config().1
    }

    /// A fingerprint crashed engines: after one crash it runs alone, after two
    /// it is refused.
    pub async fn crashed(&self, fingerprint: Fingerprint, crashes: u32) {
        let event = sidecar::Event::Crashed {
            fingerprint,
            crashes,
        };
        // It fails only when the sidecar is gone.
        let _ = self.events.send(Input::Event(event)).await;
    }

    /// Passes orders on whose fencing number is at least this one.
    pub fn learn_fencing(&self, number: FencingNumber) {
        self.orders.learn(number);
    }

    /// Puts a text in force when its version is higher than the one in force,
    /// and returns whether it did.
    pub async fn set_config(&self, version: ConfigVersion, config: &Arc<Config>) -> bool {
        if !self.state.replace(version, config.clone()) {
            return false;
        }
        let shares = config.shares();
        for event in [
            sidecar::Event::Shares(shares),
            sidecar::Event::Config(version),
        ] {
            // It fails only when the sidecar is gone.
            let _ = self.events.send(Input::Event(event)).await;
        }
        log::info!(version:% = version; "configuration in force");
        true
    }
}
