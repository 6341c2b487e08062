//! Access to the platform's configuration document.

use std::{net, sync::Arc};

use lentil_platform::{Object, ObjectStore, Platform};
use lentil_policy::{config_sync::Doc, store::ObjectKey};
use lentil_types::RegionName;

use crate::error::CtlError;

/// Configuration document of one region.
pub(crate) struct ConfigStore {
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) key: ObjectKey,
}

pub(crate) struct Accepted {
    pub(crate) version: u64,
    pub(crate) text: String,
}

pub(crate) fn client(address: net::SocketAddr) -> Platform {
    Platform::new(lentil_platform::Settings {
        address,
        ..lentil_platform::Settings::default()
    })
}

impl ConfigStore {
    pub(crate) fn new(address: net::SocketAddr, region: &RegionName) -> Self {
        Self {
            store: Arc::new(client(address)),
            key: Doc::Config.key(region),
        }
    }

    /// The accepted configuration; version 0 and empty text if there is none yet.
    pub(crate) async fn read(&self) -> Result<Accepted, CtlError> {
        let Object { version, value } = self.store.read(&self.key).await?;
        let text = String::from_utf8(value).map_err(|error| error.utf8_error());
        Ok(Accepted {
            version: version.0,
            text: text?,
        })
    }
}
