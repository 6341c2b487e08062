//! `generate`: writes the seeded traces.

use std::{fs, io, path, process};

use lentil_trace::{Header, Record, WriteError, Writer};
use strum::IntoEnumIterator as _;

use crate::{Region, ReplayError, Scenario, file_name, traffic};

/// Writes the seeded traces.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct Args {
    /// folder to write to
    #[argh(option, default = "path::PathBuf::from(\"traces\")")]
    pub out: path::PathBuf,
}

/// Writes one file for each region and traffic.
///
/// # Errors
/// [`ReplayError`] when a trace cannot be generated or written.
pub fn run(args: &Args) -> Result<process::ExitCode, ReplayError> {
    let path = args.out.clone();
    fs::create_dir_all(&args.out).map_err(|source| ReplayError::File { path, source })?;
    for region in Region::iter() {
        let own_trace = |scenario: &Scenario| scenario.trace() == *scenario;
        for scenario in Scenario::iter().filter(own_trace) {
            let records = traffic::generate(region, scenario)?;
            let path = args.out.join(file_name(region, scenario));
            let source = format!("generated: {region}, {scenario}");
            write(&path, &source, &records)
                .map_err(|source| ReplayError::Write { path, source })?;
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn write(path: &path::Path, source: &str, records: &[Record]) -> Result<(), WriteError> {
    let file = io::BufWriter::new(fs::File::create(path)?);
    let mut writer = Writer::new(file, &Header::new(source))?;
    for record in records {
        writer.write(record)?;
    }
    writer.flush()
}
