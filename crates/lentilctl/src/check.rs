//! `lentilctl check`.

use std::path;

use lentil_config::Config;

use crate::{
    error::CtlError,
    output::{Exit, Output},
};

/// check a configuration file and print every fault
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Args {
    /// the configuration file
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

pub(crate) fn run(args: &Args, output: Output) -> Result<Exit, CtlError> {
    let config = read(&args.file)?;
    let summary = Summary {
        region: config.region.to_string(),
        places: config.places.len(),
        services: config.services.len(),
        runners: config
            .services
            .iter()
            .map(|service| service.runners.len())
            .sum(),
        models: config.models.len(),
        teams: config.teams.len(),
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
    Ok(Exit::Success)
}

/// Reads and checks a configuration file.
pub(crate) fn read(path: &path::Path) -> Result<Config, CtlError> {
    let text = read_text(path)?;
    Config::parse(&text).map_err(|faults| CtlError::InvalidConfig {
        path: path.to_owned(),
        faults,
    })
}

/// Reads a file without checking it.
pub(crate) fn read_text(path: &path::Path) -> Result<String, CtlError> {
    let error = |source| CtlError::File {
        path: path.to_owned(),
        source,
    };
    std::fs::read_to_string(path).map_err(error)
}
