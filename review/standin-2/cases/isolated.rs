//! A configuration isolates a tenant whose prompts are cached already. From then on no other
//! tenant's request may use what its requests have made.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::callers::{self, Request, BLUE, RED};
use crate::deployment::{Deployment, MODELS};
use crate::record::Record;
use crate::runner::MODEL;
use crate::Verdict;

/// `config_ms` and some more.
const IN_FORCE: Duration = Duration::from_millis(3_000);

/// A prompt with a shared part and a part of its own.
fn prompt(key: &'static str, own: u32) -> Request {
    Request {
        method: "POST",
        path: "/sort/list",
        key,
        deadline_ms: 3_000,
        fields: format!(
            "X-Model: {MODEL}\r\nX-Token-Count: 2300,20\r\nX-Prefix-Hash: 5c1e07a2:2000,{own:08x}:300\r\n"
        ),
    }
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let routes = [callers::route("/sort/", "stream", MODELS), callers::route("/desk/", "non_idempotent", "desk")];
    let services = [callers::service("desk"), callers::model_service(MODELS)];
    let config = |version, isolated: &[&str]| callers::config(version, &routes, &services, isolated);
    let mut deployment = Deployment::start(record, &config(1, &[]));
    let _desk = deployment.runner("d-1", "desk", 11, 30);
    deployment.start_fronts();
    thread::sleep(Duration::from_secs(3));
    let mut number = 0;
    let mut ask = |key, count| {
        for _ in 0..count {
            let front = deployment.fronts[number as usize % deployment.fronts.len()];
            number += 1;
            callers::ask(record, front, &prompt(key, number));
            thread::sleep(Duration::from_millis(50));
        }
    };
    // Its requests are the first with this prompt, at every runner.
    ask(BLUE.1, 20);
    let isolated: &[&str] = if has_trouble { &[BLUE.0] } else { &[] };
    deployment.store.put("config", "main", &config(2, isolated));
    thread::sleep(IN_FORCE);
    let since = record.now();
    record.note("version 2 was acknowledged more than config_ms ago");
    ask(RED.1, 20);
    ask(BLUE.1, 20);
    ask(RED.1, 20);
    let mut runs: Vec<_> = deployment.models.iter().flat_map(|runner| runner.runs()).collect();
    runs.retain(|run| run.at >= since);
    let is_foreign = |tenant: &str, maker: &str| tenant != maker && (tenant == BLUE.0 || maker == BLUE.0);
    let foreign = runs.iter().filter(|run| run.used.iter().any(|(_, maker)| is_foreign(&run.tenant, maker)));
    let foreign = foreign.count();
    let named = if has_trouble { "isolated" } else { "not isolated" };
    record.conclude(&format!("{} requests run under version 2, in which {} is {named}", runs.len(), BLUE.0));
    record.conclude(&format!("{foreign} of them used KV cache of the other tenant"));
    if runs.len() < 50 {
        return Verdict::NotRun;
    }
    let is_broken = has_trouble && foreign > 0;
    record.conclude(if is_broken { "WALL: broken" } else { "WALL: held" });
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
