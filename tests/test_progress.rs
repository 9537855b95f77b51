//! Guards against tasks that wait forever: once all faults have ended, each task that fits on some worker is started
//! within a bound, or its job has ended for a cause.
//!
//! Workers of several sizes and labels shrink and grow, tasks of all kinds run, runs fail, and entries and workers
//! fail. Every second world also has an account with a quota, a wave of maintenance, unavailable partitions and gaps
//! in the list of workers.

use fastrand::Rng;
use rockwick::core::sched::deployment::Deployment;
use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::limits::{
    OWNER_LEASE_MS, PLACE_SCAN_MAX, RESORT_MS, STRAY_LEASE_MS, SUSPEND_MAX_MS, WORKER_LEASE_MAX_MS,
};
use rockwick::core::sched::rows::shard_parts;

use crate::world::{job, Faults, World, POOL};

/// Number of seeds in CI. ROCKWICK_SEEDS sets another number or a range, as for the other random worlds.
const SEEDS: u64 = 40;

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// The account with a quota; each of its tasks fits into it.
const ACCOUNT: &str = "shop";

/// The quota of the account, in thousandths of a core.
const QUOTA_CPU_MILLI: u64 = 12_000;

/// The round in which a wave of maintenance begins, if there is one.
const WAVE_ROUND: u32 = 10;

/// Sizes of workers, in thousandths of a core.
const SIZES: [u64; 4] = [2_000, 4_000, 8_000, 12_000];

/// Interval between two checks whether anything runs.
const STEP_MS: u64 = 250;

/// The longest time to wait until nothing runs: all tasks one after the other, each for twice the largest estimate,
/// which is the longest that a run lasts, and the bound.
const IDLE_WAIT_MAX_MS: u64 = TASKS_MAX * ESTIMATE_MAX_MS * 2 + BOUND_MS;

/// The largest estimate of a task.
const ESTIMATE_MAX_MS: u64 = 1_500;

/// The largest number of attempts that a job allows.
const ATTEMPTS_MAX: u32 = 6;

/// The longest time for which a task that fits on some worker stays without a run while nothing else runs. It covers
/// the lease of a former owner, a leftover run that ends with its worker's lease, the longest suspension of a worker
/// on which tasks fail, the wait of a task for another worker, and a pass over all tasks of the queue.
const BOUND_MS: u64 = OWNER_LEASE_MS
    + STRAY_LEASE_MS
    + WORKER_LEASE_MAX_MS
    + 2 * SUSPEND_MAX_MS
    + RESORT_MS * (1 + TASKS_MAX / PLACE_SCAN_MAX as u64);

/// The largest number of tasks in a world.
const TASKS_MAX: u64 = 120;

/// Draws a job of a random kind.
fn random_job(rng: &mut Rng) -> JobSpec {
    let cpu_milli = rng.u64(1..13) * 1_000;
    let mut spec = job(rng.u16(1..5), cpu_milli, rng.u64(100..ESTIMATE_MAX_MS));
    let step = &mut spec.steps[0];
    match rng.u32(0..8) {
        0 => step.label = Some("b".to_string()),
        1 => step.per_worker_max = rng.u16(1..3),
        2 => step.data_rack = Some(["r1", "r2"][rng.usize(0..2)].to_string()),
        3 => step.gang = true,
        _ => {}
    }
    spec
}

fn inject_fault(world: &mut World, rng: &mut Rng) {
    let n = rng.usize(0..world.entries.len());
    let worker_ids = world.worker_ids();
    match rng.u32(0..8) {
        0 => world.kill(n),
        1 => world.freeze(n, rng.u64(100..6_000)),
        2 => world.disconnect_entry(n, rng.u64(100..6_000)),
        3 if !worker_ids.is_empty() => {
            let worker_id = &worker_ids[rng.usize(0..worker_ids.len())];
            world.crash(worker_id, rng.u64(50..7_000));
        }
        4 | 5 if !worker_ids.is_empty() => {
            let worker_id = &worker_ids[rng.usize(0..worker_ids.len())];
            world.disconnect_worker(worker_id, rng.u64(100..12_000));
        }
        6 | 7 if !worker_ids.is_empty() => {
            let worker_id = &worker_ids[rng.usize(0..worker_ids.len())];
            world.resize(worker_id, SIZES[rng.usize(0..SIZES.len())]);
        }
        _ => {}
    }
    boot_all(world);
}

/// Injects the additional faults of every second world, drawn by a generator of their own.
fn inject_extra_fault(world: &mut World, round: u32, jobs: &[String], rng: &mut Rng) {
    world.unavailable_parts.clear();
    for part in shard_parts(POOL) {
        if rng.u32(0..12) == 0 {
            world.unavailable_parts.insert(part);
        }
    }
    if round == WAVE_ROUND && rng.bool() {
        world.order_wave(1, 10_000, rng.usize(1..3));
    }
    let worker_ids = world.worker_ids();
    match rng.u32(0..6) {
        0 if !worker_ids.is_empty() => {
            let worker_id = &worker_ids[rng.usize(0..worker_ids.len())];
            world.unlist(worker_id, rng.u64(100..6_000));
        }
        1 => {
            world.rewrite_progress(&jobs[rng.usize(0..jobs.len())]);
        }
        2 => world.relist_ended_instance(),
        _ => {}
    }
}

fn boot_all(world: &mut World) {
    for n in 0..world.entries.len() {
        if world.entries[n].state.is_none() {
            world.boot(n);
        }
    }
}

/// Plays a world in which tasks take `factor_milli` times as long outside the rack of their data; 0 if unknown.
fn play(seed: u64, factor_milli: u64) {
    let mut rng = Rng::with_seed(seed ^ 0x9a09);
    let mut world = World::new(seed, rng.usize(1..4), rng.usize(2..7));
    world.set_deployment(Deployment {
        remote_data_factor_milli: factor_milli,
        ..Deployment::default()
    });
    world.set_attempts(rng.u32(2..ATTEMPTS_MAX + 1));
    for worker_id in world.worker_ids() {
        world.resize(&worker_id, SIZES[rng.usize(0..SIZES.len())]);
        if rng.bool() {
            world.relabel(&worker_id, &["a", "r2", "b"]);
        }
    }
    world.run(SETTLE_MS);
    world.faults = Faults {
        order_lost: rng.u32(0..100),
        store_lost: rng.u32(0..100),
        run_fails: rng.u32(0..600),
        ..Faults::default()
    };
    let mut extra_rng = (seed % 2 == 1).then(|| Rng::with_seed(seed ^ 0x30e5));
    if extra_rng.is_some() {
        world.set_quotas(&[(ACCOUNT, QUOTA_CPU_MILLI)]);
    }
    let mut jobs = Vec::new();
    for round in 0..30 {
        let id = format!("job-{round}");
        let mut spec = random_job(&mut rng);
        if let Some(extra_rng) = &mut extra_rng {
            let has_account = extra_rng.u32(0..3) == 0 && !spec.steps[0].gang;
            spec.account = has_account.then(|| ACCOUNT.to_string());
        }
        world.submit(&id, spec);
        jobs.push(id);
        if let Some(extra_rng) = &mut extra_rng {
            inject_extra_fault(&mut world, round, &jobs, extra_rng);
        }
        if rng.u32(0..3) == 0 {
            inject_fault(&mut world, &mut rng);
        }
        world.run(rng.u64(50..800));
    }
    world.faults = Faults {
        run_fails: world.faults.run_fails.min(600),
        ..Faults::default()
    };
    world.unavailable_parts.clear();
    boot_all(&mut world);
    run_until_idle(&mut world);
    for id in &jobs {
        let state = world.recorded_state(id);
        assert!(
            state.is_final() || !world.fits_somewhere(id),
            "seed {seed}: {id} is {state:?}: {}",
            world.describe(id)
        );
    }
}

/// Runs a world until nothing has run for the bound, or until all jobs should have ended long ago.
fn run_until_idle(world: &mut World) {
    let mut idle_ms = 0;
    for _ in 0..IDLE_WAIT_MAX_MS / STEP_MS {
        let starts = world.starts;
        world.run(STEP_MS);
        let is_idle = world.starts == starts && world.all_running() == 0;
        idle_ms = if is_idle { idle_ms + STEP_MS } else { 0 };
        if idle_ms >= BOUND_MS {
            return;
        }
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(asked) = std::env::var("ROCKWICK_SEEDS") else {
        return 0..SEEDS;
    };
    let (first, end) = asked.split_once("..").unwrap_or(("0", &asked));
    let number = |s: &str| s.parse().expect("ROCKWICK_SEEDS is a number or a range");
    number(first)..number(end)
}

fn check_seeds(factor_milli: u64) {
    let seeds = seeds();
    let is_failing = |seed: &u64| std::panic::catch_unwind(|| play(*seed, factor_milli)).is_err();
    let failing: Vec<u64> = seeds.clone().filter(is_failing).collect();
    assert!(
        failing.is_empty(),
        "seeds {failing:?} of {seeds:?} failed; ROCKWICK_SEEDS=N..M plays others"
    );
}

#[test]
fn progress_random() {
    check_seeds(0);
}

/// Tasks that wait for the rack of their data get their turn.
#[test]
fn progress_data_racks() {
    check_seeds(3_000);
}
