//! `rockwick events`: prints the catalogue of log events.

use bpaf::{construct, long, Parser};
use serde::Serialize;

use super::{print_json, print_table};
use crate::error::Result;
use crate::event::CATALOGUE;

/// First paragraph of the command's help.
pub const USAGE: &str = "List the numbered log events.";

/// The command's flags.
#[derive(Clone, Debug)]
pub struct Args {
    json: bool,
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let json = long("json").help("Print JSON").switch();
    construct!(Args { json })
}

/// One event of the JSON output.
#[derive(Serialize)]
struct Line {
    number: u16,
    name: &'static str,
    meaning: &'static str,
}

/// Prints the catalogue as a table or as JSON.
pub fn run(args: Args) -> Result<()> {
    if args.json {
        let lines: Vec<Line> = CATALOGUE
            .iter()
            .map(|e| Line {
                number: e.number,
                name: e.name,
                meaning: e.meaning,
            })
            .collect();
        return print_json(&lines);
    }
    let rows: Vec<Vec<String>> = CATALOGUE
        .iter()
        .map(|e| {
            vec![
                e.number.to_string(),
                e.name.to_string(),
                e.meaning.to_string(),
            ]
        })
        .collect();
    print_table(&["EVENT", "NAME", "MEANING"], &rows);
    Ok(())
}
