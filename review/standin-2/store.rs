//! The platform's metadata store: objects by kind and name, listings, watches, eras.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{read_message, Message, Server};
use crate::record::Record;

/// Kind of the runners' entries.
pub const SERVERS: &str = "servers";

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    /// `None` if the object was removed.
    spec: Option<String>,
}

/// What the store holds; a copy of it is what it may come back from.
#[derive(Clone, Default)]
pub struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Event>,
}

pub struct Store {
    pub address: SocketAddr,
    record: Arc<Record>,
    data: Mutex<Data>,
    changed: Condvar,
    era: AtomicU64,
    is_away: AtomicBool,
    server: Mutex<Option<Server>>,
}

impl Store {
    pub fn start(record: &Arc<Record>, address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            address,
            record: record.clone(),
            data: Mutex::new(Data { revision: 10, ..Data::default() }),
            changed: Condvar::new(),
            era: AtomicU64::new(1),
            is_away: AtomicBool::new(false),
            server: Mutex::new(None),
        });
        store.listen();
        store
    }

    fn listen(self: &Arc<Self>) {
        let store = self.clone();
        let server = Server::start(self.address, move |stream| store.serve(stream));
        *self.server.lock().unwrap() = Some(server);
    }

    pub fn is_away(&self) -> bool {
        self.is_away.load(Ordering::SeqCst)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.write(kind, name, Some(spec))
    }

    /// Removes an object if there is one.
    pub fn remove(&self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if !self.is_away() && self.data.lock().unwrap().objects.contains_key(&key) {
            self.write(kind, name, None);
        }
    }

    /// A write that changes nothing keeps the revision.
    fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        let mut data = self.data.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let (Some((revision, old)), Some(spec)) = (data.objects.get(&key), spec) {
            if old == spec {
                return *revision;
            }
        }
        data.revision += 1;
        let revision = data.revision;
        match spec {
            Some(spec) => data.objects.insert(key, (revision, spec.to_owned())),
            None => data.objects.remove(&key),
        };
        data.history.push(Event {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.map(str::to_owned),
        });
        let text = spec.unwrap_or("removed");
        self.record.note(&format!("store: {kind}/{name} at revision {revision}: {text}"));
        self.changed.notify_all();
        revision
    }

    pub fn copy(&self) -> Data {
        self.data.lock().unwrap().clone()
    }

    /// Its process is gone: connections are cut, and new ones refused.
    pub fn go_away(&self) {
        self.record.note("store: away");
        self.is_away.store(true, Ordering::SeqCst);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.kill();
        }
        self.changed.notify_all();
    }

    /// It is back from a copy, in the next era.
    pub fn return_from(self: &Arc<Self>, copy: Data) {
        let revision = copy.revision;
        *self.data.lock().unwrap() = copy;
        let era = self.era.fetch_add(1, Ordering::SeqCst) + 1;
        self.is_away.store(false, Ordering::SeqCst);
        self.listen();
        self.record.note(&format!("store: back from a copy at revision {revision}, era {era}"));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            if self.is_away() {
                return;
            }
            let (status, body) = self.answer(&request);
            if self.is_away() {
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n",
                self.era.load(Ordering::SeqCst),
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), body.as_bytes()].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().strip_prefix("/api/objects/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        match (request.word(0), number("watch")) {
            ("GET", Some(after)) => self.watch(kind, after, number("wait_ms").unwrap_or(0)),
            ("GET", None) => self.list(kind),
            (method, _) => self.change(method, kind, name, &request.body),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let data = self.data.lock().unwrap();
        let of_kind = data.objects.iter().filter(|((k, _), _)| k == kind);
        let items = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let items: Vec<_> = items.collect();
        let at = data.revision;
        (200, format!(r#"{{"items":[{}],"has_more":false,"at":{at}}}"#, items.join(",")))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut data = self.data.lock().unwrap();
        loop {
            if self.is_away() {
                return (503, "{}".to_owned());
            }
            if after > data.revision {
                // A revision that this copy does not have.
                return (410, "{}".to_owned());
            }
            let new = data.history.iter().filter(|e| e.kind == kind && e.revision > after);
            let events = new.map(|event| {
                let spec = event.spec.as_deref().unwrap_or("null");
                let object = object(&event.name, event.revision, spec);
                format!(r#"{{"deleted":{},"object":{object}}}"#, event.spec.is_none())
            });
            let events: Vec<_> = events.collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let at = data.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            data = self.changed.wait_timeout(data, until - now).unwrap().0;
        }
    }

    /// Creates or replaces an object whose spec is one flat JSON object.
    fn change(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let named = after(&text, r#""name":""#).split('"').next().unwrap_or_default();
        let name = if name.is_empty() { named } else { name };
        let key = (kind.to_owned(), name.to_owned());
        let known = self.data.lock().unwrap().objects.get(&key).cloned();
        if let (Some((revision, spec)), "POST") = (known, method) {
            return (409, object(name, revision, &spec));
        }
        let spec = after(&text, r#""spec":"#).split_inclusive('}').next().unwrap_or("{}");
        let revision = self.put(kind, name, spec);
        (200, object(name, revision, spec))
    }
}

fn after<'a>(text: &'a str, mark: &str) -> &'a str {
    text.split_once(mark).map_or("", |(_, rest)| rest)
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}
