//! `lentilctl drain`.

use std::{net, time};

use crate::{
    client,
    error::CtlError,
    output::{Answer, Output},
};

/// Time between two looks at a draining process.
const LOOK_PERIOD: time::Duration = time::Duration::from_millis(200);

/// tell a process to take nothing new and to finish what it has
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Args {
    /// admin address of the process
    #[argh(positional)]
    admin: net::SocketAddr,
    /// the process's admin key
    #[argh(option)]
    key: Option<String>,
    /// wait at most this many seconds until nothing is in flight
    #[argh(option, default = "0")]
    wait: u64,
}

pub(crate) async fn run(args: Args, output: Output) -> Result<Answer, CtlError> {
    let client = client::AdminClient::new(args.admin, args.key);
    client.ask("POST", "/drain").await?;
    let limit = time::Instant::now() + time::Duration::from_secs(args.wait);
    let mut left = in_flight(&client).await?;
    while left != Some(0) && time::Instant::now() < limit {
        smol::Timer::after(LOOK_PERIOD).await;
        left = in_flight(&client).await?;
    }
    let text = match left {
        Some(0) => format!("{} has nothing in flight", args.admin),
        Some(left) => format!(
            "{} takes nothing new, {left} requests in flight",
            args.admin
        ),
        None => format!("{} takes nothing new", args.admin),
    };
    let value = serde_json::json!({ "draining": true, "in_flight": left });
    output.print(&text, &value);
    let waited_in_vain = args.wait > 0 && left != Some(0);
    Ok(if waited_in_vain {
        Answer::No
    } else {
        Answer::Yes
    })
}

/// Requests in flight, where the process's state says so.
async fn in_flight(client: &client::AdminClient) -> Result<Option<u64>, CtlError> {
    let dump = client.ask("GET", "/dump").await?;
    let value: serde_json::Value =
        serde_json::from_str(&dump).map_err(|error| client.unreached(&error))?;
    Ok(value["in_flight"].as_u64())
}
