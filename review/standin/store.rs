//! The platform's store: objects by kind and name, listings and watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::net::{Message, read_message, write_answer};

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    /// `None`: removed.
    spec: Option<String>,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and spec by kind and name.
    now: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Event>,
}

#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

/// Where one machine reaches the store. While it is silent, nothing that has arrived there
/// since is ever answered.
pub struct Door {
    pub address: SocketAddr,
    silent: Arc<AtomicBool>,
}

impl Door {
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    pub fn open_door(self: &Arc<Self>, ip: IpAddr) -> Door {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let silent = Arc::new(AtomicBool::new(false));
        let door = Door {
            address,
            silent: silent.clone(),
        };
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, silent) = (store.clone(), silent.clone());
                thread::spawn(move || store.serve(stream, &silent));
            }
        });
        door
    }

    /// Writes an object, or removes it. Returns the revision.
    pub fn write(&self, kind: &str, name: &str, spec: Option<&str>) -> u64 {
        let mut objects = self.objects.lock().expect("no panic");
        let key = (kind.to_owned(), name.to_owned());
        if let (Some((revision, old)), Some(new)) = (objects.now.get(&key), spec)
            && old == new
        {
            return *revision;
        }
        objects.revision += 1;
        let revision = objects.revision;
        match spec {
            Some(spec) => objects.now.insert(key, (revision, spec.to_owned())),
            None => objects.now.remove(&key),
        };
        objects.history.push(Event {
            revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec: spec.map(str::to_owned),
        });
        drop(objects);
        self.changed.notify_all();
        revision
    }

    fn serve(&self, mut stream: TcpStream, silent: &AtomicBool) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut from = BufReader::new(copy);
        while let Ok(Some(call)) = read_message(&mut from) {
            if silent.load(Ordering::SeqCst) {
                // Never answered, and the connection stays open.
                thread::sleep(Duration::from_secs(300));
                return;
            }
            let Some((status, body)) = self.answer(&call, silent) else {
                thread::sleep(Duration::from_secs(300));
                return;
            };
            if write_answer(&mut stream, status, "Store-Era: 1\r\n", &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, silent: &AtomicBool) -> Option<(u16, String)> {
        let path = call.path().strip_prefix("/api/objects/")?.to_owned();
        let (kind, name) = path.split_once('/').unwrap_or((&path, ""));
        match (call.method(), call.query("watch")) {
            ("GET", Some(after)) => {
                let after = after.parse().ok()?;
                let wait = call.query("wait_ms").and_then(|ms| ms.parse().ok());
                self.watch(kind, after, wait.unwrap_or(0), silent)
            }
            ("GET", None) => Some((200, self.list(kind))),
            (method, _) => Some(self.change(method, kind, name, &call.text())),
        }
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.lock().expect("no panic");
        let of_kind = objects.now.iter().filter(|((k, _), _)| k == kind);
        let items = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec));
        let items = items.collect::<Vec<_>>().join(",");
        let at = objects.revision;
        format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}")
    }

    fn watch(
        &self,
        kind: &str,
        after: u64,
        wait_ms: u64,
        silent: &AtomicBool,
    ) -> Option<(u16, String)> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.lock().expect("no panic");
        loop {
            if silent.load(Ordering::SeqCst) {
                return None;
            }
            let new = objects.history.iter();
            let new = new.filter(|event| event.revision > after && event.kind == kind);
            let events: Vec<_> = new
                .map(|event| {
                    let spec = event.spec.as_deref().unwrap_or("null");
                    let deleted = event.spec.is_none();
                    let object = object(&event.name, event.revision, spec);
                    format!("{{\"deleted\":{deleted},\"object\":{object}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), objects.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            let left = left.min(Duration::from_millis(50));
            objects = self.changed.wait_timeout(objects, left).expect("no panic").0;
        }
    }

    fn change(&self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let text = |start: &str, end: &str| {
            let from = body.find(start)? + start.len();
            let to = from + body[from..].find(end)?;
            Some(body[from..to].to_owned())
        };
        let own = text("\"name\":\"", "\"").unwrap_or_default();
        let name = if name.is_empty() { &own } else { name };
        let spec = text("\"spec\":", "}").map_or("null".to_owned(), |spec| spec + "}");
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.lock().expect("no panic").now.get(&key).cloned();
        match (method, known) {
            ("POST", Some((revision, old))) => (409, object(name, revision, &old)),
            ("PUT", None) => (404, "{}".to_owned()),
            ("POST" | "PUT", _) => {
                let revision = self.write(kind, name, Some(&spec));
                (200, object(name, revision, &spec))
            }
            _ => (400, "{}".to_owned()),
        }
    }
}
