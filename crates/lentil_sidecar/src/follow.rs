//! Puts documents in force as an agent finds them.

use lentil_control::Applied;
use lentil_policy::config_sync::Doc;
use smol::channel::Receiver;

use crate::Control;

/// Puts documents in force until the agent is gone. A text that cannot be read
/// leaves the one before in force.
pub async fn follow(control: Control, applied: Receiver<Applied>) {
    while let Ok(next) = applied.recv().await {
        if next.doc != Doc::Config {
            continue;
        }
        match next.market() {
            Ok(market) => drop(control.set_market(next.config(), &market).await),
            Err(error) => log::error!(version:% = next.config(); "not in force: {error}"),
        }
    }
}
