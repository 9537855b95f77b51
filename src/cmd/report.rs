//! `rockwick report`: prints buffer cost, roll-out times and moves, computed from log files.

use std::path::PathBuf;

use bpaf::{construct, positional, Parser};

use crate::error::{Error, Result};
use crate::report::Report;

/// First paragraph of the command's help.
pub const USAGE: &str = "Print buffer cost, roll-out times and moves from the entries' log files.";

/// The command's arguments.
#[derive(Clone, Debug)]
pub struct Args {
    files: Vec<PathBuf>,
}

/// Returns the parser of the command's arguments.
pub fn args() -> impl Parser<Args> {
    let files = positional::<PathBuf>("FILE")
        .help("Log file of one or more entries")
        .some("name a log file");
    construct!(Args { files })
}

/// Reads all files and prints the measures.
pub fn run(args: Args) -> Result<()> {
    let mut texts = Vec::with_capacity(args.files.len());
    for path in &args.files {
        let text = std::fs::read_to_string(path);
        texts.push(text.map_err(|e| Error::Io(path.display().to_string(), e))?);
    }
    let report = Report::new(texts.iter().flat_map(|text| text.lines()));
    print!("{}", report.render());
    Ok(())
}
