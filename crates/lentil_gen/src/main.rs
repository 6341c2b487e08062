//! Generates the message types of `lentil_wire` and `lentil_forward` from the
//! files in `schemas/`.
//!
//! The output is committed, so a build does not run the generator. After a change
//! of a schema, run it from the root of the repository:
//! `cargo run -p lentil_gen`.

use std::path;

use anyhow::Context as _;

/// Each schema and the output folder of its types.
const SCHEMAS: [(&str, &str); 2] = [
    ("wire.proto", "crates/lentil_wire/src/generated"),
    ("datagram.proto", "crates/lentil_forward/src/generated"),
];

/// Writes the generated message types.
#[derive(argh::FromArgs)]
struct Args {
    /// folder with the schemas
    #[argh(option, default = "path::PathBuf::from(\"schemas\")")]
    schemas: path::PathBuf,
    /// root of the repository, which the output folders are relative to
    #[argh(option, default = "path::PathBuf::from(\".\")")]
    root: path::PathBuf,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    for (schema, folder) in SCHEMAS {
        generate(&args.schemas, schema, &args.root.join(folder))?;
    }
    Ok(())
}

fn generate(schemas: &path::Path, schema: &str, out: &path::Path) -> anyhow::Result<()> {
    let files = protox::compile([schema], [schemas])
        .with_context(|| format!("cannot compile {schema} in {}", schemas.display()))?;
    prost_build::Config::new()
        .out_dir(out)
        .type_attribute(".", "#[derive(bincode::Encode, bincode::Decode)]")
        .compile_fds(files)
        .with_context(|| format!("cannot write to {}", out.display()))
}
