//! Guards against decisions that an owner makes before it has a configuration, or under a configuration that changed
//! after the job was accepted.
//!
//! A job was ended as failed after three failed runs of a task although its queue allows four; the fourth start never
//! came. Presumably its owner had just restarted without a configuration and loaded the job with the default number of
//! attempts. The log of a similar day, at another moment, shows `pool-owned` at 14.257 s, ten `task-placed` at 14.38 s,
//! and the first `config-adopted` of the process, "from 0", at 15.636 s.

use rockwick::core::sched::job::JobState;

use crate::world::{job, World, QUEUE};

/// Number of seeds.
const SEEDS: u64 = 40;

/// Time until the pool has an owner.
const SETTLE_MS: u64 = 8_000;

/// The longest time that a few short runs take, including a takeover.
const RUNS_MS: u64 = 20_000;

/// Attempts that the queue allows; differs from the default for an unknown queue.
const ATTEMPTS: u32 = 4;

/// Returns the seeds in which the job is not completed although the last attempt of its only task succeeds.
fn failing_seeds(play: impl Fn(u64) -> JobState + std::panic::RefUnwindSafe) -> Vec<u64> {
    let is_failing = |seed: &u64| {
        let played = std::panic::catch_unwind(|| play(*seed));
        played.ok() != Some(JobState::Completed)
    };
    (0..SEEDS).filter(is_failing).collect()
}

/// Restarts all entries, which receive the configuration seconds after everything else.
fn play_late_config(seed: u64) -> JobState {
    let mut world = World::new(seed, 3, 4);
    world.set_attempts(ATTEMPTS);
    world.run(SETTLE_MS);
    world.config_late_ms = 5_000;
    world.restart_all_entries();
    world.submit("job", job(1, 1_000, 200));
    world.fail_runs("job", ATTEMPTS as usize - 1);
    world.run(RUNS_MS);
    world.recorded_state("job")
}

#[test]
fn attempts_before_config() {
    let failing = failing_seeds(play_late_config);
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// Removes the queue from the configuration after the job was accepted, and lets another entry take the pool over.
fn play_removed_queue(seed: u64) -> JobState {
    let mut world = World::new(seed, 3, 4);
    world.set_attempts(ATTEMPTS);
    world.run(SETTLE_MS);
    world.submit("job", job(1, 1_000, 200));
    world.remove_queue(QUEUE);
    world.run(100);
    world.restart_all_entries();
    world.fail_runs("job", ATTEMPTS as usize - 1);
    world.run(RUNS_MS);
    world.recorded_state("job")
}

#[test]
fn attempts_queue_removed() {
    let failing = failing_seeds(play_removed_queue);
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// Raises the allowed attempts from 3 to 5 while the task of the job fails, without a change of owner.
fn play_raised_attempts(seed: u64) -> JobState {
    let mut world = World::new(seed, 3, 4);
    world.run(SETTLE_MS);
    world.submit("job", job(1, 1_000, 200));
    world.fail_runs("job", 1);
    world.set_attempts(5);
    world.run(100);
    world.fail_runs("job", 4);
    world.run(RUNS_MS);
    world.recorded_state("job")
}

#[test]
fn attempts_raised() {
    let failing = failing_seeds(play_raised_attempts);
    assert!(
        failing.is_empty(),
        "{} seeds failed: {failing:?}",
        failing.len()
    );
}

/// The allowed attempts are lowered to those already used while no worker has capacity for the task. The task must not
/// start again, and its job ends.
#[test]
fn attempts_lowered() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 1);
        world.run(SETTLE_MS);
        world.submit("job", job(1, 10_000, 200));
        world.fail_runs("job", 1);
        world.faults.run_fails = 1_000;
        let worker = world.worker_ids().remove(0);
        while world.starts < 2 {
            world.run(5);
        }
        world.resize(&worker, 1_000);
        world.run(3_000);
        assert_eq!(world.most_failed_runs("job"), 2, "seed {seed}");
        world.set_attempts(2);
        world.run(500);
        world.faults.run_fails = 0;
        world.resize(&worker, 16_000);
        world.run(RUNS_MS);
        assert_eq!(world.recorded_state("job"), JobState::Failed, "seed {seed}");
        assert_eq!(world.starts, 2, "seed {seed}");
    }
}

/// The allowed attempts are lowered to those already used while the next run is in progress. That run counts if it
/// succeeds, and is the last one if its worker crashes.
#[test]
fn attempts_lowered_late() {
    for seed in 0..SEEDS {
        let crashes = seed % 2 == 1;
        let mut world = World::new(seed, 3, 2);
        world.run(SETTLE_MS);
        world.submit("job", job(1, 1_000, 2_000));
        world.fail_runs("job", 2);
        while world.starts < 3 {
            world.run(5);
        }
        world.set_attempts(2);
        world.run(500);
        if crashes {
            let worker = world.worker_running("job", 0).expect("the task runs");
            world.crash(&worker, 1_000);
        }
        world.run(RUNS_MS);
        let state = match crashes {
            true => JobState::Failed,
            false => JobState::Completed,
        };
        assert_eq!(world.recorded_state("job"), state, "seed {seed}");
        assert_eq!(world.starts, 3, "seed {seed}");
    }
}

/// An owner without a configuration does not know the quotas. It must not exceed them.
#[test]
fn quota_before_config() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 4);
        world.set_quotas(&[("account", 2_000)]);
        world.run(SETTLE_MS);
        world.config_late_ms = 5_000;
        world.restart_all_entries();
        let mut spec = job(10, 1_000, 3_000);
        spec.account = Some("account".to_string());
        world.submit("job", spec);
        for _ in 0..400 {
            world.run(25);
            let used = world.account_cpu_milli("account");
            assert!(used <= 2_000, "seed {seed}: {used} at {} ms", world.now_ms);
        }
    }
}
