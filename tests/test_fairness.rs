//! A flood by one account: what others were promised comes first, and the flood takes what they leave.

use rockwick::core::sched::fairness::Meter;
use rockwick::core::sched::job::{JobSpec, JobState};

use crate::world::{job, World};

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// An account's job of two tasks of a core, 300 ms each.
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
    assert_eq!(within, 10, "a second's worth at once");
    assert!(!meter.try_take(10, 5_050));
    assert!(meter.try_take(10, 5_150), "and one each 100 ms");
    assert!(!meter.try_take(10, 5_160));
    let mut small = Meter::default();
    assert!(
        small.try_take(1, 9_000) && small.try_take(1, 9_000),
        "two at a time at the least"
    );
    assert!(!small.try_take(1, 9_000));
    assert!(small.try_take(1, 10_100));
}

/// One account floods a pool with three times what it holds, five others send what they were promised: jobs of theirs
/// that are done soon after their objective (1,080 ms), of those sent.
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
            .filter(|(_, id)| world.recorded(id) == JobState::Completed)
            .count();
    }
    let asked = sent
        .iter()
        .filter(|(at, _)| world.now_ms >= at + 1_225)
        .count();
    (done, asked)
}

#[test]
fn fairness_flood() {
    let (done, asked) = others_in_time(20);
    assert!(done * 100 >= asked * 95, "{done} of {asked}");
    let (unbounded, _) = others_in_time(0);
    assert!(
        unbounded * 2 < done,
        "{unbounded} where the flood has no weight, {done} with it"
    );
}
