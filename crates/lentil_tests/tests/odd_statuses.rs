//! Engines whose answers have a status code that HTTP does not know.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _};
use lentil_process::{admin::ManagedProcess as _, metrics::Metrics};
use lentil_sidecar::{BackendKind, Settings, Sidecar};
use lentil_tests::{identity, wait};
use smol::net::{TcpListener, TcpStream};

const STATUS: &str = r#"{"boot":"0000000000000001","weights":1}"#;
const CACHE: &str = r#"{"boot":"0000000000000001","number":0,"pieces":[]}"#;

/// Calls of an engine, by path.
#[derive(Default)]
struct Calls {
    status: AtomicUsize,
    cache: AtomicUsize,
}

/// Starts an engine whose first `odd` answers on each path have the status 000.
async fn start_engine(odd: usize) -> (SocketAddr, Arc<Calls>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let address = listener.local_addr().expect("it has an address");
    let calls = Arc::new(Calls::default());
    let counted = calls.clone();
    smol::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream, counted.clone(), odd)).detach();
        }
    })
    .detach();
    (address, calls)
}

async fn serve(mut stream: TcpStream, calls: Arc<Calls>, odd: usize) {
    let mut head = vec![0; 16 << 10];
    while let Ok(read @ 1..) = stream.read(&mut head).await {
        let head = String::from_utf8_lossy(&head[..read]).into_owned();
        let (count, body) = match head.contains("/status") {
            true => (&calls.status, STATUS),
            false => (&calls.cache, CACHE),
        };
        let code = match count.fetch_add(1, Ordering::Relaxed) < odd {
            true => "000",
            false => "200",
        };
        let length = body.len();
        let answer = format!("HTTP/1.1 {code} -\r\nContent-Length: {length}\r\n\r\n{body}");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

// One odd answer took a sound engine out of service until its sidecar was started again.
#[test]
fn a_sidecar_goes_on_calling_an_engine_that_answered_with_an_unknown_status() {
    wait::run(async {
        let (engine, calls) = start_engine(2).await;
        let sidecar = Sidecar::start(Settings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            backend: engine,
            kind: BackendKind::Engine,
            identity: identity("sidecar"),
            metrics: Metrics::local(),
        });
        let sidecar = sidecar.await.expect("it starts");
        let subject = sidecar.admin_handle();
        wait::until("the sidecar is ready", || subject.ready().is_ok()).await;
        let cached = || calls.cache.load(Ordering::Relaxed);
        wait::until("it follows the cache", || cached() > 3).await;
        assert!(calls.status.load(Ordering::Relaxed) > 2);
    });
}
