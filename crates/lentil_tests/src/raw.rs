//! An entry's connection to a sidecar, without the entry's policy.

use std::{net, time};

use lentil_policy::protocol;
use lentil_types::{
    Attempt, AttemptId, BootId, Class, Fingerprint, ModelName, RequestId, ServiceName, TeamName,
    Tokens, WeightsVersion,
};
use lentil_wire::{Exchange, Link, Message};

use crate::{MODEL, identity, wait};

/// A connection to a sidecar over which a test sends single messages.
pub struct RawLink(Link);

impl RawLink {
    /// Connects to a sidecar.
    ///
    /// # Panics
    /// When the sidecar refuses the connection.
    pub async fn connect(sidecar: net::SocketAddr) -> Self {
        let link = Link::connect(sidecar, &identity("raw-entry")).await;
        Self(link.expect("the sidecar accepts the connection"))
    }

    /// Sends one message on a stream of its own.
    ///
    /// # Panics
    /// When the connection is closed.
    pub async fn send(&self, message: Message) -> Exchange {
        let mut exchange = self.0.open().await.expect("the connection is open");
        let sent = exchange.sender.send(message).await;
        sent.expect("the message is sent");
        exchange
    }

    /// Sends one message and waits for the first answer.
    ///
    /// # Panics
    /// When no answer arrives.
    pub async fn request(&self, message: Message) -> Message {
        let mut exchange = self.send(message).await;
        let answer = wait::within("an answer on the wire", exchange.receiver.recv()).await;
        let answer = answer.expect("the exchange does not fail");
        answer.expect("an answer comes")
    }

    /// Asks the sidecar for the load of its backend server.
    ///
    /// # Panics
    /// When the sidecar does not answer with it.
    pub async fn load(&self) -> protocol::Load {
        let config = lentil_types::ConfigVersion(0);
        match self
            .request(Message::Ask {
                config,
                want_text: false,
            })
            .await
        {
            Message::Load(load) => load,
            other => panic!("expected a load, got {other:?}"),
        }
    }

    /// Polls the load until `condition` holds.
    pub async fn wait_for_load(&self, what: &str, condition: impl Fn(&protocol::Load) -> bool) {
        let start = time::Instant::now();
        while !condition(&self.load().await) {
            assert!(start.elapsed() < wait::TIMEOUT, "still waiting: {what}");
        }
    }
}

/// An offer of the request with this id.
///
/// # Panics
/// Never: the names are valid.
pub fn offer(request: u128) -> protocol::Offer {
    protocol::Offer {
        id: AttemptId {
            request: RequestId(request),
            attempt: Attempt::FIRST,
        },
        work: protocol::Work {
            service: ServiceName::new("engines").expect("a valid name"),
            model: Some(ModelName::new(MODEL).expect("a valid name")),
            team: TeamName::new("alpha").expect("a valid name"),
            class: Class::Normal,
            weights: WeightsVersion(1),
            pieces: Vec::new().into(),
            prompt: Tokens(10),
            output: Tokens(10),
        },
        budget: time::Duration::from_secs(60),
    }
}

/// A dispatch of the request with this id.
pub fn dispatch(request: u128, boot: Option<BootId>) -> Box<protocol::Dispatch> {
    let body = serde_json::json!({
        "model": MODEL, "stream": true,
        "messages": [{ "role": "user", "content": format!("request {request}") }],
    });
    Box::new(protocol::Dispatch {
        offer: offer(request),
        boot,
        call: protocol::HttpCall {
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: Vec::new(),
            body: body.to_string().into_bytes().into(),
        },
        resume: None,
        once: false,
        key: None,
        fingerprint: Fingerprint(request as u64),
        isolated: false,
        recover: false,
    })
}
