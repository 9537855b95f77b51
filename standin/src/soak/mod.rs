//! `standin soak`: runs real entries as separate processes, injects random faults from outside, and checks
//! rockwick's promises by what callers and workers observe. Owns the processes, the relays and the callers of
//! one seed. Called by the `soak` command, which the test suite runs.

mod balancer;
mod busy;
mod callers;
mod configs;
mod disturbances;
mod entry;
mod faults;
mod planned;
mod proxy;
mod rare;
mod recuts;
mod shapes;

use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bpaf::{construct, long, Parser};
use rockwick::runtime::Runtime;
use serde_json::{json, Value};

use balancer::Balancer;
use busy::BusyThreads;
use callers::{lock, AcceptedJob, Caller, Callers};
use configs::{ConfigCheck, NewestConfig};
use disturbances::Disturbances;
use entry::{Entry, Ports};
use faults::{Faults, Scope};
use proxy::Proxy;
use standin::fleet::Fleet;

/// Name of the only pool.
const POOL: &str = "pool";

/// Pools without workers, each with a queue of its name, of which callers only ask for the number of waiting jobs. Planned
/// work has them: entries read the rows of all pools for such counts, and several pools make that take long.
const EMPTY_POOLS: [&str; 4] = ["empty1", "empty2", "empty3", "empty4"];

/// Run time of a task whose text states none.
const WORK_MS: u64 = 250;

/// Longest time, after the last fault, for all jobs to end and all waves to complete.
const SETTLE_MS: u64 = 60_000;

/// Largest number of broken promises printed per seed; the report lists all of them.
const BROKEN_SHOWN: usize = 10;

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);

/// Threads that run the relays.
const RELAY_THREADS: usize = 2;

/// Holds the flags of `standin soak`.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    seed: u64,
    seeds: u64,
    seconds: u64,
    entries: usize,
    workers: usize,
    callers: u64,
    timed: u32,
    drains: u32,
    workers_only: bool,
    recuts: bool,
    planned_only: bool,
    busy: usize,
    logs: PathBuf,
    binary: Option<PathBuf>,
    report: Option<PathBuf>,
}

/// Returns the parser of the flags of `standin soak`.
pub(crate) fn args() -> impl Parser<Args> {
    let seed = long("seed")
        .help("First seed to run")
        .argument("N")
        .fallback(1);
    let seeds = long("seeds")
        .help("Number of seeds to run, one after the other")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("Seconds of fault injection per seed")
        .argument("S")
        .fallback(20);
    let entries = long("entries")
        .help("Number of entries, one process each")
        .argument("N")
        .fallback(4);
    let workers = long("workers")
        .help("Number of workers")
        .argument("N")
        .fallback(6);
    let callers = long("callers")
        .help("Number of callers, one thread each")
        .argument("N")
        .fallback(6);
    let timed = long("timed")
        .help("Give one job in N a schedule with overlapping rounds; 0 for none")
        .argument("N")
        .fallback(0);
    let drains = long("drains")
        .help("Make a worker announce its end with one in N of the other faults")
        .argument("N")
        .fallback(20);
    let workers_only = long("workers-only")
        .help("Inject only faults of workers and of orders to them")
        .switch();
    let recuts = long("recuts")
        .help("Inject only series of workers that restart under their ids and are cut off, among kills of the owner")
        .switch();
    let planned_only = long("planned-only")
        .help("Inject only planned work: SIGTERM, SIGHUP, configurations and waves, in series that overlap")
        .switch();
    let busy = long("busy")
        .help("Number of busy threads that take processor time from the entries")
        .argument("N")
        .fallback(0);
    let logs = long("logs")
        .help("Directory for the entries' logs; logs of passing seeds are removed")
        .argument("DIR")
        .fallback(std::env::temp_dir().join("rockwick-soak"));
    let binary = long("binary")
        .help("Path of the rockwick binary; by default the one beside this binary")
        .argument("PATH")
        .optional();
    let report = long("report")
        .help("File to write the JSON report to")
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
        drains,
        workers_only,
        recuts,
        planned_only,
        busy,
        logs,
        binary,
        report
    })
}

impl Args {
    /// Returns which faults to inject.
    fn scope(&self) -> Scope {
        match (self.planned_only, self.recuts, self.workers_only) {
            (true, ..) => Scope::Planned,
            (_, true, _) => Scope::Recuts,
            (.., true) => Scope::Workers,
            _ => Scope::All,
        }
    }

    fn empty_pools(&self) -> &'static [&'static str] {
        match self.planned_only {
            true => &EMPTY_POOLS,
            false => &[],
        }
    }

    /// Returns the range of the run time of long tasks, in milliseconds.
    fn long_ms(&self) -> Range<u64> {
        match self.recuts {
            true => recuts::LONG_MS,
            false => shapes::LONG_MS,
        }
    }
}

/// Holds everything that faults can act on: the entries, the stand-in platform and the relays between them.
pub(crate) struct Cluster {
    binary: PathBuf,
    fleet: Fleet,
    entries: Vec<Entry>,
    /// Relays before the store, one for each entry.
    store_paths: Vec<Proxy>,
    /// Relays before the workers.
    worker_paths: Vec<Proxy>,
    disturbances: Arc<Disturbances>,
    /// Faults of the paths to workers.
    worker_disturbances: Disturbances,
    newest_config: Arc<Mutex<NewestConfig>>,
    empty_pools: &'static [&'static str],
}

impl Cluster {
    fn new(args: &Args, seed: u64) -> std::io::Result<Self> {
        let runtime = Runtime::new("relay", RELAY_THREADS)?;
        let fleet = Fleet::start(POOL, args.workers, WORK_MS)?;
        fleet.set_seed(seed);
        fleet.use_own_clocks();
        if args.recuts {
            fleet.age_workers(recuts::AGE_MS);
        }
        let logs = args.logs.join(seed.to_string());
        std::fs::create_dir_all(&logs)?;
        // Runs a copy, so that a build during the soak does not replace the program under test.
        let binary = logs.join("rockwick");
        std::fs::copy(binary_path(args)?, &binary)?;
        let mut worker_paths = Vec::new();
        for n in 0..args.workers {
            let proxy = Proxy::start(runtime, fleet.worker_address(n))?;
            fleet.announce(n, proxy.address);
            worker_paths.push(proxy);
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
        let mut cluster = Self {
            binary,
            fleet,
            entries,
            store_paths,
            worker_paths,
            disturbances: Arc::new(match args.scope() {
                Scope::Planned => Disturbances::none(args.entries),
                _ => Disturbances::new(args.entries),
            }),
            worker_disturbances: Disturbances::new(args.workers),
            newest_config: Arc::new(Mutex::new(NewestConfig {
                version: 1,
                changed_at: Instant::now(),
            })),
            empty_pools: args.empty_pools(),
        };
        cluster.write_config(1);
        Ok(cluster)
    }

    /// Returns the number of the entry that owns the pool.
    fn owner(&self) -> Option<usize> {
        let name = self.fleet.owner()?;
        self.entries.iter().position(|entry| entry.name == name)
    }

    /// Returns the entries in the owner's hall. Entries with even numbers are in one hall, the others in the other.
    fn hall_of_owner(&self) -> Vec<usize> {
        let Some(owner) = self.owner() else {
            return Vec::new();
        };
        let all = 0..self.entries.len();
        all.filter(|n| n % 2 == owner % 2).collect()
    }

    /// Writes the next configuration; returns its version.
    fn change_config(&mut self) -> u64 {
        let newest_config = Arc::clone(&self.newest_config);
        let mut newest = lock(&newest_config);
        newest.version += 1;
        newest.changed_at = Instant::now();
        self.write_config(newest.version);
        newest.version
    }

    fn write_config(&mut self, version: u64) {
        if self.empty_pools.is_empty() {
            self.fleet.configure_queues(version, POOL, version - 1);
            return;
        }
        let more: Vec<String> = (1..version).map(|n| format!("x{n}")).collect();
        let mut routes = vec![("q", POOL)];
        routes.extend(more.iter().map(|name| (name.as_str(), POOL)));
        routes.extend(self.empty_pools.iter().map(|pool| (*pool, *pool)));
        let mut pools = vec![POOL];
        pools.extend(self.empty_pools);
        self.fleet.configure_routes(version, &routes, &pools);
    }
}

fn binary_path(args: &Args) -> std::io::Result<PathBuf> {
    match &args.binary {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("rockwick")),
    }
}

/// Checks that undisturbed entries order nothing to workers that announced their end a while before.
fn check_drains(cluster: &Cluster) {
    for late in cluster.fleet.take_late_starts() {
        let n = cluster.entries.iter().position(|e| e.name == late.entry);
        let Some(n) = n else { continue };
        let is_settled = cluster.entries[n].is_settled_at(late.received_at);
        let is_undisturbed = cluster
            .disturbances
            .is_undisturbed_since(n, late.received_at)
            && cluster
                .worker_disturbances
                .is_undisturbed_since(late.host, late.received_at);
        if is_settled && is_undisturbed {
            cluster.fleet.report_broken(late.what);
        }
    }
}

/// Holds the outcome of one seed.
struct SeedResult {
    seed: u64,
    broken: Vec<String>,
    faults: Vec<String>,
    counts: Value,
    took: Duration,
}

fn run_seed(args: &Args, seed: u64) -> std::io::Result<SeedResult> {
    let began = Instant::now();
    let _busy_threads = BusyThreads::start(args.busy);
    let mut cluster = Cluster::new(args, seed)?;
    let mut faults = Faults::new(seed, args.entries, args.drains).with_scope(args.scope());
    faults.tick(&mut cluster)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let ready_addresses: Vec<_> = cluster.entries.iter().map(|e| e.ready_address).collect();
    let shared = Callers {
        balancer: (args.scope() == Scope::Planned)
            .then(|| Balancer::start(&ready_addresses, &is_over)),
        empty_pools: args.empty_pools(),
        fleet: cluster.fleet.clone(),
        entries: cluster.entries.iter().map(|e| e.caller_address).collect(),
        disturbances: Arc::clone(&cluster.disturbances),
        open: Arc::default(),
        counts: Arc::default(),
        is_over,
        timed: args.timed,
        long_ms: args.long_ms(),
    };
    let mut threads: Vec<_> = (1..=args.callers)
        .map(|n| {
            let caller = Caller::new(shared.clone(), seed, n);
            std::thread::spawn(move || caller.run())
        })
        .collect();
    let config_check = ConfigCheck::new(
        Caller::new(shared.clone(), seed, 0),
        shared.clone(),
        Arc::clone(&cluster.newest_config),
        cluster
            .entries
            .iter()
            .map(|e| Arc::clone(&e.starts))
            .collect(),
    );
    threads.push(std::thread::spawn(move || config_check.run()));
    let mut checker = Caller::new(shared.clone(), seed, 0);
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let mut next = Instant::now() + faults.draw_pause();
    while Instant::now() < until {
        if Instant::now() >= next {
            faults.inject_next(&mut cluster);
            next = Instant::now() + faults.draw_pause();
        }
        faults.tick(&mut cluster)?;
        check_drains(&cluster);
        std::thread::sleep(TICK);
    }
    faults.end_all(&mut cluster)?;
    shared.is_over.store(true, Ordering::SeqCst);
    while !threads.iter().all(|thread| thread.is_finished()) {
        faults.tick(&mut cluster)?;
        std::thread::sleep(TICK);
    }
    for thread in threads {
        if thread.join().is_err() {
            cluster
                .fleet
                .report_broken("a caller or a check of the soak panicked".to_string());
        }
    }
    settle(&mut cluster, &mut faults, &mut checker, &shared)?;
    let counts = &shared.counts;
    Ok(SeedResult {
        seed,
        broken: cluster.fleet.all_broken(),
        counts: json!({
            "accepted": counts.accepted.load(Ordering::Relaxed),
            "refused": counts.refused.load(Ordering::Relaxed),
            "unknown": counts.unknown.load(Ordering::Relaxed),
            "unanswered": counts.unanswered.load(Ordering::Relaxed),
            "completed": counts.completed.load(Ordering::Relaxed),
            "counted": counts.counted.load(Ordering::Relaxed),
            "starts": cluster.fleet.starts(),
            "waves": faults.waves(),
            "drains": faults.drains(),
            "orders_to_later": cluster.fleet.orders_to_later(),
        }),
        faults: std::mem::take(&mut faults.events),
        took: began.elapsed(),
    })
}

/// Waits after the last fault until every job has ended, every wave is completed and no order is held up; reports a
/// broken promise after `SETTLE_MS`. Long-running jobs are cancelled once all their tasks run; no task of a cancelled job may still run.
fn settle(
    cluster: &mut Cluster,
    faults: &mut Faults,
    checker: &mut Caller,
    shared: &Callers,
) -> std::io::Result<()> {
    let until = Instant::now() + Duration::from_millis(SETTLE_MS);
    let mut cancelled: Vec<AcceptedJob> = Vec::new();
    loop {
        faults.tick(cluster)?;
        check_drains(cluster);
        let open: Vec<AcceptedJob> = lock(&shared.open).clone();
        let waves = (1..=faults.waves()).all(|w| cluster.fleet.wave_completed(w));
        let is_quiet = cluster.fleet.delayed_orders() == 0;
        let are_ended = open.is_empty() && cancelled.iter().all(|k| has_no_runs(cluster, k));
        if are_ended && waves && is_quiet {
            return Ok(());
        }
        if Instant::now() >= until {
            let left: Vec<&String> = open.iter().map(|k| &k.id).collect();
            let what = format!("not settled: jobs {left:?}, waves done: {waves}");
            cluster.fleet.report_broken(what);
            return Ok(());
        }
        for job in open {
            let at_work = cluster.fleet.running_tasks_of(&job.id) == job.tasks.len();
            if job.is_cancelled || (job.is_long_running && at_work) {
                if checker.cancel_job(0, &job.id) {
                    cancelled.push(job);
                }
                continue;
            }
            checker.query_job(0, &job);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn has_no_runs(cluster: &Cluster, job: &AcceptedJob) -> bool {
    cluster.fleet.running_tasks_of(&job.id) == 0
}

/// Runs all seeds and writes the report; returns an error if a promise was broken.
pub(crate) fn run(args: Args) -> Result<(), String> {
    let mut results = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let result = run_seed(&args, seed).map_err(|e| format!("seed {seed}: {e}"))?;
        let logs = args.logs.join(seed.to_string());
        if result.broken.is_empty() {
            std::fs::remove_dir_all(&logs).map_err(|e| format!("{}: {e}", logs.display()))?;
        }
        println!(
            "seed {seed}: {} in {:.1} s, {} faults, {}",
            if result.broken.is_empty() {
                "held"
            } else {
                "BROKEN"
            },
            result.took.as_secs_f64(),
            result.faults.len(),
            result.counts
        );
        for what in result.broken.iter().take(BROKEN_SHOWN) {
            println!("  {what} (logs: {})", logs.display());
        }
        results.push(result);
    }
    let failed = results.iter().filter(|v| !v.broken.is_empty()).count();
    println!("{} seeds, {failed} broken", results.len());
    if let Some(path) = &args.report {
        let rows: Vec<Value> = results
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
