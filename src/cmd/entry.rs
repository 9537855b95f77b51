//! `rockwick entry`: runs an entry, the daemon that serves callers and operators.

use bpaf::Parser;

use crate::config::{entry_flags, EntryFlags};
use crate::error::Result;

/// First paragraph of the command's help.
pub const USAGE: &str = "Serve callers and operators until SIGTERM. Each flag can also be set by \
an environment variable, such as ROCKWICK_PEER_LISTEN for --peer-listen.";

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<EntryFlags> {
    entry_flags()
}

/// Checks the settings, then runs the entry until it is stopped.
pub fn run(flags: EntryFlags) -> Result<()> {
    crate::entry::run(flags.check()?)
}
