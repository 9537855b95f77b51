//! Tasks that need most of a host, in pools where every host carries something.

use rockwick::core::sched::book::Book;
use rockwick::core::sched::job::{JobSpec, JobState};
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::sizing::{self, Look, Sizing};
use rockwick::core::sched::{load, place, rows};
use rockwick::event::{Code, Decision};
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

/// Events of reservations so far.
fn reservations(world: &World) -> Vec<&Decision> {
    let codes = [
        Code::HostReserved,
        Code::ReservationUsed,
        Code::ReservationDropped,
    ];
    let log = world.log.iter();
    log.filter(|d| codes.contains(&d.code)).collect()
}

/// The worker that is reserved now.
fn reserved(world: &World) -> Option<String> {
    let last = reservations(world).pop()?;
    let mut names = last.names.iter();
    let (_, id) = names.find(|(what, _)| *what == "worker")?;
    (last.code == Code::HostReserved).then(|| id.clone())
}

/// A pool in which a host has just been reserved, and that worker.
fn with_reserved(seed: u64, tasks: u16) -> (World, String) {
    let mut world = busy(seed);
    world.keeps_log = true;
    world.submit("wide", job(tasks, 11_000, 500));
    for _ in 0..BOUND_MS / STREAM_MS {
        stream(&mut world, STREAM_MS);
        if let Some(id) = reserved(&world) {
            return (world, id);
        }
    }
    panic!("seed {seed}: no host was reserved");
}

/// After `fault` struck the reserved worker, the task is started elsewhere.
fn starts_after(fault: impl Fn(&mut World, &str)) {
    for seed in 0..5 {
        let (mut world, id) = with_reserved(seed, 1);
        fault(&mut world, &id);
        let starts = stream_until(&mut world, 2 * BOUND_MS);
        assert!(starts, "seed {seed}: {}", world.describe("wide"));
    }
}

#[test]
fn wide_host_crashes() {
    starts_after(|world, id| world.crash(id, 2_000));
}

#[test]
fn wide_host_shrinks() {
    starts_after(|world, id| world.resize(id, 6_000));
}

#[test]
fn wide_host_silent() {
    starts_after(|world, id| world.cut_worker(id, 20_000));
}

#[test]
fn wide_host_closed() {
    starts_after(|world, _| world.wave(1, 60_000, 2));
}

#[test]
fn wide_owner_changes() {
    for seed in 0..5 {
        let (mut world, _) = with_reserved(seed, 1);
        world.kill(0);
        world.boot(0);
        let starts = stream_until(&mut world, SETTLE_MS + BOUND_MS);
        assert!(starts, "seed {seed}: {}", world.describe("wide"));
    }
}

#[test]
fn wide_cancelled() {
    let (mut world, _) = with_reserved(1, 1);
    world.cancel("wide");
    stream(&mut world, 1_500);
    assert_eq!(reserved(&world), None);
    assert_eq!(world.running("wide"), 0);
}

/// One host at a time in a small pool, and all of it is used by small tasks in between.
#[test]
fn wide_one_host() {
    let (mut world, _) = with_reserved(2, 4);
    for _ in 0..4 {
        stream(&mut world, BOUND_MS);
    }
    assert_eq!(world.recorded("wide"), JobState::Completed);
    let mut held = 0;
    for event in reservations(&world) {
        held = match event.code {
            Code::HostReserved => held + 1,
            _ => held - 1,
        };
        assert!(held <= 1, "{event:?}");
    }
    world.run(5_000);
    let jobs = world.owner_book().expect("it is owned").jobs.values();
    let left = jobs.filter(|job| !job.state.is_final() && job.id != "lasts");
    assert_eq!(left.count(), 0, "the stream went on");
}

/// What lasts takes a reserved host if there is no other.
#[test]
fn wide_yields_to_lasting() {
    let (mut world, id) = with_reserved(3, 1);
    world.submit("all", lasting(HOSTS, 1));
    world.run(500);
    assert_eq!(world.running("all"), usize::from(HOSTS), "{id} is reserved");
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
