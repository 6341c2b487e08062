//! Configuration from outside the process.
//!
//! [`Control`] is what keeps an entry up to date: it puts versions of the
//! operators' text in force and tells of fingerprints that crash engines.

use std::sync::Arc;

use lentil_config::Config;
use lentil_policy::entry;
use lentil_types::{ConfigVersion, Fingerprint};
use smol::channel::Sender;

use crate::{driver::Input, links::Links, runners, state::State};

/// A handle that changes what a running entry works with. Clones act on the
/// same entry.
#[derive(Clone)]
pub struct Control {
    pub(crate) state: Arc<State>,
    pub(crate) links: Arc<Links>,
    pub(crate) inputs: Sender<Input>,
}

impl Control {
    /// The version in force.
    pub fn version(&self) -> ConfigVersion {
        self.state.current().version
    }

    /// The text in force.
    pub fn config(&self) -> Arc<Config> {
        self.state.current().config.clone()
    }

    /// Puts a text in force when its version is higher than the one in force,
    /// and returns whether it did. Requests in flight keep what they were
    /// checked against.
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

    /// A fingerprint crashed engines: after one crash it runs alone, after two
    /// it is refused.
    pub fn report_crashes(&self, fingerprint: Fingerprint, crashes: u32) {
        self.send(entry::Event::Crashed {
            fingerprint,
            crashes,
        });
    }

    fn send(&self, event: entry::Event) {
        // The channel is unbounded: this fails only when the entry is gone.
        let _ = self.inputs.try_send(Input::Event(event));
    }
}
