//! All runners of a service crash at once while they run the same lookup for several callers,
//! and are back two seconds later. The lookup must be served again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{self, Request, Traffic, RED};
use crate::deployment::{Deployment, MODELS};
use crate::record::Record;
use crate::Verdict;

const RUNNERS: u8 = 3;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [callers::route("/book/", "idempotent", "book"), callers::route("/desk/", "non_idempotent", "desk")];
    let services = [callers::service("desk"), callers::service("book"), callers::model_service(MODELS)];
    let mut deployment = Deployment::start(record, &callers::config(1, &routes, &services, &[]));
    let _desk: Vec<_> = (1..=2).map(|n| deployment.runner(&format!("d-{n}"), "desk", 10 + n, 30)).collect();
    let book: Vec<_> = (1..=RUNNERS).map(|n| deployment.runner(&format!("b-{n}"), "book", 20 + n, 250)).collect();
    deployment.start_fronts();
    let request = |method, path| Request { method, path, key: RED.1, deadline_ms: 3_000, fields: String::new() };
    let lookups = Traffic::start(record, &deployment.fronts, request("GET", "/book/rates"), 20.0);
    let orders = Traffic::start(record, &deployment.fronts, request("POST", "/desk/order"), 20.0);
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let crashes = book.iter().cloned().map(|runner| thread::spawn(move || runner.crash()));
        let crashes: Vec<_> = crashes.collect();
        crashes.into_iter().for_each(|crash| drop(crash.join()));
        book.iter().for_each(|runner| deployment.lapse(&runner.id));
        thread::sleep(Duration::from_secs(2));
        // Each start is a new incarnation with a new id.
        for n in 1..=RUNNERS {
            deployment.runner(&format!("b-{n}-again"), "book", 20 + n, 250);
        }
    }
    // `recovery_s`.
    thread::sleep(Duration::from_secs(12));
    let since = record.now();
    thread::sleep(Duration::from_secs(30));
    let (lookups, orders) = (lookups.finish(), orders.finish());
    super::judge_starved(record, &lookups, &orders, since)
}
