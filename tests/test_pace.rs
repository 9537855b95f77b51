//! What fills a worker is slowed down while it keeps a serving task beside it from its target, and only then.

use rockwick::core::sched::job::JobSpec;
use rockwick::core::sched::pace::WorkerPace;

use crate::world::{lasting, World};

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// The shortest bound of the users' deployments on how long what fills may keep a serving task over its target.
const HARM_MS: u64 = 4_000;

/// Interval of a worker's reports.
const REPORT_MS: u64 = 400;

/// Plays a worker's reports for `ms`. `tail_milli` gives the tail of the serving task, in thousandths of its target, by
/// the time and the pace of what fills. Returns the longest time over the target and the last pace.
fn play(ms: u64, tail_milli: impl Fn(u64, u64) -> u64) -> (u64, u32) {
    let mut pace = WorkerPace::default();
    let (mut over_ms, mut longest_ms) = (0, 0);
    for now_ms in (10_000..10_000 + ms).step_by(REPORT_MS as usize) {
        let tail = tail_milli(now_ms - 10_000, u64::from(pace.percent()));
        over_ms = if tail > 1_000 { over_ms + REPORT_MS } else { 0 };
        longest_ms = longest_ms.max(over_ms);
        pace.adjust(tail, now_ms);
    }
    (longest_ms, pace.percent())
}

#[test]
fn pace_calm_untouched() {
    assert_eq!(play(60_000, |_, pace| 500 + pace), (0, 100));
}

#[test]
fn pace_harm_bounded() {
    for disturbance in [6, 10, 20, 60, 200] {
        let (over_ms, percent) = play(60_000, |_, pace| 500 + pace * disturbance);
        assert!(over_ms < HARM_MS, "{disturbance}: over for {over_ms} ms");
        assert!(percent < 100, "{disturbance}");
    }
}

#[test]
fn pace_changing_disturbance() {
    // The disturbance begins and ends every 5 s.
    let waves = |ms: u64, pace: u64| {
        500 + pace
            * if (ms / 5_000).is_multiple_of(2) {
                12
            } else {
                1
            }
    };
    let (over_ms, _) = play(60_000, waves);
    assert!(over_ms < HARM_MS, "over for {over_ms} ms");
}

#[test]
fn pace_comes_back() {
    let until_20_s = |ms: u64, pace: u64| 500 + pace * if ms < 20_000 { 20 } else { 1 };
    let (_, percent) = play(40_000, until_20_s);
    assert_eq!(percent, 100);
}

#[test]
fn pace_not_the_cause() {
    // The serving task's own load keeps it over its target, so that slowing others down helps nobody.
    let mut pace = WorkerPace::default();
    let mut slowed_ms = 0;
    for now_ms in (10_000..70_000).step_by(REPORT_MS as usize) {
        pace.adjust(1_500, now_ms);
        slowed_ms += if pace.percent() < 100 { REPORT_MS } else { 0 };
    }
    assert!(
        slowed_ms < 25_000,
        "slowed down for {slowed_ms} of 60,000 ms"
    );
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
        world.disturbance_percent = 10;
        world.run(8_000);
        world.faults = Default::default();
        world.run(20_000);
        let paces = world.filler_paces();
        assert!(paces.iter().all(|p| *p == 100), "seed {seed}: {paces:?}");
    }
}
