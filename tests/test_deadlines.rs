//! Each round of a scheduled job has deadlines of its own, counted from the time at which it is due.
//!
//! If the deadlines are those of the job, counted from its acceptance, a round that is due some intervals later counts as
//! hopeless from its beginning, and waits behind all other work.

use crate::world::{job, with_schedule, World, WALL_MS};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Objective of a round: a target of 600 ms, and 1.6 times the longest of a few tasks of 250 to 1,000 ms.
const OBJECTIVE_MS: u64 = 600 + 1_000 * 16 / 10;

/// Rounds of one scheduled job: the time at which each is due, and whether it was done in time.
struct Rounds {
    id: String,
    due_ms: Vec<u64>,
    in_time: Vec<bool>,
}

impl Rounds {
    fn submit(world: &mut World, id: &str, tasks: u16, rounds: u32, interval_ms: u64) -> Self {
        let first_ms = world.now_ms + interval_ms;
        let spec = with_schedule(
            job(tasks, 1_000, 500),
            rounds,
            WALL_MS + first_ms,
            interval_ms,
        );
        world.submit(id, spec);
        Self {
            id: id.to_string(),
            due_ms: (0..rounds)
                .map(|n| first_ms + u64::from(n) * interval_ms)
                .collect(),
            in_time: vec![false; rounds as usize],
        }
    }

    /// Records the rounds that are done now and still in time.
    fn observe(&mut self, world: &World) {
        let Some(pool_state) = world.owner_pool_state() else {
            return;
        };
        let Some(job) = pool_state.jobs_by_id.get(&self.id) else {
            return;
        };
        let job = &pool_state.jobs[*job];
        for (n, due_ms) in self.due_ms.iter().enumerate() {
            let number = n as u32;
            let is_done = number < job.rounds_begun && !job.rounds.contains_key(&number);
            self.in_time[n] |= is_done && world.now_ms <= due_ms + OBJECTIVE_MS;
        }
    }

    fn in_time(&self) -> usize {
        self.in_time.iter().filter(|in_time| **in_time).count()
    }
}

/// Sends more plain work than the pool can run beside a scheduled job of six rounds. Returns how many rounds were done in
/// time.
fn rounds_beside_overload(seed: u64, has_owner_killed: bool) -> usize {
    let mut world = World::new(seed, 2, 4);
    world.run(SETTLE_MS);
    let mut rounds = Rounds::submit(&mut world, "rounds", 4, 6, 2_500);
    for tick in 0..900_u32 {
        // 80 cores of work for 64 cores.
        if tick % 5 == 0 {
            world.submit(&format!("plain-{tick}"), job(16, 1_000, 500));
        }
        if has_owner_killed && tick == 400 {
            world.kill(world.owner_entry().expect("the pool has an owner"));
        }
        world.run(20);
        rounds.observe(&world);
    }
    rounds.in_time()
}

#[test]
fn deadlines_beside_overload() {
    let in_time: Vec<usize> = (0..10).map(|s| rounds_beside_overload(s, false)).collect();
    let sum: usize = in_time.iter().sum();
    assert!(sum >= 42, "{sum} of 60 rounds in time: {in_time:?}");
}

/// The rounds after a change of owner are in time, too; the owner is killed between the second and the third round.
#[test]
fn deadlines_owner_killed() {
    let in_time: Vec<usize> = (0..10).map(|s| rounds_beside_overload(s, true)).collect();
    let sum: usize = in_time.iter().sum();
    assert!(sum >= 30, "{sum} of 60 rounds in time: {in_time:?}");
}
