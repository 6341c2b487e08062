//! Addresses, HTTP messages and servers on loopback addresses.

use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A loopback address for the instance with this number. Each run has a network of its own,
/// so that the ports of the deployment are free.
pub fn instance(number: u8) -> Ipv4Addr {
    let process = std::process::id();
    let (high, low) = (process / 250 % 250, process % 250);
    Ipv4Addr::new(127, 2 + high as u8, 1 + low as u8, number)
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut named = self.fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_str())
    }

    /// A word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
    }
}

/// Reads a message with a length or in chunks. `None` if the connection ends before its end.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message { start: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    if message.field("Transfer-Encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.field("Content-Length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(1..) if line.ends_with('\n') => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

/// A listening address whose connections are served by a thread each.
pub struct Server {
    stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        let listener = bind(address);
        let stopped = Arc::new(AtomicBool::new(false));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (end, open, serve) = (stopped.clone(), connections.clone(), Arc::new(serve));
        thread::spawn(move || {
            listener.set_nonblocking(true).expect("a listener can be polled");
            while !end.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let ready = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
                let (Ok(()), Ok(copy)) = (ready, stream.try_clone()) else {
                    continue;
                };
                let mut open = open.lock().unwrap();
                open.retain(|one: &TcpStream| one.peer_addr().is_ok());
                open.push(copy);
                drop(open);
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        Self { stopped, connections }
    }

    /// Ends as a process that is killed: its connections close, and nothing listens.
    pub fn kill(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(5));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Binds an address, also shortly after an earlier listener there has ended.
fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..300 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("cannot listen at {address}");
}
