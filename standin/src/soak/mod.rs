//! `standin soak`: real entries as separate processes under random faults from outside, with the promises
//! checked while it runs, from what callers and workers see.

mod callers;
mod calm;
mod entry;
mod faults;
mod proxy;
mod rare;
mod shapes;

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::{construct, long, Parser};
use rockwick::runtime::Runtime;
use serde_json::{json, Value};

use callers::{lock, Caller, Callers, Known};
use calm::Calm;
use entry::{Entry, Ports};
use faults::Faults;
use proxy::Proxy;
use standin::fleet::Fleet;

/// The only pool.
const POOL: &str = "pool";

/// What a task takes.
const WORK_MS: u64 = 250;

/// After the last fault, everything must be settled within so long.
const SETTLE_MS: u64 = 60_000;

/// A change of the configuration is in force within so long at an entry that was left alone.
const CONFIG_MS: u64 = 2_500;

/// Broken promises of a seed that are printed; the report has all.
const BROKEN_SHOWN: usize = 10;

/// Threads for relays.
const RELAY_THREADS: usize = 2;

/// The command's flags.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    seed: u64,
    seeds: u64,
    seconds: u64,
    entries: usize,
    workers: usize,
    callers: u64,
    timed: u32,
    logs: PathBuf,
    binary: Option<PathBuf>,
    report: Option<PathBuf>,
}

/// The parser of the command's flags.
pub(crate) fn args() -> impl Parser<Args> {
    let seed = long("seed")
        .help("The first seed")
        .argument("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("How many seeds, one after the other")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("How long faults come for each seed")
        .argument("S")
        .fallback(20);
    let entries = long("entries")
        .help("Entries, a process each")
        .argument("N")
        .fallback(4);
    let workers = long("workers").help("Workers").argument("N").fallback(6);
    let callers = long("callers")
        .help("Callers, a thread each")
        .argument("N")
        .fallback(6);
    let timed = long("timed")
        .help("One job in so many is timed, its rounds overlapping; none at 0")
        .argument("N")
        .fallback(0);
    let logs = long("logs")
        .help("Folder for the entries' logs; those of seeds that held are removed")
        .argument("DIR")
        .fallback(std::env::temp_dir().join("rockwick-soak"));
    let binary = long("binary")
        .help("The program; beside this one by default")
        .argument("PATH")
        .optional();
    let report = long("report")
        .help("Where the report goes, as JSON")
        .argument("FILE")
        .optional();
    construct!(Args {
        seed,
        seeds,
        seconds,
        entries,
        workers,
        callers,
        timed,
        logs,
        binary,
        report
    })
}

/// All that faults can reach.
pub(crate) struct Stage {
    binary: PathBuf,
    fleet: Fleet,
    entries: Vec<Entry>,
    store_paths: Vec<Proxy>,
    workers: Vec<Proxy>,
    calm: Arc<Calm>,
    /// The configuration's version: so many queues beside the first.
    version: u64,
    changed: Instant,
}

impl Stage {
    fn new(args: &Args, seed: u64) -> std::io::Result<Self> {
        let runtime = Runtime::new("relay", RELAY_THREADS)?;
        let fleet = Fleet::start(POOL, args.workers, WORK_MS)?;
        fleet.set_seed(seed);
        fleet.draw_clocks();
        let logs = args.logs.join(seed.to_string());
        std::fs::create_dir_all(&logs)?;
        // A build while the soak runs must not change the program under it.
        let binary = logs.join("rockwick");
        std::fs::copy(program(args)?, &binary)?;
        let mut workers = Vec::new();
        for n in 0..args.workers {
            let proxy = Proxy::start(runtime, fleet.worker_address(n))?;
            fleet.announce(n, proxy.address);
            workers.push(proxy);
        }
        let mut entries = Vec::new();
        let mut ports = Ports::default();
        let mut store_paths = Vec::new();
        for n in 0..args.entries {
            let proxy = Proxy::start(runtime, fleet.address)?;
            let name = format!("e{n}");
            entries.push(Entry::new(&name, proxy.address, &logs, &mut ports)?);
            store_paths.push(proxy);
        }
        fleet.configure_more(1, POOL, 0);
        Ok(Self {
            binary,
            fleet,
            entries,
            store_paths,
            workers,
            calm: Arc::new(Calm::new(args.entries)),
            version: 1,
            changed: Instant::now(),
        })
    }

    /// The entry that owns the pool, by number.
    fn owner(&self) -> Option<usize> {
        let name = self.fleet.owner()?;
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// The entries of its hall: those of even numbers are in one, the others in the other.
    fn hall_of_owner(&self) -> Vec<usize> {
        let Some(owner) = self.owner() else {
            return Vec::new();
        };
        let all = 0..self.entries.len();
        all.filter(|n| n % 2 == owner % 2).collect()
    }

    fn change_config(&mut self) {
        self.version += 1;
        self.changed = Instant::now();
        self.fleet
            .configure_more(self.version, POOL, self.version - 1);
    }
}

fn program(args: &Args) -> std::io::Result<PathBuf> {
    match &args.binary {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("rockwick")),
    }
}

/// The newest configuration that an entry has shown, by its process.
struct Shown {
    version: u64,
    process: u64,
}

/// Looks what configuration entries go by: never back, and the newest one in time.
fn check_config(stage: &Stage, caller: &mut Caller, shown: &mut [Shown], starts: &[u64]) {
    if stage.version < 2 {
        return;
    }
    let asked = Instant::now();
    for n in 0..stage.entries.len() {
        if shown[n].process != starts[n] {
            shown[n] = Shown {
                version: 1,
                process: starts[n],
            };
        }
        let newest = stage.version - 1;
        let in_force = stage.changed.elapsed() > Duration::from_millis(CONFIG_MS);
        let was_calm = stage.calm.was_calm(n, stage.changed) && stage.calm.was_calm(n, asked);
        match caller.has_queue(n, &format!("x{newest}")) {
            Some(true) => shown[n].version = stage.version,
            Some(false) if shown[n].version == stage.version => {
                let what = format!("entry {n} went back behind configuration {}", stage.version);
                stage.fleet.broken(what);
            }
            Some(false) if in_force && was_calm => {
                let what = format!("configuration {} is not in force at {n}", stage.version);
                stage.fleet.broken(what);
            }
            _ => {}
        }
    }
}

/// How a seed went.
struct Verdict {
    seed: u64,
    broken: Vec<String>,
    faults: Vec<String>,
    counts: Value,
    took: Duration,
}

fn play(args: &Args, seed: u64) -> std::io::Result<Verdict> {
    let began = Instant::now();
    let mut stage = Stage::new(args, seed)?;
    let mut faults = Faults::new(seed, args.entries);
    faults.tend(&mut stage)?;
    let all = Callers {
        fleet: stage.fleet.clone(),
        entries: stage.entries.iter().map(|e| e.callers).collect(),
        calm: Arc::clone(&stage.calm),
        open: Arc::default(),
        counts: Arc::default(),
        is_over: Arc::new(AtomicBool::new(false)),
        timed: args.timed,
    };
    let threads: Vec<_> = (1..=args.callers)
        .map(|n| {
            let caller = Caller::new(all.clone(), seed, n);
            std::thread::spawn(move || caller.run())
        })
        .collect();
    let mut asker = Caller::new(all.clone(), seed, 0);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let mut next = Instant::now() + faults.pause();
    let mut shown: Vec<Shown> = Vec::new();
    shown.resize_with(args.entries, || Shown {
        version: 1,
        process: 0,
    });
    while Instant::now() < until {
        if Instant::now() >= next {
            faults.strike(&mut stage);
            next = Instant::now() + faults.pause();
        }
        faults.tend(&mut stage)?;
        let starts: Vec<u64> = stage.entries.iter().map(|e| e.starts).collect();
        check_config(&stage, &mut asker, &mut shown, &starts);
        std::thread::sleep(Duration::from_millis(20));
    }
    faults.end(&mut stage)?;
    all.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        if thread.join().is_err() {
            stage
                .fleet
                .broken("a caller of the soak panicked".to_string());
        }
    }
    settle(&mut stage, &mut faults, &mut asker, &all)?;
    let counts = &all.counts;
    Ok(Verdict {
        seed,
        broken: stage.fleet.all_broken(),
        counts: json!({
            "accepted": counts.accepted.load(Ordering::Relaxed),
            "refused": counts.refused.load(Ordering::Relaxed),
            "unknown": counts.unknown.load(Ordering::Relaxed),
            "unanswered": counts.unanswered.load(Ordering::Relaxed),
            "completed": counts.completed.load(Ordering::Relaxed),
            "starts": stage.fleet.starts(),
            "waves": faults.waves(),
        }),
        faults: std::mem::take(&mut faults.told),
        took: began.elapsed(),
    })
}

/// After the last fault: every job comes to its end, every wave is done, what lasts is at work.
fn settle(
    stage: &mut Stage,
    faults: &mut Faults,
    asker: &mut Caller,
    all: &Callers,
) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_millis(SETTLE_MS);
    let mut cancelled: Vec<Known> = Vec::new();
    loop {
        faults.tend(stage)?;
        let open: Vec<Known> = lock(&all.open).clone();
        let waves = (1..=faults.waves()).all(|w| stage.fleet.wave_completed(w));
        if open.is_empty() && waves && cancelled.iter().all(|k| is_gone(stage, k)) {
            return Ok(());
        }
        if Instant::now() >= until {
            let left: Vec<&String> = open.iter().map(|k| &k.id).collect();
            let what = format!("not settled: jobs {left:?}, waves done: {waves}");
            stage.fleet.broken(what);
            return Ok(());
        }
        for known in open {
            let at_work = stage.fleet.running_of(&known.id) == known.tasks.len();
            if known.is_cancelled || (known.lasts && at_work) {
                if asker.cancel_at(0, &known.id) {
                    cancelled.push(known);
                }
                continue;
            }
            asker.state(0, &known);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn is_gone(stage: &Stage, known: &Known) -> bool {
    stage.fleet.running_of(&known.id) == 0
}

/// Plays all seeds; fails if any promise was broken.
pub(crate) fn run(args: Args) -> Result<(), String> {
    let mut verdicts = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let verdict = play(&args, seed).map_err(|e| format!("seed {seed}: {e}"))?;
        let logs = args.logs.join(seed.to_string());
        if verdict.broken.is_empty() {
            std::fs::remove_dir_all(&logs).map_err(|e| format!("{}: {e}", logs.display()))?;
        }
        println!(
            "seed {seed}: {} in {:.1} s, {} faults, {}",
            if verdict.broken.is_empty() {
                "held"
            } else {
                "BROKEN"
            },
            verdict.took.as_secs_f64(),
            verdict.faults.len(),
            verdict.counts
        );
        for what in verdict.broken.iter().take(BROKEN_SHOWN) {
            println!("  {what} (logs: {})", logs.display());
        }
        verdicts.push(verdict);
    }
    let failed = verdicts.iter().filter(|v| !v.broken.is_empty()).count();
    println!("{} seeds, {failed} broken", verdicts.len());
    if let Some(path) = &args.report {
        let rows: Vec<Value> = verdicts
            .iter()
            .map(|v| {
                json!({"seed": v.seed, "broken": v.broken, "faults": v.faults, "counts": v.counts,
                    "took_ms": v.took.as_millis() as u64})
            })
            .collect();
        let text = serde_json::to_vec_pretty(&rows).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if failed > 0 {
        return Err(format!("{failed} seeds broke a promise"));
    }
    Ok(())
}
