//! `lentilctl apply`.

use std::{net, path};

use lentil_config::Config;
use lentil_platform::StoreError;
use lentil_policy::store::ObjectVersion;

use crate::{
    check,
    error::CtlError,
    output::{Exit, Output},
    platform::{Accepted, ConfigStore},
};

/// Maximum tries of an update whose answers are lost.
const MAX_TRIES: u32 = 5;

/// put a configuration in force unless it was changed since the version that it was
/// edited from
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Args {
    /// the configuration file
    #[argh(positional)]
    file: path::PathBuf,
    /// address of the platform
    #[argh(option)]
    platform: net::SocketAddr,
    /// the version that the configuration was edited from, as show prints it; 0 for
    /// the first
    #[argh(option)]
    from: u64,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Exit, CtlError> {
    let config = check::read(&args.file)?;
    let text = check::read_text(&args.file)?;
    let store = ConfigStore::new(args.platform, &config.region);
    let version = commit(&store, args.from, &text).await?;
    let message = format!("version {version} of {} is accepted", config.region);
    let value = serde_json::json!({ "version": version, "region": config.region });
    output.print(&message, &value);
    Ok(Exit::Success)
}

/// Updates the configuration. After a lost answer it reads the accepted version and
/// retries if the update had no effect. The retry is safe: an update names the
/// version that it replaces, so it takes effect at most once.
async fn commit(store: &ConfigStore, from: u64, text: &str) -> Result<u64, CtlError> {
    let expect = ObjectVersion(from);
    let mut tries = 1;
    loop {
        let value = text.as_bytes().to_vec();
        let error = match store.store.update(&store.key, expect, value).await {
            Ok(version) => return Ok(version.0),
            Err(error) => error,
        };
        let is_lost = error.is_outcome_unknown();
        if !is_lost && !matches!(error, StoreError::Conflict(_)) {
            return Err(error.into());
        }
        let accepted = store.read().await?;
        let may_be_mine = is_lost || tries > 1;
        if may_be_mine && accepted.version == from + 1 && accepted.text == text {
            return Ok(accepted.version);
        }
        if accepted.version != from {
            return Err(version_conflict(&accepted, from, text, may_be_mine));
        }
        tries += 1;
        if tries > MAX_TRIES {
            return Err(error.into());
        }
    }
}

/// An error with the diff from the accepted configuration to `text`. The operator's
/// file stays unchanged.
fn version_conflict(accepted: &Accepted, from: u64, text: &str, lost: bool) -> CtlError {
    let line_diff = similar::TextDiff::from_lines(accepted.text.as_str(), text);
    let mut unified = line_diff.unified_diff();
    let unified = unified.header("accepted", "yours").to_string();
    let changes = match (Config::parse(&accepted.text), Config::parse(text)) {
        (Ok(theirs), Ok(mine)) => lentil_config::diff(&theirs, &mine),
        _ => Vec::new(),
    };
    CtlError::VersionConflict {
        from,
        accepted: accepted.version,
        diff: unified,
        changes,
        lost,
    }
}
