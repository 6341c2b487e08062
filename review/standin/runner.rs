//! A runner: of a plain service, or of a model with a prefix cache.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    net::{Message, read_message, write_answer},
    store::Store,
};

/// What a runner does with a request that it runs.
pub enum Outcome {
    /// A whole answer with this body.
    Answer(String),
    /// The process dies: all its connections end, and nothing listens any more.
    Crash,
}

pub type Handler = Arc<dyn Fn(&Runner, &Message) -> Outcome + Send + Sync>;

/// A cached part: who made it, and under which weights its reading began and ended.
#[derive(Clone, Debug)]
pub struct Part {
    pub tenant: String,
    pub versions: (u64, u64),
    pub tokens: u64,
}

/// Prompt tokens that a runner reads in a millisecond, for its reports.
const REPORTED_RATE: f64 = 45.0;
/// Time that new weights take.
const LOAD_TIME: Duration = Duration::from_millis(290);

/// State of a runner of a model.
#[derive(Default)]
pub struct Engine {
    pub version: u64,
    sequence: u64,
    /// The order that is being carried out: when it is complete, and its version.
    order: Option<(Instant, u64)>,
    /// Requests that run: id, begin and tokens of the prompt.
    runs: Vec<(String, Instant, u64)>,
    /// By salt and id.
    pub parts: BTreeMap<(String, String), Part>,
    /// Salt, id and tokens of each change of the cache, in order.
    pub events: Vec<(String, String, u64)>,
}

impl Engine {
    /// Completes an order that is due: it discards what is cached, and runs go on.
    pub fn settle(&mut self) {
        if let Some((at, version)) = self.order
            && Instant::now() >= at
        {
            self.order = None;
            self.version = version;
            for (salt, id) in std::mem::take(&mut self.parts).into_keys() {
                self.events.push((salt, id, 0));
            }
        }
    }

    pub fn add(&mut self, salt: &str, id: &str, part: Part) {
        let event = (salt.to_owned(), id.to_owned(), part.tokens);
        self.parts.insert((event.0.clone(), event.1.clone()), part);
        self.events.push(event);
    }
}

/// One start of a runner.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Of the model, for a runner of one.
    pub model: Option<String>,
    engine: Mutex<Engine>,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    handler: Handler,
}

static STARTS: AtomicU64 = AtomicU64::new(1);

impl Runner {
    /// Starts a runner at `ip` and, with `port`, at the address of an earlier one.
    pub fn start(
        ip: IpAddr,
        port: u16,
        service: &str,
        model: Option<&str>,
        handler: Handler,
    ) -> Arc<Self> {
        let listener = loop {
            // An earlier runner at this address may have ended just now.
            match TcpListener::bind((ip, port)) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let runner = Arc::new(Self {
            id: format!("i-{:08x}", STARTS.fetch_add(1, Ordering::SeqCst) * 7_919),
            service: service.to_owned(),
            address: listener.local_addr().expect("a bound address"),
            model: model.map(str::to_owned),
            engine: Mutex::new(Engine {
                version: 1,
                ..Engine::default()
            }),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            handler,
        });
        let accepting = runner.clone();
        thread::spawn(move || {
            while !accepting.has_ended() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        runner
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Ends it as the end of its process does.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().expect("no panic").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Writes its entry in the platform's store.
    pub fn register(&self, store: &Store) {
        let models = self.models();
        let Self {
            service, address, ..
        } = self;
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"cold_ms\":0,\"stage\":\"colocated\",\
             \"models\":[{models}],\"sequence\":1}}"
        );
        store.write("servers", &self.id, Some(&spec));
    }

    /// The engine as it is now.
    pub fn engine(&self) -> MutexGuard<'_, Engine> {
        let mut engine = self.engine.lock().expect("no panic");
        engine.settle();
        engine
    }

    fn models(&self) -> String {
        let version = self.engine().version;
        let model = self.model.as_ref();
        let model = model.map(|model| {
            format!("{{\"name\":\"{model}\",\"version\":{version},\"adapters\":[]}}")
        });
        model.unwrap_or_default()
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nonblocking(false).ok();
        stream.set_nodelay(true).ok();
        let (Ok(copy), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.connections.lock().expect("no panic").push(kept);
        let mut from = BufReader::new(copy);
        while let Ok(Some(request)) = read_message(&mut from) {
            if self.has_ended() {
                break;
            }
            let (status, fields, body) = match self.answer(&request) {
                Some(answer) => answer,
                None => {
                    self.end();
                    break;
                }
            };
            if write_answer(&mut stream, status, &fields, &body).is_err() {
                break;
            }
        }
        stream.shutdown(Shutdown::Both).ok();
    }

    fn answer(&self, request: &Message) -> Option<(u16, String, String)> {
        let none = String::new;
        let expected = request.field("X-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let id = &self.id;
            return Some((421, format!("X-Instance-Id: {id}\r\n"), none()));
        }
        match request.path() {
            "/api/report" => Some((200, none(), self.report())),
            "/api/order" => Some((self.order(&request.text()), none(), none())),
            "/api/kv-events" => Some((200, none(), self.cache_events(request))),
            _ => self.run(request),
        }
    }

    fn run(&self, request: &Message) -> Option<(u16, String, String)> {
        let id = request.field("X-Request-Id").unwrap_or_default();
        let mut fields = format!("X-Request-Id: {id}\r\n");
        if self.model.is_some() {
            let mut engine = self.engine();
            let own = engine.version;
            if engine.order.is_some() {
                return Some((503, fields + "X-Not-Run: 1\r\n", String::new()));
            }
            let expected = request.field("X-Expect-Version");
            let expected = expected.and_then(|version| version.parse().ok());
            if expected.is_some_and(|version: u64| version != own) {
                return Some((421, fields + "X-Not-Run: 1\r\n", String::new()));
            }
            fields += &format!("X-Weight-Versions: {own}\r\n");
            let prefix = request.field("X-Prefix-Hash").unwrap_or_default();
            let parts = prefix.split(',').filter_map(|part| part.split_once(':'));
            let tokens = parts.filter_map(|(_, tokens)| tokens.parse::<u64>().ok());
            engine.runs.push((id.to_owned(), Instant::now(), tokens.sum()));
        }
        let outcome = (self.handler)(self, request);
        if self.model.is_some() {
            self.engine().runs.retain(|(run, _, _)| run != id);
        }
        match outcome {
            Outcome::Answer(body) => {
                let seal = &self.id;
                fields += &format!("X-Response-Seal: {seal}.{id}\r\n");
                Some((200, fields, body))
            }
            Outcome::Crash => None,
        }
    }

    fn report(&self) -> String {
        let models = self.models();
        let engine = self.engine();
        let (sequence, busy, running) =
            (engine.sequence, engine.order.is_some(), engine.runs.len());
        let mut used = 0;
        let runs = engine.runs.iter().map(|(id, begun, tokens)| {
            let read = begun.elapsed().as_secs_f64() * 1e3 * REPORTED_RATE;
            let read = (*tokens).min(read as u64);
            used += read;
            format!("[\"{id}\",{read},0,5]")
        });
        let runs = runs.collect::<Vec<_>>().join(",");
        format!(
            "{{\"stage\":\"colocated\",\"models\":[{models}],\"busy\":{busy},\"sequence\":{sequence},\
             \"waiting\":0,\"running\":{running},\"kv_used\":{used},\"kv_total\":151921,\"handles\":0,\"runs\":[{runs}]}}"
        )
    }

    /// Accepts an order to take new weights.
    fn order(&self, body: &str) -> u16 {
        let number = |name: &str| -> Option<u64> {
            let rest = body.split(&format!("\"{name}\":")).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let mut engine = self.engine();
        let Some(version) = number("version") else {
            return 400;
        };
        let expected = number("expected");
        if engine.order.is_some() || expected.is_some_and(|expected| expected != engine.sequence) {
            return 409;
        }
        if version == engine.version {
            return 200;
        }
        engine.sequence += 1;
        engine.order = Some((Instant::now() + LOAD_TIME, version));
        202
    }

    fn cache_events(&self, request: &Message) -> String {
        let since = request.query("since").and_then(|text| text.parse().ok());
        let since: usize = since.unwrap_or(0);
        let wait = request.field("Wait-Ms").and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let model = self.model.clone().unwrap_or_default();
        loop {
            let engine = self.engine();
            let next = engine.events.len();
            if next > since || Instant::now() >= until || self.has_ended() {
                return events_text(&engine, since, &model);
            }
            drop(engine);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Changes of a cache from number `since` on, as the platform's pages have them.
pub fn events_text(engine: &Engine, since: usize, model: &str) -> String {
    let new = engine.events.iter().enumerate().skip(since);
    let events = new.map(|(number, (salt, id, tokens))| {
        let sign = if *tokens > 0 { "+" } else { "-" };
        let number = number + 1;
        format!("[{number},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"{model}\"]")
    });
    let events = events.collect::<Vec<_>>().join(",");
    let next = engine.events.len();
    format!("{{\"epoch\":1,\"next\":{next},\"lost\":false,\"events\":[{events}]}}")
}
