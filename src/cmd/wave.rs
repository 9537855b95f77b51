//! `rockwick wave`: starts, lists, shows and stops maintenance waves.

use bpaf::{construct, long, positional, Parser};

use super::{print_json, print_table, target, Target};
use crate::core::operate::Edit;
use crate::error::Result;
use crate::util::escape_path;
use crate::view::WaveView;

/// First paragraph of the command's help.
pub const USAGE: &str = "Start, show and stop maintenance waves.";

/// The subcommand with its flags.
#[derive(Clone, Debug)]
pub enum Args {
    /// Start a wave.
    Start {
        /// Entry to ask.
        target: Target,
        /// Name of the pool, or `*` for every host.
        pool: String,
        /// Times of day in UTC in which hosts may leave, `HH:MM-HH:MM`; empty if only the pools' own windows
        /// apply.
        window: Vec<String>,
    },
    /// List all waves.
    List(Target),
    /// Show one wave by id.
    Show(Target, String),
    /// Stop a wave by id.
    Stop(Target, String),
}

fn wave_id() -> impl Parser<String> {
    positional("WAVE").help("Id of the wave")
}

/// Returns the parser of the command's flags.
pub fn args() -> impl Parser<Args> {
    let start = start_args()
        .to_options()
        .descr("Start a wave")
        .command("start");
    let t = target();
    let list = construct!(Args::List(t))
        .to_options()
        .descr("List waves")
        .command("list");
    let (t, i) = (target(), wave_id());
    let show = construct!(Args::Show(t, i))
        .to_options()
        .descr("Show a wave")
        .command("show");
    let (t, i) = (target(), wave_id());
    let stop = construct!(Args::Stop(t, i))
        .to_options()
        .descr("Stop a wave; hosts that are out are still returned")
        .command("stop");
    construct!([start, list, show, stop])
}

fn start_args() -> impl Parser<Args> {
    let target = target();
    let pool = long("pool")
        .help("Name of the pool, or * for every host")
        .argument("POOL");
    let window = long("window")
        .help("Time window in UTC in which hosts may leave; can be repeated")
        .argument("HH:MM-HH:MM")
        .many();
    construct!(Args::Start {
        target,
        pool,
        window
    })
}

/// Runs the subcommand.
pub fn run(args: Args) -> Result<()> {
    match args {
        Args::Start {
            target,
            pool,
            window,
        } => target.edit_and_print(&Edit::StartWave {
            pool,
            windows: window,
        }),
        Args::List(target) => {
            let waves: Vec<WaveView> = target.get("/v1/waves")?;
            print_waves(&target, &waves)
        }
        Args::Show(target, id) => {
            let wave: WaveView = target.get(&format!("/v1/waves/{}", escape_path(&id)))?;
            print_waves(&target, &[wave])
        }
        Args::Stop(target, wave) => target.edit_and_print(&Edit::StopWave { wave }),
    }
}

fn print_waves(target: &Target, waves: &[WaveView]) -> Result<()> {
    if target.json() {
        return print_json(&waves);
    }
    let rows: Vec<Vec<String>> = waves
        .iter()
        .map(|w| {
            let took_ms = match w.row.ended_ms {
                0 => "-".to_string(),
                end => end.saturating_sub(w.row.started_ms).to_string(),
            };
            vec![
                w.id.clone(),
                w.row.pool.clone(),
                format!("{:?}", w.row.state).to_lowercase(),
                w.left.to_string(),
                took_ms,
            ]
        })
        .collect();
    print_table(&["WAVE", "POOL", "STATE", "LEFT", "TOOK MS"], &rows);
    Ok(())
}
