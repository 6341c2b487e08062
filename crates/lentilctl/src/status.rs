//! `lentilctl status`.

use std::{net, path, sync::Arc, time};

use lentil_platform::{Instance, InstanceList as _};
use lentil_policy::{
    config_sync::{Doc, KnownVersion},
    store::ObjectVersion,
};
use lentil_types::{NodeName, RegionName};
use lentil_wire::{FleetKey, Identity, Link, Sync, Synced, WireError};
use strum::IntoEnumIterator as _;

use crate::{
    error::CtlError,
    output::{Exit, Output},
    platform::{self, ConfigStore},
};

/// Processes queried at once.
const MAX_CONCURRENT: usize = 32;
/// Longest wait for a process's answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// print the configuration version of each process; exit code 1 if any lags or does
/// not answer
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Args {
    /// address of the platform
    #[argh(option)]
    platform: net::SocketAddr,
    /// name of the region
    #[argh(option)]
    region: RegionName,
    /// file with the fleet key
    #[argh(option)]
    fleet_key_file: path::PathBuf,
}

#[derive(serde::Serialize)]
struct Row {
    node: NodeName,
    place: String,
    role: String,
    /// Its state; `silent` if it did not answer.
    state: String,
    version: Option<u64>,
    /// Versions by which it lags the accepted one.
    behind: Option<u64>,
    /// Milliseconds since the store confirmed its version.
    age_ms: Option<u64>,
}

#[derive(serde::Serialize)]
struct Status {
    accepted: u64,
    processes: Vec<Row>,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Exit, CtlError> {
    let identity = identity(&args.fleet_key_file)?;
    let accepted = ConfigStore::new(args.platform, &args.region)
        .read()
        .await?
        .version;
    let instances = platform::client(args.platform).instances(None).await?;
    let answers = query_all(identity, instances).await;
    let row = |(instance, synced): (Instance, Option<Synced>)| Row::new(accepted, instance, synced);
    let status = Status {
        accepted,
        processes: answers.into_iter().map(row).collect(),
    };
    output.print(&status.table(), &status);
    let is_current = status.processes.iter().all(|row| row.behind == Some(0));
    Ok(if is_current {
        Exit::Success
    } else {
        Exit::Negative
    })
}

fn identity(path: &path::Path) -> Result<Identity, CtlError> {
    let error = |source| CtlError::File {
        path: path.to_owned(),
        source,
    };
    let key = std::fs::read_to_string(path).map_err(error)?;
    let key: FleetKey = key.trim().parse()?;
    let node = NodeName::new("lentilctl")?;
    Ok(Identity { node, key })
}

async fn query_all(
    identity: Identity,
    instances: Vec<Instance>,
) -> Vec<(Instance, Option<Synced>)> {
    let identity = Arc::new(identity);
    let permits = Arc::new(smol::lock::Semaphore::new(MAX_CONCURRENT));
    let query_one = |instance: Instance| {
        let (identity, permits) = (identity.clone(), permits.clone());
        smol::spawn(async move {
            let _permit = permits.acquire().await;
            let synced = query(&identity, instance.address).await;
            (instance, synced.ok())
        })
    };
    let tasks: Vec<_> = instances.into_iter().map(query_one).collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await);
    }
    answers
}

/// Asks a process for its versions. Claiming the highest version of every document
/// keeps it from sending any.
async fn query(identity: &Identity, address: net::SocketAddr) -> Result<Synced, WireError> {
    let newest = |doc| KnownVersion {
        doc,
        version: ObjectVersion(u64::MAX),
    };
    let sync = Sync {
        known: Doc::iter().map(newest).collect(),
        wait: time::Duration::ZERO,
    };
    let answer = async {
        let link = Link::connect(address, identity).await?;
        lentil_control::request_sync(&link, sync).await
    };
    let timer = async {
        smol::Timer::after(ANSWER_TIMEOUT).await;
        Err(WireError::StreamEnded("an answer in time"))
    };
    smol::future::or(answer, timer).await
}

impl Row {
    fn new(accepted: u64, instance: Instance, synced: Option<Synced>) -> Self {
        let is_config = |known: &&KnownVersion| known.doc == Doc::Config;
        let known = synced
            .as_ref()
            .and_then(|synced| synced.known.iter().find(is_config));
        let version = known.map(|known| known.version.0);
        let age = synced.as_ref().and_then(|synced| synced.reply.age);
        let state = synced.map_or_else(|| "silent".to_owned(), |synced| synced.state.to_string());
        Self {
            node: instance.node,
            place: instance.place.to_string(),
            role: instance.role.to_string(),
            state,
            version,
            behind: version.map(|version| accepted.saturating_sub(version)),
            age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    }
}

impl Status {
    fn table(&self) -> String {
        let mut table = format!("accepted version {}\n", self.accepted);
        table += &format!(
            "{:<24} {:<16} {:<8} {:<8} {:>8} {:>7} {:>8}\n",
            "node", "place", "role", "state", "version", "behind", "age ms"
        );
        let optional =
            |number: Option<u64>| number.map_or("-".to_owned(), |number| number.to_string());
        for row in &self.processes {
            let (version, behind, age) = (row.version, row.behind, row.age_ms);
            table += &format!(
                "{:<24} {:<16} {:<8} {:<8} {:>8} {:>7} {:>8}\n",
                row.node,
                row.place,
                row.role,
                row.state,
                optional(version),
                optional(behind),
                optional(age)
            );
        }
        table
    }
}
