//! `rockwick explain`: prints the decisions about one thing in order of time.

use bpaf::{construct, positional, Parser};

use super::{print_json, print_line, target, Target};
use crate::clock::{Millis, DAY_MS};
use crate::error::Result;
use crate::util::escape_path;
use crate::view::Line;

/// First paragraph of the command's help.
pub const USAGE: &str =
    "Show what happened to a host, pool, job, wave, request, backend, entry, hall or \
config, in order and with reasons.";

/// The command's flags.
#[derive(Clone, Debug)]
pub struct Args {
    target: Target,
    kind: String,
    id: String,
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let target = target();
    let kind =
        positional("KIND").help("host, pool, job, wave, request, backend, entry, hall or config");
    let id = positional("ID").help("Name or id of the subject");
    construct!(Args { target, kind, id })
}

/// Asks an entry for the decisions and prints them.
pub fn run(args: Args) -> Result<()> {
    let path = format!("/v1/explain/{}/{}", escape_path(&args.kind), args.id);
    let lines: Vec<Line> = args.target.get(&path)?;
    if args.target.json() {
        return print_json(&lines);
    }
    if lines.is_empty() {
        print_line(format!("nothing is known of {} {}", args.kind, args.id));
    }
    for l in lines {
        let event = match l.event {
            0 => "row".to_string(),
            n => n.to_string(),
        };
        print_line(format!(
            "{} {:8} {event:>4} {}",
            format_time_of_day(l.at_ms),
            l.entry,
            l.what
        ));
    }
    Ok(())
}

/// Formats the time of day as `HH:MM:SS.mmm` in UTC.
fn format_time_of_day(wall_ms: Millis) -> String {
    let t = wall_ms % DAY_MS;
    let (h, m, s, ms) = (t / 3_600_000, t / 60_000 % 60, t / 1_000 % 60, t % 1_000);
    format!("{h:02}:{m:02}:{s:02}.{ms:03}")
}
