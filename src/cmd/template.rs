//! `rockwick template`: checks, shows and applies configuration files.

use bpaf::{construct, long, positional, Parser};

use super::{print_json, print_line, target, Target};
use crate::core::config;
use crate::core::operate::Edit;
use crate::error::{Error, Result};
use crate::view::TemplateView;

/// First paragraph of the command's help.
pub const USAGE: &str = "Check, show and apply the templates and parameters.";

/// The subcommand with its flags.
#[derive(Clone, Debug)]
pub enum Args {
    /// Check a file without asking any entry.
    Check(String),
    /// Show the configuration in force.
    Show(Target),
    /// Apply a file as the next version.
    Apply {
        /// Entry to ask.
        target: Target,
        /// Version that the file replaces; 0 if there is none.
        expect: u64,
        /// Path of the TOML file.
        file: String,
    },
}

fn file_path() -> impl Parser<String> {
    positional("FILE").help("TOML file")
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let f = file_path();
    let check = construct!(Args::Check(f))
        .to_options()
        .descr("Check a file without asking any entry")
        .command("check");
    let t = target();
    let show = construct!(Args::Show(t))
        .to_options()
        .descr("Show the configuration in force")
        .command("show");
    let apply = apply_args()
        .to_options()
        .descr("Apply a file in place of the current version")
        .command("apply");
    construct!([check, show, apply])
}

fn apply_args() -> impl Parser<Args> {
    let target = target();
    let expect = long("expect")
        .help("Version that the file replaces; 0 if there is none")
        .argument("VERSION");
    let file = file_path();
    construct!(Args::Apply {
        target,
        expect,
        file
    })
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::Check(file) => {
            let config = read_checked(&file)?.1;
            print_line(format!(
                "{file}: {} services, {} accounts, {} pools",
                config.services.len(),
                config.accounts.len(),
                config.pools.len()
            ));
            Ok(())
        }
        Args::Show(target) => {
            let view: TemplateView = target.get("/v1/template")?;
            if target.json() {
                return print_json(&view);
            }
            print_line(format!("# version {}", view.version));
            print_line(view.text.trim_end());
            Ok(())
        }
        Args::Apply {
            target,
            expect,
            file,
        } => {
            let text = read_checked(&file)?.0;
            target.edit_and_print(&Edit::Apply { expect, text })
        }
    }
}

/// Reads a file and parses it; returns its text and the parsed configuration.
fn read_checked(file: &str) -> Result<(String, config::Config)> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::Io(file.to_string(), e))?;
    let config = config::parse(&text)
        .map_err(|e| Error::Refused(format!("{file}:{}: {}", e.line, e.reason)))?;
    Ok((text, config))
}
