//! Steps that only some workers may run: the owner asks the advice service, and starts carry valid tickets.

use rockwick::core::sched::job::JobState;
use rockwick::platform::Platform;
use rockwick::port::fleet::{AdviceError, AdviceService, AdviceTerms, StepName};

use crate::world::{job, lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

const TERMS: AdviceTerms = AdviceTerms {
    decide_ms: 20,
    each_ms: 2,
    valid_ms: 1_500,
};

fn advised_world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 6);
    world.use_advice(TERMS);
    world.advice.rules_out_half = true;
    world.run(SETTLE_MS);
    world
}

/// Submits ten jobs of two steps, 200 ms apart, and returns their ids.
fn submit_jobs(world: &mut World) -> Vec<String> {
    (0..10)
        .map(|n| {
            let id = format!("job-{n}");
            let mut spec = job(3, 2_000, 300);
            let mut second = spec.steps[0].clone();
            second.after = vec![0];
            spec.steps.push(second);
            world.submit(&id, spec);
            world.run(200);
            id
        })
        .collect()
}

fn check_completed(world: &World, ids: &[String]) {
    for id in ids {
        assert_eq!(world.recorded_state(id), JobState::Completed, "{id}");
    }
}

#[test]
fn advice_starts_carry_tickets() {
    for seed in 0..10 {
        let mut world = advised_world(seed);
        let ids = submit_jobs(&mut world);
        world.run(15_000);
        check_completed(&world, &ids);
        assert_eq!(world.advice.refused_tickets, 0, "seed {seed}");
        // Two calls a step at the most, but for those whose tickets had ended.
        assert!(world.advice.calls <= 60, "{} calls", world.advice.calls);
    }
}

#[test]
fn advice_not_needed() {
    let mut world = World::new(1, 2, 6);
    world.run(SETTLE_MS);
    let ids = submit_jobs(&mut world);
    world.run(15_000);
    check_completed(&world, &ids);
    assert_eq!(world.advice.calls, 0);
}

#[test]
fn advice_asked_early() {
    let mut world = advised_world(3);
    let mut spec = job(3, 2_000, 1_000);
    let mut second = spec.steps[0].clone();
    second.after = vec![0];
    spec.steps.push(second);
    world.submit("two-steps", spec);
    world.run(800);
    assert_eq!(world.running("two-steps"), 3);
    assert!(
        world.advice.calls >= 2,
        "the second step is asked about while the first one runs"
    );
}

#[test]
fn advice_service_down() {
    for seed in 0..10 {
        let mut world = advised_world(seed);
        world.advice.down_until_ms = world.now_ms + 6_000;
        let before = world.advice.calls;
        let ids = submit_jobs(&mut world);
        world.run(3_000);
        assert_eq!(world.starts, 0, "nothing starts without a ticket");
        let calls = world.advice.calls - before;
        assert!(calls <= 12, "{calls} calls of a service that is away");
        world.run(20_000);
        check_completed(&world, &ids);
    }
}

#[test]
fn advice_service_busy() {
    let mut world = advised_world(5);
    world.advice.busy_calls = 5;
    let ids = submit_jobs(&mut world);
    world.run(15_000);
    check_completed(&world, &ids);
}

#[test]
fn advice_owner_killed() {
    for seed in 0..10 {
        let mut world = advised_world(seed);
        let ids = submit_jobs(&mut world);
        let owner = world.owner_entry().expect("an owner");
        world.kill(owner);
        world.run(25_000);
        check_completed(&world, &ids);
    }
}

#[test]
fn advice_worker_crashes() {
    for seed in 0..10 {
        let mut world = advised_world(seed);
        world.submit("lasts", lasting(2, 1));
        world.run(5_000);
        let worker = world.worker_running("lasts", 0).expect("it runs");
        world.crash(&worker, 3_000);
        world.run(25_000);
        assert_eq!(
            world.running("lasts"),
            2,
            "seed {seed}: it runs again, by a ticket of its next worker"
        );
    }
}

#[test]
fn advice_random_faults() {
    for seed in 0..40 {
        let mut world = advised_world(seed);
        world.faults.order_lost = 60;
        world.faults.order_late = 300;
        world.faults.store_lost = 30;
        let ids = submit_jobs(&mut world);
        if seed % 3 == 0 {
            world.advice.down_until_ms = world.now_ms + 2_000;
        }
        if seed % 4 == 1 {
            let owner = world.owner_entry();
            owner.into_iter().for_each(|n| world.freeze(n, 3_000));
        }
        world.run(10_000);
        world.faults = Default::default();
        world.run(25_000);
        check_completed(&world, &ids);
    }
}

/// A worker that already has a task of the step counts as no place for another one, so that others are asked about.
#[test]
fn advice_one_a_worker() {
    for seed in 0..10 {
        let mut world = advised_world(seed);
        world.advice.rules_out_half = false;
        world.submit("lasts", lasting(5, 1));
        world.run(6_000);
        assert_eq!(world.running("lasts"), 5, "seed {seed}");
        let worker = world.worker_running("lasts", 0).expect("it runs");
        world.crash(&worker, 60_000);
        world.run(15_000);
        assert_eq!(
            world.running("lasts"),
            5,
            "seed {seed}: on the sixth worker"
        );
    }
}

/// Work without advice that fills the pool does not keep a step with advice from its first ticket: workers are asked about
/// before they have room.
#[test]
fn advice_full_pool() {
    let mut world = advised_world(2);
    for n in 0..30 {
        world.submit(&format!("early-{n}"), job(2, 6_000, 1_500));
    }
    world.run(12_000);
    let calls = world.advice.calls;
    assert!(calls > 0);
    world.run(60_000);
    for n in 0..30 {
        let id = format!("early-{n}");
        assert_eq!(world.recorded_state(&id), JobState::Completed, "{id}");
    }
}

/// Workers refuse no start for its ticket while orders are lost and held up, apart from starts that were on their way.
#[test]
fn advice_tickets_checked_again() {
    let mut refused = 0;
    for seed in 0..20 {
        let mut world = advised_world(seed);
        world.faults.order_lost = 200;
        let ids = submit_jobs(&mut world);
        world.run(10_000);
        world.faults = Default::default();
        world.run(25_000);
        check_completed(&world, &ids);
        refused += world.advice.refused_tickets;
    }
    assert_eq!(refused, 0);
}

#[test]
fn advice_unknown_service() {
    let platform = Platform::new(std::net::SocketAddr::from(([127, 0, 0, 1], 1)), None);
    let step = StepName {
        job: "job".to_string(),
        round: 0,
        step: 0,
    };
    let workers = ["w".to_string()];
    let answer = platform.advise(&step, &workers, 100);
    assert_eq!(smol::block_on(answer), Err(AdviceError::Down));
}
