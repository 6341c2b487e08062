//! HTTP client of the platform.

use std::{net, time};

use lentil_policy::store::{ObjectKey, ObjectVersion};
use lentil_types::PlaceName;
use trillium_client::{Client, Conn};

use crate::{
    Instance, InstanceList, Object, ObjectInfo, ObjectStore, StoreError, StoreFuture, store,
};

/// Header with an object's version.
pub const VERSION_HEADER: &str = "x-object-version";

const STATUS_OK: u16 = 200;
const STATUS_NOT_MODIFIED: u16 = 304;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 412;
const STATUS_THROTTLED: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Largest body of a response, in bytes. An object has at most a megabyte, and a list of ten
/// thousand instances or objects has two.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Settings of a [`Platform`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address of the platform.
    pub address: net::SocketAddr,
    /// Longest wait for a response. A watch adds its own.
    pub timeout: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 7000)),
            timeout: time::Duration::from_secs(2),
        }
    }
}

/// HTTP client of the platform's object API and instance list.
#[derive(Clone, Debug)]
pub struct Platform {
    settings: Settings,
    client: Client,
}

/// An HTTP response with its whole body.
struct Response {
    status: u16,
    version: Option<ObjectVersion>,
    body: Vec<u8>,
}

/// An item of the JSON object list.
#[derive(serde::Deserialize)]
struct ListItem {
    name: compact_str::CompactString,
    version: u64,
}

impl Platform {
    /// Connects on the first call.
    pub fn new(settings: Settings) -> Self {
        let client = lentil_http::client().with_default_pool();
        Self { settings, client }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.address)
    }

    fn object_url(&self, key: &ObjectKey, query: &str) -> Result<String, StoreError> {
        let path = object_path(key)?;
        Ok(self.url(&format!("{path}{query}")))
    }

    async fn send(&self, conn: Conn, wait: time::Duration) -> Result<Response, StoreError> {
        let limit = self.settings.timeout + wait;
        let timer = async {
            smol::Timer::after(limit).await;
            Err(StoreError::Timeout(limit))
        };
        smol::future::or(exchange(conn), timer).await
    }
}

impl ObjectStore for Platform {
    fn read<'a>(&'a self, key: &'a ObjectKey) -> StoreFuture<'a, Object> {
        Box::pin(async move {
            let conn = self.client.get(self.object_url(key, "")?.as_str());
            let response = self.send(conn, time::Duration::ZERO).await?;
            match response.status {
                STATUS_OK => response.into_object(),
                STATUS_NOT_FOUND => Ok(Object::default()),
                status => Err(status_error(status)),
            }
        })
    }

    fn update<'a>(
        &'a self,
        key: &'a ObjectKey,
        expect: ObjectVersion,
        value: Vec<u8>,
    ) -> StoreFuture<'a, ObjectVersion> {
        Box::pin(async move {
            store::check_value(&value)?;
            let conn = self.client.put(self.object_url(key, "")?.as_str());
            let conn = conn.with_request_header("if-match", expect.0.to_string());
            let response = self
                .send(conn.with_body(value), time::Duration::ZERO)
                .await?;
            match response.status {
                STATUS_OK => response.version(),
                STATUS_CONFLICT => Err(StoreError::Conflict(response.version()?)),
                status => Err(status_error(status)),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a ObjectKey,
        after: ObjectVersion,
        wait: time::Duration,
    ) -> StoreFuture<'a, Option<Object>> {
        Box::pin(async move {
            let query = format!("?after={}&wait_ms={}", after.0, wait.as_millis());
            let conn = self.client.get(self.object_url(key, &query)?.as_str());
            let response = self.send(conn, wait).await?;
            match response.status {
                STATUS_OK => Ok(Some(response.into_object()?)),
                STATUS_NOT_MODIFIED => Ok(None),
                status => Err(status_error(status)),
            }
        })
    }

    fn list<'a>(&'a self, kind: &'a str) -> StoreFuture<'a, Vec<ObjectInfo>> {
        Box::pin(async move {
            check_key(kind)?;
            let conn = self
                .client
                .get(self.url(&format!("/objects/{kind}")).as_str());
            let response = self.send(conn, time::Duration::ZERO).await?;
            let items: Vec<ListItem> = response.into_json()?;
            let info = |item: ListItem| ObjectInfo {
                name: item.name,
                version: ObjectVersion(item.version),
            };
            Ok(items.into_iter().map(info).collect())
        })
    }
}

impl InstanceList for Platform {
    fn instances<'a>(&'a self, place: Option<&'a PlaceName>) -> StoreFuture<'a, Vec<Instance>> {
        Box::pin(async move {
            let query = place.map(|place| format!("?place={place}"));
            let path = format!("/instances{}", query.unwrap_or_default());
            let conn = self.client.get(self.url(&path).as_str());
            let response = self.send(conn, time::Duration::ZERO).await?;
            response.into_json()
        })
    }
}

impl Response {
    fn version(&self) -> Result<ObjectVersion, StoreError> {
        let missing = || {
            StoreError::Protocol(format!(
                "the header {VERSION_HEADER} is missing or not a number"
            ))
        };
        self.version.ok_or_else(missing)
    }

    fn into_object(self) -> Result<Object, StoreError> {
        let version = self.version()?;
        let value = self.body;
        Ok(Object { version, value })
    }

    fn into_json<T: serde::de::DeserializeOwned>(self) -> Result<T, StoreError> {
        if self.status != STATUS_OK {
            return Err(status_error(self.status));
        }
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|error| StoreError::Protocol(error.to_string()))
    }
}

async fn exchange(conn: Conn) -> Result<Response, StoreError> {
    let mut conn = conn.await.map_err(|error| connection_error(&error))?;
    let status = conn.status().map_or(0, |status| status as u16);
    let version = conn.response_headers().get_str(VERSION_HEADER);
    let version = version
        .and_then(|text| text.parse().ok())
        .map(ObjectVersion);
    let body = lentil_http::read_all(conn.response_body(), MAX_BODY_BYTES).await;
    let body = body.map_err(|error| StoreError::BrokeOff(error.to_string()))?;
    Ok(Response {
        status,
        version,
        body,
    })
}

/// Only a refused connection proves that nothing was sent.
fn connection_error(error: &trillium_client::Error) -> StoreError {
    match error {
        trillium_client::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StoreError::Unreachable(error.to_string())
        }
        other => StoreError::BrokeOff(other.to_string()),
    }
}

fn status_error(status: u16) -> StoreError {
    match status {
        STATUS_THROTTLED | STATUS_UNAVAILABLE => StoreError::Refused(status),
        other => StoreError::Protocol(format!("unexpected status {other}")),
    }
}

fn object_path(key: &ObjectKey) -> Result<String, StoreError> {
    check_key(&key.kind)?;
    check_key(&key.name)?;
    Ok(format!("/objects/{}/{}", key.kind, key.name))
}

fn check_key(text: &str) -> Result<(), StoreError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-:/".contains(c);
    if text.is_empty() || !text.chars().all(allowed) {
        return Err(StoreError::BadKey(text.to_owned()));
    }
    Ok(())
}
