//! Agents over real connections, with the fake platform.

use std::{sync::Arc, time};

use lentil_control::{Agent, Settings};
use lentil_fakes::PlatformSettings;
use lentil_platform::{Instance, InstanceRole, Platform};
use lentil_policy::{config_sync::Doc, poison, store::ObjectVersion, store_budget};
use lentil_types::{Fingerprint, NodeName, PlaceName, RegionName, RunnerState};
use lentil_wire::{Identity, PoisonNotice};

/// Longest wait for a condition; only a failing test reaches it.
const LIMIT: time::Duration = time::Duration::from_secs(120);

fn region() -> RegionName {
    RegionName::new("nw-georgia").expect("a name")
}

fn place() -> PlaceName {
    PlaceName::new("hall-intake").expect("a name")
}

fn start_platform() -> lentil_fakes::Platform {
    lentil_fakes::Platform::start(PlatformSettings::default()).expect("it listens")
}

fn put(platform: &lentil_fakes::Platform, expect: u64, text: &str) {
    let key = Doc::Config.key(&region());
    let value = text.as_bytes().to_vec();
    let written = platform.store().put(&key, ObjectVersion(expect), value);
    written.expect("the version is right");
}

async fn start_agent(platform: &lentil_fakes::Platform, name: &str, seeds: &[&Agent]) -> Agent {
    let client = Arc::new(Platform::new(lentil_platform::Settings {
        address: platform.address(),
        ..lentil_platform::Settings::default()
    }));
    let settings = Settings {
        listen: ([127, 0, 0, 1], 0).into(),
        identity: Identity {
            node: NodeName::new(name).expect("a name"),
            key: "the key of a test on loopback"
                .parse()
                .expect("long enough"),
        },
        place: place(),
        region: region(),
        seeds: seeds.iter().map(|agent| agent.address()).collect(),
        store: client.clone(),
        instances: client,
        budget: store_budget::Settings::default(),
    };
    Agent::start(settings).await.expect("it listens")
}

/// Starts agents and puts them on the instance list.
async fn start_fleet(platform: &lentil_fakes::Platform, count: usize) -> Vec<Agent> {
    let mut agents = Vec::new();
    for index in 0..count {
        agents.push(start_agent(platform, &format!("entry-{index}"), &[]).await);
    }
    let instance = |(index, agent): (usize, &Agent)| Instance {
        node: NodeName::new(&format!("entry-{index}")).expect("a name"),
        role: InstanceRole::Entry,
        place: place(),
        address: agent.address(),
        state: RunnerState::Live,
    };
    platform.set_instances(agents.iter().enumerate().map(instance).collect());
    agents
}

/// Waits until an agent puts this version of the configuration in force, and
/// returns the versions that it put in force before it.
async fn wait_for(agent: &Agent, version: u64) -> Vec<u64> {
    let applied = agent.applied();
    let mut before = Vec::new();
    let wait = async {
        loop {
            let next = applied.recv().await.expect("the agent runs");
            if next.version.0 >= version {
                assert_eq!(next.version.0, version);
                return before;
            }
            before.push(next.version.0);
        }
    };
    let timer = async {
        smol::Timer::after(LIMIT).await;
        panic!(
            "version {version} is not in force: {}",
            agent.status().dump()
        );
    };
    smol::future::or(wait, timer).await
}

/// Waits until exactly `count` agents watch the store.
async fn wait_for_watchers(agents: &[Agent], count: usize) {
    let watches = |agent: &&Agent| agent.status().dump()["sync"]["watches"] == true;
    let limit = time::Instant::now() + LIMIT;
    while agents.iter().filter(watches).count() != count {
        assert!(
            time::Instant::now() < limit,
            "{count} agents should watch the store"
        );
        smol::Timer::after(time::Duration::from_millis(20)).await;
    }
}

#[test]
fn an_applied_configuration_comes_into_force_at_every_agent_in_order() {
    let platform = start_platform();
    put(&platform, 0, "one");
    smol::block_on(async {
        let agents = start_fleet(&platform, 6).await;
        for agent in &agents {
            assert!(wait_for(agent, 1).await.is_empty());
        }
        wait_for_watchers(&agents, 2).await;
        put(&platform, 1, "two");
        for agent in &agents {
            assert!(wait_for(agent, 2).await.is_empty());
            assert_eq!(agent.status().not_ready(), None);
        }
    });
}

#[test]
fn after_an_outage_during_an_apply_every_agent_has_the_new_configuration() {
    let platform = start_platform();
    put(&platform, 0, "one");
    smol::block_on(async {
        let agents = start_fleet(&platform, 3).await;
        for agent in &agents {
            wait_for(agent, 1).await;
        }
        platform.faults().set_down(true);
        put(&platform, 1, "two");
        while agents.iter().any(|agent| agent.store().is_closed()) {
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
        platform.faults().set_down(false);
        for agent in &agents {
            wait_for(agent, 2).await;
        }
    });
}

#[test]
fn an_agent_that_starts_with_the_store_down_syncs_from_a_peer() {
    let platform = start_platform();
    put(&platform, 0, "one");
    smol::block_on(async {
        let old = start_agent(&platform, "entry-0", &[]).await;
        wait_for(&old, 1).await;
        platform.faults().set_down(true);
        let new = start_agent(&platform, "entry-1", &[&old]).await;
        wait_for(&new, 1).await;
        assert_eq!(new.status().not_ready(), None);
    });
}

#[test]
fn an_agent_without_a_configuration_reports_why_it_is_not_ready() {
    let platform = start_platform();
    platform.faults().set_down(true);
    smol::block_on(async {
        let agent = start_agent(&platform, "entry-0", &[]).await;
        let not_ready = |agent: &Agent| agent.status().not_ready().map(|reason| reason.to_string());
        let wanted = "no configuration: the store is down; 0 of 0 peers answered, none with a text";
        while not_ready(&agent).as_deref() != Some(wanted) {
            smol::Timer::after(time::Duration::from_millis(20)).await;
        }
        let dump = agent.status().dump();
        assert_eq!(dump["store"]["calls"][0]["purpose"], "config");
    });
}

#[test]
fn a_peer_with_another_fleet_key_is_refused() {
    let platform = start_platform();
    put(&platform, 0, "one");
    smol::block_on(async {
        let agent = start_agent(&platform, "entry-0", &[]).await;
        wait_for(&agent, 1).await;
        let other_fleet = Identity {
            node: NodeName::new("stranger").expect("a name"),
            key: "another key, also long enough"
                .parse()
                .expect("long enough"),
        };
        let refused = lentil_wire::Link::connect(agent.address(), &other_fleet).await;
        assert!(refused.is_err());
    });
}

/// Waits until an agent has a poison document that counts `crashes` crashes of
/// the fingerprint.
async fn wait_for_crashes(agent: &Agent, fingerprint: Fingerprint, crashes: u32) {
    let applied = agent.applied();
    let wait = async {
        loop {
            let next = applied.recv().await.expect("the agent runs");
            if next.doc != Doc::Poison {
                continue;
            }
            let document = poison::Document::parse(&next.value).expect("well formed");
            if document.crashes(fingerprint) == crashes {
                return;
            }
        }
    };
    let timer = async {
        smol::Timer::after(LIMIT).await;
        panic!(
            "the poison document lacks crashes: {}",
            agent.status().dump()
        );
    };
    smol::future::or(wait, timer).await;
}

#[test]
fn crashes_reach_every_agent_of_the_region() {
    let platform = start_platform();
    put(&platform, 0, "one");
    smol::block_on(async {
        let agents = start_fleet(&platform, 3).await;
        let (reports, crashes) = smol::channel::unbounded();
        let record = lentil_control::record_crashes(agents[0].store(), region(), crashes);
        let _record = smol::spawn(record);
        for crashes in [1, 2] {
            let fingerprint = Fingerprint(7);
            let notice = PoisonNotice {
                fingerprint,
                crashes,
            };
            reports.try_send(notice).expect("it is open");
        }
        for agent in &agents {
            wait_for_crashes(agent, Fingerprint(7), 2).await;
        }
    });
}
