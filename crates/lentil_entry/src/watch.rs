//! Receives a sidecar's notices about requests that crash engines.

use lentil_policy::entry;
use lentil_types::RunnerName;
use lentil_wire::{Link, Message, WireError};
use smol::channel::Sender;

use crate::driver::Input;

/// Reports every fingerprint that was running when the sidecar's engine crashed,
/// until the connection ends.
pub(crate) async fn run(link: Link, runner: RunnerName, inputs: Sender<Input>) {
    if let Err(error) = follow(link, &inputs).await {
        log::debug!(runner:% = runner; "crash notices ended: {error}");
    }
}

async fn follow(link: Link, inputs: &Sender<Input>) -> Result<(), WireError> {
    let mut exchange = link.open().await?;
    drop(link);
    exchange.sender.send(Message::Watch).await?;
    while let Some(message) = exchange.receiver.recv().await? {
        if let Message::Poison(notice) = message {
            let crashed = entry::Event::Crashed {
                fingerprint: notice.fingerprint,
                crashes: notice.crashes,
            };
            // The channel is unbounded, so this fails only when the entry is gone.
            let _ = inputs.try_send(Input::Event(crashed));
        }
    }
    Ok(())
}
