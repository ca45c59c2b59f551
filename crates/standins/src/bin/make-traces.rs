//! Regenerates the traces under `traces/`.

use std::path::PathBuf;

use clap::Parser;
use teaselcroft_standins::scenarios;

/// Regenerates the traces of the repository.
#[derive(Debug, Parser)]
struct Arguments {
    /// The folder to write to.
    #[arg(default_value = "traces")]
    folder: PathBuf,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = Arguments::parse().folder;
    for scenario in scenarios() {
        let path = folder.join(format!("{}.jsonl", scenario.name));
        std::fs::write(path, scenario.trace.to_text()?)?;
    }
    Ok(())
}
