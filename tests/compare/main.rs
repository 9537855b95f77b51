//! Runs the same simulated days with the same seeds on two checkouts, and prints the paired differences of their
//! figures. Run by hand to compare a change with its base:
//!
//! `cargo run --release --example compare -- --bench PATH --site FILE --before DIR --after DIR --why TEXT DAY...`

mod paired;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Mutex;

use bpaf::{construct, long, positional, OptionParser, Parser};

use paired::{DayFigures, Difference, WORTH};

/// Smallest difference for which a single part is printed.
const SHOWN_MIN: f64 = 0.002;

/// Holds the command-line arguments.
#[derive(Clone, Debug)]
struct Args {
    bench: PathBuf,
    site: PathBuf,
    before: PathBuf,
    after: PathBuf,
    why: String,
    seeds: u64,
    first_seed: u64,
    jobs: usize,
    days: Vec<String>,
}

fn args() -> OptionParser<Args> {
    let bench = long("bench")
        .help("Program that builds a checkout and runs days")
        .argument::<PathBuf>("PATH");
    let site = long("site")
        .help("File that describes the deployment")
        .argument::<PathBuf>("FILE");
    let before = long("before")
        .help("Checkout without the change")
        .argument::<PathBuf>("DIR");
    let after = long("after")
        .help("Checkout with the change")
        .argument::<PathBuf>("DIR");
    let why = long("why")
        .help("Reason for the comparison, as a line for the journal")
        .argument::<String>("TEXT");
    let seeds = long("seeds")
        .help("Number of seeds per day")
        .argument::<u64>("N")
        .fallback(3);
    let first_seed = long("first-seed")
        .help("First seed")
        .argument::<u64>("N")
        .fallback(1);
    let jobs = long("jobs")
        .help("Number of days run at the same time")
        .argument::<usize>("N")
        .fallback(4);
    let days = positional::<String>("DAY")
        .help("Days to run")
        .some("a day");
    construct!(Args {
        bench,
        site,
        before,
        after,
        why,
        seeds,
        first_seed,
        jobs,
        days
    })
    .to_options()
    .descr("Paired comparison of two checkouts by days of a deployment.")
}

/// Identifies one run: a day with a seed on one of the checkouts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DayRun {
    day: String,
    seed: u64,
    is_after: bool,
}

fn main() {
    let args = args().run();
    for dir in [&args.before, &args.after] {
        let built = Command::new(&args.bench)
            .arg("build")
            .current_dir(dir)
            .stdout(Stdio::null())
            .status();
        if !built.is_ok_and(|status| status.success()) {
            eprintln!("compare: {} does not build", dir.display());
            std::process::exit(1);
        }
    }
    let mut runs = Vec::new();
    for day in &args.days {
        for seed in args.first_seed..args.first_seed + args.seeds {
            for is_after in [true, false] {
                let day = day.clone();
                runs.push(DayRun {
                    day,
                    seed,
                    is_after,
                });
            }
        }
    }
    let figures_by_run = run_all(&args, runs);
    print_report(&args, &figures_by_run);
}

fn run_all(args: &Args, runs: Vec<DayRun>) -> BTreeMap<DayRun, DayFigures> {
    let queue = Mutex::new(runs);
    let figures_by_run = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            scope.spawn(|| loop {
                let Some(next) = queue.lock().ok().and_then(|mut q| q.pop()) else {
                    return;
                };
                match run_day(args, &next) {
                    Ok(day) => {
                        if let Ok(mut figures_by_run) = figures_by_run.lock() {
                            figures_by_run.insert(next, day);
                        }
                    }
                    Err(why) => eprintln!("compare: {next:?}: {why}"),
                }
            });
        }
    });
    figures_by_run.into_inner().unwrap_or_default()
}

fn run_day(args: &Args, run: &DayRun) -> Result<DayFigures, String> {
    let dir = if run.is_after {
        &args.after
    } else {
        &args.before
    };
    let name = format!(
        "compare-{}-{}-{}-{}.json",
        std::process::id(),
        run.day.replace('/', "_"),
        run.seed,
        run.is_after
    );
    let report = std::env::temp_dir().join(name);
    let why = format!(
        "{} ({})",
        args.why,
        if run.is_after { "after" } else { "before" }
    );
    let out = Command::new(&args.bench)
        .arg("run")
        .args([args.site.as_path(), Path::new(&run.day)])
        .args(["--seed", &run.seed.to_string(), "--why", &why])
        .arg("--report")
        .arg(&report)
        .current_dir(dir)
        .output()
        .map_err(|e| e.to_string())?;
    let text = std::fs::read_to_string(&report).map_err(|e| {
        let stderr = String::from_utf8_lossy(&out.stderr);
        format!("{e}: {}", stderr.lines().last().unwrap_or_default())
    })?;
    let _ = std::fs::remove_file(&report);
    DayFigures::parse(&text).map_err(|e| e.to_string())
}

fn print_report(args: &Args, figures_by_run: &BTreeMap<DayRun, DayFigures>) {
    println!(
        "{:<28} {:>7} {:>7} {:>8} {:>7}",
        "", "before", "after", "diff", "+-"
    );
    let mut all: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for day in &args.days {
        let mut worth_pairs = Vec::new();
        let mut notes = Vec::new();
        for (run, after) in figures_by_run
            .iter()
            .filter(|(p, _)| p.is_after && p.day == *day)
        {
            let before_run = DayRun {
                is_after: false,
                ..run.clone()
            };
            let Some(before) = figures_by_run.get(&before_run) else {
                continue;
            };
            let names: BTreeSet<&String> =
                before.figures.keys().chain(after.figures.keys()).collect();
            for name in names {
                let figure = |day: &DayFigures| day.figures.get(name).copied().unwrap_or(0.0);
                let pairs = all.entry(name).or_default();
                pairs.push((figure(before), figure(after)));
            }
            worth_pairs.push((before.figures[WORTH], after.figures[WORTH]));
            for (which, day) in [("before", before), ("after", after)] {
                if !day.broken.is_empty() || day.short > 0 {
                    let broken = day.broken.join(" ");
                    notes.push(format!(
                        "seed {} {which}: broken rules: {broken}; floors missed: {}",
                        run.seed, day.short
                    ));
                }
            }
        }
        print_line(day, &worth_pairs);
        for note in notes {
            println!("    {note}");
        }
    }
    for (name, pairs) in &all {
        let is_large = Difference::new(pairs).is_some_and(|d| d.mean().abs() >= SHOWN_MIN);
        if *name == WORTH || is_large {
            print_line(&format!("all: {name}"), pairs);
        }
    }
}

fn print_line(name: &str, pairs: &[(f64, f64)]) {
    let Some(d) = Difference::new(pairs) else {
        println!("{name:<28} not run");
        return;
    };
    println!(
        "{name:<28} {:>7.3} {:>7.3} {:>+8.3} {:>7.3}  n={}",
        d.before,
        d.after,
        d.mean(),
        d.half_width,
        pairs.len()
    );
}
