//! Notices a peer that is silent while a request is in flight.

use std::{sync::Arc, time};

use crate::{WireError, usage::Usage};

/// Time between two pings of a busy connection.
const PING_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Longest time to the answer of a ping.
const PING_LIMIT: time::Duration = time::Duration::from_secs(4);

/// Returns when the peer does not answer. An idle connection is not pinged.
pub(crate) async fn watch(mut pings: h2::PingPong, usage: Arc<Usage>) -> WireError {
    loop {
        smol::Timer::after(PING_PERIOD).await;
        if !usage.is_busy() {
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
    let late = async {
        smol::Timer::after(PING_LIMIT).await;
        Err(WireError::PingTimeout(PING_LIMIT))
    };
    smol::future::or(pong, late).await
}
