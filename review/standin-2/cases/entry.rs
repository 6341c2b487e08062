//! Entries of another writer, with fields missing or of another type, name a server of
//! another service as a runner. Requests must not run there.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{self, Request, Traffic, RED};
use crate::deployment::{Deployment, MODELS};
use crate::record::Record;
use crate::store::SERVERS;
use crate::Verdict;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [callers::route("/desk/", "non_idempotent", "desk")];
    let services = ["desk", "archive"].map(callers::service);
    let services = [services.to_vec(), vec![callers::model_service(MODELS)]].concat();
    let mut deployment = Deployment::start(record, &callers::config(1, &routes, &services, &[]));
    let desk: Vec<_> = (1..=2).map(|n| deployment.runner(&format!("d-{n}"), "desk", 10 + n, 30)).collect();
    // No route leads to this service. Its runners answer 421 where another id is expected.
    let archive: Vec<_> =
        (1..=3).map(|n| deployment.unregistered(&format!("a-{n}"), "archive", 20 + n, 30)).collect();
    deployment.start_fronts();
    let request = Request {
        method: "POST",
        path: "/desk/order",
        key: RED.1,
        deadline_ms: 3_000,
        fields: String::new(),
    };
    let traffic = Traffic::start(record, &deployment.fronts, request, 20.0);
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        let common = |n: usize| format!(r#""service":"desk","address":"{}","zone":"here","state":"ready""#, archive[n].address);
        let odd = [
            // Without `slots`.
            format!(r#"{{{},"version":"v1","cold_ms":0,"sequence":1}}"#, common(0)),
            // Without `version`, `cold_ms` and `sequence`.
            format!(r#"{{{},"slots":8}}"#, common(1)),
            // `sequence` and `cold_ms` of another type.
            format!(r#"{{{},"version":"v1","slots":8,"cold_ms":"none","sequence":"first"}}"#, common(2)),
        ];
        for (runner, entry) in archive.iter().zip(&odd) {
            deployment.store.put(SERVERS, &runner.id, entry);
        }
    }
    thread::sleep(Duration::from_secs(8));
    let asked = traffic.finish();
    let own: usize = desk.iter().map(|runner| runner.runs().len()).sum();
    record.conclude(&format!("{} requests sent, {own} run by the service's runners", asked.len()));
    let mut foreign = 0;
    for runner in &archive {
        let runs = runner.runs().len();
        record.conclude(&format!("{runs} run by {} of the service archive", runner.id));
        foreign += runs;
    }
    if own == 0 {
        return Verdict::NotRun;
    }
    record.conclude(if foreign > 0 { "ROUTE: broken" } else { "ROUTE: held" });
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}
