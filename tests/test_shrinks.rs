//! A worker's capacity shrinks and grows while it runs. The workers here accept every start, and the world checks that
//! no start exceeds a capacity that the owner could know.

use fastrand::Rng;
use rockwick::core::sched::job::JobState;
use rockwick::core::sched::state::Event;
use rockwick::event::Code;
use rockwick::port::fleet::WorkerEvent;

use crate::world::{job, lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// A peak during which workers shrink to any size, also to nothing and below what they run, and grow again, while
/// their owner is killed.
#[test]
fn shrinks_random() {
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let mut world = World::new(seed, 2, 4);
        world.ignores_capacity = true;
        world.run(SETTLE_MS);
        world.submit("lasts", lasting(4, 1));
        let mut jobs = Vec::new();
        for n in 0..60 {
            let id = format!("job-{n}");
            world.submit(
                &id,
                job(rng.u16(2..10), rng.u64(300..2_500), rng.u64(200..1_500)),
            );
            jobs.push(id);
            let worker_ids = world.worker_ids();
            if !worker_ids.is_empty() && rng.u32(0..3) == 0 {
                let worker_id = &worker_ids[rng.usize(0..worker_ids.len())];
                world.resize(worker_id, [0, 1_000, 4_000, 12_000][rng.usize(0..4)]);
            }
            if rng.u32(0..20) == 0 {
                if let Some(owner) = world.owner_entry() {
                    world.kill(owner);
                    world.boot(owner);
                }
            }
            world.run(rng.u64(100..900));
        }
        for worker_id in world.worker_ids() {
            world.resize(&worker_id, 12_000);
        }
        world.run(60_000);
        for id in &jobs {
            assert_eq!(
                world.recorded_state(id),
                JobState::Completed,
                "seed {seed}: {id}"
            );
        }
        assert_eq!(world.running("lasts"), 4, "seed {seed}");
    }
}

/// A changed capacity is logged with the capacity before the change; the line also states what is in use.
#[test]
fn shrinks_logged() {
    let mut world = World::new(1, 1, 1);
    world.run(SETTLE_MS);
    let mut info = world.worker_info(&world.worker_ids()[0].clone());
    info.capacity.cpu_milli = 4_000;
    let logged = world.deliver_logged(0, Event::Worker(WorkerEvent::Present(info)));
    let lines: Vec<_> = logged
        .iter()
        .filter(|d| d.code == Code::WorkerResized)
        .collect();
    assert_eq!(lines.len(), 1);
    let figure = |name: &str| {
        lines[0]
            .figures
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| *v)
    };
    assert_eq!(
        (figure("cpu_milli"), figure("before_cpu_milli")),
        (Some(4_000), Some(12_000))
    );
}
