//! Answers peers.

use std::sync::Arc;

use lentil_process::Clock;
use lentil_wire::{Exchange, Identity, Message, Peer, RefusalLog, Sync, Synced, WireError};
use smol::{
    channel::Sender,
    net::{TcpListener, TcpStream},
};

use crate::worker::Input;

struct Listener {
    identity: Identity,
    inputs: Sender<Input>,
}

/// A peer's question, and the way back to it.
pub(crate) struct Question {
    pub(crate) sync: Sync,
    pub(crate) answer: Sender<Synced>,
}

/// Accepts connections until the task is dropped.
pub(crate) async fn run(
    listener: TcpListener,
    identity: Identity,
    inputs: Sender<Input>,
    clock: Clock,
) {
    let shared = Arc::new(Listener { identity, inputs });
    let mut refusals = RefusalLog::default();
    let mut peers = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                peers.retain(|task: &smol::Task<()>| !task.is_finished());
                let should_report = refusals.should_report(clock.now(), address.ip());
                peers.push(smol::spawn(serve(shared.clone(), stream, should_report)));
            }
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }
}

async fn serve(shared: Arc<Listener>, stream: TcpStream, should_report: bool) {
    match serve_peer(&shared, stream).await {
        Err(error @ WireError::Unauthenticated(_)) if should_report => {
            log::warn!("a peer was refused: {error}")
        }
        Err(error) => log::debug!("a peer was cut off: {error}"),
        Ok(()) => {}
    }
}

async fn serve_peer(shared: &Arc<Listener>, stream: TcpStream) -> Result<(), WireError> {
    let mut peer = Peer::accept(stream, &shared.identity).await?;
    while let Some(exchange) = peer.next().await? {
        smol::spawn(serve_exchange(shared.clone(), exchange)).detach();
    }
    Ok(())
}

async fn serve_exchange(shared: Arc<Listener>, exchange: Exchange) {
    if let Err(error) = answer(&shared, exchange).await {
        log::debug!("a question was not answered: {error}");
    }
}

async fn answer(shared: &Listener, mut exchange: Exchange) -> Result<(), WireError> {
    let sync = match exchange.receiver.recv().await? {
        Some(Message::Sync(sync)) => sync,
        Some(other) => {
            return Err(WireError::Unexpected {
                expected: "sync",
                got: other.name(),
            });
        }
        None => return Ok(()),
    };
    let (answer, answered) = smol::channel::bounded(1);
    let question = Question { sync, answer };
    let _ = shared.inputs.send(Input::Asked(question)).await;
    let synced = answered.recv().await;
    let synced = synced.map_err(|_| WireError::StreamEnded("an agent"))?;
    exchange.sender.send(Message::Synced(synced)).await?;
    exchange.sender.finish();
    Ok(())
}
