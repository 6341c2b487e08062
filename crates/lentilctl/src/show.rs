//! `lentilctl show`.

use std::{net, path};

use lentil_types::RegionName;

use crate::{
    error::CtlError,
    output::{Exit, Output},
    platform::ConfigStore,
};

/// print the accepted configuration of a region and its version, or write it to a
/// file
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Args {
    /// address of the platform
    #[argh(option)]
    platform: net::SocketAddr,
    /// name of the region
    #[argh(option)]
    region: RegionName,
    /// file to write the configuration to; only its version is printed then
    #[argh(option)]
    file: Option<path::PathBuf>,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Exit, CtlError> {
    let accepted = ConfigStore::new(args.platform, &args.region).read().await?;
    let version = accepted.version;
    let value = serde_json::json!({ "version": version, "text": accepted.text });
    let text = match &args.file {
        Some(path) => {
            write(path, &accepted.text)?;
            format!(
                "version {version} is in {}; apply it with --from {version}",
                path.display()
            )
        }
        None => format!("# version {version}\n{}", accepted.text),
    };
    output.print(&text, &value);
    Ok(if version == 0 {
        Exit::Negative
    } else {
        Exit::Success
    })
}

fn write(path: &path::Path, text: &str) -> Result<(), CtlError> {
    let error = |source| CtlError::File {
        path: path.to_owned(),
        source,
    };
    std::fs::write(path, text).map_err(error)
}
