//! Entries of another writer name a service that is not configured, at the addresses of live
//! runners. They name no runner to use, and the live runners must be used as before.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{self, Request, Traffic, RED};
use crate::deployment::{Deployment, MODELS};
use crate::record::Record;
use crate::store::SERVERS;
use crate::Verdict;

const RUNNERS: u8 = 3;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [callers::route("/book/", "idempotent", "book"), callers::route("/desk/", "non_idempotent", "desk")];
    let services = [callers::service("desk"), callers::service("book"), callers::model_service(MODELS)];
    let mut deployment = Deployment::start(record, &callers::config(1, &routes, &services, &[]));
    let desk: Vec<_> = (1..=RUNNERS).map(|n| deployment.runner(&format!("d-{n}"), "desk", 10 + n, 30)).collect();
    let _book: Vec<_> = (1..=2).map(|n| deployment.runner(&format!("b-{n}"), "book", 20 + n, 30)).collect();
    deployment.start_fronts();
    let request = |method, path| Request { method, path, key: RED.1, deadline_ms: 3_000, fields: String::new() };
    let orders = Traffic::start(record, &deployment.fronts, request("POST", "/desk/order"), 10.0);
    let lookups = Traffic::start(record, &deployment.fronts, request("GET", "/book/rates"), 10.0);
    thread::sleep(Duration::from_secs(3));
    let name = |id: &str| format!("old-{id}");
    if has_trouble {
        for runner in &desk {
            let entry = runner.entry().replace(r#""service":"desk""#, r#""service":"elsewhere""#);
            deployment.store.put(SERVERS, &name(&runner.id), &entry);
        }
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        // The other writer takes its entries back.
        desk.iter().for_each(|runner| deployment.store.remove(SERVERS, &name(&runner.id)));
    }
    // `recovery_s`.
    thread::sleep(Duration::from_secs(12));
    let since = record.now();
    thread::sleep(Duration::from_secs(30));
    let (orders, lookups) = (orders.finish(), lookups.finish());
    super::judge_starved(record, &orders, &lookups, since)
}
