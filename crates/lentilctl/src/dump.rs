//! `lentilctl dump`.

use std::net;

use crate::{
    client,
    error::CtlError,
    output::{Exit, Output},
};

/// print the state of a process as JSON
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "dump")]
pub(crate) struct Args {
    /// admin address of the process
    #[argh(positional)]
    admin: net::SocketAddr,
    /// admin key of the process
    #[argh(option)]
    key: Option<String>,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Exit, CtlError> {
    let client = client::AdminClient::new(args.admin, args.key);
    let dump = client.request("GET", "/dump").await?;
    let value: serde_json::Value =
        serde_json::from_str(&dump).map_err(|error| client.unreachable(&error))?;
    output.print(&dump, &value);
    Ok(Exit::Success)
}
