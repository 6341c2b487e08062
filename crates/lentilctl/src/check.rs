//! `lentilctl check`.

use std::path;

use lentil_config::Config;

use crate::{
    error::CtlError,
    output::{Answer, Output},
};

/// check an operators' text and print every fault
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Args {
    /// the text
    #[argh(positional)]
    file: path::PathBuf,
}

#[derive(serde::Serialize)]
struct Summary {
    region: String,
    places: usize,
    services: usize,
    runners: usize,
    models: usize,
    teams: usize,
}

pub(crate) fn run(args: &Args, output: Output) -> Result<Answer, CtlError> {
    let market = read(&args.file)?;
    let summary = Summary {
        region: market.region.to_string(),
        places: market.places.len(),
        services: market.services.len(),
        runners: market
            .services
            .iter()
            .map(|service| service.runners.len())
            .sum(),
        models: market.models.len(),
        teams: market.teams.len(),
    };
    let Summary {
        region,
        places,
        services,
        runners,
        models,
        teams,
    } = &summary;
    let text = format!(
        "{region}: {places} places, {services} services with {runners} runners, {models} models, \
         {teams} teams; no faults"
    );
    output.print(&text, &summary);
    Ok(Answer::Yes)
}

/// Reads and checks a text.
pub(crate) fn read(path: &path::Path) -> Result<Config, CtlError> {
    let text = read_text(path)?;
    Config::parse(&text).map_err(|faults| CtlError::Faulty {
        path: path.to_owned(),
        faults,
    })
}

/// Reads a file.
pub(crate) fn read_text(path: &path::Path) -> Result<String, CtlError> {
    let error = |source| CtlError::File {
        path: path.to_owned(),
        source,
    };
    std::fs::read_to_string(path).map_err(error)
}
