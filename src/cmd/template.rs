//! `rockwick template`: check, show, apply.

use bpaf::{construct, long, positional, Parser};

use super::{print_json, say, target, Target};
use crate::core::config;
use crate::core::operate::Edit;
use crate::error::{Error, Result};
use crate::view::TemplateView;

/// What the command's help begins with.
pub const USAGE: &str = "Check, show and apply the templates and parameters.";

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Args {
    /// Check a file; no entry is asked.
    Check(String),
    /// Show what is in force.
    Show(Target),
    /// Apply a file.
    Apply {
        /// Where to.
        target: Target,
        /// The version that it replaces.
        expect: u64,
        /// Which.
        file: String,
    },
}

fn file() -> impl Parser<String> {
    positional("FILE").help("TOML file")
}

/// The parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let f = file();
    let check = construct!(Args::Check(f))
        .to_options()
        .descr("Check a file without asking any entry")
        .command("check");
    let t = target();
    let show = construct!(Args::Show(t))
        .to_options()
        .descr("Show the configuration in force")
        .command("show");
    let apply = apply()
        .to_options()
        .descr("Apply a file over a version")
        .command("apply");
    construct!([check, show, apply])
}

fn apply() -> impl Parser<Args> {
    let target = target();
    let expect = long("expect")
        .help("Version that it replaces; 0 where there is none")
        .argument("VERSION");
    let file = file();
    construct!(Args::Apply {
        target,
        expect,
        file
    })
}

/// Does it.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::Check(file) => {
            let config = checked(&file)?.1;
            say(format!(
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
            say(format!("# version {}", view.version));
            say(view.text.trim_end());
            Ok(())
        }
        Args::Apply {
            target,
            expect,
            file,
        } => {
            let text = checked(&file)?.0;
            target.edit_and_print(&Edit::Apply { expect, text })
        }
    }
}

fn checked(file: &str) -> Result<(String, config::Config)> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::Io(file.to_string(), e))?;
    let config = config::parse(&text)
        .map_err(|f| Error::Refused(format!("{file}:{}: {}", f.line, f.reason)))?;
    Ok((text, config))
}
