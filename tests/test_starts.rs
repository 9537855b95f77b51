//! An unanswered start may still be carried out seconds later, so a refusal of the next sending doesn't prove that the
//! task never ran.

use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::starts;
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::Phase;
use rockwick::port::fleet::{OrderReply, StoredRow};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, listed_worker, Faults, World, POOL};

/// The owner's epoch.
const EPOCH: u64 = 7;

/// Time within which an entry has claimed the pool.
const SETTLE_MS: u64 = 8_000;

/// Returns a pool with one worker, and one task whose start was sent.
fn pool_with_sent_start() -> (PoolState, TaskKey, WorkerKey) {
    let mut pool_state = PoolState::default();
    let worker = add_answering_worker(&mut pool_state, listed_worker("life", "host"));
    let row = StoredRow {
        part: POOL.to_string(),
        key: "a".to_string(),
        value: Some(rockwick::core::sched::rows::encode(&job(1, 1_000, 500))),
        revision: EPOCH + 1,
    };
    decide(1_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
        place::place(&mut pool_state, ctx);
        let (task, run) = pool_state.unsent_starts[0];
        starts::send_start(&mut pool_state, task, run, EPOCH, ctx);
    });
    let (task, _) = pool_state.unsent_starts[0];
    (pool_state, task, worker)
}

fn apply_replies(pool_state: &mut PoolState, task: TaskKey, replies: &[OrderReply]) -> Vec<Effect> {
    decide(2_000, |ctx| {
        for reply in replies {
            starts::settle_start(pool_state, task, 1, *reply, EPOCH, ctx);
        }
    })
}

#[test]
fn starts_refused_at_once() {
    for refusal in [OrderReply::Unwell, OrderReply::NoRoom] {
        let (mut pool_state, task, _) = pool_with_sent_start();
        apply_replies(&mut pool_state, task, &[refusal]);
        let phase = pool_state.task(task).map(|t| t.phase);
        assert_eq!(phase, Some(Phase::Ready), "{refusal:?}: the task never ran");
    }
}

#[test]
fn starts_refused_after_silence() {
    for refusal in [OrderReply::Unwell, OrderReply::NoRoom] {
        let (mut pool_state, task, worker) = pool_with_sent_start();
        let effects = apply_replies(&mut pool_state, task, &[OrderReply::Silent, refusal]);
        let phase = pool_state.task(task).map(|t| t.phase);
        assert_eq!(phase, Some(Phase::Stopping(worker)), "{refusal:?}");
        let is_stop = |e: &Effect| matches!(e, Effect::Stop(_, _, _, 1));
        assert!(
            effects.iter().any(is_stop),
            "the run is stopped before the task is placed again"
        );
    }
}

/// A task that a worker starts late, after its job was cancelled, is stopped soon, whether or not the entry that sent
/// the start is still running.
#[test]
fn starts_late_after_cancel() {
    for is_starter_lost in [false, true] {
        for seed in 0..20 {
            let mut world = World::new(seed, 2, 2);
            world.run(SETTLE_MS);
            world.faults = Faults {
                order_lost: 1_000,
                order_late: 1_000,
                ..Faults::default()
            };
            world.submit("a", job(4, 1_000, 60_000));
            world.run(100);
            world.faults = Faults::default();
            world.cancel("a");
            world.run(100);
            if is_starter_lost {
                let owner = world.owner_entry().expect("the pool has an owner");
                world.kill(owner);
            }
            // Orders are delayed by 12 s at most.
            for _ in 0..140 {
                world.run(100);
                let oldest_ms = world.oldest_run_ms("a").unwrap_or(0);
                assert!(
                    oldest_ms < 5_000,
                    "seed {seed}, starter lost: {is_starter_lost}: a task runs on for {oldest_ms} ms"
                );
            }
            assert_eq!(world.running("a"), 0);
        }
    }
}
