//! Applies the documents that an agent receives.

use lentil_control::AppliedDocument;
use lentil_policy::{config_sync::Doc, poison};
use smol::channel::Receiver;

use crate::Control;

/// Applies documents until the agent is gone. One that cannot be parsed is logged,
/// and the previous one stays in force.
pub async fn follow(control: Control, applied: Receiver<AppliedDocument>) {
    while let Ok(next) = applied.recv().await {
        match next.doc {
            Doc::Config => apply_config(&control, &next).await,
            Doc::Poison => apply_poison(&control, &next).await,
            Doc::Drain => {}
        }
    }
}

async fn apply_config(control: &Control, next: &AppliedDocument) {
    match next.market() {
        Ok(config) => drop(control.set_config(next.config_version(), &config).await),
        Err(error) => log::error!(version:% = next.config_version(); "config rejected: {error}"),
    }
}

async fn apply_poison(control: &Control, next: &AppliedDocument) {
    match poison::Document::parse(&next.value) {
        Ok(document) => {
            for entry in document.entries {
                control.crashed(entry.fingerprint, entry.crashes).await;
            }
        }
        Err(error) => log::error!(version = next.version.0; "crash records rejected: {error}"),
    }
}
