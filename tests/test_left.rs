//! Guards against leftovers of faults: some time after the last fault every wave has ended, no host is closed, and no
//! task is held for a worker that is gone.

use fastrand::Rng;
use rockwick::core::sched::load::FOREIGN_LEASE_MS;
use rockwick::core::sched::state::{Event, PoolKey};
use rockwick::port::fleet::TxOutcome;

use crate::world::{job, lasting, Faults, World};

/// Number of seeds in CI. ROCKWICK_SEEDS sets another number, or a range such as `6000..9000`.
const SEEDS: u64 = 40;

/// Number of rounds in which faults may occur.
const ROUNDS: u64 = 40;

/// The longest duration of a fault, that of a disconnected worker.
const FAULT_MAX_MS: u64 = 12_000;

/// Time for an owner's lease to expire and another entry to read the rows.
const TAKEOVER_MS: u64 = 2_100;

/// Time for a host to close, be ordered out, have its maintenance and be seen back; doubled, since its turn may be
/// interrupted once.
const HOST_TURN_MS: u64 = 2 * 6_500;

/// Number of seeds of the tests in which rows are read again all the time.
const REREAD_SEEDS: u64 = 30;

/// Numbers of the waves of a world.
const WAVES: [u64; 2] = [1, 2];

/// Returns the time after which no leftovers may exist: leases have expired, an entry has taken over, and each host
/// has had its turn in each wave.
fn cleanup_max_ms(hosts: usize) -> u64 {
    let turns = hosts as u64 * WAVES.len() as u64;
    FAULT_MAX_MS + FOREIGN_LEASE_MS + TAKEOVER_MS + turns * HOST_TURN_MS
}

fn seeds() -> std::ops::Range<u64> {
    let one = std::env::var("ROCKWICK_SEED")
        .ok()
        .and_then(|s| s.parse().ok());
    if let Some(one) = one {
        return one..one + 1;
    }
    let asked = std::env::var("ROCKWICK_SEEDS").unwrap_or_else(|_| SEEDS.to_string());
    let (first, end) = asked.split_once("..").unwrap_or(("0", &asked));
    let number = |s: &str| s.parse().expect("ROCKWICK_SEEDS is a number or a range");
    number(first)..number(end)
}

fn inject_fault(world: &mut World, jobs: &[String], rng: &mut Rng) {
    let n = rng.usize(0..world.entries.len());
    let worker_ids = world.worker_ids();
    let worker_id =
        (!worker_ids.is_empty()).then(|| worker_ids[rng.usize(0..worker_ids.len())].clone());
    let ms = rng.u64(100..6_000);
    match (rng.u32(0..8), worker_id) {
        (0, _) => world.kill(n),
        (1, _) => world.freeze(n, ms),
        (2, _) => world.disconnect_entry(n, ms),
        (3, _) => world.stop(n),
        (4, Some(worker_id)) => world.crash(&worker_id, ms),
        (5, Some(worker_id)) => world.disconnect_worker(&worker_id, rng.u64(100..FAULT_MAX_MS)),
        _ if !jobs.is_empty() => {
            world.rewrite_progress(&jobs[rng.usize(0..jobs.len())]);
        }
        _ => {}
    }
    for n in 0..world.entries.len() {
        if world.entries[n].state.is_none() && rng.bool() {
            world.boot(n);
        }
    }
}

fn run_with_faults(world: &mut World, hosts: u16, seed: u64, rng: &mut Rng) {
    world.faults = Faults {
        store_lost: rng.u32(0..150),
        store_late: rng.u32(0..1_000),
        order_lost: rng.u32(0..100),
        order_late: rng.u32(0..1_000),
        run_fails: 0,
    };
    world.newer_answers_milli = rng.u32(0..500);
    let mut jobs = Vec::new();
    for round in 0..ROUNDS {
        if rng.bool() {
            let id = format!("job-{seed}-{round}");
            let spec = match rng.u32(0..8) {
                0 => lasting(rng.u16(1..hosts), 1),
                _ => job(rng.u16(1..5), rng.u64(200..2_500), rng.u64(50..1_500)),
            };
            world.submit(&id, spec);
            jobs.push(id);
        }
        if round == ROUNDS / 8 {
            world.order_wave(WAVES[0], 30_000, rng.usize(1..3));
        }
        if round == ROUNDS / 3 {
            world.order_wave(WAVES[1], 30_000, rng.usize(1..3));
        }
        if rng.u32(0..3) == 0 {
            inject_fault(world, &jobs, rng);
        }
        world.run(rng.u64(50..1_500));
    }
    world.faults = Faults::default();
    world.newer_answers_milli = 0;
    // Entries that were asked to stop have ended by then.
    world.run(6_000);
    for n in 0..world.entries.len() {
        if world.entries[n].state.is_none() {
            world.boot(n);
        }
    }
}

/// Describes each leftover; empty if there are none.
fn find_leftovers(world: &World) -> Vec<String> {
    let mut found = Vec::new();
    for wave in WAVES {
        if !world.waves_done.contains(&wave) {
            let known = world.owner().map(|state| state.waves.get(&wave));
            found.push(format!("wave {wave} has not ended: {known:?}"));
        }
    }
    let Some(pool_state) = world.owner_pool_state() else {
        return vec!["the pool has no loaded owner".to_string()];
    };
    let closed = pool_state
        .workers
        .values()
        .filter(|w| w.is_closing || w.is_offered);
    found.extend(closed.map(|w| format!("{} of {} is closed", w.info.id, w.info.host)));
    found.extend(
        pool_state
            .closing_hosts
            .iter()
            .map(|host| format!("{host} is closed")),
    );
    let up = world.worker_ids();
    let gone = pool_state
        .workers
        .values()
        .filter(|w| !up.contains(&w.info.id));
    let held = gone.filter(|w| !w.tasks.is_empty() || w.suspended_until_ms > world.now_ms);
    found.extend(held.map(|w| format!("tasks are held for {}, which is gone", w.info.id)));
    found
}

fn play(seed: u64) {
    let mut rng = Rng::with_seed(seed ^ 0x1ef7);
    let (entries, hosts) = (rng.usize(1..4), rng.usize(3..7));
    let mut world = World::new(seed, entries, hosts);
    run_with_faults(&mut world, hosts as u16, seed, &mut rng);
    world.run(cleanup_max_ms(hosts));
    let leftovers = find_leftovers(&world);
    assert!(leftovers.is_empty(), "seed {seed}: {leftovers:#?}");
}

#[test]
fn left_cleared_up() {
    let seeds = seeds();
    let is_failing = |seed: &u64| std::panic::catch_unwind(|| play(*seed)).is_err();
    let failing: Vec<u64> = seeds.clone().filter(is_failing).collect();
    assert!(failing.is_empty(), "seeds {failing:?} of {seeds:?} failed");
}

/// Guards against a lost answer to a change of a wave's row. The in-memory state was dropped to be read again while
/// the change was in flight, so no state was left for the answer to settle, and no slot was taken or given back any
/// more. In seed 113, host-4 was ordered out and came back, but its slot was never given back.
#[test]
fn left_wave_answer() {
    play(113);
}

/// Guards against a job in two shards. Its first record was in flight in one shard when the rows were read again, and
/// was applied after the job had been recorded in another shard.
#[test]
fn left_late_record() {
    play(731);
}

/// Guards against the fault of `left_wave_answer` without any other faults: another process keeps rewriting rows, so
/// the owner reads them again all the time.
#[test]
fn left_wave_reread() {
    for seed in 0..REREAD_SEEDS {
        let mut world = World::new(seed, 1, 3);
        world.run(8_000 + seed);
        world.order_wave(WAVES[0], 20_000, 1);
        for round in 0..400 {
            world.submit(&format!("job-{round}"), job(2, 500, 50));
            world.run(37);
            world.rewrite_progress(&format!("job-{round}"));
        }
        world.run(cleanup_max_ms(3));
        assert!(world.waves_done.contains(&WAVES[0]), "seed {seed}");
    }
}

/// Guards against a lost answer to a change of an account's grant. The in-memory state was dropped while the change
/// was in flight, so no state was left for the answer to settle, and the grant never changed again.
#[test]
fn left_quota_reread() {
    let of_account = |count, estimate_ms| {
        let mut spec = job(count, 1_000, estimate_ms);
        spec.account = Some("shop".to_string());
        spec
    };
    for seed in 0..REREAD_SEEDS {
        let mut world = World::new(seed, 1, 3);
        world.set_quotas(&[("shop", 30_000)]);
        world.run(8_000 + seed);
        for round in 0..400 {
            let id = format!("job-{round}");
            world.submit(&id, job(2, 200, 50));
            if round % 10 == 0 {
                world.submit(&format!("shop-{round}"), of_account(1 + round / 20, 50));
            }
            world.run(37);
            world.rewrite_progress(&id);
        }
        world.run(cleanup_max_ms(3));
        world.submit("wide", of_account(30, 4 * cleanup_max_ms(3)));
        world.run(cleanup_max_ms(3));
        assert_eq!(world.running("wide"), 30, "seed {seed}");
    }
}

/// A host that is closing must stay closed when the rows are read again.
#[test]
fn left_closing_reread() {
    let mut world = World::new(5, 1, 3);
    world.run(8_000);
    world.submit("long", job(3, 10_000, 2_500));
    world.run(500);
    world.order_wave(WAVES[0], 20_000, 1);
    world.run(500);
    let closing = |world: &World| {
        let pool_state = world
            .owner_pool_state()
            .expect("the owner has loaded the pool");
        let mut workers = pool_state.workers.values();
        workers.find(|w| w.is_closing).map(|w| w.info.host.clone())
    };
    let host = closing(&world).expect("a host is closing");
    world.reload(0);
    world.run(200);
    assert_eq!(closing(&world), Some(host));
}

/// Answers to an earlier ownership arrive while the current one has changes in flight, some of which are lost. Such
/// answers must not settle these changes.
#[test]
fn left_former_answers() {
    for seed in 0..REREAD_SEEDS {
        let mut world = World::new(seed, 1, 3);
        world.run(8_000);
        world.order_wave(WAVES[0], 20_000, 1);
        world.faults.store_lost = 300;
        for _ in 0..1_500 {
            world.run(7);
            let former = Event::WaveSettled(PoolKey(0), 0, TxOutcome::Committed(1 << 40));
            world.deliver_event(0, former);
        }
        world.faults.store_lost = 0;
        world.run(cleanup_max_ms(3));
        assert!(world.waves_done.contains(&WAVES[0]), "seed {seed}");
    }
}
