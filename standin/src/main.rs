//! Stand-ins for what surrounds rockwick: the platform, backend servers, callers. Never shipped.

mod backend;
mod load;
mod platform;

use bpaf::{construct, OptionParser, Parser};

enum Command {
    Platform(platform::Args),
    Backend(backend::Args),
    Load(load::Args),
}

fn parser() -> OptionParser<Command> {
    let platform = platform::args()
        .map(Command::Platform)
        .to_options()
        .descr("The platform: table, objects, host list, tasks, host orders")
        .command("platform");
    let backend = backend::args()
        .map(Command::Backend)
        .to_options()
        .descr("A backend server, or all those of a fleet file")
        .command("backend");
    let load = load::args()
        .map(Command::Load)
        .to_options()
        .descr("Callers at a fixed rate, open loop")
        .command("load");
    construct!([platform, backend, load]).to_options()
}

fn main() {
    let result = match parser().run() {
        Command::Platform(args) => platform::run(args),
        Command::Backend(args) => backend::run(args),
        Command::Load(args) => load::run(args),
    };
    if let Err(e) = result {
        eprintln!("standin: {e}");
        std::process::exit(1);
    }
}
