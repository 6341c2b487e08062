//! Connections to the peers of sync requests.

use std::{net, time};

use lentil_types::{Instant, NodeName, Table};
use lentil_wire::{Identity, Link, Message, Sync, Synced, WireError};
use smol::lock::Mutex;

/// Above this, the least recently used connection is dropped.
const MAX_LINKS: usize = 8;

struct Slot {
    address: net::SocketAddr,
    link: Link,
    last_used: Instant,
}

/// Connections to peers, opened on first use. A few are kept open.
pub struct PeerLinks {
    identity: Identity,
    slots: Mutex<Table<NodeName, Slot>>,
}

impl PeerLinks {
    /// Starts without connections.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            slots: Mutex::new(Table::new()),
        }
    }

    /// Sends a sync request over the open connection, or a new one if that is missing
    /// or fails.
    ///
    /// # Errors
    /// [`WireError`] when the peer does not answer on a new connection either.
    pub async fn request_sync(
        &self,
        now: Instant,
        node: &NodeName,
        address: net::SocketAddr,
        sync: Sync,
    ) -> Result<Synced, WireError> {
        if let Some(link) = self.open_link(now, node, address).await {
            match request_sync(&link, sync.clone()).await {
                Ok(synced) => return Ok(synced),
                Err(error) => log::debug!(peer:% = node; "reconnecting: {error}"),
            }
        }
        let link = Link::connect(address, &self.identity).await?;
        let synced = request_sync(&link, sync).await?;
        let last_used = now;
        self.keep(
            node.clone(),
            Slot {
                address,
                link,
                last_used,
            },
        )
        .await;
        Ok(synced)
    }

    async fn open_link(
        &self,
        now: Instant,
        node: &NodeName,
        address: net::SocketAddr,
    ) -> Option<Link> {
        let mut slots = self.slots.lock().await;
        let slot = slots.get_mut(node).filter(|slot| slot.address == address)?;
        slot.last_used = now;
        Some(slot.link.clone())
    }

    async fn keep(&self, node: NodeName, slot: Slot) {
        let mut slots = self.slots.lock().await;
        slots.insert(node, slot);
        if slots.len() > MAX_LINKS {
            let least_recent = slots.iter().min_by_key(|(_, slot)| slot.last_used);
            if let Some(node) = least_recent.map(|(node, _)| node.clone()) {
                slots.remove(&node);
            }
        }
    }
}

/// Sends a sync request over a connection.
///
/// # Errors
/// [`WireError`] when no answer arrives within `sync.wait` plus one second.
pub async fn request_sync(link: &Link, sync: Sync) -> Result<Synced, WireError> {
    let limit = sync.wait + ANSWER_GRACE;
    let answer = exchange(link, sync);
    let timer = async {
        smol::Timer::after(limit).await;
        Err(WireError::StreamEnded("an answer in time"))
    };
    smol::future::or(answer, timer).await
}

/// Time for the answer after the long poll expires.
const ANSWER_GRACE: time::Duration = time::Duration::from_secs(1);

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
