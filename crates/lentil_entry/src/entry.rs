//! A running entry.

use std::{io, net, sync::Arc};

use lentil_config::Market;
use lentil_policy::{entry, route};
use lentil_process::Clock;
use lentil_wire::Identity;

use crate::{driver, http, links};

/// Settings of an [`Entry`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where it listens for callers; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Who this process is.
    pub identity: Identity,
    /// What exists.
    pub market: Market,
}

/// A running entry. It stops when dropped.
pub struct Entry {
    address: net::SocketAddr,
    handle: trillium_server_common::ServerHandle,
    _driver: smol::Task<()>,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listener = trillium_smol::async_net::TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let clock = Clock::start();
        let market = Arc::new(settings.market);
        let (inputs, inbox) = smol::channel::unbounded();
        let links = links::Links::new(settings.identity, &market);
        let runners = entry::Event::Runners(runners(&market));
        // The receiver lives until the driver ends.
        let _ = inputs.send(driver::Input::Event(runners)).await;
        let driver = smol::spawn(driver::run(Arc::new(links), inbox, inputs.clone(), clock));
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(listener)
            .spawn(http::handler(market, inputs, clock));
        Ok(Self {
            address,
            handle,
            _driver: driver,
        })
    }

    /// Where it listens for callers.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

fn runners(market: &Market) -> Vec<route::RunnerInfo> {
    let of_service = |service: &lentil_config::Service| {
        let name = service.name.clone();
        let info = move |runner: &lentil_config::Runner| route::RunnerInfo {
            name: runner.name.clone(),
            service: name.clone(),
            place: runner.place.clone(),
        };
        service.runners.iter().map(info).collect::<Vec<_>>()
    };
    market.services.iter().flat_map(of_service).collect()
}
