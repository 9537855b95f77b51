//! `rockwick forget`: records an operator's assurance that an entry has ended.

use bpaf::{construct, positional, Parser};

use super::{target, Target};
use crate::core::operate::Edit;
use crate::error::Result;

/// First paragraph of the command's help.
pub const USAGE: &str =
    "Confirm that an entry's process has ended, so that drains no longer wait for \
it. Only for a process that certainly no longer runs: a paused process may still send requests.";

/// The command's flags.
#[derive(Clone, Debug)]
pub struct Args {
    target: Target,
    name: String,
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let target = target();
    let name = positional("NAME").help("Name of the entry");
    construct!(Args { target, name })
}

/// Asks an entry to remove the named one.
pub fn run(args: Args) -> Result<()> {
    args.target
        .edit_and_print(&Edit::RemoveEntry { entry: args.name })
}
