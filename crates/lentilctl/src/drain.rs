//! `lentilctl drain`.

use std::{net, time};

use crate::{
    client,
    error::CtlError,
    output::{Exit, Output},
};

/// Time between two polls of a draining process.
const POLL_PERIOD: time::Duration = time::Duration::from_millis(200);

/// make a process take no new requests and finish those in flight
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Args {
    /// admin address of the process
    #[argh(positional)]
    admin: net::SocketAddr,
    /// admin key of the process
    #[argh(option)]
    key: Option<String>,
    /// wait at most this many seconds until nothing is in flight
    #[argh(option, default = "0")]
    wait: u64,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Exit, CtlError> {
    let client = client::AdminClient::new(args.admin, args.key);
    client.request("POST", "/drain").await?;
    let deadline = time::Instant::now() + time::Duration::from_secs(args.wait);
    let mut remaining = in_flight(&client).await?;
    while remaining != Some(0) && time::Instant::now() < deadline {
        smol::Timer::after(POLL_PERIOD).await;
        remaining = in_flight(&client).await?;
    }
    let text = match remaining {
        Some(0) => format!("{} has nothing in flight", args.admin),
        Some(remaining) => format!(
            "{} takes nothing new, {remaining} requests in flight",
            args.admin
        ),
        None => format!("{} takes nothing new", args.admin),
    };
    let value = serde_json::json!({ "draining": true, "in_flight": remaining });
    output.print(&text, &value);
    let timed_out = args.wait > 0 && remaining != Some(0);
    Ok(if timed_out {
        Exit::Negative
    } else {
        Exit::Success
    })
}

/// Requests in flight; `None` if the state dump lacks the field.
async fn in_flight(client: &client::AdminClient) -> Result<Option<u64>, CtlError> {
    let dump = client.request("GET", "/dump").await?;
    let value: serde_json::Value =
        serde_json::from_str(&dump).map_err(|error| client.unreachable(&error))?;
    Ok(value["in_flight"].as_u64())
}
