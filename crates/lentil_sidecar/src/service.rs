//! Accepts connections from entries and serves their exchanges.

use std::{
    net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use lentil_policy::sidecar;
use lentil_process::{
    Clock,
    metrics::{Counter, Metrics},
};
use lentil_types::FailReason;
use lentil_wire::{Exchange, Identity, Message, Peer, Receiver, RefusalLog, Sender, WireError};
use smol::{
    channel,
    net::{TcpListener, TcpStream},
};

use crate::{driver::Input, links::Outgoing, orders::Orders};

/// Maximum open connections, including unauthenticated ones.
const MAX_CONNECTIONS: usize = 4_096;
/// Capacity of an exchange's send queue, in messages.
const MAX_WAITING_MESSAGES: usize = 256;
/// Longest wait at shutdown for connections to close.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Shared by all connections.
pub(crate) struct Service {
    pub(crate) identity: Identity,
    pub(crate) events: channel::Sender<Input>,
    pub(crate) metrics: Metrics,
    pub(crate) clock: Clock,
    pub(crate) refusals: Mutex<RefusalLog>,
    pub(crate) next_link: AtomicU64,
    /// Closed to stop the service.
    pub(crate) closing: channel::Receiver<()>,
    pub(crate) orders: Arc<Orders>,
}

/// Accepts connections until the service closes, then waits at most
/// [`CLOSE_TIMEOUT`] for them to end.
pub(crate) async fn run(service: Arc<Service>, listener: TcpListener) {
    let mut connections: Vec<smol::Task<()>> = Vec::new();
    let closed = async {
        let _ = service.closing.recv().await;
        None
    };
    let mut closed = std::pin::pin!(closed);
    loop {
        connections.retain(|task| !task.is_finished());
        let accepted = async { Some(listener.accept().await) };
        match smol::future::or(&mut closed, accepted).await {
            None => break,
            Some(Ok(_)) if connections.len() >= MAX_CONNECTIONS => {
                log::warn!(limit = MAX_CONNECTIONS; "too many connections; closing a new one");
            }
            Some(Ok((stream, address))) => {
                connections.push(smol::spawn(serve(service.clone(), stream, address.ip())));
            }
            Some(Err(error)) => log::warn!("cannot accept a connection: {error}"),
        }
    }
    drop(listener);
    let ended = async {
        for connection in connections {
            connection.await;
        }
    };
    let timer = async {
        smol::Timer::after(CLOSE_TIMEOUT).await;
    };
    smol::future::or(ended, timer).await;
}

async fn serve(service: Arc<Service>, stream: TcpStream, address: net::IpAddr) {
    match Peer::accept(stream, &service.identity).await {
        Ok(peer) => {
            let node = peer.node().clone();
            if let Err(error) = serve_peer(&service, peer).await {
                log::info!(node:% = node; "the connection of an entry failed: {error}");
            }
        }
        Err(error) => service.report_refusal(address, &error),
    }
}

/// Next event on a connection.
enum Next {
    Exchange(Result<Option<Exchange>, WireError>),
    Closing,
}

async fn serve_peer(service: &Arc<Service>, mut peer: Peer) -> Result<(), WireError> {
    loop {
        let closing = async {
            let _ = service.closing.recv().await;
            Next::Closing
        };
        let next = async { Next::Exchange(peer.next().await) };
        match smol::future::or(closing, next).await {
            Next::Exchange(exchange) => match exchange? {
                Some(exchange) => {
                    smol::spawn(serve_exchange(service.clone(), exchange)).detach();
                }
                None => return Ok(()),
            },
            Next::Closing => break,
        }
    }
    peer.shut_down();
    while let Some(exchange) = peer.next().await? {
        smol::spawn(serve_exchange(service.clone(), exchange)).detach();
    }
    Ok(())
}

async fn serve_exchange(service: Arc<Service>, exchange: Exchange) {
    let link = sidecar::LinkId(service.next_link.fetch_add(1, Ordering::Relaxed));
    let (outbox, outgoing) = channel::bounded(MAX_WAITING_MESSAGES);
    // Weak, because the driver ends the answer by dropping its sender.
    let weak_outbox = outbox.downgrade();
    service.send_input(Input::Opened(link, outbox)).await;
    let Exchange { sender, receiver } = exchange;
    let write = write_messages(sender, outgoing);
    let read = read_messages(&service, link, receiver, weak_outbox);
    let ended: Result<(), WireError> = smol::future::or(write, read).await;
    if let Err(error) = ended {
        log::debug!("an exchange failed: {error}");
    }
    service
        .send_input(Input::Event(sidecar::Event::LinkLost(link)))
        .await;
}

/// Sends the driver's messages to the entry, as fast as the entry reads them.
async fn write_messages(
    mut sender: Sender,
    outgoing: channel::Receiver<Outgoing>,
) -> Result<(), WireError> {
    while let Ok(Outgoing { message, _permit }) = outgoing.recv().await {
        sender.send(message).await?;
    }
    sender.finish();
    Ok(())
}

/// Passes the entry's messages to the driver. Returns only when the exchange
/// fails; [`write_messages`] ends a complete one.
async fn read_messages(
    service: &Service,
    link: sidecar::LinkId,
    mut receiver: Receiver,
    outbox: channel::WeakSender<Outgoing>,
) -> Result<(), WireError> {
    loop {
        let message = match receiver.recv().await {
            Ok(Some(message)) => message,
            Ok(None) => break,
            Err(WireError::UnknownMessage(member)) => {
                log::warn!(member; "an entry sent a message type of a newer version");
                service
                    .send_input(Input::Refuse(link, FailReason::BadRequest))
                    .await;
                continue;
            }
            Err(error) => return Err(error),
        };
        if let Message::Order(order) = message {
            let outcome = service.orders.execute(&order).await;
            let message = Message::Ordered(outcome);
            let answer = Outgoing {
                message,
                _permit: None,
            };
            if let Some(outbox) = outbox.upgrade() {
                let _ = outbox.send(answer).await;
            }
            continue;
        }
        service.send_input(input_of(link, message)?).await;
    }
    service.send_input(Input::HalfClosed(link)).await;
    // Answers may still be in flight.
    smol::future::pending().await
}

fn input_of(link: sidecar::LinkId, message: Message) -> Result<Input, WireError> {
    use sidecar::Event;
    Ok(match message {
        Message::Offer(offer) => Input::Event(Event::Offer(link, offer)),
        Message::Dispatch(dispatch) => Input::Event(Event::Dispatch(link, dispatch)),
        Message::Cancel(id) => Input::Event(Event::Cancel(id)),
        Message::Withdraw(id) => Input::Event(Event::Withdraw(link, id)),
        Message::Watch => Input::Watch(link),
        Message::Ask { .. } => Input::QueryLoad(link),
        other => {
            return Err(WireError::Unexpected {
                expected: "a request",
                got: other.name(),
            });
        }
    })
}

impl Service {
    async fn send_input(&self, input: Input) {
        // Fails only when the driver is gone, at process exit.
        let _ = self.events.send(input).await;
    }

    /// Counts a refused connection and logs it, rate-limited by address.
    fn report_refusal(&self, address: net::IpAddr, error: &WireError) {
        self.metrics.count(Counter::Strangers);
        let mut refusals = self.refusals.lock().expect("no holder panics");
        if refusals.should_report(self.clock.now(), address) {
            log::warn!(address:% = address; "refused a connection: {error}");
        }
    }
}
