//! Platform stand-in: object API and instance list.

use std::{
    net,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time,
};

use lentil_platform::{
    InMemoryStore, Instance, MAX_VALUE_BYTES, Object, StoreError, VERSION_HEADER,
};
use lentil_policy::store::{ObjectKey, ObjectVersion};
use lentil_types::Table;
use trillium::Conn;
use trillium_router::{Router, RouterConnExt as _};

use crate::platform_faults::{Faults, Throttle};

/// Bodies below this size are read; the store checks the exact limit.
const MAX_BODY_BYTES: u64 = MAX_VALUE_BYTES as u64 + 1;

/// Settings of a [`Platform`].
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 picks a free one.
    pub address: net::SocketAddr,
    /// Limit of reads, watches and lists per second.
    pub reads: u32,
    /// Limit of writes per second.
    pub writes: u32,
    /// Time until a new instance list becomes visible.
    pub list_lag: time::Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            reads: 2_000,
            writes: 400,
            list_lag: time::Duration::ZERO,
        }
    }
}

/// Platform stand-in. Dropping it stops the server.
pub struct Platform {
    address: net::SocketAddr,
    core: Arc<Core>,
    handle: trillium_server_common::ServerHandle,
}

struct Core {
    settings: PlatformSettings,
    store: InMemoryStore,
    faults: Faults,
    /// The value before the newest of each object, for stale reads.
    previous: Mutex<Table<ObjectKey, Object>>,
    /// Instance lists with the time at which each becomes visible, oldest first.
    instances: Mutex<Vec<(time::Instant, Vec<Instance>)>>,
    reads: Mutex<Throttle>,
    writes: Mutex<Throttle>,
    calls: Mutex<Table<(String, &'static str), u64>>,
    /// Calls refused by the rate limits.
    refused: AtomicU64,
}

impl Platform {
    /// Starts a platform without objects.
    ///
    /// # Errors
    /// An I/O error when it cannot listen.
    pub fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let listener = net::TcpListener::bind(settings.address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let core = Arc::new(Core::new(settings));
        let handle = trillium_smol::config()
            .without_signals()
            .with_nodelay()
            .with_prebound_server(trillium_smol::async_net::TcpListener::try_from(listener)?)
            .spawn(router(&core));
        Ok(Self {
            address,
            core,
            handle,
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Faults to inject.
    pub fn faults(&self) -> &Faults {
        &self.core.faults
    }

    /// The object store, bypassing faults and rate limits.
    pub fn store(&self) -> &InMemoryStore {
        &self.core.store
    }

    /// Sets the instance list. Callers see it after [`PlatformSettings::list_lag`].
    pub fn set_instances(&self, instances: Vec<Instance>) {
        let visible_at = time::Instant::now() + self.core.settings.list_lag;
        lock(&self.core.instances).push((visible_at, instances));
    }

    /// Number of calls so far, by object kind and action.
    pub fn calls(&self) -> Vec<((String, &'static str), u64)> {
        let calls = lock(&self.core.calls);
        calls
            .iter()
            .map(|(key, count)| (key.clone(), *count))
            .collect()
    }

    /// Calls refused by the rate limits.
    pub fn refused(&self) -> u64 {
        self.core.refused.load(Ordering::Relaxed)
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.handle.stopper().stop();
    }
}

impl Core {
    fn new(settings: PlatformSettings) -> Self {
        Self {
            settings,
            store: InMemoryStore::new(),
            faults: Faults::default(),
            previous: Mutex::default(),
            instances: Mutex::default(),
            reads: Mutex::new(Throttle::new(settings.reads)),
            writes: Mutex::new(Throttle::new(settings.writes)),
            calls: Mutex::default(),
            refused: AtomicU64::new(0),
        }
    }

    /// Counts a call. Returns the HTTP status to answer with if it is refused.
    async fn admit(&self, kind: &str, action: &'static str) -> Option<u16> {
        let limit = match action {
            "update" => &self.writes,
            _ => &self.reads,
        };
        *lock(&self.calls).get_or_insert_with((kind.to_owned(), action), || 0) += 1;
        if self.faults.is_down() {
            return Some(503);
        }
        if !lock(limit).try_take(time::Instant::now()) {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Some(429);
        }
        let delay = self.faults.delay();
        if !delay.is_zero() {
            smol::Timer::after(delay).await;
        }
        None
    }

    async fn get(&self, conn: Conn) -> Conn {
        let Some(key) = object_key(&conn) else {
            return conn.with_status(400);
        };
        match query_number(&conn, "after") {
            Some(after) => self.watch(conn, &key, ObjectVersion(after)).await,
            None => self.read(conn, &key).await,
        }
    }

    async fn read(&self, conn: Conn, key: &ObjectKey) -> Conn {
        if let Some(status) = self.admit(&key.kind, "read").await {
            return conn.with_status(status);
        }
        let stale = self.faults.take_stale_read();
        let previous = stale.then(|| lock(&self.previous).get(key).cloned());
        let object = previous.flatten().unwrap_or_else(|| self.store.get(key));
        answer(conn, object)
    }

    async fn watch(&self, conn: Conn, key: &ObjectKey, after: ObjectVersion) -> Conn {
        if let Some(status) = self.admit(&key.kind, "watch").await {
            return conn.with_status(status);
        }
        let wait = time::Duration::from_millis(query_number(&conn, "wait_ms").unwrap_or(0));
        let change = async {
            let object = self.store.wait_for(key, after).await;
            if self.faults.stalls_watches() {
                smol::future::pending::<()>().await;
            }
            Some(object)
        };
        let timer = async {
            smol::Timer::after(wait).await;
            if self.faults.stalls_watches() {
                smol::future::pending::<()>().await;
            }
            None
        };
        match smol::future::or(change, timer).await {
            _ if self.faults.is_down() => conn.with_status(503),
            Some(object) => answer(conn, object),
            None => conn.with_status(304),
        }
    }

    async fn put(&self, mut conn: Conn) -> Conn {
        let Some(key) = object_key(&conn) else {
            return conn.with_status(400);
        };
        if let Some(status) = self.admit(&key.kind, "update").await {
            return conn.with_status(status);
        }
        let if_match = conn.request_headers().get_str("if-match");
        let Some(expected) = if_match.and_then(|text| text.parse().ok()) else {
            return conn.with_status(428);
        };
        let body = conn.request_body().await.with_max_len(MAX_BODY_BYTES);
        let Ok(value) = body.read_bytes().await else {
            return conn.with_status(413);
        };
        let previous = self.store.get(&key);
        let written = self.store.put(&key, ObjectVersion(expected), value);
        if written.is_ok() {
            lock(&self.previous).insert(key, previous);
        }
        if self.faults.take_lost_answer() {
            return conn.with_status(500);
        }
        match written {
            Ok(version) => with_version(conn, version).ok(""),
            Err(StoreError::Conflict(current)) => with_version(conn, current).with_status(412),
            Err(_) => conn.with_status(413),
        }
    }

    async fn list(&self, conn: Conn) -> Conn {
        let kind = conn.param("kind").unwrap_or_default().to_owned();
        if let Some(status) = self.admit(&kind, "list").await {
            return conn.with_status(status);
        }
        let row = |listed: &lentil_platform::ObjectInfo| serde_json::json!({ "name": listed.name, "version": listed.version.0 });
        let rows: Vec<_> = self.store.list_kind(&kind).iter().map(row).collect();
        json(conn, &serde_json::Value::from(rows))
    }

    async fn instances(&self, conn: Conn) -> Conn {
        if let Some(status) = self.admit("instances", "list").await {
            return conn.with_status(status);
        }
        let place = query_text(&conn, "place");
        let listed = self.visible_instances();
        let wanted = |instance: &&Instance| place.as_ref().is_none_or(|p| **p == *instance.place);
        let found: Vec<_> = listed.iter().filter(wanted).collect();
        json(conn, &serde_json::json!(found))
    }

    fn visible_instances(&self) -> Vec<Instance> {
        let now = time::Instant::now();
        let lists = lock(&self.instances);
        let visible = lists
            .iter()
            .rev()
            .find(|(visible_at, _)| *visible_at <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

fn router(core: &Arc<Core>) -> Router {
    let (read, write, list, instances) = (core.clone(), core.clone(), core.clone(), core.clone());
    Router::new()
        .get("/objects/:kind", move |conn: Conn| {
            let core = list.clone();
            async move { core.list(conn).await }
        })
        .get("/objects/:kind/*", move |conn: Conn| {
            let core = read.clone();
            async move { core.get(conn).await }
        })
        .put("/objects/:kind/*", move |conn: Conn| {
            let core = write.clone();
            async move { core.put(conn).await }
        })
        .get("/instances", move |conn: Conn| {
            let core = instances.clone();
            async move { core.instances(conn).await }
        })
}

fn object_key(conn: &Conn) -> Option<ObjectKey> {
    Some(ObjectKey {
        kind: conn.param("kind")?.into(),
        name: conn.wildcard()?.into(),
    })
}

fn query_text(conn: &Conn, name: &str) -> Option<String> {
    let pairs = conn.querystring().split('&');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name);
    value.map(|(_, value)| value.to_owned())
}

fn query_number(conn: &Conn, name: &str) -> Option<u64> {
    query_text(conn, name)?.parse().ok()
}

fn answer(conn: Conn, object: Object) -> Conn {
    if object.version == ObjectVersion(0) {
        return conn.with_status(404);
    }
    with_version(conn, object.version).ok(object.value)
}

fn with_version(conn: Conn, version: ObjectVersion) -> Conn {
    conn.with_response_header(VERSION_HEADER, version.0.to_string())
}

fn json(conn: Conn, value: &serde_json::Value) -> Conn {
    conn.with_response_header("content-type", "application/json")
        .ok(value.to_string())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
