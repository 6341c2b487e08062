//! A configuration that operators apply reaches running entries and sidecars.

use std::{net, sync::Arc, time};

use lentil_config::Config;
use lentil_control::Agent;
use lentil_entry::Entry;
use lentil_fakes::{Plain, PlainSettings, PlatformSettings};
use lentil_platform::{Instance, InstanceRole, Platform};
use lentil_policy::{config_sync::Doc, store::ObjectVersion};
use lentil_process::{metrics::Metrics, settings::BackendKind};
use lentil_sidecar::Sidecar;
use lentil_types::{ConfigVersion, NodeName, PlaceName, RegionName, RunnerState};
use lentil_wire::Identity;

/// Longest wait for a condition; only a failing test reaches it.
const TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// Two entries and two sidecars, each with its agent.
struct Fleet {
    platform: lentil_fakes::Platform,
    entries: Vec<(Entry, Agent)>,
    sidecars: Vec<(Sidecar, Agent)>,
    _plains: Vec<Plain>,
}

fn loopback() -> net::SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn identity(name: &str) -> Identity {
    Identity {
        node: NodeName::new(name).expect("a name"),
        key: "the key of a test on loopback"
            .parse()
            .expect("long enough"),
    }
}

fn region() -> RegionName {
    RegionName::new("nw-georgia").expect("a name")
}

async fn start_agent(platform: &lentil_fakes::Platform, name: &str) -> Agent {
    let client = Arc::new(Platform::new(lentil_platform::Settings {
        address: platform.address(),
        ..lentil_platform::Settings::default()
    }));
    let settings = lentil_control::Settings {
        listen: loopback(),
        identity: identity(name),
        place: PlaceName::new("hall-intake").expect("a name"),
        region: region(),
        seeds: Vec::new(),
        store: client.clone(),
        instances: client,
        budget: lentil_policy::store_budget::Settings::default(),
    };
    Agent::start(settings).await.expect("it listens")
}

impl Fleet {
    async fn start() -> Self {
        let platform = lentil_fakes::Platform::start(PlatformSettings::default());
        let mut fleet = Self {
            platform: platform.expect("it listens"),
            entries: Vec::new(),
            sidecars: Vec::new(),
            _plains: Vec::new(),
        };
        for index in 1..=2 {
            fleet.start_sidecar(&format!("dockdesk-{index}")).await;
            fleet.start_entry(&format!("entry-{index}")).await;
        }
        fleet.list_instances();
        fleet
    }

    async fn start_sidecar(&mut self, name: &str) {
        let plain = Plain::start(&PlainSettings::default()).expect("it listens");
        let sidecar = Sidecar::start(lentil_sidecar::Settings {
            listen: loopback(),
            backend: plain.address(),
            kind: BackendKind::Plain,
            identity: identity(name),
            metrics: Metrics::local(),
        });
        let sidecar = sidecar.await.expect("it listens");
        let agent = start_agent(&self.platform, name).await;
        smol::spawn(lentil_sidecar::follow(sidecar.control(), agent.applied())).detach();
        self.sidecars.push((sidecar, agent));
        self._plains.push(plain);
    }

    async fn start_entry(&mut self, name: &str) {
        let agent = start_agent(&self.platform, name).await;
        let entry = Entry::start(lentil_entry::Settings {
            listen: loopback(),
            identity: identity(name),
            place: None,
            version: ConfigVersion(0),
            config: Arc::new(Config::empty(region())),
            store: agent.store(),
            limits: lentil_entry::Limits::default(),
            metrics: Metrics::local(),
        });
        let entry = entry.await.expect("it listens");
        smol::spawn(lentil_entry::follow(entry.control(), agent.applied())).detach();
        self.entries.push((entry, agent));
    }

    /// Puts every process on the platform's instance list.
    fn list_instances(&self) {
        let instance = |role, name: String, agent: &Agent| Instance {
            node: NodeName::new(&name).expect("a name"),
            role,
            place: PlaceName::new("hall-intake").expect("a name"),
            address: agent.address(),
            state: RunnerState::Live,
        };
        let entries = self.entries.iter().enumerate().map(|(index, (_, agent))| {
            instance(InstanceRole::Entry, format!("entry-{}", index + 1), agent)
        });
        let sidecars = self.sidecars.iter().enumerate().map(|(index, (_, agent))| {
            instance(
                InstanceRole::Sidecar,
                format!("dockdesk-{}", index + 1),
                agent,
            )
        });
        self.platform
            .set_instances(entries.chain(sidecars).collect());
    }

    /// A configuration text whose service has the first `runners` sidecars.
    fn config_text(&self, runners: usize) -> String {
        let runner = |(index, (sidecar, _)): (usize, &(Sidecar, Agent))| {
            let (name, address) = (index + 1, sidecar.address());
            format!(
                "{{ name = \"dockdesk-{name}\", place = \"hall-intake\", address = \"{address}\" }}"
            )
        };
        let runners: Vec<_> = self
            .sidecars
            .iter()
            .enumerate()
            .take(runners)
            .map(runner)
            .collect();
        format!(
            "region = \"nw-georgia\"\n[[place]]\nname = \"hall-intake\"\n[[service]]\n\
             name = \"dockdesk\"\nkind = \"plain\"\nrunners = [{}]\n",
            runners.join(", ")
        )
    }

    fn apply(&self, expected: u64, runners: usize) {
        let key = Doc::Config.key(&region());
        let text = self.config_text(runners);
        Config::parse(&text).expect("the configuration is valid");
        let store = self.platform.store();
        let written = store.put(&key, ObjectVersion(expected), text.into_bytes());
        assert_eq!(written.expect("the version is right").0, expected + 1);
    }

    /// Waits until every process uses this version.
    async fn wait_for_version(&self, version: u64) {
        let deadline = time::Instant::now() + TIMEOUT;
        let version = ConfigVersion(version);
        loop {
            let entries = self
                .entries
                .iter()
                .map(|(entry, _)| entry.control().version());
            let sidecars = self
                .sidecars
                .iter()
                .map(|(sidecar, _)| sidecar.control().version());
            let versions: Vec<_> = entries.chain(sidecars).collect();
            if versions.iter().all(|found| *found == version) {
                return;
            }
            assert!(time::Instant::now() < deadline, "{versions:?}");
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
    }
}

#[test]
fn an_applied_configuration_reaches_every_entry_and_sidecar() {
    smol::block_on(async {
        let fleet = Fleet::start().await;
        for version in 0..3 {
            fleet.apply(version, 1 + version as usize % 2);
            fleet.wait_for_version(version + 1).await;
        }
        for (entry, _) in &fleet.entries {
            let runners: usize = entry.control().config().services[0].runners.len();
            assert_eq!(runners, 1);
        }
    });
}

#[test]
fn processes_keep_their_configuration_in_a_store_outage_and_update_after_it() {
    smol::block_on(async {
        let fleet = Fleet::start().await;
        fleet.apply(0, 1);
        fleet.wait_for_version(1).await;
        fleet.platform.faults().set_down(true);
        fleet.apply(1, 2);
        let entries = fleet.entries.iter().map(|(_, agent)| agent);
        let sidecars = fleet.sidecars.iter().map(|(_, agent)| agent);
        let agents: Vec<_> = entries.chain(sidecars).collect();
        // Waits until a process that watches the store has noticed the outage.
        while agents.iter().all(|agent| agent.store().is_closed()) {
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
        fleet.wait_for_version(1).await;
        fleet.platform.faults().set_down(false);
        fleet.wait_for_version(2).await;
    });
}
