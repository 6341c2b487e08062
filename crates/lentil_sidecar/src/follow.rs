//! Puts documents in force as an agent finds them.

use lentil_control::AppliedDocument;
use lentil_policy::{config_sync::Doc, poison};
use smol::channel::Receiver;

use crate::Control;

/// Puts documents in force until the agent is gone. A text that cannot be read
/// leaves the one before in force.
pub async fn follow(control: Control, applied: Receiver<AppliedDocument>) {
    while let Ok(next) = applied.recv().await {
        match next.doc {
            Doc::Config => apply_text(&control, &next).await,
            Doc::Poison => apply_poison(&control, &next).await,
            Doc::Drain => {}
        }
    }
}

async fn apply_text(control: &Control, next: &AppliedDocument) {
    match next.market() {
        Ok(config) => drop(control.set_config(next.config_version(), &config).await),
        Err(error) => log::error!(version:% = next.config_version(); "not in force: {error}"),
    }
}

async fn apply_poison(control: &Control, next: &AppliedDocument) {
    match poison::Document::parse(&next.value) {
        Ok(document) => {
            for entry in document.entries {
                control.crashed(entry.fingerprint, entry.crashes).await;
            }
        }
        Err(error) => log::error!(version = next.version.0; "not in force: {error}"),
    }
}
