//! A scripted sidecar.

use std::{net, sync::Arc, time};

use lentil_policy::protocol;
use lentil_types::{AttemptId, BootId, FailReason, Outcome, Pieces, RunnerState, WeightsVersion};
use lentil_wire::{Exchange, Message, Peer};
use smol::channel::{Receiver, Sender};

use crate::support::identity;

const BOOT: BootId = BootId(1);

/// Step of a scripted sidecar.
pub enum Step {
    Head(u16, Vec<(&'static str, &'static str)>),
    Piece(Vec<u8>),
    /// Wait until the other end of the channel is dropped or sends.
    Wait(Receiver<()>),
    End(protocol::Usage),
    Fail(Outcome, FailReason, Option<time::Duration>),
    /// Send nothing more until the entry ends the exchange.
    Hold,
}

/// The steps with which a scripted sidecar answers a dispatch.
pub type Script = Box<dyn Fn(&protocol::Dispatch) -> Vec<Step> + Send + Sync>;

/// What a scripted sidecar received or sent.
#[derive(Debug)]
pub enum Event {
    Dispatch(Box<protocol::Dispatch>),
    /// The entry cancelled the attempt or closed its exchange.
    Cancelled,
    Sent,
}

/// A scripted sidecar at two addresses, one for each service. It stops when
/// dropped.
pub struct Runner {
    pub addresses: [net::SocketAddr; 2],
    pub events: Receiver<Event>,
    _servers: [smol::Task<()>; 2],
}

impl Runner {
    pub async fn start(script: Script) -> Self {
        let (sender, events) = smol::channel::unbounded();
        let script = Arc::new(script);
        let (engine, plain) = (bind().await, bind().await);
        let addresses = [&engine, &plain].map(|it| it.local_addr().expect("it is bound"));
        let servers =
            [engine, plain].map(|it| smol::spawn(listen(it, script.clone(), sender.clone())));
        Self {
            addresses,
            events,
            _servers: servers,
        }
    }

    pub async fn dispatch(&self) -> Box<protocol::Dispatch> {
        loop {
            if let Event::Dispatch(dispatch) = self.next().await {
                return dispatch;
            }
        }
    }

    /// Waits until an attempt is cancelled.
    pub async fn cancelled(&self) {
        while !matches!(self.next().await, Event::Cancelled) {}
    }

    async fn next(&self) -> Event {
        self.events.recv().await.expect("the runner runs")
    }
}

async fn bind() -> smol::net::TcpListener {
    let listener = smol::net::TcpListener::bind("127.0.0.1:0").await;
    listener.expect("loopback can be bound")
}

async fn listen(listener: smol::net::TcpListener, script: Arc<Script>, events: Sender<Event>) {
    let mut peers = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (script, events) = (script.clone(), events.clone());
        peers.push(smol::spawn(async move {
            let peer = Peer::accept(stream, &identity("sidecar-1")).await;
            let mut peer = peer.expect("the entry has the fleet key");
            while let Ok(Some(exchange)) = peer.next().await {
                smol::spawn(serve(exchange, script.clone(), events.clone())).detach();
            }
        }));
    }
}

async fn serve(mut exchange: Exchange, script: Arc<Script>, events: Sender<Event>) {
    match exchange.receiver.recv().await {
        Ok(Some(Message::Offer(offer))) => {
            let bid = protocol::Bid {
                id: offer.id,
                cached: Pieces(0),
                wait: time::Duration::ZERO,
                load: load(),
            };
            let _ = exchange.sender.send(Message::Bid(bid)).await;
            exchange.sender.finish();
        }
        Ok(Some(Message::Dispatch(dispatch))) => {
            let steps = script(&dispatch);
            let id = dispatch.offer.id;
            let offset = dispatch.resume.as_ref().map_or(0, |resume| resume.offset);
            let _ = events.send(Event::Dispatch(dispatch)).await;
            run(exchange, id, offset, steps, &events).await;
        }
        _ => {}
    }
}

async fn run(
    exchange: Exchange,
    id: AttemptId,
    mut offset: u64,
    steps: Vec<Step>,
    events: &Sender<Event>,
) {
    let Exchange {
        mut sender,
        mut receiver,
    } = exchange;
    let play = async {
        for step in steps {
            let message = match step {
                Step::Head(status, headers) => started(id, status, &headers),
                Step::Piece(data) => {
                    offset += 1;
                    piece(id, offset - 1, data)
                }
                Step::Wait(released) => {
                    let _ = released.recv().await;
                    continue;
                }
                Step::End(usage) => end(id, offset, usage),
                Step::Fail(outcome, reason, retry) => failed(id, outcome, reason, retry),
                Step::Hold => smol::future::pending().await,
            };
            if sender.send(message).await.is_err() {
                break;
            }
            let _ = events.send(Event::Sent).await;
        }
        sender.finish();
        true
    };
    let watch = async {
        // A cancellation, the end of the stream or its reset.
        let _ = receiver.recv().await;
        false
    };
    if !smol::future::or(play, watch).await {
        let _ = events.send(Event::Cancelled).await;
    }
}

fn started(id: AttemptId, status: u16, headers: &[(&str, &str)]) -> Message {
    let header = |(name, value): &(&str, &str)| protocol::Header {
        name: (*name).to_owned(),
        value: (*value).to_owned(),
    };
    Message::Started(protocol::Started {
        id,
        cached: Pieces(0),
        status,
        headers: headers.iter().map(header).collect(),
        load: load(),
    })
}

fn piece(id: AttemptId, offset: u64, data: Vec<u8>) -> Message {
    Message::Piece(protocol::Piece {
        id,
        boot: BOOT,
        offset,
        text: String::new(),
        data,
    })
}

fn end(id: AttemptId, offset: u64, usage: protocol::Usage) -> Message {
    Message::End(protocol::End {
        id,
        boot: BOOT,
        offset,
        usage,
        load: load(),
    })
}

fn failed(
    id: AttemptId,
    outcome: Outcome,
    reason: FailReason,
    retry: Option<time::Duration>,
) -> Message {
    Message::Failed(protocol::Failed {
        id,
        outcome,
        reason,
        retry,
        load: load(),
    })
}

fn load() -> protocol::Load {
    protocol::Load {
        boot: BOOT,
        weights: WeightsVersion(1),
        state: RunnerState::Live,
        ..protocol::Load::default()
    }
}
