//! In calm, each task that fits on some worker is started within a bound, or its job has ended for a cause.
//!
//! Worlds of workers of several sizes and labels that shrink and grow, with tasks of all kinds, failing runs, entries and
//! workers that go; in every second one an account with a quota, a wave of upkeep, partitions that are away and a list of workers
//! with gaps, too. Then all faults end.

use fastrand::Rng;
use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::limits::{
    OWNER_LEASE_MS, PLACE_SCAN_MAX, RESORT_MS, STRAY_LEASE_MS, SUSPEND_MAX_MS, WORKER_LEASE_MAX_MS,
};
use rockwick::core::sched::rows::shard_parts;

use crate::world::{job, Faults, World, POOL};

/// Seeds in CI; more by ROCKWICK_SEEDS, as for the random worlds.
const SEEDS: u64 = 40;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// An account whose quota each of its tasks fits into.
const ACCOUNT: &str = "shop";

/// Its quota, in thousandths of a core.
const QUOTA_CPU_MILLI: u64 = 12_000;

/// When a wave of upkeep begins, where one does.
const WAVE_ROUND: u32 = 10;

/// Sizes of workers, in thousandths of a core.
const SIZES: [u64; 4] = [2_000, 4_000, 8_000, 12_000];

/// How often it is looked at whether something runs.
const STEP_MS: u64 = 250;

/// All jobs one after the other, with all attempts that they have, and the bound.
const CALM_MAX_MS: u64 = TASKS_MAX * ESTIMATE_MAX_MS * 2 + BOUND_MS;

/// The largest estimate.
const ESTIMATE_MAX_MS: u64 = 1_500;

/// Most attempts that a job allows.
const ATTEMPTS_MAX: u32 = 6;

/// Longest time for which a task that fits somewhere stays without a run where nothing else runs: a former owner's lease, a run
/// that was left behind and ends with its worker's lease, the longest pause of a worker on which tasks fail, a task's wait for
/// another worker, and a look at all tasks of the queue.
const BOUND_MS: u64 = OWNER_LEASE_MS
    + STRAY_LEASE_MS
    + WORKER_LEASE_MAX_MS
    + 2 * SUSPEND_MAX_MS
    + RESORT_MS * (1 + TASKS_MAX / PLACE_SCAN_MAX as u64);

/// Most tasks in a world.
const TASKS_MAX: u64 = 120;

/// A job of any kind.
fn draw(rng: &mut Rng) -> JobSpec {
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

fn trouble(world: &mut World, rng: &mut Rng) {
    let n = rng.usize(0..world.entries.len());
    let lives = world.lives();
    match rng.u32(0..8) {
        0 => world.kill(n),
        1 => world.freeze(n, rng.u64(100..6_000)),
        2 => world.cut_entry(n, rng.u64(100..6_000)),
        3 if !lives.is_empty() => {
            let life = &lives[rng.usize(0..lives.len())];
            world.crash(life, rng.u64(50..7_000));
        }
        4 | 5 if !lives.is_empty() => {
            let life = &lives[rng.usize(0..lives.len())];
            world.cut_worker(life, rng.u64(100..12_000));
        }
        6 | 7 if !lives.is_empty() => {
            let life = &lives[rng.usize(0..lives.len())];
            world.resize(life, SIZES[rng.usize(0..SIZES.len())]);
        }
        _ => {}
    }
    boot_all(world);
}

/// What befalls every second world beside that, with draws of its own.
fn befall(world: &mut World, round: u32, jobs: &[String], rng: &mut Rng) {
    world.parts_away.clear();
    for part in shard_parts(POOL) {
        if rng.u32(0..12) == 0 {
            world.parts_away.insert(part);
        }
    }
    if round == WAVE_ROUND && rng.bool() {
        world.wave(1, 10_000, rng.usize(1..3));
    }
    let lives = world.lives();
    match rng.u32(0..6) {
        0 if !lives.is_empty() => {
            let life = &lives[rng.usize(0..lives.len())];
            world.unlist(life, rng.u64(100..6_000));
        }
        1 => {
            world.touch_progress(&jobs[rng.usize(0..jobs.len())]);
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

fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed ^ 0x9a09);
    let mut world = World::new(seed, rng.usize(1..4), rng.usize(2..7));
    world.set_attempts(rng.u32(2..ATTEMPTS_MAX + 1));
    for life in world.lives() {
        world.resize(&life, SIZES[rng.usize(0..SIZES.len())]);
        if rng.bool() {
            world.relabel(&life, &["a", "r2", "b"]);
        }
    }
    world.run(SETTLE_MS);
    world.faults = Faults {
        order_lost: rng.u32(0..100),
        store_lost: rng.u32(0..100),
        run_fails: rng.u32(0..600),
        ..Faults::default()
    };
    let mut more = (seed % 2 == 1).then(|| Rng::with_seed(seed ^ 0x30e5));
    if more.is_some() {
        world.set_quotas(&[(ACCOUNT, QUOTA_CPU_MILLI)]);
    }
    let mut jobs = Vec::new();
    for round in 0..30 {
        let id = format!("job-{round}");
        let mut spec = draw(&mut rng);
        if let Some(more) = &mut more {
            let is_theirs = more.u32(0..3) == 0 && !spec.steps[0].gang;
            spec.account = is_theirs.then(|| ACCOUNT.to_string());
        }
        world.submit(&id, spec);
        jobs.push(id);
        if let Some(more) = &mut more {
            befall(&mut world, round, &jobs, more);
        }
        if rng.u32(0..3) == 0 {
            trouble(&mut world, &mut rng);
        }
        world.run(rng.u64(50..800));
    }
    world.faults = Faults {
        run_fails: world.faults.run_fails.min(600),
        ..Faults::default()
    };
    world.parts_away.clear();
    boot_all(&mut world);
    calm_down(&mut world);
    for id in &jobs {
        let state = world.recorded(id);
        assert!(
            state.is_final() || !world.fits_somewhere(id),
            "seed {seed}: {id} is {state:?}: {}",
            world.describe(id)
        );
    }
}

/// Lets a world run on until nothing has run for the bound, or all should have ended long ago.
fn calm_down(world: &mut World) {
    let mut still_ms = 0;
    for _ in 0..CALM_MAX_MS / STEP_MS {
        let starts = world.starts;
        world.run(STEP_MS);
        let is_still = world.starts == starts && world.all_running() == 0;
        still_ms = if is_still { still_ms + STEP_MS } else { 0 };
        if still_ms >= BOUND_MS {
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

#[test]
fn progress_random() {
    let seeds = seeds();
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    let broken: Vec<u64> = seeds.clone().filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "seeds {broken:?} of {seeds:?} broke; ROCKWICK_SEEDS=N..M plays others"
    );
}
