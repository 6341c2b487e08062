//! A small deployment: the store, two routers, application runners, and model runners with
//! an agent each.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::net::instance;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::{Store, SERVERS};
use crate::system::{wait_until_ready, Folder, Process};

/// Service of the model runners.
pub const MODELS: &str = "sorter";
const RUNNER_PORT: u16 = 8790;
/// The platform removes an entry after three heartbeats of silence.
pub const LAPSE: Duration = Duration::from_millis(3_600);

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub fronts: Vec<Ipv4Addr>,
    pub models: Vec<Arc<Runner>>,
    processes: Vec<Process>,
    folder: Folder,
}

impl Deployment {
    /// Starts the store with this configuration and the model runners, but no routers.
    pub fn start(record: &Arc<Record>, config: &str) -> Self {
        let store = Store::start(record, SocketAddr::new(instance(1).into(), 8784));
        store.put("config", "main", config);
        store.put("versions", crate::runner::MODEL, &format!(r#"{{"model":"{}","version":1}}"#, crate::runner::MODEL));
        let mut deployment = Self {
            record: record.clone(),
            store,
            fronts: vec![instance(101), instance(102)],
            models: Vec::new(),
            processes: Vec::new(),
            folder: Folder::open(),
        };
        for number in 1..=2 {
            let work = Duration::from_millis(60);
            let name = format!("m-{number}");
            let address = SocketAddr::new(instance(50 + number).into(), RUNNER_PORT);
            let runner = Runner::start(record, (&name, MODELS), address, work, true);
            runner.register(&deployment.store);
            let agent = Process::side(&deployment.folder, address, deployment.store.address, MODELS);
            deployment.processes.push(agent);
            deployment.models.push(runner);
        }
        deployment
    }

    /// Starts a runner of an application and registers it.
    pub fn runner(&self, id: &str, service: &str, host: u8, work_ms: u64) -> Arc<Runner> {
        let runner = self.unregistered(id, service, host, work_ms);
        runner.register(&self.store);
        runner
    }

    /// Starts a runner that does not write to the store.
    pub fn unregistered(&self, id: &str, service: &str, host: u8, work_ms: u64) -> Arc<Runner> {
        let address = SocketAddr::new(instance(host).into(), RUNNER_PORT);
        let work = Duration::from_millis(work_ms);
        Runner::start(&self.record, (id, service), address, work, false)
    }

    /// Starts the routers and waits until they are ready.
    pub fn start_fronts(&mut self) {
        for ip in &self.fronts {
            let front = Process::front(&self.folder, *ip, self.store.address, &self.fronts);
            self.processes.push(front);
        }
        wait_until_ready(&self.fronts);
        self.record.note("the routers are ready");
    }

    /// Removes the entry of a runner that is silent from now on, when it lapses.
    pub fn lapse(&self, id: &str) {
        let (store, id) = (self.store.clone(), id.to_owned());
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.remove(SERVERS, &id);
        });
    }
}
