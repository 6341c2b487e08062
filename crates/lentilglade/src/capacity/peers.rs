//! A real entry and a real sidecar among many peers.

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

const KEY: &str = "the key of a benchmark on loopback";
const TEXT: &str = "region = \"nw-georgia\"\n[[place]]\nname = \"hall-intake\"\n";
/// Processes in a data centre that watch, and that ask one other, by default.
const TREE: (usize, usize) = (2, 8);

/// Settings of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct PeerSettings {
    /// Peers beside the two processes.
    pub peers: usize,
    /// How long the two run before they are looked at.
    pub warm: time::Duration,
    /// How long they are looked at.
    pub span: time::Duration,
}

/// What one process took while nothing changed.
#[derive(Clone, Copy, Debug)]
pub struct PeerFigures {
    /// Memory that it holds, in bytes.
    pub memory: u64,
    /// Share of one core.
    pub core: f64,
    /// Bytes a second to and from peers, as the process counts them.
    pub peers: f64,
    /// Bytes a second that peers exchanged with it, as a proxy counts them.
    pub asked: f64,
    /// Bytes a second to and from the platform, as a proxy counts them.
    pub platform: f64,
}

/// A process that this one started. It is ended when dropped.
struct Child {
    child: process::Child,
    admin: net::SocketAddr,
    platform: Proxy,
    asked: Proxy,
}

impl Drop for Child {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Counters of a process at one time.
struct Reading {
    cpu: time::Duration,
    peers: u64,
    asked: u64,
    platform: u64,
}

/// Starts an entry that watches the store and is asked by as many peers as one
/// process may be, and a sidecar that asks; returns what each took.
///
/// # Errors
/// An I/O error when a part does not start.
pub async fn measure(settings: PeerSettings) -> io::Result<[PeerFigures; 2]> {
    let platform = Platform::start(PlatformSettings::default())?;
    let region = RegionName::new("nw-georgia").map_err(io::Error::other)?;
    let key = Doc::Config.key(&region);
    let written = platform.store().put(&key, ObjectVersion(0), TEXT.into());
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
        instance(InstanceRole::Entry, &names.entry, entry.asked.address()),
        instance(
            InstanceRole::Sidecar,
            &names.sidecar,
            sidecar.asked.address(),
        ),
    ];
    for (name, agent) in names.peers.iter().zip(&agents) {
        list.push(instance(InstanceRole::Sidecar, name, agent.address()));
    }
    platform.set_instances(list);
    smol::Timer::after(settings.warm).await;
    let before = [entry.read().await?, sidecar.read().await?];
    smol::Timer::after(settings.span).await;
    let after = [entry.read().await?, sidecar.read().await?];
    let figures =
        |child: &Child, index: usize| child.figures(&before[index], &after[index], settings.span);
    Ok([figures(&entry, 0), figures(&sidecar, 1)])
}

/// Names of every process, such that the entry is first in the tree and the
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
            key: KEY.parse().map_err(io::Error::other)?,
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
        let own = [
            format!("entry.listen={}", free_address()?),
            format!("entry.peer={peer}"),
        ];
        Self::start("lentil-entry", platform, node, peer, &own).await
    }

    async fn sidecar(
        platform: &Platform,
        node: &NodeName,
        backend: net::SocketAddr,
    ) -> io::Result<Self> {
        let peer = free_address()?;
        let own = [
            format!("sidecar.listen={}", free_address()?),
            format!("sidecar.peer={peer}"),
            format!("sidecar.runner={node}"),
            format!("sidecar.backend={backend}"),
            "sidecar.kind=plain".to_owned(),
        ];
        Self::start("lentil-sidecar", platform, node, peer, &own).await
    }

    async fn start(
        program: &str,
        platform: &Platform,
        node: &NodeName,
        peer: net::SocketAddr,
        own: &[String],
    ) -> io::Result<Self> {
        let (admin, asked) = (free_address()?, Proxy::start(peer).await?);
        let platform = Proxy::start(platform.address()).await?;
        let common = [
            format!("node={node}"),
            format!("place={}", place()),
            "region=nw-georgia".to_owned(),
            format!("fleet_key={KEY}"),
            format!("admin={admin}"),
            format!("platform={}", platform.address()),
            "log.level=error".to_owned(),
        ];
        let words = common
            .iter()
            .chain(own)
            .flat_map(|value| ["--set", value.as_str()]);
        let child = process::Command::new(beside(program)?)
            .args(words)
            .spawn()?;
        Ok(Self {
            child,
            admin,
            platform,
            asked,
        })
    }

    async fn read(&self) -> io::Result<Reading> {
        let client = trillium_client::Client::new(trillium_smol::ClientConfig::new());
        let url = format!("http://{}/dump", self.admin);
        let mut conn = client.get(url.as_str()).await.map_err(io::Error::other)?;
        let text = conn
            .response_body()
            .read_string()
            .await
            .map_err(io::Error::other)?;
        let dump: serde_json::Value = serde_json::from_str(&text)?;
        let bytes = |way: &str| dump["control"][way]["bytes"].as_u64().unwrap_or(0);
        Ok(Reading {
            cpu: cpu::used(&self.child.id().to_string()),
            peers: bytes("sent") + bytes("received"),
            asked: self.asked.bytes(),
            platform: self.platform.bytes(),
        })
    }

    fn figures(&self, before: &Reading, after: &Reading, span: time::Duration) -> PeerFigures {
        let seconds = span.as_secs_f64();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        PeerFigures {
            memory: proc::memory(&self.child.id().to_string()),
            core: after.cpu.saturating_sub(before.cpu).as_secs_f64() / seconds,
            peers: rate(before.peers, after.peers),
            asked: rate(before.asked, after.asked),
            platform: rate(before.platform, after.platform),
        }
    }
}

/// A program in the folder of this one.
fn beside(program: &str) -> io::Result<path::PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().ok_or(io::ErrorKind::NotFound)?;
    Ok(folder.join(program))
}

fn free_address() -> io::Result<net::SocketAddr> {
    net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
