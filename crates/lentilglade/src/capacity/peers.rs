//! Measures a real entry and a real sidecar with many peers.

use std::{env, io, net, path, process, sync::Arc, time};

use lentil_control::Agent;
use lentil_fakes::{Plain, PlainSettings, Platform, PlatformSettings};
use lentil_platform::{Instance, InstanceRole};
use lentil_policy::{
    config_sync::{Doc, Tree},
    store::ObjectVersion,
    store_budget,
};
use lentil_types::{NodeName, PlaceName, RegionName, RunnerState};
use lentil_wire::Identity;

use super::{process as proc, proxy::Proxy};
use crate::cpu;

const FLEET_KEY: &str = "the key of a benchmark on loopback";
const CONFIG_TEXT: &str = "region = \"nw-georgia\"\n[[place]]\nname = \"hall-intake\"\n";
/// Default processes per data centre that watch the store, and default processes
/// that ask any one other for updates.
const TREE: (usize, usize) = (2, 8);

/// Settings of a measurement with peers.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// Number of peers besides the two processes.
    pub peers: usize,
    /// Time that the two processes run before the measurement.
    pub warm_up: time::Duration,
    /// Length of the measurement.
    pub duration: time::Duration,
}

/// Resource use of one process while no document changed.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Resident memory, in bytes.
    pub memory: u64,
    /// CPU time as a share of one core.
    pub cpu_share: f64,
    /// Bytes per second to and from peers, as the process counts them.
    pub peer_rate: f64,
    /// Bytes per second on connections from peers, as a proxy counts them.
    pub request_rate: f64,
    /// Bytes per second to and from the platform, as a proxy counts them.
    pub platform_rate: f64,
}

/// A measured process. Dropping it kills the process.
struct Child {
    child: process::Child,
    admin: net::SocketAddr,
    /// Proxy between the process and the platform.
    platform: Proxy,
    /// Proxy between peers and the process.
    requests: Proxy,
}

impl Drop for Child {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Counters of a process at one time.
struct Counters {
    cpu: time::Duration,
    peers: u64,
    requests: u64,
    platform: u64,
}

/// Starts an entry that watches the store and is asked by as many peers as the tree
/// allows, and a sidecar that asks a peer; returns the resource use of both.
///
/// # Errors
/// An I/O error when a part does not start.
pub async fn measure(settings: PeerSettings) -> io::Result<[Usage; 2]> {
    let platform = Platform::start(PlatformSettings::default())?;
    let region = RegionName::new("nw-georgia").map_err(io::Error::other)?;
    let key = Doc::Config.key(&region);
    let written = platform
        .store()
        .put(&key, ObjectVersion(0), CONFIG_TEXT.into());
    written.map_err(io::Error::other)?;
    let names = Names::choose(settings.peers);
    let mut agents = Vec::new();
    for name in &names.peers {
        agents.push(start_agent(&platform, &region, name).await?);
    }
    let backend = Plain::start(&PlainSettings::default())?;
    let entry = Child::entry(&platform, &names.entry).await?;
    let sidecar = Child::sidecar(&platform, &names.sidecar, backend.address()).await?;
    let mut list = vec![
        instance(InstanceRole::Entry, &names.entry, entry.requests.address()),
        instance(
            InstanceRole::Sidecar,
            &names.sidecar,
            sidecar.requests.address(),
        ),
    ];
    for (name, agent) in names.peers.iter().zip(&agents) {
        list.push(instance(InstanceRole::Sidecar, name, agent.address()));
    }
    platform.set_instances(list);
    smol::Timer::after(settings.warm_up).await;
    let before = [entry.counters().await?, sidecar.counters().await?];
    smol::Timer::after(settings.duration).await;
    let after = [entry.counters().await?, sidecar.counters().await?];
    let usage =
        |child: &Child, index: usize| child.usage(&before[index], &after[index], settings.duration);
    Ok([usage(&entry, 0), usage(&sidecar, 1)])
}

/// Names of the processes, chosen so that the entry is first in the tree and the
/// sidecar last.
struct Names {
    peers: Vec<NodeName>,
    entry: NodeName,
    sidecar: NodeName,
}

impl Names {
    fn choose(count: usize) -> Self {
        let name = |number: usize| NodeName::new(&format!("node-{number}")).expect("a name");
        let nodes: Vec<_> = (0..count + 2).map(name).collect();
        let tree = Tree::new(nodes.clone(), TREE.0, TREE.1);
        let mut nodes = nodes;
        nodes.sort_by_key(|node| tree.rank(node));
        let sidecar = nodes.pop().expect("there are at least two");
        let entry = nodes.remove(0);
        Self {
            peers: nodes,
            entry,
            sidecar,
        }
    }
}

fn instance(role: InstanceRole, node: &NodeName, address: net::SocketAddr) -> Instance {
    Instance {
        node: node.clone(),
        role,
        place: place(),
        address,
        state: RunnerState::Live,
    }
}

fn place() -> PlaceName {
    PlaceName::new("hall-intake").expect("a name")
}

async fn start_agent(
    platform: &Platform,
    region: &RegionName,
    node: &NodeName,
) -> io::Result<Agent> {
    let client = Arc::new(lentil_platform::Platform::new(lentil_platform::Settings {
        address: platform.address(),
        ..lentil_platform::Settings::default()
    }));
    let settings = lentil_control::Settings {
        listen: ([127, 0, 0, 1], 0).into(),
        identity: Identity {
            node: node.clone(),
            key: FLEET_KEY.parse().map_err(io::Error::other)?,
        },
        place: place(),
        region: region.clone(),
        seeds: Vec::new(),
        store: client.clone(),
        instances: client,
        budget: store_budget::Settings::default(),
    };
    Agent::start(settings).await
}

impl Child {
    async fn entry(platform: &Platform, node: &NodeName) -> io::Result<Self> {
        let peer = free_address()?;
        let settings = [
            format!("entry.listen={}", free_address()?),
            format!("entry.peer={peer}"),
        ];
        Self::start("lentil-entry", platform, node, peer, &settings).await
    }

    async fn sidecar(
        platform: &Platform,
        node: &NodeName,
        backend: net::SocketAddr,
    ) -> io::Result<Self> {
        let peer = free_address()?;
        let settings = [
            format!("sidecar.listen={}", free_address()?),
            format!("sidecar.peer={peer}"),
            format!("sidecar.runner={node}"),
            format!("sidecar.backend={backend}"),
            "sidecar.kind=plain".to_owned(),
        ];
        Self::start("lentil-sidecar", platform, node, peer, &settings).await
    }

    async fn start(
        program: &str,
        platform: &Platform,
        node: &NodeName,
        peer: net::SocketAddr,
        settings: &[String],
    ) -> io::Result<Self> {
        let (admin, requests) = (free_address()?, Proxy::start(peer).await?);
        let platform = Proxy::start(platform.address()).await?;
        let common = [
            format!("node={node}"),
            format!("place={}", place()),
            "region=nw-georgia".to_owned(),
            format!("fleet_key={FLEET_KEY}"),
            format!("admin={admin}"),
            format!("platform={}", platform.address()),
            "log.level=error".to_owned(),
        ];
        let args = common
            .iter()
            .chain(settings)
            .flat_map(|value| ["--set", value.as_str()]);
        let child = process::Command::new(sibling_program(program)?)
            .args(args)
            .spawn()?;
        Ok(Self {
            child,
            admin,
            platform,
            requests,
        })
    }

    async fn counters(&self) -> io::Result<Counters> {
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let url = format!("http://{}/dump", self.admin);
        let mut conn = client.get(url.as_str()).await.map_err(io::Error::other)?;
        let text = conn
            .response_body()
            .read_string()
            .await
            .map_err(io::Error::other)?;
        let dump: serde_json::Value = serde_json::from_str(&text)?;
        let bytes = |direction: &str| dump["control"][direction]["bytes"].as_u64().unwrap_or(0);
        Ok(Counters {
            cpu: cpu::used(&self.child.id().to_string()),
            peers: bytes("sent") + bytes("received"),
            requests: self.requests.bytes(),
            platform: self.platform.bytes(),
        })
    }

    fn usage(&self, before: &Counters, after: &Counters, duration: time::Duration) -> Usage {
        let seconds = duration.as_secs_f64();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        Usage {
            memory: proc::memory(&self.child.id().to_string()),
            cpu_share: after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds,
            peer_rate: rate(before.peers, after.peers),
            request_rate: rate(before.requests, after.requests),
            platform_rate: rate(before.platform, after.platform),
        }
    }
}

/// Path of a program in the folder of this executable.
fn sibling_program(program: &str) -> io::Result<path::PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().ok_or(io::ErrorKind::NotFound)?;
    Ok(folder.join(program))
}

fn free_address() -> io::Result<net::SocketAddr> {
    net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
