//! Command-line stand-ins for rockwick's surroundings (the platform, backend servers, callers), experiments and the
//! fault soak. For development only; never shipped.

mod backend;
mod load;
mod platform;
mod routes;
mod slopes;
mod soak;
mod waves;

use bpaf::{construct, OptionParser, Parser};

enum Command {
    Platform(platform::Args),
    Backend(backend::Args),
    Load(load::Args),
    Waves(waves::Args),
    Routes(routes::Args),
    Slopes(slopes::Args),
    Soak(soak::Args),
}

fn parser() -> OptionParser<Command> {
    let platform = platform::args()
        .map(Command::Platform)
        .to_options()
        .descr("Stand-in platform: table, objects, host list, tasks, host orders")
        .command("platform");
    let backend = backend::args()
        .map(Command::Backend)
        .to_options()
        .descr("Stand-in backend server, or all backend servers of a fleet file")
        .command("backend");
    let load = load::args()
        .map(Command::Load)
        .to_options()
        .descr("Load generator: requests at a fixed rate, open loop")
        .command("load");
    let waves = waves::args()
        .map(Command::Waves)
        .to_options()
        .descr("Experiment: waves over a simulated fleet, decided by the real reducer")
        .command("waves");
    let routes = routes::args()
        .map(Command::Routes)
        .to_options()
        .descr("Experiment: comparison of routing strategies by discrete-event simulation")
        .command("routes");
    let slopes = slopes::args()
        .map(Command::Slopes)
        .to_options()
        .descr("Experiment: cost of control by number of hosts, pools, entries, accounts and jobs")
        .command("slopes");
    let soak = soak::args()
        .map(Command::Soak)
        .to_options()
        .descr(
            "Fault soak: real entries as processes, random faults from outside, promises checked",
        )
        .command("soak");
    construct!([platform, backend, load, waves, routes, slopes, soak]).to_options()
}

fn main() {
    let result = match parser().run() {
        Command::Platform(args) => platform::run(args),
        Command::Backend(args) => backend::run(args),
        Command::Load(args) => load::run(args),
        Command::Waves(args) => waves::run(args),
        Command::Routes(args) => routes::run(args),
        Command::Slopes(args) => slopes::run(args),
        Command::Soak(args) => soak::run(args),
    };
    if let Err(e) = result {
        eprintln!("standin: {e}");
        std::process::exit(1);
    }
}
