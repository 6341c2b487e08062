//! Applies documents as an agent receives them.

use lentil_control::AppliedDocument;
use lentil_policy::{config_sync::Doc, poison};
use smol::channel::Receiver;

use crate::Control;

/// Applies documents until the agent is gone. An invalid document is skipped, and
/// the one before it stays in force.
pub async fn follow(control: Control, applied: Receiver<AppliedDocument>) {
    while let Ok(next) = applied.recv().await {
        match next.doc {
            Doc::Config => apply_config(&control, &next),
            Doc::Poison => apply_poison(&control, &next),
            Doc::Drain => {}
        }
    }
}

fn apply_config(control: &Control, next: &AppliedDocument) {
    match next.market() {
        Ok(config) => drop(control.set_config(next.config_version(), &config)),
        Err(error) => log::error!(version:% = next.config_version(); "config not applied: {error}"),
    }
}

fn apply_poison(control: &Control, next: &AppliedDocument) {
    match poison::Document::parse(&next.value) {
        Ok(document) => {
            for entry in document.entries {
                control.report_crashes(entry.fingerprint, entry.crashes);
            }
        }
        Err(error) => log::error!(version = next.version.0; "poison document not applied: {error}"),
    }
}
