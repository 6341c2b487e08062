//! `lentilctl reference`.

use crate::output::Answer;

/// print every key that a text may have, as Markdown
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "reference")]
pub(crate) struct Args {}

pub(crate) fn run() -> Answer {
    print!("{}", lentil_config::reference::page());
    Answer::Yes
}
