//! `lentilctl trace`.

use std::{
    io::{self, Write as _},
    net,
};

use futures_lite::AsyncReadExt as _;

use crate::{client, error::CtlError, output::Exit};

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// record the requests of an entry as JSON Lines, without prompt text
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Args {
    /// admin address of the entry
    #[argh(positional)]
    admin: net::SocketAddr,
    /// admin key of the entry
    #[argh(option)]
    key: Option<String>,
    /// how many seconds to record
    #[argh(option, default = "60")]
    seconds: u64,
}

pub(crate) async fn run(args: Args) -> Result<Exit, CtlError> {
    let client = client::AdminClient::new(args.admin, args.key);
    let path = format!("/trace?seconds={}", args.seconds);
    let mut conn = client.send("GET", &path).await?;
    let mut body = lentil_http::Body::new(conn.response_body());
    let mut buffer = vec![0; READ_BYTES];
    let mut stdout = io::stdout().lock();
    loop {
        let read = body
            .read(&mut buffer)
            .await
            .map_err(|error| client.unreachable(&error))?;
        if read == 0 {
            return Ok(Exit::Success);
        }
        stdout.write_all(&buffer[..read])?;
        stdout.flush()?;
    }
}
