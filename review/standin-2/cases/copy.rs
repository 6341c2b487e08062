//! The runners of a service crash and are back under new ids. Some seconds later the store is
//! away for a moment and comes back from a copy from before that. The runners write their
//! entries again, and must be used.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{self, Request, Traffic, RED};
use crate::deployment::{Deployment, MODELS};
use crate::record::Record;
use crate::Verdict;

const RUNNERS: u8 = 2;

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
    desk.iter().for_each(|runner| runner.crash());
    desk.iter().for_each(|runner| deployment.lapse(&runner.id));
    thread::sleep(Duration::from_millis(1_500));
    let copy = deployment.store.copy();
    thread::sleep(Duration::from_millis(500));
    let again: Vec<_> =
        (1..=RUNNERS).map(|n| deployment.runner(&format!("d-{n}-again"), "desk", 10 + n, 30)).collect();
    thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        deployment.store.go_away();
        thread::sleep(Duration::from_secs(3));
        deployment.store.return_from(copy);
        // The copy has the entries of the runners that have crashed.
        desk.iter().for_each(|runner| deployment.lapse(&runner.id));
    }
    // `recovery_s`.
    thread::sleep(Duration::from_secs(12));
    let since = record.now();
    thread::sleep(Duration::from_secs(40));
    let (orders, lookups) = (orders.finish(), lookups.finish());
    let runs: usize = again.iter().map(|runner| runner.runs().len()).sum();
    record.conclude(&format!("{runs} orders run by the runners that are back"));
    super::judge_starved(record, &orders, &lookups, since)
}
