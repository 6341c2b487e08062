//! Accepts peers' connections and answers their sync requests.

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

/// A peer's sync request and the channel for its answer.
pub(crate) struct SyncRequest {
    pub(crate) sync: Sync,
    pub(crate) reply: Sender<Synced>,
}

/// Accepts connections until the task is dropped.
pub(crate) async fn run(tcp: TcpListener, identity: Identity, inputs: Sender<Input>, clock: Clock) {
    let listener = Arc::new(Listener { identity, inputs });
    let mut refusals = RefusalLog::default();
    let mut peers = Vec::new();
    loop {
        match tcp.accept().await {
            Ok((stream, address)) => {
                peers.retain(|task: &smol::Task<()>| !task.is_finished());
                let should_report = refusals.should_report(clock.now(), address.ip());
                peers.push(smol::spawn(serve(listener.clone(), stream, should_report)));
            }
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }
}

async fn serve(listener: Arc<Listener>, stream: TcpStream, should_report: bool) {
    match serve_peer(&listener, stream).await {
        Err(error @ WireError::Unauthenticated(_)) if should_report => {
            log::warn!("refused a peer: {error}");
        }
        Err(error) => log::debug!("a peer's connection ended: {error}"),
        Ok(()) => {}
    }
}

async fn serve_peer(listener: &Arc<Listener>, stream: TcpStream) -> Result<(), WireError> {
    let mut peer = Peer::accept(stream, &listener.identity).await?;
    while let Some(exchange) = peer.next().await? {
        smol::spawn(serve_exchange(listener.clone(), exchange)).detach();
    }
    Ok(())
}

async fn serve_exchange(listener: Arc<Listener>, exchange: Exchange) {
    if let Err(error) = answer(&listener, exchange).await {
        log::debug!("cannot answer a sync request: {error}");
    }
}

async fn answer(listener: &Listener, mut exchange: Exchange) -> Result<(), WireError> {
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
    let (reply, replies) = smol::channel::bounded(1);
    let request = SyncRequest { sync, reply };
    let _ = listener.inputs.send(Input::SyncRequest(request)).await;
    let synced = replies.recv().await;
    let synced = synced.map_err(|_| WireError::StreamEnded("the answer of the agent"))?;
    exchange.sender.send(Message::Synced(synced)).await?;
    exchange.sender.finish();
    Ok(())
}
