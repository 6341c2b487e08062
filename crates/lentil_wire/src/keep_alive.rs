//! Detects a dead peer by pings while a request is in flight.

use std::{sync::Arc, time};

use crate::{WireError, usage::ConnectionUsage};

/// Time between pings while requests are in flight.
const PING_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Longest wait for the answer to a ping.
const PING_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Pings the peer and returns when it does not answer. An idle connection is not
/// pinged.
pub(crate) async fn watch(mut pings: h2::PingPong, usage: Arc<ConnectionUsage>) -> WireError {
    loop {
        smol::Timer::after(PING_PERIOD).await;
        if !usage.has_in_flight() {
            continue;
        }
        if let Err(error) = ping(&mut pings).await {
            return error;
        }
    }
}

async fn ping(pings: &mut h2::PingPong) -> Result<(), WireError> {
    let pong = async {
        pings.ping(h2::Ping::opaque()).await?;
        Ok(())
    };
    let timeout = async {
        smol::Timer::after(PING_TIMEOUT).await;
        Err(WireError::PingTimeout(PING_TIMEOUT))
    };
    smol::future::or(pong, timeout).await
}
