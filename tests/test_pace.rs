//! What fills a worker is slowed down while it keeps a serving task beside it from its target, and only then.

use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::keys::{JobKey, TaskKey};
use rockwick::core::sched::pace::{Tail, WorkerPace};
use slotmap::SlotMap;

use crate::world::{lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// The shortest bound of the users' deployments on how long what fills may keep a serving task over its target.
const HARM_MS: u64 = 4_000;

/// Interval of a worker's reports.
const REPORT_MS: u64 = 400;

/// Time from a report until the order that follows it is acknowledged.
const ACK_MS: u64 = 60;

/// Plays a worker's reports for `ms`. `tails_milli` gives the tails of the serving tasks, in thousandths of their targets,
/// by the time and the pace of what fills. A figure shows the pace of the report before. Returns the longest time for
/// which each task was over its target although it would be under it without what fills, and the last pace.
fn play(ms: u64, tails_milli: impl Fn(u64, u64) -> Vec<u64>) -> (Vec<u64>, u32) {
    let keys: SlotMap<JobKey, ()> = SlotMap::with_key();
    let job = keys.keys().next().unwrap_or_default();
    let mut pace = WorkerPace::default();
    let (mut shown, mut acked_ms) = (100, 0);
    let count = tails_milli(0, 0).len();
    let (mut harm_ms, mut longest_ms) = (vec![0; count], vec![0; count]);
    for at_ms in (0..ms).step_by(REPORT_MS as usize) {
        let now_ms = 10_000 + at_ms;
        let (tails, alone) = (tails_milli(at_ms, shown), tails_milli(at_ms, 0));
        for n in 0..count {
            let is_harmed = tails[n] > 1_000 && alone[n] <= 1_000;
            harm_ms[n] = if is_harmed { harm_ms[n] + REPORT_MS } else { 0 };
            longest_ms[n] = longest_ms[n].max(harm_ms[n]);
        }
        let tails: Vec<Tail> = (0u16..)
            .zip(&tails)
            .map(|(index, milli)| Tail {
                task: TaskKey {
                    job,
                    index,
                    ..TaskKey::default()
                },
                milli: *milli,
            })
            .collect();
        shown = u64::from(pace.percent());
        if pace.adjust(&tails, Some(acked_ms), now_ms) {
            acked_ms = now_ms + ACK_MS;
        }
    }
    (longest_ms, pace.percent())
}

#[test]
fn pace_calm_untouched() {
    assert_eq!(play(60_000, |_, pace| vec![500 + pace]), (vec![0], 100));
}

#[test]
fn pace_harm_bounded() {
    for disturbance in [6, 10, 20, 60, 200] {
        let (harm_ms, percent) = play(60_000, |_, pace| vec![500 + pace * disturbance]);
        assert!(
            harm_ms[0] < HARM_MS,
            "{disturbance}: harmed for {harm_ms:?} ms"
        );
        assert!(percent < 100, "{disturbance}");
    }
}

#[test]
fn pace_changing_disturbance() {
    // The disturbance begins and ends every 5 s.
    let waves = |ms: u64, pace: u64| {
        let disturbance = if (ms / 5_000).is_multiple_of(2) {
            12
        } else {
            1
        };
        vec![500 + pace * disturbance]
    };
    let (harm_ms, _) = play(60_000, waves);
    assert!(harm_ms[0] < HARM_MS, "harmed for {harm_ms:?} ms");
}

#[test]
fn pace_comes_back() {
    let until_20_s = |ms: u64, pace: u64| vec![500 + pace * if ms < 20_000 { 20 } else { 1 }];
    let (_, percent) = play(40_000, until_20_s);
    assert_eq!(percent, 100);
}

/// One task is over its target by its own load, the other only while it is disturbed.
#[test]
fn pace_two_serving() {
    let (harm_ms, _) = play(60_000, |_, pace| vec![1_500, 500 + pace * 20]);
    assert!(harm_ms[1] < HARM_MS, "harmed for {harm_ms:?} ms");
}

/// A task's own load keeps it over its target for a while, and what fills does afterwards.
#[test]
fn pace_own_load_ends() {
    let peak = |ms: u64, pace: u64| vec![pace * 20 + if ms % 20_000 < 9_000 { 1_500 } else { 500 }];
    let (harm_ms, _) = play(120_000, peak);
    assert!(harm_ms[0] < HARM_MS, "harmed for {harm_ms:?} ms");
}

/// The serving task's own load keeps it over its target, so that slowing others down helps nobody.
#[test]
fn pace_not_the_cause() {
    let mut pace = WorkerPace::default();
    let mut slowed_ms = 0;
    for now_ms in (10_000..70_000).step_by(REPORT_MS as usize) {
        let tail = Tail {
            task: TaskKey::default(),
            milli: 1_500,
        };
        pace.adjust(&[tail], Some(0), now_ms);
        slowed_ms += if pace.percent() < 100 { REPORT_MS } else { 0 };
    }
    assert!(
        slowed_ms < 25_000,
        "slowed down for {slowed_ms} of 60,000 ms"
    );
}

/// While the worker has not acknowledged the pace, its figures tell nothing of it.
#[test]
fn pace_unacknowledged() {
    let tail = Tail {
        task: TaskKey::default(),
        milli: 1_500,
    };
    let mut pace = WorkerPace::default();
    assert!(pace.adjust(&[tail], Some(0), 10_000));
    assert_eq!(pace.percent(), 50);
    for now_ms in (10_400..20_000).step_by(REPORT_MS as usize) {
        assert!(!pace.adjust(&[tail], None, now_ms));
    }
    assert!(
        !pace.adjust(&[tail], Some(20_000), 20_400),
        "not settled yet"
    );
    assert!(pace.adjust(&[tail], Some(20_000), 20_800));
}

/// Returns a lasting job that serves.
fn serving(count: u16) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].tail_max_ms = 100;
    spec
}

/// Returns a lasting job that fills.
fn filling(count: u16) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].filler = true;
    spec
}

/// Returns a world of three workers, each with a task that serves and one that fills.
fn shared_world(seed: u64) -> World {
    let mut world = World::new(seed, 2, 3);
    world.run(SETTLE_MS);
    world.submit("serves", serving(3));
    world.submit("fills", filling(3));
    world.run(10_000);
    assert_eq!((world.running("serves"), world.running("fills")), (3, 3));
    world
}

#[test]
fn pace_ordered() {
    for seed in 0..5 {
        let mut world = shared_world(seed);
        world.disturbance_percent = 120;
        world.run(HARM_MS);
        assert!(!world.is_over_target(), "seed {seed}");
        world.disturbance_percent = 10;
        world.run(12_000);
        assert_eq!(world.filler_paces(), [100; 3], "seed {seed}");
    }
}

#[test]
fn pace_owner_frozen() {
    for seed in 0..5 {
        let mut world = shared_world(seed);
        world.disturbance_percent = 120;
        world.run(HARM_MS);
        assert!(world.filler_paces().iter().all(|p| *p < 100), "seed {seed}");
        let owner = world.owner_entry().expect("an owner");
        world.freeze(owner, 30_000);
        world.disturbance_percent = 10;
        world.run(15_000);
        assert_eq!(
            world.filler_paces(),
            [100; 3],
            "seed {seed}: the next owner lets go"
        );
    }
}

#[test]
fn pace_orders_lost() {
    for seed in 0..10 {
        let mut world = shared_world(seed);
        world.faults.order_lost = 200;
        world.faults.order_late = 500;
        world.disturbance_percent = 120;
        world.run(6_000);
        assert!(world.filler_paces().iter().any(|p| *p < 100), "seed {seed}");
        world.disturbance_percent = 10;
        world.run(8_000);
        world.faults = Default::default();
        world.run(20_000);
        assert_eq!(world.filler_paces(), [100; 3], "seed {seed}");
    }
}
