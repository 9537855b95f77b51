//! `rockwick serve`: runs an entry on a platform of workers.

use bpaf::Parser;

use crate::error::Result;
use crate::serve::settings::{serve_flags, ServeFlags};

/// First paragraph of the command's help.
pub const USAGE: &str =
    "Serve callers and own pools on a platform of workers until SIGTERM. Each flag \
can also be set by an environment variable, such as ROCKWICK_STORE for --store.";

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<ServeFlags> {
    serve_flags()
}

/// Checks the settings, then serves until it is stopped.
pub fn run(flags: ServeFlags) -> Result<()> {
    crate::serve::run(flags.check()?)
}
