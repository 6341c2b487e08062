//! Updates a running entry with new versions of the configuration and with
//! fingerprints of requests that crash engines.

use std::sync::Arc;

use lentil_config::Config;
use lentil_policy::entry;
use lentil_types::{ConfigVersion, Fingerprint};
use smol::channel::Sender;

use crate::{driver::Input, links::Links, runners, state::State};

/// A handle that updates a running entry. Clones act on the same entry.
#[derive(Clone)]
pub struct Control {
    pub(crate) state: Arc<State>,
    pub(crate) links: Arc<Links>,
    pub(crate) inputs: Sender<Input>,
}

impl Control {
    /// Version of the configuration in force; 0 when none is known yet.
    pub fn version(&self) -> ConfigVersion {
        self.state.current().version
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.state.current().config.clone()
    }

    /// Applies a configuration if its version is higher than the one in force,
    /// and returns whether it did. Requests in flight keep the version that they
    /// were checked against.
    pub fn set_config(&self, version: ConfigVersion, config: &Arc<Config>) -> bool {
        if !self.state.replace(version, config.clone()) {
            return false;
        }
        self.links.update(config);
        self.send(entry::Event::Objective(config.objective));
        self.send(entry::Event::Runners(runners::of_config(config)));
        log::info!(version:% = version; "configuration in force");
        true
    }

    /// Reports a fingerprint that crashed engines: after one crash it runs alone,
    /// after two it is refused.
    pub fn report_crashes(&self, fingerprint: Fingerprint, crashes: u32) {
        self.send(entry::Event::Crashed {
            fingerprint,
            crashes,
        });
    }

    fn send(&self, event: entry::Event) {
        // The channel is unbounded, so this fails only when the entry is gone.
        let _ = self.inputs.try_send(Input::Event(event));
    }
}
