//! Serves entries.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use lentil_policy::sidecar;
use lentil_wire::{Exchange, Identity, Message, Peer, WireError};
use smol::{
    channel::Sender,
    net::{TcpListener, TcpStream},
};

use crate::driver::Input;

struct Service {
    identity: Identity,
    events: Sender<Input>,
    next_link: AtomicU64,
}

/// Accepts connections until the task is dropped.
pub(crate) async fn run(listener: TcpListener, identity: Identity, events: Sender<Input>) {
    let service = Arc::new(Service {
        identity,
        events,
        next_link: AtomicU64::new(1),
    });
    let mut peers = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                peers.retain(|task: &smol::Task<()>| !task.is_finished());
                peers.push(smol::spawn(serve(service.clone(), stream)));
            }
            Err(error) => log::warn!("cannot accept a connection: {error}"),
        }
    }
}

async fn serve(service: Arc<Service>, stream: TcpStream) {
    if let Err(error) = serve_peer(&service, stream).await {
        log::warn!("a peer was cut off: {error}");
    }
}

async fn serve_peer(service: &Arc<Service>, stream: TcpStream) -> Result<(), WireError> {
    let mut peer = Peer::accept(stream, &service.identity).await?;
    while let Some(exchange) = peer.next().await? {
        smol::spawn(serve_exchange(service.clone(), exchange)).detach();
    }
    Ok(())
}

async fn serve_exchange(service: Arc<Service>, exchange: Exchange) {
    let link = sidecar::LinkId(service.next_link.fetch_add(1, Ordering::Relaxed));
    let (outbox, outgoing) = smol::channel::unbounded();
    let _ = service.events.send(Input::Opened(link, outbox)).await;
    let Exchange {
        mut sender,
        mut receiver,
    } = exchange;
    let write = async {
        while let Ok(message) = outgoing.recv().await {
            sender.send(message).await?;
        }
        sender.finish()
    };
    let read = async {
        while let Some(message) = receiver.recv().await? {
            forward(&service, link, message).await?;
        }
        // The other side has said all; the answer may still be under way.
        smol::future::pending().await
    };
    let ended: Result<(), WireError> = smol::future::or(write, read).await;
    if let Err(error) = ended {
        log::debug!("an exchange broke off: {error}");
    }
    let _ = service
        .events
        .send(Input::Event(sidecar::Event::LinkLost(link)))
        .await;
}

async fn forward(
    service: &Service,
    link: sidecar::LinkId,
    message: Message,
) -> Result<(), WireError> {
    let event = match message {
        Message::Offer(offer) => sidecar::Event::Offer(link, offer),
        Message::Dispatch(dispatch) => sidecar::Event::Dispatch(link, dispatch),
        Message::Cancel(id) => sidecar::Event::Cancel(id),
        Message::Withdraw(id) => sidecar::Event::Withdraw(link, id),
        other => {
            return Err(WireError::Unexpected {
                expected: "a request",
                got: other.name(),
            });
        }
    };
    let _ = service.events.send(Input::Event(event)).await;
    Ok(())
}
