//! `lentilctl apply`.

use std::{net, path};

use lentil_config::Config;
use lentil_platform::StoreError;
use lentil_policy::store::ObjectVersion;

use crate::{
    check,
    error::CtlError,
    output::{Answer, Output},
    platform::{Accepted, TextStore},
};

/// Tries at an update whose answers are lost.
const TRIES: u32 = 5;

/// put a text in force if nobody has changed it since the version it was edited
/// from
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Args {
    /// the text
    #[argh(positional)]
    file: path::PathBuf,
    /// address of the platform
    #[argh(option)]
    platform: net::SocketAddr,
    /// the version that the text was edited from, as show prints it; 0 for the
    /// first
    #[argh(option)]
    from: u64,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Answer, CtlError> {
    let market = check::read(&args.file)?;
    let text = check::read_text(&args.file)?;
    let store = TextStore::new(args.platform, &market.region);
    let version = commit(&store, args.from, &text).await?;
    let said = format!("version {version} of {} is accepted", market.region);
    let value = serde_json::json!({ "version": version, "region": market.region });
    output.print(&said, &value);
    Ok(Answer::Yes)
}

/// Updates the text. An answer that was lost is settled by reading back: the
/// same update again can take effect at most once, because it names the version
/// that it replaces.
async fn commit(store: &TextStore, from: u64, text: &str) -> Result<u64, CtlError> {
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
            return Err(raced(&accepted, from, text, may_be_mine));
        }
        tries += 1;
        if tries > TRIES {
            return Err(error.into());
        }
    }
}

/// Says what the accepted text has that this one has not, and the other way
/// round. The file stays as it is.
fn raced(accepted: &Accepted, from: u64, text: &str, lost: bool) -> CtlError {
    let lines = similar::TextDiff::from_lines(accepted.text.as_str(), text);
    let mut unified = lines.unified_diff();
    let unified = unified.header("accepted", "yours").to_string();
    let changes = match (Config::parse(&accepted.text), Config::parse(text)) {
        (Ok(theirs), Ok(mine)) => lentil_config::diff(&theirs, &mine),
        _ => Vec::new(),
    };
    CtlError::Raced {
        from,
        accepted: accepted.version,
        diff: unified,
        changes,
        lost,
    }
}
