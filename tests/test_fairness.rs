//! One account floods a pool: work within the other accounts' rates goes first, and the flood gets the rest.

use std::collections::BTreeMap;

use rockwick::core::sched::fairness::Meter;
use rockwick::core::sched::job::{JobSpec, JobState};

use crate::world::{job, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns an account's job of two tasks of 2 cores, each with an estimate of 300 ms.
fn of_account(account: &str) -> JobSpec {
    JobSpec {
        account: Some(account.to_string()),
        ..job(2, 2_000, 300)
    }
}

#[test]
fn fairness_meter() {
    let mut meter = Meter::default();
    let within = (0..20).filter(|n| meter.try_take(10, 5_000 + n)).count();
    assert_eq!(within, 10, "one second's rate is available at once");
    assert!(!meter.try_take(10, 5_050));
    assert!(meter.try_take(10, 5_150), "then one each 100 ms");
    assert!(!meter.try_take(10, 5_160));
    let mut small = Meter::default();
    assert!(
        small.try_take(1, 9_000) && small.try_take(1, 9_000),
        "a burst is at least two"
    );
    assert!(!small.try_take(1, 9_000));
    assert!(small.try_take(1, 10_100));
}

/// One account submits four times what the pool can run, by the estimates, and another one submits within its rate.
/// Returns how many of the latter's jobs are done soon after their objective (1,080 ms), and how many were due.
fn others_in_time(flood_weight: u64) -> (usize, usize) {
    let mut world = World::new(61, 1, 4);
    world.set_accounts(&[("flood", 0, flood_weight), ("dock", 0, 5)]);
    world.run(SETTLE_MS);
    let (mut sent, mut done) = (Vec::new(), 0);
    for n in 0..200u64 {
        for k in 0..4 {
            world.submit(&format!("flood-{n}-{k}"), of_account("flood"));
        }
        if n % 10 == 0 {
            let id = format!("dock-{n}");
            world.submit(&id, of_account("dock"));
            sent.push((world.now_ms, id));
        }
        world.run(25);
        let is_due = |at: &u64| world.now_ms >= at + 1_200 && world.now_ms < at + 1_225;
        let due = sent.iter().filter(|(at, _)| is_due(at));
        done += due
            .filter(|(_, id)| world.recorded_state(id) == JobState::Completed)
            .count();
    }
    let due_count = sent
        .iter()
        .filter(|(at, _)| world.now_ms >= at + 1_225)
        .count();
    (done, due_count)
}

#[test]
fn fairness_flood() {
    let (done, due_count) = others_in_time(20);
    assert!(
        done * 100 >= due_count * 95,
        "{done} of {due_count} in time"
    );
    let (unbounded, _) = others_in_time(0);
    assert!(
        unbounded * 2 < done,
        "{unbounded} in time without a weight for the flood, {done} with it"
    );
}

/// Returns the jobs that have not ended, each with whether it is beyond its account's weight.
fn open_jobs(world: &World) -> Option<BTreeMap<String, bool>> {
    let jobs = world.owner_pool_state()?.jobs.values();
    let open = jobs.filter(|job| !job.state.is_final());
    Some(open.map(|job| (job.id.clone(), job.is_excess)).collect())
}

/// A flood that waits remains beyond its account's weight when another entry takes the pool over.
#[test]
fn fairness_owner_killed() {
    for seed in 0..6 {
        let mut world = World::new(seed, 2, 4);
        world.set_accounts(&[("flood", 0, 20), ("dock", 0, 5)]);
        world.run(SETTLE_MS);
        for n in 0..40u64 {
            for k in 0..8 {
                world.submit(&format!("flood-{n}-{k}"), of_account("flood"));
            }
            world.run(25);
        }
        world.submit("dock", of_account("dock"));
        world.run(25);
        let before = open_jobs(&world).expect("the pool has an owner");
        world.kill(world.owner_entry().expect("the pool has an owner"));
        let mut after = None;
        while after.is_none() {
            world.run(25);
            after = open_jobs(&world);
        }
        let after = after.unwrap_or_default();
        assert!(after.len() > 50, "{} jobs are left", after.len());
        let is_kept = |(id, is_excess): &(&String, &bool)| before.get(*id) == Some(*is_excess);
        let kept = after.iter().filter(is_kept).count();
        assert!(
            kept * 100 >= after.len() * 95,
            "seed {seed}: {kept} of {} jobs are counted as before",
            after.len()
        );
    }
}
