//! Tasks that need most of a host, in pools where every host carries something.

use rockwick::core::sched::book::Book;
use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::sizing::{self, Look, Sizing};
use rockwick::core::sched::{load, place, rows};
use rockwick::port::fleet::StoredRow;

use crate::decide::{answering, decide};
use crate::world::{config, job, lasting, worker_fact, World, POOL};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// Between two jobs of the stream: shorter than the shortest of its tasks.
const STREAM_MS: u64 = 300;

/// The longest of those tasks, a second of waiting, and a lease.
const BOUND_MS: u64 = 1_600 + 1_000 + 4_500;

const HOSTS: u16 = 8;

const NOW_MS: u64 = 100_000;

/// One task on each host, 400 to 1,600 ms long.
fn small() -> JobSpec {
    let mut spec = job(HOSTS, 1_300, 800);
    spec.steps[0].per_worker_max = 1;
    spec
}

/// Five of eight hosts carry a task that lasts, all of them a part of the stream.
fn busy(seed: u64) -> World {
    let mut world = World::new(seed, 1, usize::from(HOSTS));
    world.run(SETTLE_MS);
    let mut spec = lasting(5, 1);
    spec.steps[0].cpu_milli = 1_500;
    world.submit("lasts", spec);
    stream(&mut world, 4_000);
    world
}

/// The stream goes on for so long.
fn stream(world: &mut World, ms: u64) {
    for _ in 0..ms / STREAM_MS {
        world.submit(&format!("small-{}", world.now_ms), small());
        world.run(STREAM_MS);
    }
}

/// The stream goes on until the wide task runs, or for so long.
fn stream_until(world: &mut World, ms: u64) -> bool {
    for _ in 0..ms / STREAM_MS {
        if world.running("wide") > 0 || world.recorded("wide") == JobState::Completed {
            return true;
        }
        stream(world, STREAM_MS);
    }
    false
}

/// Over half of the pool is free, and no host ever has eleven of its twelve cores free by itself.
#[test]
fn wide_never_starts() {
    for seed in 0..5 {
        let mut world = busy(seed);
        world.submit("wide", job(1, 11_000, 500));
        let starts = stream_until(&mut world, BOUND_MS);
        assert!(starts, "seed {seed}: {}", world.describe("wide"));
    }
}

/// Hosts that a pool of six needs, whose hosts carry a task that lasts each, once a task of nearly a host has waited. What
/// lasts is as much as room for three hosts.
fn needed_beside_lasting(wide: &JobSpec) -> u64 {
    let mut book = Book::default();
    for n in 0..6 {
        let fact = worker_fact(&format!("life-{n}"), &format!("host-{n}"));
        answering(&mut book, fact);
    }
    let mut lasts = lasting(3, 1);
    lasts.steps[0].cpu_milli = 8_100;
    for (n, spec) in [&lasts, &lasts, wide].into_iter().enumerate() {
        let row = StoredRow {
            part: POOL.to_string(),
            key: format!("job-{n}"),
            value: Some(rows::encode(spec)),
            revision: n as u64 + 1,
        };
        decide(NOW_MS, |ctx| {
            load::apply_intake(&mut book, &row, &config(1), 1, ctx);
            place::place(&mut book, ctx);
        });
    }
    assert_eq!(book.ready.len(), 1, "one fits nowhere");
    let mut sizing = Sizing::default();
    let with = Look {
        pool: POOL,
        epoch: 1,
        can_park: false,
        pressed: true,
        answer_ms: 5,
    };
    for n in 0..10 {
        decide(NOW_MS + n * 100, |ctx| {
            sizing::look(&mut book, &mut sizing, &mut Offers::default(), &with, ctx);
        });
    }
    sizing.needed
}

/// A pool whose hosts carried a task that lasts each gave its empty ones away: `pool-load` told 53 open hosts, 315 of 848
/// cores used and three tasks of 14,550 thousandths waiting for 15 s, `pool-sized` that 46 hosts were wanted, and 38 on offer.
#[test]
fn wide_asks_host() {
    let wide = |accepted_wall_ms| JobSpec {
        accepted_wall_ms,
        ..job(1, 14_550, 1_000)
    };
    assert!(needed_beside_lasting(&wide(NOW_MS)) > 6, "in time");
    let late_ms = NOW_MS - 60_000;
    assert!(needed_beside_lasting(&wide(late_ms)) > 6, "past its time");
}
