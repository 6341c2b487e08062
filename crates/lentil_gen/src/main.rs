//! Generates `lentil_wire`'s message types from `schemas/wire.proto`.
//!
//! The output is committed, so a build needs no generator. Run it from the
//! root of the repository after a change of the schema:
//! `cargo run -p lentil_gen`.

use std::path;

use anyhow::Context as _;

/// Writes the generated message types.
#[derive(argh::FromArgs)]
struct Args {
    /// folder of the schemas
    #[argh(option, default = "path::PathBuf::from(\"schemas\")")]
    schemas: path::PathBuf,
    /// folder for the generated files
    #[argh(
        option,
        default = "path::PathBuf::from(\"crates/lentil_wire/src/generated\")"
    )]
    out: path::PathBuf,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let files = protox::compile(["wire.proto"], [&args.schemas])
        .with_context(|| format!("cannot compile the schemas in {}", args.schemas.display()))?;
    prost_build::Config::new()
        .out_dir(&args.out)
        .type_attribute(".", "#[derive(bincode::Encode, bincode::Decode)]")
        .compile_fds(files)
        .with_context(|| format!("cannot write to {}", args.out.display()))
}
