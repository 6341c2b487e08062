//! `lentilctl reference`.

use crate::output::Exit;

/// print every key that a configuration file may have, as Markdown
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "reference")]
pub(crate) struct Args {}

pub(crate) fn run() -> Exit {
    print!("{}", lentil_config::reference::page());
    Exit::Success
}
