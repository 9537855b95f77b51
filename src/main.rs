//! The `rockwick` binary: parses the command line and runs the command.

use bpaf::{construct, Args, OptionParser, ParseFailure, Parser};
use rockwick::cmd::{
    entry, events, explain, forget, hall, host, job, pool, report, serve, status, template, wave,
};
use rockwick::config::EntryFlags;
use rockwick::error::Result;
use rockwick::serve::settings::ServeFlags;

/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// Exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

enum Command {
    Entry(EntryFlags),
    Serve(ServeFlags),
    Template(template::Args),
    Pool(pool::Args),
    Host(host::Args),
    Wave(wave::Args),
    Hall(hall::Args),
    Job(job::Args),
    Status(status::Args),
    Explain(explain::Args),
    Forget(forget::Args),
    Report(report::Args),
    Events(events::Args),
}

macro_rules! command {
    ($module:ident, $variant:ident) => {
        $module::args()
            .map(Command::$variant)
            .to_options()
            .descr($module::USAGE)
            .command(stringify!($module))
            .help($module::USAGE)
    };
}

fn parser() -> OptionParser<Command> {
    let entry = command!(entry, Entry);
    let serve = command!(serve, Serve);
    let template = command!(template, Template);
    let pool = command!(pool, Pool);
    let host = command!(host, Host);
    let wave = command!(wave, Wave);
    let hall = command!(hall, Hall);
    let job = command!(job, Job);
    let status = command!(status, Status);
    let explain = command!(explain, Explain);
    let forget = command!(forget, Forget);
    let report = command!(report, Report);
    let events = command!(events, Events);
    construct!([
        entry, serve, template, pool, host, wave, hall, job, status, explain, forget, report,
        events
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Fleet capacity and maintenance manager")
}

fn run(command: Command) -> Result<()> {
    match command {
        Command::Entry(args) => entry::run(args),
        Command::Serve(args) => serve::run(args),
        Command::Template(args) => template::run(args),
        Command::Pool(args) => pool::run(args),
        Command::Host(args) => host::run(args),
        Command::Wave(args) => wave::run(args),
        Command::Hall(args) => hall::run(args),
        Command::Job(args) => job::run(args),
        Command::Status(args) => status::run(args),
        Command::Explain(args) => explain::run(args),
        Command::Forget(args) => forget::run(args),
        Command::Report(args) => report::run(args),
        Command::Events(args) => events::run(args),
    }
}

fn main() {
    let command = match parser().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let code = match failure {
                ParseFailure::Stderr(_) => EXIT_USAGE,
                _ => 0,
            };
            std::process::exit(code);
        }
    };
    if let Err(e) = run(command) {
        eprintln!("rockwick: {e}");
        std::process::exit(e.exit_code());
    }
}
