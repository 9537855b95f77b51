//! `rockwick entry`: the daemon.

use bpaf::Parser;

use crate::config::{entry_flags, EntryFlags};
use crate::error::Result;

/// What the command's help begins with.
pub const USAGE: &str = "Serve callers and operators until SIGTERM. Each flag is also a variable, \
--peer-listen as ROCKWICK_PEER_LISTEN and so on.";

/// The parser of the command's flags.
pub fn args() -> impl Parser<EntryFlags> {
    entry_flags()
}

/// Checks the settings, then runs the entry.
pub fn run(flags: EntryFlags) -> Result<()> {
    crate::entry::run(flags.check()?)
}
