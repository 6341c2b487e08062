//! Backend servers and callers that send bytes without end until the connection is closed.

use std::{io::Write as _, net::SocketAddr, time};

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use lentil_fakes::{Engine, EngineSettings};
use lentil_sidecar::BackendKind;
use lentil_tests::{Caller, Process, config_text, wait};
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};

/// How long a process is exposed to the bytes.
const EXPOSURE: time::Duration = time::Duration::from_secs(4);
/// The smallest instances have twice as much.
const MEMORY_LIMIT: usize = 64 << 20;
/// Part of the time for which a process may use a processor. Debug builds are slow.
const PROCESSOR_SHARE: f64 = 0.4;

/// What is sent once and what is then sent without end.
#[derive(Clone, Copy, Debug)]
struct Script {
    start: &'static [u8],
    part: fn() -> Vec<u8>,
}

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn chunk() -> Vec<u8> {
    let data = "x".repeat(64 << 10);
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

fn small_chunks() -> Vec<u8> {
    b"1\r\nx\r\n".repeat(8_192)
}

fn letters() -> Vec<u8> {
    vec![b'x'; 64 << 10]
}

/// Cache events that are valid, each with a piece of its own.
fn cache_events() -> Vec<u8> {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut events = String::new();
    for _ in 0..1_024 {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let data = format!(r#"{{"boot":1,"stored":[{}]}}"#, number * 0x9e37_79b9);
        events += &format!("id: {number}\ndata: {data}\n\n");
    }
    format!("{:x}\r\n{events}\r\n", events.len()).into_bytes()
}

const BODY: Script = Script {
    start: CHUNKED,
    part: chunk,
};
const SMALL_CHUNKS: Script = Script {
    start: CHUNKED,
    part: small_chunks,
};
const EXTENSION: Script = Script {
    start: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    part: letters,
};
const HEAD: Script = Script {
    start: b"HTTP/1.1 200 OK\r\nX: ",
    part: letters,
};
const LENGTH: Script = Script {
    start: b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
    part: letters,
};
const FAILURE: Script = Script {
    start: b"HTTP/1.1 503 -\r\nTransfer-Encoding: chunked\r\n\r\n",
    part: chunk,
};
const EVENTS: Script = Script {
    start: CHUNKED,
    part: cache_events,
};

/// Starts a server that answers requests for `path` by a script, and all others with `other`.
async fn start_server(path: &'static str, script: Script, other: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let address = listener.local_addr().expect("it has an address");
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream, path, script, other)).detach();
        }
    })
    .detach();
    address
}

async fn serve(mut stream: TcpStream, path: &str, script: Script, other: &str) {
    let mut head = vec![0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut head).await {
        let head = String::from_utf8_lossy(&head[..read]).into_owned();
        if !head.contains(path) {
            let length = other.len();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{other}");
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let _ = send(&mut stream, script).await;
        return;
    }
}

async fn send(stream: &mut TcpStream, script: Script) -> std::io::Result<()> {
    stream.write_all(script.start).await?;
    loop {
        stream.write_all(&(script.part)()).await?;
    }
}

/// Memory at its peak, and part of the time for which a processor was used.
async fn exposed(process: &Process) -> (usize, f64) {
    let (begun, used) = (time::Instant::now(), process.processor_time());
    smol::Timer::after(EXPOSURE).await;
    let used = process.processor_time() - used;
    let share = used.as_secs_f64() / begun.elapsed().as_secs_f64();
    (process.peak_memory(), share)
}

async fn assert_bounded(process: &Process) {
    let (memory, share) = exposed(process).await;
    assert!(memory <= MEMORY_LIMIT, "{} MB of memory", memory >> 20);
    assert!(share <= PROCESSOR_SHARE, "{share:.2} of a processor");
}

const STATUS: &str = r#"{"boot":1,"weights":1}"#;

#[rstest]
#[case::body("/status", BODY)]
#[case::small_chunks("/status", SMALL_CHUNKS)]
#[case::extension("/status", EXTENSION)]
#[case::head("/status", HEAD)]
#[case::length("/status", LENGTH)]
#[case::failure("/status", FAILURE)]
#[case::list_body("/cache ", BODY)]
#[case::list_extension("/cache ", EXTENSION)]
#[case::list_length("/cache ", LENGTH)]
#[case::events_body("/cache/events", BODY)]
#[case::events_extension("/cache/events", EXTENSION)]
#[case::valid_events("/cache/events", EVENTS)]
fn an_engine_that_sends_bytes_without_end_takes_little_of_its_sidecar(
    #[case] path: &'static str,
    #[case] script: Script,
) {
    wait::run(async move {
        let server = start_server(path, script, STATUS).await;
        let sidecar = Process::sidecar(server, BackendKind::Engine).await;
        assert_bounded(&sidecar).await;
    });
}

const CALLERS: usize = 4;

/// Requests whose body does not end; the second is rejected before its body is read.
const SOUND_HEAD: &[u8] = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\
    Authorization: Bearer demo-alpha\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n1;";
const UNKNOWN_KEY: &[u8] = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\
    Authorization: Bearer nobody\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n1;";
const UNREAD: &[u8] = b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\
    Authorization: Bearer demo-alpha\r\nTransfer-Encoding: chunked\r\n\r\n1;";

/// Sends an endless message again and again on new connections.
async fn call_without_end(address: SocketAddr, script: Script) {
    loop {
        let mut stream = TcpStream::connect(address).await.expect("it connects");
        let _ = send(&mut stream, script).await;
        smol::Timer::after(time::Duration::from_millis(100)).await;
    }
}

#[rstest]
#[case::sound_head(SOUND_HEAD, letters)]
#[case::unknown_key(UNKNOWN_KEY, letters)]
#[case::unread(UNREAD, letters)]
#[case::small_chunks(&SOUND_HEAD[..SOUND_HEAD.len() - 2], small_chunks)]
fn callers_that_send_bytes_without_end_do_not_slow_the_others(
    #[case] start: &'static [u8],
    #[case] part: fn() -> Vec<u8>,
) {
    wait::run(async move {
        let engine = Engine::start(EngineSettings::default()).expect("an engine starts");
        let sidecar = Process::sidecar(engine.address(), BackendKind::Engine).await;
        let (_config, entry) = start_entry(&config_text(&[sidecar.address], NOBODY)).await;
        let script = Script { start, part };
        let call = |_| smol::spawn(call_without_end(entry.address, script));
        let callers: Vec<_> = (0..CALLERS).map(call).collect();
        assert_bounded(&entry).await;
        let caller = Caller::new(entry.address, "alpha");
        let answer = caller.stream("a sound request").await;
        assert!(answer.is_complete(), "{answer:?}");
        drop(callers);
    });
}

const ADMIN: &[u8] = b"GET /readyz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;";

#[test]
fn operators_that_send_bytes_without_end_do_not_stall_the_process() {
    wait::run(async move {
        let engine = Engine::start(EngineSettings::default()).expect("an engine starts");
        let sidecar = Process::sidecar(engine.address(), BackendKind::Engine).await;
        let script = Script {
            start: ADMIN,
            part: letters,
        };
        let call = |_| smol::spawn(call_without_end(sidecar.admin, script));
        let callers: Vec<_> = (0..CALLERS).map(call).collect();
        assert_bounded(&sidecar).await;
        let status = wait::within("a status", sidecar.admin_status("/readyz")).await;
        assert_eq!(status, 200);
        drop(callers);
    });
}

const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

async fn start_entry(text: &str) -> (tempfile::NamedTempFile, Process) {
    let mut config = tempfile::NamedTempFile::new().expect("a file can be made");
    config.write_all(text.as_bytes()).expect("it is written");
    let entry = Process::entry(config.path()).await;
    (config, entry)
}

/// Callers that read nothing of an answer that a plain service does not end.
#[rstest]
#[case::body(BODY)]
#[case::extension(EXTENSION)]
#[case::failure(FAILURE)]
fn a_service_that_answers_without_end_takes_little_of_sidecar_and_entry(#[case] script: Script) {
    wait::run(async move {
        let server = start_server("/items", script, "").await;
        let sidecar = Process::sidecar(server, BackendKind::Plain).await;
        let engine = Engine::start(EngineSettings::default()).expect("an engine starts");
        let other = Process::sidecar(engine.address(), BackendKind::Engine).await;
        let text = config_text(&[other.address], sidecar.address);
        let (_config, entry) = start_entry(&text).await;
        let request = b"GET /services/desk/items HTTP/1.1\r\nHost: a\r\n\
            Authorization: Bearer demo-alpha\r\n\r\n";
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut stream = TcpStream::connect(entry.address)
                .await
                .expect("it connects");
            stream.write_all(request).await.expect("it is sent");
            callers.push(stream);
        }
        assert_bounded(&sidecar).await;
        assert_bounded(&entry).await;
        let answer = Caller::new(entry.address, "alpha")
            .stream("a sound request")
            .await;
        assert!(answer.is_complete(), "{answer:?}");
        drop(callers);
    });
}
