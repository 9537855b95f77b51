//! `rockwick serve`: an entry on a platform of workers.

use bpaf::Parser;

use crate::error::Result;
use crate::serve::settings::{serve_flags, ServeFlags};

/// What the command's help begins with.
pub const USAGE: &str =
    "Serve callers and own pools on a platform of workers until SIGTERM. Each flag \
is also a variable, --store as ROCKWICK_STORE and so on.";

/// The parser of the command's flags.
pub fn args() -> impl Parser<ServeFlags> {
    serve_flags()
}

/// Checks the settings, then serves.
pub fn run(flags: ServeFlags) -> Result<()> {
    crate::serve::run(flags.check()?)
}
