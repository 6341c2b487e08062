//! `lentilctl trace`.

use std::{
    io::{self, Write as _},
    net,
};

use futures_lite::AsyncReadExt as _;

use crate::{client, error::CtlError, output::Answer};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// record the requests of an entry as JSON Lines, without prompt text
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct Args {
    /// admin address of the entry
    #[argh(positional)]
    admin: net::SocketAddr,
    /// the entry's admin key
    #[argh(option)]
    key: Option<String>,
    /// for how many seconds
    #[argh(option, default = "60")]
    seconds: u64,
}

pub(crate) async fn run(args: Args) -> Result<Answer, CtlError> {
    let client = client::AdminClient::new(args.admin, args.key);
    let path = format!("/trace?seconds={}", args.seconds);
    let mut conn = client.open("GET", &path).await?;
    let mut body = conn.response_body();
    let mut buffer = vec![0; READ_BYTES];
    let mut stdout = io::stdout().lock();
    loop {
        let read = body
            .read(&mut buffer)
            .await
            .map_err(|error| client.unreached(&error))?;
        if read == 0 {
            return Ok(Answer::Yes);
        }
        stdout.write_all(&buffer[..read])?;
        stdout.flush()?;
    }
}
