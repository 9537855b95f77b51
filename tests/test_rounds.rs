//! A round of a timed job may end before an earlier one does. If the recorded progress names only the open rounds, an
//! ended round with a higher number than all of them looks as if it had never begun, and the next owner begins it
//! again. With the owner killed 4 to 8 s after the job was submitted, 9 of the 120 seeds below failed.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::keys::{JobKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::row_room;
use rockwick::core::sched::rows::{self, ProgressRow, RoundRow, TaskProgress, TaskRow};
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::worker_losses::WorkerLosses;
use rockwick::event::Code;
use rockwick::port::fleet::{StoredRow, TaskName};

use crate::decide::{add_answering_worker, decide};
use crate::world::{config, job, listed_worker, with_schedule, World, POOL, WALL_MS};

/// Bytes of a value that the users' stores accept.
const STORE_ROW_BYTES: usize = 65_536;

/// Time within which an entry has claimed the pool, also after a lease expired.
const SETTLE_MS: u64 = 8_000;

/// Time from one round to the next, short enough that several overlap.
const APART_MS: u64 = 300;

/// Number of seeds; each gives a world of its own.
const SEEDS: u64 = 120;

/// The first round outlasts the owner, and three others end before the owner is killed.
#[test]
fn rounds_end_once() {
    let mut world = World::new(1, 2, 4);
    world.run(SETTLE_MS);
    let first = TaskName {
        job: "a".to_string(),
        round: 0,
        step: 0,
        index: 0,
    };
    world.run_ms.insert(first, 9_000);
    let due_wall_ms = WALL_MS + world.now_ms;
    world.submit(
        "a",
        with_schedule(job(1, 1_000, 500), 4, due_wall_ms, APART_MS),
    );
    world.run(4_000);
    assert_eq!((world.starts, world.running("a")), (4, 1));
    world.kill(world.owner_entry().expect("the pool has an owner"));
    world.run(SETTLE_MS);
    assert_eq!(world.recorded_state("a"), JobState::Completed);
    assert_eq!(world.starts, 4, "no round begins twice");
}

fn simulate(seed: u64) {
    let mut world = World::new(seed, 3, 6);
    world.run(SETTLE_MS);
    world.run(1_000);
    let due_wall_ms = WALL_MS + world.now_ms;
    world.submit(
        "a",
        with_schedule(job(2, 1_000, 3_000), 8, due_wall_ms, APART_MS),
    );
    world.run(4_000 + seed % 5 * 1_000);
    world.kill(world.owner_entry().expect("the pool has an owner"));
    world.run(30_000);
    assert_eq!(
        world.recorded_state("a"),
        JobState::Completed,
        "seed {seed}"
    );
}

#[test]
fn rounds_owner_killed() {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| simulate(*seed)).is_err();
    let broken: Vec<u64> = (0..SEEDS).filter(is_broken).collect();
    assert!(
        broken.is_empty(),
        "{} seeds failed: {broken:?}",
        broken.len()
    );
}

/// Rows of an older version name no round beyond the last that they list.
#[test]
fn rounds_old_rows() {
    let row = |text: &str| rows::decode::<ProgressRow>(text.as_bytes()).expect("the row decodes");
    let open =
        row(r#"{"state":"Running","rounds":[{"round":0,"steps":[]},{"round":3,"steps":[]}]}"#);
    assert_eq!((open.rounds_begun, open.first_unbegun_round()), (0, 4));
    let between = row(r#"{"state":"Running","rounds_done":2}"#);
    assert_eq!(
        (between.rounds_begun, between.first_unbegun_round()),
        (0, 2)
    );
}

/// A day of rounds falls due at once, as after an outage. As many begin as the job's row has room for when all their
/// tasks are started; the others begin as earlier ones end, in their order.
#[test]
fn rounds_row_bound() {
    let mut pool_state = PoolState::default();
    let worker = add_answering_worker(&mut pool_state, listed_worker("life", "host"));
    let spec = with_schedule(job(90, 20, 20_000), 1_000, 0, 500);
    let row = StoredRow {
        part: POOL.to_string(),
        key: "a".to_string(),
        value: Some(rows::encode(&spec)),
        revision: 9,
    };
    let effects = decide(1_000_000, |ctx| {
        load::apply_intake(&mut pool_state, &row, &config(1), 7, ctx);
    });
    let held = |e: &Effect| matches!(e, Effect::Log(d) if d.code == Code::RoundsHeld);
    assert_eq!(effects.iter().filter(|e| held(e)).count(), 1);
    let key = pool_state.jobs_by_id["a"];
    let begun = pool_state.jobs[key].rounds_begun;
    assert!((20..100).contains(&begun), "{begun} rounds begin");
    start_all(&mut pool_state, key, worker);
    pool_state.jobs[key].rounds.remove(&0);
    pool_state.jobs[key].rounds.remove(&1);
    decide(1_000_250, |ctx| {
        load::begin_new_rounds(&mut pool_state, key, ctx)
    });
    let after = pool_state.jobs[key].rounds_begun;
    assert!(after > begun, "{after} rounds after {begun}");
    start_all(&mut pool_state, key, worker);
}

/// Starts all tasks of a job, and checks that its row still fits.
fn start_all(pool_state: &mut PoolState, key: JobKey, worker: WorkerKey) {
    for task in pool_state.tasks_of(key) {
        pool_state.set_phase(task, Phase::Running(worker), 1_000_000);
    }
    let progress = pool_state.progress_row(key).expect("the job is known");
    let bytes = rows::encode(&progress).len();
    assert!(bytes <= STORE_ROW_BYTES, "{bytes} bytes");
}

/// Returns a row of `tasks` started tasks with these losses.
fn row_of(tasks: usize, losses: WorkerLosses) -> ProgressRow {
    let task = TaskRow(12, 0, TaskProgress::Started(3), losses);
    ProgressRow {
        rounds: vec![RoundRow {
            round: 0,
            steps: vec![vec![task; tasks]],
        }],
        ..ProgressRow::default()
    }
}

/// A row that the losses of its tasks make too large goes without them; one that is too large even so is not encoded.
#[test]
fn rounds_row_reduced() {
    let losses = WorkerLosses {
        likely: 2,
        all: 3,
        ..WorkerLosses::default()
    };
    let whole = row_of(100, losses);
    assert_eq!(
        row_room::encode_progress(whole.clone()),
        Ok(rows::encode(&whole))
    );
    let large = row_of(3_000, losses);
    assert!(rows::encode(&large).len() > STORE_ROW_BYTES);
    let reduced = row_room::encode_progress(large).expect("the row fits without losses");
    assert!(reduced.len() <= STORE_ROW_BYTES);
    let decoded = rows::decode::<ProgressRow>(&reduced).expect("the row decodes");
    assert_eq!(decoded, row_of(3_000, WorkerLosses::default()));
    assert!(row_room::encode_progress(row_of(10_000, losses)).is_err());
}
