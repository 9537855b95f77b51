//! Which workers are lives of one host, and what shows that one of them is over.

use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::port::fleet::{OrderReply, RenewalReport};

use crate::decide::{answering, decide};
use crate::world::{job, worker_fact, World};

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// Platforms without a list of hosts name none: their workers are not lives of one host.
#[test]
fn lives_no_host() {
    let mut pool_state = PoolState::default();
    let one = answering(&mut pool_state, worker_fact("one", ""));
    let other = answering(&mut pool_state, worker_fact("other", ""));
    pool_state.workers[one].answered_ms = 1_000;
    let report = RenewalReport {
        born_wall_ms: None,
        clock_ms: 2_000,
        unreadable: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    decide(2_000, |ctx| {
        renewal::settle(&mut pool_state, other, 1_500, Ok(report), EPOCH, ctx);
    });
    let answers = pool_state.workers.get(one).map(|w| w.is_answering);
    assert_eq!(
        answers,
        Some(true),
        "the other one's account says nothing of it"
    );
}

/// Tasks of the job that runs in each of the worlds below.
const TASKS: u16 = 4;

/// Two hosts, and a life on which tasks run that take 15 s and more.
fn at_work(seed: u64) -> (World, String) {
    let mut world = World::new(seed, 1, 2);
    world.submit("a", job(TASKS, 500, 30_000));
    world.run(4_000);
    assert_eq!(world.running("a"), usize::from(TASKS));
    let lives = world.lives().into_iter();
    let busiest = lives.max_by_key(|life| world.running_on(life));
    (world, busiest.expect("workers are up"))
}

/// A host's next life answers while the one before drains: what runs there goes on.
#[test]
fn lives_drain_beside() {
    for seed in 0..20 {
        let (mut world, life) = at_work(seed);
        let carried = world.running_on(&life);
        world.overlap(&life, 5_000);
        world.run(1_500);
        assert_eq!(world.running_on(&life), carried, "seed {seed}");
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// The one that drains is cut off, and not over: its lease keeps its runs from being started elsewhere.
#[test]
fn lives_drain_unheard() {
    for seed in 0..20 {
        let (mut world, life) = at_work(seed);
        world.overlap(&life, 5_000);
        world.cut_worker(&life, 1_500);
        world.run(1_500);
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// A crashed life's tasks wait for its next life's account, and not for their lease.
#[test]
fn lives_crash_quick() {
    for seed in 0..20 {
        let (mut world, life) = at_work(seed);
        let carried = world.running_on(&life) as u64;
        world.crash(&life, 300);
        world.run(1_500);
        assert_eq!(world.starts, u64::from(TASKS) + carried, "seed {seed}");
    }
}

/// The list names another life's address for a while: that one's answer ends nothing.
#[test]
fn lives_wrong_address() {
    for seed in 0..20 {
        let (mut world, life) = at_work(seed);
        let lives = world.lives();
        let other = lives.iter().find(|other| **other != life);
        world.readdress(&life, other.expect("there are two"), 1_000);
        world.run(3_000);
        assert_eq!(world.starts, u64::from(TASKS), "seed {seed}");
    }
}

/// One that left the list while it answered serves on like one that states that it drains.
#[test]
fn lives_withdrawn() {
    let mut pool_state = PoolState::default();
    let one = answering(&mut pool_state, worker_fact("one", "host"));
    let other = answering(&mut pool_state, worker_fact("other", "host"));
    pool_state.workers[one].answered_ms = 1_000;
    pool_state.workers[one].is_withdrawn = true;
    pool_state.workers[one].lease_end_ms = 9_000;
    decide(1_400, |ctx| {
        let broken = Err(OrderReply::Broken);
        renewal::settle(&mut pool_state, one, 1_200, broken, EPOCH, ctx);
    });
    let report = RenewalReport {
        born_wall_ms: None,
        clock_ms: 2_000,
        unreadable: 0,
        running: Vec::new(),
        ended: Vec::new(),
    };
    decide(2_000, |ctx| {
        renewal::settle(&mut pool_state, other, 1_500, Ok(report), EPOCH, ctx);
    });
    let over_ms = pool_state.workers.get(one).map(|w| w.lease_end_ms);
    assert_eq!(over_ms, Some(9_000), "its lease counts");
}
