//! Connections to peers.

use std::{net, time};

use lentil_types::{Instant, NodeName, Table};
use lentil_wire::{Identity, Link, Message, Sync, Synced, WireError};
use smol::lock::Mutex;

/// Connections that are kept.
const MAX_LINKS: usize = 8;

struct Slot {
    address: net::SocketAddr,
    link: Link,
    used: Instant,
}

/// Connections to the few peers that this process asks, opened when first
/// needed.
pub struct PeerLinks {
    identity: Identity,
    slots: Mutex<Table<NodeName, Slot>>,
}

impl PeerLinks {
    /// No connections yet.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            slots: Mutex::new(Table::new()),
        }
    }

    /// Asks a peer over the connection to it, or over a new one.
    ///
    /// # Errors
    /// [`WireError`] when the peer does not answer.
    pub async fn request_sync(
        &self,
        now: Instant,
        node: &NodeName,
        address: net::SocketAddr,
        sync: Sync,
    ) -> Result<Synced, WireError> {
        if let Some(link) = self.open(now, node, address).await {
            match request_sync(&link, sync.clone()).await {
                Ok(synced) => return Ok(synced),
                Err(error) => log::debug!(peer:% = node; "reconnecting: {error}"),
            }
        }
        let link = Link::connect(address, &self.identity).await?;
        let synced = request_sync(&link, sync).await?;
        let used = now;
        self.keep(
            node.clone(),
            Slot {
                address,
                link,
                used,
            },
        )
        .await;
        Ok(synced)
    }

    async fn open(&self, now: Instant, node: &NodeName, address: net::SocketAddr) -> Option<Link> {
        let mut slots = self.slots.lock().await;
        let slot = slots.get_mut(node).filter(|slot| slot.address == address)?;
        slot.used = now;
        Some(slot.link.clone())
    }

    async fn keep(&self, node: NodeName, slot: Slot) {
        let mut slots = self.slots.lock().await;
        slots.insert(node, slot);
        if slots.len() > MAX_LINKS {
            let oldest = slots.iter().min_by_key(|(_, slot)| slot.used);
            if let Some(node) = oldest.map(|(node, _)| node.clone()) {
                slots.remove(&node);
            }
        }
    }
}

/// Asks the peer at the other end of a connection.
///
/// # Errors
/// [`WireError`] when it does not answer within its wait and a little more.
pub async fn request_sync(link: &Link, sync: Sync) -> Result<Synced, WireError> {
    let limit = sync.wait + GRACE;
    let answer = exchange(link, sync);
    let timer = async {
        smol::Timer::after(limit).await;
        Err(WireError::StreamEnded("an answer in time"))
    };
    smol::future::or(answer, timer).await
}

/// How long after its wait a peer may answer.
const GRACE: time::Duration = time::Duration::from_secs(1);

async fn exchange(link: &Link, sync: Sync) -> Result<Synced, WireError> {
    let mut exchange = link.open().await?;
    exchange.sender.send(Message::Sync(sync)).await?;
    exchange.sender.finish();
    match exchange.receiver.recv().await? {
        Some(Message::Synced(synced)) => Ok(synced),
        Some(other) => Err(WireError::Unexpected {
            expected: "synced",
            got: other.name(),
        }),
        None => Err(WireError::StreamEnded("synced")),
    }
}
