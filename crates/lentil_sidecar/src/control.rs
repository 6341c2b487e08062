//! Control handle of a sidecar.

use std::sync::Arc;

use lentil_config::Config;
use lentil_policy::sidecar;
use lentil_types::{ConfigVersion, FencingNumber, Fingerprint};
use smol::channel::Sender;

use crate::{driver::Input, orders::Orders, state::State};

/// Applies configuration, crash records and fencing numbers to a running sidecar.
/// Clones act on the same sidecar.
#[derive(Clone)]
pub struct Control {
    pub(crate) state: Arc<State>,
    pub(crate) events: Sender<Input>,
    pub(crate) orders: Arc<Orders>,
}

impl Control {
    /// Configuration version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.state.config().0
    }

    /// Configuration in force; `None` before the first.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.state.config().1
    }

    /// Records how often a fingerprint crashed engines. After one crash its
    /// requests run alone, after two they are refused.
    pub async fn crashed(&self, fingerprint: Fingerprint, crashes: u32) {
        let event = sidecar::Event::Crashed {
            fingerprint,
            crashes,
        };
        // Fails only when the sidecar is gone.
        let _ = self.events.send(Input::Event(event)).await;
    }

    /// Accepts only orders whose fencing number is at least this one.
    pub fn learn_fencing(&self, number: FencingNumber) {
        self.orders.learn_fencing(number);
    }

    /// Applies a configuration if its version is higher than the one in force;
    /// returns whether it did.
    pub async fn set_config(&self, version: ConfigVersion, config: &Arc<Config>) -> bool {
        if !self.state.replace(version, config.clone()) {
            return false;
        }
        let shares = config.shares();
        for event in [
            sidecar::Event::Shares(shares),
            sidecar::Event::Config(version),
        ] {
            // Fails only when the sidecar is gone.
            let _ = self.events.send(Input::Event(event)).await;
        }
        log::info!(version:% = version; "configuration in force");
        true
    }
}
