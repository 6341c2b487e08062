//! An entry's side of the wire, without its policy.

use std::{net, time};

use lentil_policy::protocol;
use lentil_types::{
    Attempt, AttemptId, BootId, Class, Fingerprint, ModelName, RequestId, ServiceName, TeamName,
    Tokens, WeightsVersion,
};
use lentil_wire::{Exchange, Link, Message};

use crate::{MODEL, identity, wait};

/// A connection to a sidecar.
pub struct RawLink(Link);

impl RawLink {
    /// Connects to a sidecar.
    ///
    /// # Panics
    /// When it refuses.
    pub async fn connect(sidecar: net::SocketAddr) -> Self {
        let link = Link::connect(sidecar, &identity("raw-entry")).await;
        Self(link.expect("the sidecar takes the connection"))
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
    /// When none comes.
    pub async fn ask(&self, message: Message) -> Message {
        let mut exchange = self.send(message).await;
        let answer = wait::within("an answer on the wire", exchange.receiver.recv()).await;
        let answer = answer.expect("the exchange does not break off");
        answer.expect("an answer comes")
    }

    /// State of the backend server.
    ///
    /// # Panics
    /// When the sidecar does not say it.
    pub async fn load(&self) -> protocol::Load {
        let config = lentil_types::ConfigVersion(0);
        match self
            .ask(Message::Ask {
                config,
                want_text: false,
            })
            .await
        {
            Message::Load(load) => load,
            other => panic!("a load was due, {other:?} came"),
        }
    }

    /// Waits until the backend server's state is as `condition` says.
    pub async fn until_load(&self, what: &str, condition: impl Fn(&protocol::Load) -> bool) {
        let begin = time::Instant::now();
        while !condition(&self.load().await) {
            assert!(begin.elapsed() < wait::TIMEOUT, "still waiting: {what}");
        }
    }
}

/// An offer of the request with this number.
///
/// # Panics
/// Never: the names are well formed.
pub fn offer(request: u128) -> protocol::Offer {
    protocol::Offer {
        id: AttemptId {
            request: RequestId(request),
            attempt: Attempt::FIRST,
        },
        work: protocol::Work {
            service: ServiceName::new("engines").expect("well formed"),
            model: Some(ModelName::new(MODEL).expect("well formed")),
            team: TeamName::new("alpha").expect("well formed"),
            class: Class::Normal,
            weights: WeightsVersion(1),
            pieces: Vec::new().into(),
            prompt: Tokens(10),
            output: Tokens(10),
        },
        budget: time::Duration::from_secs(60),
    }
}

/// A dispatch of the request with this number.
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
