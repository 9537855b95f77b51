//! Tasks that had ended as done were started again, 0.14 s after their end, by the owner that had started them. Their workers
//! had crashed and started again under their ids, with their numbers of ends begun at 1. The owner kept the number up to which
//! it had taken a worker's ends by the worker's id: each end of the later life up to that number was passed over as known, and
//! acknowledged with the next hold, and its task was requeued, since the account did not list it as running. The log of that
//! day, of a worker that had restarted 5 s before: `ends-taken` "again 6, taken_before 9, told_seen 9, runs ''", and in the same
//! moment `task-requeued` "not among what the worker runs, answered 1, settled_ago_ms 1596" for four tasks.

use rockwick::core::sched::job::JobState;
use rockwick::core::sched::keys::{TaskKey, WorkerKey};
use rockwick::core::sched::load;
use rockwick::core::sched::offers::Offers;
use rockwick::core::sched::place;
use rockwick::core::sched::pool_state::PoolState;
use rockwick::core::sched::renewal;
use rockwick::core::sched::rows;
use rockwick::core::sched::runs;
use rockwick::core::sched::state::Effect;
use rockwick::core::sched::tasks::Phase;
use rockwick::core::sched::worker::ClockSample;
use rockwick::core::sched::worker_list;
use rockwick::port::fleet::{
    EndKind, OrderReply, RenewalReport, RenewalRequest, RunEnd, RunningTask, StoredRow, TaskName,
    WorkerInfo,
};

use crate::decide::decide;
use crate::world::{config, job, worker_fact, World, POOL};

/// Worlds of their own.
const SEEDS: u64 = 120;

/// Long enough for an owner to be found.
const SETTLE_MS: u64 = 8_000;

/// A worker crashes between two jobs now and then, and is back soon after: under its id, or under a new one.
fn play(seed: u64, keeps_id: bool) {
    let mut world = World::new(seed, 3, 6);
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x9e57);
    world.run(SETTLE_MS);
    let jobs: Vec<String> = (0..30).map(|n| format!("job-{n}")).collect();
    for (n, id) in jobs.iter().enumerate() {
        world.submit(id, job(6, 1_000, 400));
        if n % 10 == 9 {
            let lives = world.lives();
            let worker = lives[rng.usize(0..lives.len())].clone();
            let back_ms = rng.u64(300..3_000);
            match keeps_id {
                true => world.restart(&worker, back_ms),
                false => world.crash(&worker, back_ms),
            }
        }
        world.run(rng.u64(50..400));
    }
    world.run(30_000);
    for id in &jobs {
        let is_due = world.recorded(id) == JobState::Completed || world.may_be_given_up(id);
        assert!(is_due, "seed {seed}: {id} is {:?}", world.recorded(id));
    }
}

fn broken(keeps_id: bool) -> Vec<u64> {
    let is_broken = |seed: &u64| std::panic::catch_unwind(|| play(*seed, keeps_id)).is_err();
    (0..SEEDS).filter(is_broken).collect()
}

#[test]
fn restarts_under_id() {
    let broken = broken(true);
    assert!(broken.is_empty(), "{} broke: {broken:?}", broken.len());
}

/// The same worlds with a new id each time, so that what breaks above comes of the id.
#[test]
fn restarts_new_id() {
    let broken = broken(false);
    assert!(broken.is_empty(), "{} broke: {broken:?}", broken.len());
}

/// Epoch of the owner.
const EPOCH: u64 = 7;

/// When the earlier life began, and the later one: its wall clock was set back.
const BORN_MS: [u64; 2] = [50_000, 49_000];

/// What the earlier life's clock shows as that is heard last.
const EARLIER_CLOCK_MS: u64 = 60_000;

/// When the earlier life is heard last.
const HEARD_MS: u64 = 2_000;

/// Its id, and the later one's.
const ID: &str = "i-1";

fn fact(born_wall_ms: u64) -> WorkerInfo {
    WorkerInfo {
        born_wall_ms: Some(born_wall_ms),
        ..worker_fact(ID, "host")
    }
}

fn name(index: u16) -> TaskName {
    TaskName {
        job: "a".to_string(),
        round: 0,
        step: 0,
        index,
    }
}

/// Books with a worker that has been heard, and two tasks on it: the first one's start was answered, the second one's not.
struct Scene {
    pool_state: PoolState,
    earlier: WorkerKey,
}

impl Scene {
    fn new() -> Self {
        let mut pool_state = PoolState::default();
        let earlier = load::add_worker(&mut pool_state, fact(BORN_MS[0]), 0);
        let w = &mut pool_state.workers[earlier];
        w.is_answering = true;
        w.answered_ms = HEARD_MS;
        w.taken_through = 9;
        w.recorded_through = 9;
        w.clock = Some(ClockSample {
            local_ms: HEARD_MS,
            worker_ms: EARLIER_CLOCK_MS,
        });
        let row = StoredRow {
            part: POOL.to_string(),
            key: "a".to_string(),
            value: Some(rows::encode(&job(2, 100, 500))),
            revision: EPOCH + 1,
        };
        decide(HEARD_MS, |ctx| {
            load::apply_intake(&mut pool_state, &row, &config(1), EPOCH, ctx);
            place::place(&mut pool_state, ctx);
            for (task, run) in std::mem::take(&mut pool_state.unsent_starts) {
                runs::send_start(&mut pool_state, task, run, EPOCH, ctx);
            }
        });
        let mut scene = Scene {
            pool_state,
            earlier,
        };
        scene.answered(0, HEARD_MS + 5, OrderReply::Accepted);
        scene
    }

    fn task(&self, index: u16) -> TaskKey {
        self.pool_state
            .find_task(&name(index))
            .expect("the task is there")
    }

    fn phase(&self, index: u16) -> Phase {
        let task = self.pool_state.task(self.task(index));
        task.expect("the task is there").phase
    }

    fn answered(&mut self, index: u16, now_ms: u64, reply: OrderReply) -> bool {
        let task = self.task(index);
        let mut is_lost = false;
        decide(now_ms, |ctx| {
            is_lost = runs::settle_start(&mut self.pool_state, task, 1, reply, EPOCH, ctx);
        });
        is_lost
    }

    /// A worker's account, asked for 5 ms before.
    fn held(&mut self, key: WorkerKey, now_ms: u64, report: RenewalReport) -> Vec<Effect> {
        decide(now_ms, |ctx| {
            let sent_ms = now_ms - 5;
            let is_lost =
                renewal::settle(&mut self.pool_state, key, sent_ms, Ok(report), EPOCH, ctx);
            assert!(!is_lost, "the pool is not lost");
        })
    }

    /// The later life's entry is read, and it answers; gives its key and the fence of its second hold.
    fn prove_later(&mut self, now_ms: u64) -> (WorkerKey, u64) {
        let later = load::add_worker(&mut self.pool_state, fact(BORN_MS[1]), now_ms);
        let effects = self.held(later, now_ms + 10, report(BORN_MS[1], now_ms));
        let (fence, ask) = only_hold(&effects);
        assert_eq!((ask.acked_through, ask.lease_until_ms), (0, None));
        (later, fence)
    }
}

fn report(born_wall_ms: u64, clock_ms: u64) -> RenewalReport {
    RenewalReport {
        born_wall_ms: Some(born_wall_ms),
        clock_ms,
        ..RenewalReport::default()
    }
}

fn end(number: u64, index: u16) -> RunEnd {
    RunEnd {
        number,
        task: name(index),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    }
}

fn running(index: u16) -> RunningTask {
    RunningTask {
        task: name(index),
        run: 1,
        checkpoint: String::new(),
        percent: 0,
        gauge: 0,
    }
}

fn only_hold(effects: &[Effect]) -> (u64, RenewalRequest) {
    let holds = effects.iter().filter_map(|effect| match effect {
        Effect::RenewWorker(order, _, ask) => Some((order.to.fence, *ask)),
        _ => None,
    });
    let holds: Vec<_> = holds.collect();
    assert_eq!(holds.len(), 1, "{effects:?}");
    holds[0]
}

/// The later life counts its ends from 1, below what the earlier one had told.
#[test]
fn restarts_first_end() {
    let mut scene = Scene::new();
    let (later, _) = scene.prove_later(3_000);
    let ended = vec![end(1, 0)];
    let account = RenewalReport {
        ended,
        ..report(BORN_MS[1], 20)
    };
    scene.held(later, 3_020, account);
    assert_eq!(
        scene.phase(0),
        Phase::Done,
        "its start had reached the later life"
    );
}

/// What was sent to the earlier life names the later one, too. Until that has refused whatever comes late, no run counts as
/// over; what it lists is there.
#[test]
fn restarts_adopt_start() {
    let mut scene = Scene::new();
    let (later, _) = scene.prove_later(3_000);
    let earlier = scene.earlier;
    assert_eq!(
        scene.phase(0),
        Phase::Running(earlier),
        "its account is awaited"
    );
    let account = RenewalReport {
        running: vec![running(1)],
        ..report(BORN_MS[1], 20)
    };
    scene.held(later, 3_020, account);
    assert_eq!(
        scene.phase(0),
        Phase::Ready,
        "it went with the earlier life"
    );
    assert_eq!(scene.phase(1), Phase::Running(later));
    assert!(!scene.answered(1, 3_030, OrderReply::Silent));
    assert_eq!(
        scene.phase(1),
        Phase::Running(later),
        "a late answer tells nothing"
    );
}

/// All orders to the later life carry a higher fence than those to the earlier one, and a refusal of such an order for its
/// fence does not mean that another entry owns the pool.
#[test]
fn restarts_raise_fence() {
    let mut scene = Scene::new();
    let first = decide(HEARD_MS + 20, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    let (before, _) = only_hold(&first);
    let (_, after) = scene.prove_later(3_000);
    assert!(after > before, "{after} is not above {before}");
    assert!(!scene.answered(1, 3_015, OrderReply::Fenced));
    assert_eq!(
        scene.phase(1),
        Phase::Ready,
        "that start was not carried out"
    );
}

/// A life that has told nothing of itself for a while may be another one by now: it would take the acknowledgement of ends
/// that the earlier one told for its own.
#[test]
fn restarts_keep_seen() {
    let mut scene = Scene::new();
    let soon = decide(HEARD_MS + 100, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    assert_eq!(only_hold(&soon).1.acked_through, 9);
    let mut scene = Scene::new();
    let late = decide(HEARD_MS + 400, |ctx| {
        renewal::send_next(&mut scene.pool_state, scene.earlier, EPOCH, ctx);
    });
    let (_, ask) = only_hold(&late);
    assert_eq!(ask.acked_through, 0);
}

/// The later life's clock counts from its start, and its lease is computed from that.
#[test]
fn restarts_own_clock() {
    let mut scene = Scene::new();
    let (later, _) = scene.prove_later(3_000);
    let effects = scene.held(later, 3_020, report(BORN_MS[1], 300));
    let (_, ask) = only_hold(&effects);
    let until_ms = ask.lease_until_ms.expect("it is known to be there");
    assert!((300..EARLIER_CLOCK_MS).contains(&until_ms), "{until_ms}");
}

/// A deadline for the earlier life's clock may have reached the later one, and is never shortened: what runs there may do so
/// until the longest lease is over.
#[test]
fn restarts_longest_lease() {
    let mut scene = Scene::new();
    let (later, _) = scene.prove_later(3_000);
    assert!(scene.pool_state.workers[later].lease_end_ms >= 13_000);
}

/// The same for an owner that comes later: a life that began of late may hold such a deadline, sent by the former owner.
#[test]
fn restarts_young_life() {
    let lease_end_ms = |born_wall_ms: u64| {
        let mut pool_state = PoolState::default();
        decide(100_000, |ctx| {
            let offers = Offers::default();
            worker_list::apply_worker_entry(
                &mut pool_state,
                &fact(born_wall_ms),
                &offers,
                EPOCH,
                ctx,
            );
        });
        let key = pool_state
            .find_instance(ID, Some(born_wall_ms))
            .expect("it is listed");
        pool_state.workers[key].lease_end_ms - 100_000
    };
    assert!(lease_end_ms(70_000) < 5_000);
    assert!(lease_end_ms(98_000) >= 10_000);
    assert!(lease_end_ms(103_000) >= 10_000, "its wall clock is ahead");
}

/// An account of the earlier life that is read after the later one is known: its ends count, and nothing more is sent to it.
#[test]
fn restarts_late_account() {
    let mut scene = Scene::new();
    scene.prove_later(3_000);
    let account = RenewalReport {
        ended: vec![end(10, 0)],
        ..report(BORN_MS[0], EARLIER_CLOCK_MS + 900)
    };
    let earlier = scene.earlier;
    let effects = scene.held(earlier, 3_030, account);
    assert_eq!(scene.phase(0), Phase::Done);
    assert!(!scene.pool_state.workers[earlier].is_answering);
    assert!(!effects.iter().any(|e| matches!(e, Effect::RenewWorker(..))));
}

/// The answer to a hold tells of the later life before its entry is read: the earlier one gets no more orders.
#[test]
fn restarts_answer_first() {
    let mut scene = Scene::new();
    let earlier = scene.earlier;
    scene.held(earlier, 3_000, report(BORN_MS[1], 20));
    assert!(scene.pool_state.workers[earlier].is_superseded);
    assert_eq!(
        scene.phase(0),
        Phase::Running(earlier),
        "nothing is known of its runs"
    );
}

/// An entry that an earlier life wrote is seen after the later one is known: who answers there is the later one still.
#[test]
fn restarts_stale_entry() {
    let mut scene = Scene::new();
    let (later, _) = scene.prove_later(3_000);
    scene.held(later, 3_020, report(BORN_MS[1], 20));
    let stale = load::add_worker(&mut scene.pool_state, fact(BORN_MS[0]), 3_100);
    scene.held(stale, 3_120, report(BORN_MS[1], 120));
    assert!(
        scene.pool_state.workers.get(stale).is_none(),
        "it is not there"
    );
    assert!(scene.pool_state.workers[later].is_answering);
    assert!(!scene.pool_state.workers[later].is_superseded);
}

/// Where the platform tells no start, a life is known by its id.
#[test]
fn restarts_no_born() {
    let mut scene = Scene::new();
    let earlier = scene.earlier;
    let account = RenewalReport {
        born_wall_ms: None,
        running: vec![running(0), running(1)],
        ..report(0, EARLIER_CLOCK_MS + 900)
    };
    scene.held(earlier, 2_900, account);
    assert_eq!(scene.phase(0), Phase::Running(earlier));
    assert_eq!(scene.phase(1), Phase::Running(earlier));
    assert_eq!(scene.pool_state.find_instance(ID, None), Some(earlier));
}

/// What was held against a worker ends with its life.
#[test]
fn restarts_clean_slate() {
    let mut scene = Scene::new();
    let w = &mut scene.pool_state.workers[scene.earlier];
    w.fails_in_row = 2;
    w.suspensions = 3;
    w.suspended_until_ms = 60_000;
    let (later, _) = scene.prove_later(3_000);
    scene.held(later, 3_020, report(BORN_MS[1], 20));
    let w = &scene.pool_state.workers[later];
    assert_eq!((w.fails_in_row, w.suspensions, w.taken_through), (0, 0, 0));
    assert!(w.is_open(3_020));
    assert!(scene.pool_state.workers.get(scene.earlier).is_none());
}

/// The record names lives, so that the next owner, who has met the later one alone, takes no run of the earlier one for its.
#[test]
fn restarts_on_record() {
    let scene = Scene::new();
    let key = scene.pool_state.by_id["a"];
    let row = scene.pool_state.progress(key).expect("the job is there");
    let named: Vec<_> = row.instances().collect();
    assert_eq!(named, [(ID, "host", Some(BORN_MS[0]))]);
    let read: rows::ProgressRow = rows::decode(&rows::encode(&row)).expect("it decodes");
    assert_eq!(read, row);
    let before = r#"{"state":"Running","workers":[["i-1","host"]]}"#;
    let before: rows::ProgressRow = rows::decode(before.as_bytes()).expect("it decodes");
    assert_eq!(before.instances().collect::<Vec<_>>(), [(ID, "host", None)]);
}

/// Hosts come back from their upkeep under the ids that their workers had, and so does one that only crashes as it is about to
/// go: the wave is told done once all have been through, and not before.
#[test]
fn restarts_through_wave() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed, 3, 6);
        world.keeps_ids = true;
        world.run(SETTLE_MS);
        for n in 0..8 {
            world.submit(&format!("job-{n}"), job(6, 1_000, 400));
        }
        world.wave(1, 40_000, 2);
        for n in 0..12 {
            world.run(700);
            let lives = world.lives();
            if n % 3 == 0 {
                world.restart(&lives[n % lives.len()].clone(), 400);
            }
        }
        world.run(60_000);
        assert!(world.waves_done.contains(&1), "seed {seed}");
        assert_eq!(world.upkept[&1].len(), 6, "seed {seed}");
    }
}
