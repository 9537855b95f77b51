//! Tests of the scheduler in a simulated world without random faults; each test injects only the faults it is about.

use std::sync::Arc;

use rockwick::clock::Now;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::reduce;
use rockwick::core::sched::rows::SHARDS;
use rockwick::core::sched::state::{Effect, Event, PoolKey, State};
use rockwick::port::fleet::{OperatorEvent, TxOutcome, WorkerEvent};

use crate::world::{config, job, lasting, World, POOL};

/// Time until pools have owners; covers a lease and a takeover.
const SETTLE_MS: u64 = 8_000;

#[test]
fn sched_completes() {
    let mut world = World::new(1, 3, 4);
    world.run(SETTLE_MS);
    world.submit("a", job(6, 1_000, 500));
    world.run(5_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

#[test]
fn sched_steps_in_order() {
    let mut world = World::new(2, 2, 3);
    let mut spec = job(4, 1_000, 500);
    spec.steps.push(spec.steps[0].clone());
    spec.steps[1].after = vec![0];
    world.run(SETTLE_MS);
    world.submit("a", spec);
    world.run(100);
    assert_eq!(world.starts, 4, "the second step waits for the first");
    world.run(6_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

#[test]
fn sched_one_owner() {
    let mut world = World::new(3, 5, 2);
    world.run(SETTLE_MS);
    let owners = world.entries.iter().filter_map(|e| e.state.as_ref());
    assert_eq!(owners.map(|s| s.owned_count()).sum::<usize>(), 1);
}

#[test]
fn sched_strong_entry_owns() {
    for seed in 0..5 {
        let mut world = World::new(seed, 5, 2);
        for weak in [0, 1, 3, 4] {
            world.set_cpu(weak, 120);
        }
        world.run(SETTLE_MS);
        let strong = world.entries[2].state.as_ref();
        assert_eq!(strong.map(|s| s.owned_count()), Some(1), "seed {seed}");
    }
}

/// The owner ends while no entry reaches the store. Once the store is back, the entry with processor time must own the
/// pool.
#[test]
fn sched_strong_entry_after_outage() {
    for seed in 0..20 {
        let mut world = World::new(seed, 8, 2);
        let strong = 3;
        for weak in (0..8).filter(|n| *n != strong) {
            world.set_cpu(weak, 120);
        }
        world.run(SETTLE_MS);
        let before = world.owner_entry().expect("the pool has an owner");
        assert_eq!(before, strong, "seed {seed}");
        // Another entry with processor time, which owns nothing yet.
        let next = (seed as usize + strong + 1) % 8;
        let next = if next == strong { 0 } else { next };
        world.set_cpu(next, 500);
        for n in 0..8 {
            world.disconnect_entry(n, 6_000);
        }
        world.run(100);
        world.kill(strong);
        world.run(9_000);
        assert_eq!(world.owner_entry(), Some(next), "seed {seed}");
    }
}

/// List entries lapse during an outage of the store and come back with it. Running tasks continue, and nothing is
/// placed on an unlisted worker.
#[test]
fn sched_lapsed_entries() {
    let mut world = World::new(18, 1, 2);
    world.run(SETTLE_MS);
    world.submit("lasts", lasting(2, 1));
    world.run(2_000);
    let facts: Vec<_> = world
        .worker_ids()
        .iter()
        .map(|id| world.worker_info(id))
        .collect();
    for info in &facts {
        world.deliver_event(0, Event::Worker(WorkerEvent::Gone(info.id.clone())));
    }
    world.submit("a", job(1, 1_000, 200));
    world.run(1_500);
    assert_eq!((world.starts, world.running("lasts")), (2, 2));
    for info in facts {
        world.deliver_event(0, Event::Worker(WorkerEvent::Present(info)));
    }
    world.run(2_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    assert_eq!((world.starts, world.running("lasts")), (3, 2));
}

/// A gang of two needs two workers while one of them is busy. Both members must start together.
#[test]
fn sched_gang_at_once() {
    let mut world = World::new(16, 1, 2);
    world.run(SETTLE_MS);
    world.submit("long", job(1, 8_000, 2_000));
    world.run(100);
    let mut gang = job(2, 8_000, 500);
    gang.steps[0].gang = true;
    world.submit("gang", gang);
    world.run(300);
    assert_eq!(world.running("gang"), 0, "a member must not start alone");
    world.run(8_000);
    assert_eq!(world.recorded_state("gang"), JobState::Completed);
    assert_eq!(world.starts, 3, "each member was started once");
}

#[test]
fn sched_gang_starts_anew() {
    let mut world = World::new(17, 1, 3);
    world.run(SETTLE_MS);
    let mut gang = job(3, 8_000, 3_000);
    gang.steps[0].gang = true;
    world.submit("gang", gang);
    world.run(200);
    assert_eq!(world.running("gang"), 3);
    let lost = world.worker_ids()[0].clone();
    world.crash(&lost, 500);
    world.run(20_000);
    assert_eq!(world.recorded_state("gang"), JobState::Completed);
    assert_eq!(world.starts, 6, "all three members restarted under one run");
}

#[test]
fn sched_restarted_owner_owns() {
    let mut world = World::new(14, 3, 4);
    world.run(SETTLE_MS);
    let before = world.owner_entry().expect("the pool has an owner");
    world.kill(before);
    world.run(300);
    world.boot(before);
    world.run(200);
    assert_eq!(
        world.owner_entry(),
        Some(before),
        "the restarted entry can claim, since its earlier process has ended"
    );
}

/// The store applies a claim and its answer is lost. The entry must recognise its own claim in the feed.
#[test]
fn sched_claim_unanswered() {
    let mut world = World::new(19, 1, 2);
    world.claims_unanswered = 1;
    world.run(300);
    assert_eq!(
        world.owner_entry(),
        Some(0),
        "the entry recognised its own claim"
    );
    world.submit("a", job(2, 1_000, 200));
    world.run(2_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

/// Frequent records of jobs renew the lease, since writes of a partition are made one at a time. Separate renewals
/// must stay few.
#[test]
fn sched_records_renew() {
    let mut world = World::new(23, 2, 4);
    world.run(SETTLE_MS);
    let before = (world.owner_entry(), world.renewals);
    for n in 0..40 {
        world.submit(&format!("job-{n}"), job(1, 500, 300));
        world.run(100);
    }
    let own = world.renewals - before.1;
    assert!(own <= 4, "{own} separate renewals in 4 s");
    assert_eq!(world.owner_entry(), before.0, "the owner kept its lease");
    world.run(4_000);
    assert_eq!(world.owner_entry(), before.0);
}

/// A claim that is answered after the entry was asked to stop is released at once.
#[test]
fn sched_stop_while_claiming() {
    let mut state = State::new("entry", 7);
    let now = |ms| Now {
        ms,
        wall_ms: ms,
        ..Now::default()
    };
    let event = OperatorEvent::Config(Arc::new(config(1)));
    reduce(&mut state, Event::Operator(event), now(10));
    let effects = reduce(&mut state, Event::Tick, now(2_500));
    let is_claim = |e: &Effect| matches!(e, Effect::Claim(..));
    assert!(effects.iter().any(is_claim), "{effects:?}");
    reduce(&mut state, Event::Stop, now(2_510));
    let claimed = Event::Claimed(PoolKey(0), 0, 2_500, TxOutcome::Committed(5));
    let effects = reduce(&mut state, claimed, now(2_520));
    let is_release = |e: &Effect| matches!(e, Effect::Release(..));
    assert!(effects.iter().any(is_release), "{effects:?}");
}

/// Rows that are read again within an ownership must not undo the owner's pending orders to hosts.
#[test]
fn sched_reload_keeps_host_orders() {
    let mut world = World::new(20, 1, 4);
    world.run(SETTLE_MS);
    world.drops_host_orders = true;
    world.order_wave(1, 60_000, 1);
    world.run(1_000);
    let ordered = |world: &World| {
        let pool = world.owner().and_then(|s| s.pool(POOL));
        let ownership = pool.and_then(|p| p.ownership.as_ref());
        let hosts = (0..4).map(|n| format!("host-{n}"));
        let mut out = hosts.filter(|host| ownership.is_some_and(|t| t.hosts.has_order(host)));
        out.next()
    };
    let before = ordered(&world);
    assert!(before.is_some(), "a host has been ordered out");
    world.reload(0);
    assert_eq!(ordered(&world), before);
}

#[test]
fn sched_wave_goes_on() {
    let mut world = World::new(15, 3, 6);
    world.run(SETTLE_MS);
    world.order_wave(1, 60_000, 1);
    world.run(1_000);
    let out_before = world.maintained_hosts[&1].len();
    assert!(out_before > 0, "the wave has begun");
    world.kill(world.owner_entry().expect("the pool has an owner"));
    // Time for the lease to expire, for the claim, and for the order to a host that the former owner did not order out.
    world.run(4_000);
    assert!(
        world.maintained_hosts[&1].len() > out_before,
        "hosts without an order must not wait for the former owner"
    );
}

#[test]
fn sched_takeover_keeps_runs() {
    let mut world = World::new(4, 3, 4);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.run(2_000);
    let before = world.starts;
    let owner = world
        .entries
        .iter()
        .position(|e| e.state.as_ref().is_some_and(|s| s.owned_count() > 0));
    world.kill(owner.expect("the pool has an owner"));
    world.run(SETTLE_MS);
    assert!(world.owner().is_some(), "another entry took over");
    assert_eq!(world.running("a"), 3);
    assert_eq!(
        world.starts, before,
        "the running tasks must not be started again"
    );
}

/// An ended instance stays listed for some heartbeats beside its successor. Its list entry must not end the runs of
/// the instance that is up.
#[test]
fn sched_two_instances_listed() {
    let mut world = World::new(5, 1, 2);
    world.run(SETTLE_MS);
    let first = world.worker_ids()[0].clone();
    let old = world.worker_info(&first);
    world.crash(&first, 100);
    world.run(1_000);
    world.submit("full", job(1, 12_000, 1_000));
    world.run(50);
    let worker_ids = world.worker_ids();
    let on = |world: &World, host: &str| {
        let mut ids = worker_ids
            .iter()
            .filter(|id| world.worker_info(id).host == host);
        ids.next().cloned().expect("a worker is up on the host")
    };
    let successor = on(&world, &old.host);
    let other = worker_ids
        .iter()
        .find(|id| **id != successor)
        .cloned()
        .expect("another host");
    // The long job may have taken either host; the lasting task takes the other one.
    world.submit("a", lasting(1, 0));
    world.run(5_000);
    let (busy, stale) = if world.running_on(&successor) > 0 {
        (successor, old)
    } else {
        (other.clone(), world.earlier_instance_info(&other))
    };
    assert_eq!(world.running_on(&busy), 1);
    let before = world.starts;
    world.deliver_event(0, Event::Worker(WorkerEvent::Present(stale)));
    world.run(2_000);
    assert_eq!(
        world.starts, before,
        "the entry of the ended instance must not affect the instance that is up"
    );
    assert_eq!(world.running_on(&busy), 1);
}

#[test]
fn sched_wave_within_bound() {
    let mut world = World::new(6, 3, 8);
    world.run(SETTLE_MS);
    world.submit("a", lasting(4, 1));
    world.submit("b", job(12, 500, 800));
    world.run(1_000);
    world.order_wave(1, 40_000, 2);
    world.run(45_000);
    assert!(
        world.waves_done.contains(&1),
        "{:?}",
        world.maintained_hosts
    );
    assert!(
        world.max_hosts_out <= 2,
        "{} hosts were out at once",
        world.max_hosts_out
    );
    assert_eq!(world.running("a"), 4);
}

#[test]
fn sched_stop_hands_over() {
    let mut world = World::new(7, 2, 2);
    world.run(SETTLE_MS);
    let owner = world
        .entries
        .iter()
        .position(|e| e.state.as_ref().is_some_and(|s| s.owned_count() > 0));
    let owner = owner.expect("the pool has an owner");
    world.stop(owner);
    world.run(900);
    assert!(world.entries[owner].state.is_none(), "the entry has ended");
    assert!(
        world.owner().is_some(),
        "the other entry took over before the lease ended"
    );
}

#[test]
fn sched_cancel_stops() {
    let mut world = World::new(8, 2, 3);
    world.run(SETTLE_MS);
    world.submit("a", lasting(3, 1));
    world.run(1_000);
    assert_eq!(world.running("a"), 3);
    world.cancel("a");
    world.run(1_000);
    assert_eq!(world.running("a"), 0);
    assert_eq!(world.recorded_state("a"), JobState::Cancelled);
}

#[test]
fn sched_forgets_finished() {
    let mut world = World::new(10, 2, 3);
    world.run(SETTLE_MS);
    world.submit("a", job(2, 1_000, 100));
    world.run(140_000);
    let lease_rows = 2 * SHARDS;
    assert_eq!(
        world.store.len(),
        lease_rows + 2,
        "owner and heartbeat per shard, job, progress"
    );
    world.run(20_000);
    assert_eq!(
        world.store.len(),
        lease_rows,
        "owner and heartbeat per shard"
    );
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

/// Only the bad worker has free capacity at first. The next run of a failed task must wait for another worker.
#[test]
fn sched_fails_elsewhere_next() {
    let mut world = World::new(11, 1, 2);
    world.run(SETTLE_MS);
    let worker_ids = world.worker_ids();
    world.submit("long", job(1, 8_000, 4_000));
    world.run(50);
    let bad = worker_ids
        .iter()
        .find(|id| world.running_on(id) == 0)
        .expect("one worker is free");
    world.bad_worker = Some(bad.clone());
    world.submit("a", job(1, 8_000, 100));
    world.run(15_000);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
}

#[test]
fn sched_fails_at_bound() {
    let mut world = World::new(9, 2, 3);
    world.run(SETTLE_MS);
    world.faults.run_fails = 1_000;
    world.submit("a", job(1, 1_000, 100));
    world.run(20_000);
    assert_eq!(world.recorded_state("a"), JobState::Failed);
    assert_eq!(world.starts, 3);
    assert_eq!(
        world
            .owner()
            .and_then(|s| s.pool(POOL))
            .map(|p| p.name.as_str()),
        Some(POOL)
    );
}
