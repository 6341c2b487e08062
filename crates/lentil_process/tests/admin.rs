//! Tests of the admin server.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use lentil_process::{Secret, admin};
use trillium_client::Client;
use trillium_smol::ClientConfig;

#[derive(Default)]
struct Process {
    draining: AtomicBool,
}

impl admin::ManagedProcess for Process {
    fn ready(&self) -> Result<(), admin::NotReady> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(admin::NotReady::Draining { in_flight: 3 });
        }
        Ok(())
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({ "node": "entry-1" })
    }

    fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }
}

async fn request(server: &admin::Server, method: &str, path: &str, key: &str) -> (u16, String) {
    let url = format!("http://{}{path}", server.address());
    let conn = Client::new(ClientConfig::new())
        .build_conn(method, url.as_str())
        .with_request_header("authorization", format!("Bearer {key}"));
    let mut conn = conn.await.expect("the server answers");
    let body = conn
        .response_body()
        .read_string()
        .await
        .expect("the answer is whole");
    (conn.status().map_or(0, |status| status as u16), body)
}

#[test]
fn a_drained_process_is_healthy_and_not_ready() {
    smol::block_on(async {
        let settings = admin::Settings::default();
        let process = Arc::new(Process::default());
        let server = admin::Server::start(settings, process, ())
            .await
            .expect("it listens");
        assert_eq!(request(&server, "GET", "/readyz", "").await.0, 200);
        assert_eq!(request(&server, "POST", "/drain", "").await.0, 202);
        let (status, reason) = request(&server, "GET", "/readyz", "").await;
        assert_eq!(status, 503);
        assert_eq!(reason, "draining, 3 requests in flight\n");
        assert_eq!(request(&server, "GET", "/healthz", "").await.0, 200);
        assert_eq!(request(&server, "GET", "/nothing", "").await.0, 404);
    });
}

#[test]
fn dump_and_drain_require_the_key_and_health_does_not() {
    smol::block_on(async {
        let key = Some(Secret::new("open sesame"));
        let settings = admin::Settings {
            key,
            ..admin::Settings::default()
        };
        let process = Arc::new(Process::default());
        let server = admin::Server::start(settings, process.clone(), ())
            .await
            .expect("it listens");
        assert_eq!(request(&server, "GET", "/dump", "wrong").await.0, 401);
        assert_eq!(request(&server, "POST", "/drain", "").await.0, 401);
        assert!(!process.draining.load(Ordering::Relaxed));
        let (status, dump) = request(&server, "GET", "/dump", "open sesame").await;
        assert_eq!(status, 200);
        assert!(dump.contains("entry-1"), "{dump}");
        assert_eq!(request(&server, "GET", "/healthz", "").await.0, 200);
    });
}
