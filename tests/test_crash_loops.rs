//! Guards against giving up harmless jobs because of hosts that crash again and again.
//!
//! In a pool of 20 workers, two at a time crashed once a second for some seconds. Each crash counted against the tasks
//! that had just started there, and their next run went to the worker with the fewest tasks, which was the next
//! instance on the same host. Of some 720 jobs, four to nine ended as failed, though none of their runs had failed.

use rockwick::core::sched::job::JobState;

use crate::world::{job, World};

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// Interval of the crashes on one host.
const LOOP_MS: u64 = 1_000;

/// Number of crashes in one loop.
const LOOP_CRASHES: u64 = 7;

/// Number of hosts in the pool.
const HOSTS: usize = 20;

/// How the hosts crash.
#[derive(Clone, Copy, Debug)]
enum Crashes {
    /// Two hosts crash once a second, and other two after some seconds.
    Loops,
    /// The same, and the owner of the pool is killed during each loop.
    LoopsAndKills,
    /// A host drawn at random crashes about every 0.9 s.
    Anywhere,
}

/// Returns the names of all hosts with a worker that is up.
fn hosts(world: &World) -> Vec<String> {
    let ids = world.worker_ids().into_iter();
    ids.map(|id| world.worker_info(&id).host).collect()
}

/// Plays 45 s of a steady load of short tasks, and returns the numbers of jobs that ended as completed and as failed.
fn play(seed: u64, crashes: Crashes) -> (usize, usize) {
    let mut world = World::new(seed, 3, HOSTS);
    let mut rng = fastrand::Rng::with_seed(seed);
    world.run(SETTLE_MS);
    let mut jobs = Vec::new();
    let mut looping: Vec<String> = Vec::new();
    for step in 0..900 {
        let now_ms = step * 50;
        if rng.u32(0..1_000) < 800 {
            let id = format!("job-{}", jobs.len());
            world.submit(&id, job(6, 2_000, 800));
            jobs.push(id);
        }
        let (loop_number, loop_ms) = (
            now_ms / ((LOOP_CRASHES + 1) * LOOP_MS),
            now_ms % ((LOOP_CRASHES + 1) * LOOP_MS),
        );
        let crashing: Vec<String> = match crashes {
            Crashes::Anywhere if rng.u32(0..18) == 0 => {
                let hosts = hosts(&world);
                vec![hosts[rng.usize(0..hosts.len())].clone()]
            }
            Crashes::Anywhere => Vec::new(),
            _ if loop_ms == 0 => {
                let mut all = hosts(&world);
                rng.shuffle(&mut all);
                looping = all.into_iter().take(2).collect();
                looping.clone()
            }
            _ if loop_ms % LOOP_MS == 0 && loop_ms / LOOP_MS < LOOP_CRASHES => looping.clone(),
            _ => Vec::new(),
        };
        for host in crashing {
            if let Some(worker_id) = world.worker_on(&host) {
                world.crash(&worker_id, rng.u64(500..900));
            }
        }
        if matches!(crashes, Crashes::LoopsAndKills) && loop_ms == 2_500 && loop_number % 2 == 1 {
            if let Some(owner) = world.owner_entry() {
                world.kill(owner);
                world.boot(owner);
            }
        }
        world.run(50);
    }
    world.run(60_000);
    let count = |state| {
        let ended = jobs.iter().filter(|id| world.recorded_state(id) == state);
        ended.count()
    };
    let (completed, failed) = (count(JobState::Completed), count(JobState::Failed));
    assert_eq!(completed + failed, jobs.len(), "seed {seed}: all jobs end");
    (completed, failed)
}

/// Plays several seeds and returns the sums of the jobs that ended as completed and as failed.
fn play_all(crashes: Crashes) -> (usize, usize) {
    let mut sum = (0, 0);
    for seed in 0..6 {
        let (completed, failed) = play(seed, crashes);
        println!("{crashes:?}, seed {seed}: {completed} completed, {failed} failed");
        sum = (sum.0 + completed, sum.1 + failed);
    }
    sum
}

/// No harmless job may be given up because of hosts in a crash loop.
#[test]
fn crash_loops_spare_jobs() {
    let (completed, failed) = play_all(Crashes::Loops);
    assert_eq!(failed, 0, "of {}", completed + failed);
}

/// The same while owners are replaced during the loops.
#[test]
fn crash_loops_across_owners() {
    let (completed, failed) = play_all(Crashes::LoopsAndKills);
    assert_eq!(failed, 0, "of {}", completed + failed);
}

/// No harmless job may be given up while many hosts crash by turns.
#[test]
fn crash_loops_anywhere() {
    let (completed, failed) = play_all(Crashes::Anywhere);
    assert_eq!(failed, 0, "of {}", completed + failed);
}
