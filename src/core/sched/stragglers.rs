//! Finds slow and hung workers, and the runs that should move away from them.
//!
//! Load pattern: a part of the workers stands still or runs many times slower for seconds, while they renew their leases
//! and accept starts. Without this module, jobs with a run there are late or fail, and more work is placed there.
//!
//! The owner calls [`review`] periodically; the speeds come from [`speeds`](super::speeds).

use super::keys::{TaskKey, WorkerKey};
use super::place;
use super::pool_state::PoolState;
use super::speeds::{expected_ms, Speeds, Track};
use super::state::Ctx;
use super::tasks::Phase;
use super::tickets;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};

/// A worker below this share of the pool's speed, in thousandths, is slow.
const SLOW_MILLI: u64 = 400;

/// A slow worker that reaches this share of the pool's speed, in thousandths, is sound again.
const SOUND_MILLI: u64 = 600;

/// A worker below this share of the pool's speed, in thousandths, is hung.
const HUNG_MILLI: u64 = 50;

/// At most one in this many open workers is treated as slow.
const SLOW_SHARE: usize = 4;

/// First time for which a slow worker gets no tasks. Doubles with each repetition up to [`PAUSE_MAX_MS`].
const PAUSE_MS: Millis = 1_500;

/// Longest time for which a slow worker gets no tasks.
const PAUSE_MAX_MS: Millis = 3_000;

/// A worker that was not observed for this long is no longer taken for slow.
const FORGET_MS: Millis = 10_000;

/// Time of a placement, its record and its start.
const START_MS: Millis = 100;

/// A run is moved if its remaining time exceeds that of a fresh run by this factor, in thousandths.
const GAIN_MIN_MILLI: u64 = 1_250;

/// Most times that a task is moved.
const MOVES_MAX: u8 = 2;

/// Period over which the number of moves is bounded.
const MOVES_PERIOD_MS: Millis = 5_000;

/// At most one in this many runs is moved in a period.
const MOVES_SHARE: usize = 4;

/// Moves in a period that are always allowed, so that small pools can move any.
const MOVES_FREE: usize = 4;

/// Pauses slow workers, and returns the runs to be stopped so that they start elsewhere.
pub fn review(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) -> Vec<TaskKey> {
    if ctx.deployment.stop_ms == 0 {
        return Vec::new();
    }
    let mut speeds = std::mem::take(&mut pool_state.speeds);
    let workers = &pool_state.workers;
    speeds.tracks.retain(|key, _| workers.contains_key(key));
    let mut stops = Vec::new();
    if let Some(pool_milli) = speeds.pool_speed_milli(ctx.now.ms) {
        let slow = update_slow(pool_state, &mut speeds, pool_milli, ctx);
        for (worker, speed_milli) in slow {
            let pace = Pace {
                worker_milli: speed_milli,
                pool_milli,
            };
            stops.extend(lagging_runs(pool_state, &mut speeds, worker, pace, ctx));
        }
    }
    pool_state.speeds = speeds;
    for key in &stops {
        if let Some(task) = pool_state.task_mut(*key) {
            task.moves += 1;
        }
    }
    stops
}

/// Speeds of a worker and of its pool, in thousandths of the expected one.
#[derive(Clone, Copy)]
struct Pace {
    worker_milli: u64,
    pool_milli: u64,
}

impl Pace {
    fn is_hung(self) -> bool {
        self.worker_milli * 1_000 < self.pool_milli * HUNG_MILLI
    }
}

/// Updates which workers are treated as slow, and pauses them. Returns those observed to be slow now, with their
/// speeds, the slowest first.
fn update_slow(
    pool_state: &mut PoolState,
    speeds: &mut Speeds,
    pool_milli: u64,
    ctx: &mut Ctx<'_>,
) -> Vec<(WorkerKey, u64)> {
    let now_ms = ctx.now.ms;
    let mut slow = Vec::new();
    for (key, track) in &mut speeds.tracks {
        let speed = track.speed_milli(now_ms);
        if let Some(speed) = speed.filter(|s| s * 1_000 < pool_milli * SLOW_MILLI) {
            slow.push((key, speed));
            continue;
        }
        let is_sound = speed.is_some_and(|s| s * 1_000 >= pool_milli * SOUND_MILLI);
        let is_forgotten = now_ms >= track.observed_ms.max(track.paused_until_ms) + FORGET_MS;
        if track.is_slow && (is_sound || is_forgotten) {
            clear_slow(pool_state, key, track, speed.unwrap_or(0), ctx);
        }
    }
    slow.sort_by_key(|(key, speed)| (*speed, *key));
    let instances = pool_state.workers.values();
    let answering = instances.filter(|w| w.is_listed && w.is_answering).count();
    slow.truncate(answering / SLOW_SHARE);
    for (key, speed) in &slow {
        pause(pool_state, speeds, *key, (*speed, pool_milli), ctx);
    }
    slow
}

/// Pauses a slow worker, or extends its pause.
fn pause(
    pool_state: &mut PoolState,
    speeds: &mut Speeds,
    key: WorkerKey,
    (speed_milli, pool_milli): (u64, u64),
    ctx: &mut Ctx<'_>,
) {
    let (Some(track), Some(worker)) = (speeds.tracks.get_mut(key), pool_state.workers.get_mut(key))
    else {
        return;
    };
    let is_over = ctx.now.ms >= track.paused_until_ms;
    let pause_ms = (PAUSE_MS << track.pauses.min(4)).min(PAUSE_MAX_MS);
    track.paused_until_ms = track.paused_until_ms.max(ctx.now.ms + pause_ms);
    worker.suspended_until_ms = worker.suspended_until_ms.max(track.paused_until_ms);
    if track.is_slow && !is_over {
        return;
    }
    track.is_slow = true;
    track.pauses += 1;
    ctx.log(
        Decision::new(
            Code::WorkerSlow,
            Subject::Host,
            &worker.info.id,
            "its runs progress far more slowly than those of other workers",
        )
        .with("speed_milli", speed_milli)
        .with("pool_speed_milli", pool_milli)
        .with("observed_ms", track.passed_ms)
        .with("runs", track.runs.len() as u64)
        .with("pause_ms", pause_ms),
    );
}

/// Ends the treatment of a worker as slow.
fn clear_slow(
    pool_state: &mut PoolState,
    key: WorkerKey,
    track: &mut Track,
    speed_milli: u64,
    ctx: &mut Ctx<'_>,
) {
    track.is_slow = false;
    track.pauses = 0;
    let Some(worker) = pool_state.workers.get_mut(key) else {
        return;
    };
    if worker.suspended_until_ms == track.paused_until_ms {
        worker.suspended_until_ms = 0;
        pool_state.wants_placing = true;
    }
    let why = match speed_milli {
        0 => "nothing was observed on it for long",
        _ => "its runs progress as those of other workers",
    };
    let decision = Decision::new(Code::WorkerSound, Subject::Host, &worker.info.id, why);
    ctx.log(decision.with("speed_milli", speed_milli));
}

/// Returns the runs of a slow worker that should move.
fn lagging_runs(
    pool_state: &PoolState,
    speeds: &mut Speeds,
    worker: WorkerKey,
    pace: Pace,
    ctx: &mut Ctx<'_>,
) -> Vec<TaskKey> {
    let Some(track) = speeds.tracks.get(worker) else {
        return Vec::new();
    };
    let runs = track.runs.clone();
    let mut lagging = Vec::new();
    for (key, (run, percent)) in runs {
        let Some(gain) = gain_of_move(pool_state, key, (run, percent), worker, pace, ctx) else {
            continue;
        };
        if !may_move(speeds, ctx.now.ms) {
            break;
        }
        speeds.moves.push_back(ctx.now.ms);
        ctx.log(
            Decision::new(
                Code::RunMoved,
                Subject::Job,
                &pool_state.jobs[key.job].id,
                "a fresh run on another worker is expected to end sooner",
            )
            .with_name("on", &*pool_state.workers[worker].info.id)
            .with("round", u64::from(key.round))
            .with("step", u64::from(key.step))
            .with("task", u64::from(key.index))
            .with("run", u64::from(run))
            .with("percent", u64::from(percent))
            .with("left_ms", gain.left_ms)
            .with("fresh_ms", gain.fresh_ms),
        );
        lagging.push(key);
    }
    lagging
}

/// Expected times until a task ends.
struct Gain {
    /// With its current run.
    left_ms: Millis,
    /// With a fresh run elsewhere.
    fresh_ms: Millis,
}

/// Returns what moving a run brings, or `None` if it should stay.
fn gain_of_move(
    pool_state: &PoolState,
    key: TaskKey,
    (run, percent): (u32, u32),
    worker: WorkerKey,
    pace: Pace,
    ctx: &Ctx<'_>,
) -> Option<Gain> {
    let task = pool_state.task(key)?;
    let is_current = task.run == run && task.phase == Phase::Running(worker);
    let job = &pool_state.jobs[key.job];
    if !is_current || task.moves >= MOVES_MAX || job.state.is_final() {
        return None;
    }
    let expected_ms = expected_ms(pool_state, key, worker, &ctx.deployment)?;
    let work_left_ms = expected_ms * u64::from(100u32.saturating_sub(percent)) / 100;
    let gain = Gain {
        left_ms: work_left_ms * 1_000 / pace.worker_milli.max(1),
        fresh_ms: expected_ms * 1_000 / pace.pool_milli
            + ctx.deployment.stop_ms / 2
            + START_MS
            + tickets::expected_ms(job.policy.advice),
    };
    let is_sooner = gain.left_ms * 1_000 > gain.fresh_ms * GAIN_MIN_MILLI;
    let round = job.rounds.get(&key.round)?;
    let steps = &round.steps;
    let is_later = |n: usize| n > usize::from(key.step) && steps[n].tasks_left > 0;
    let rest_ms = job.spec.longest_chain_ms(&job.step_ms, is_later);
    let makes_late = ctx.now.ms + gain.left_ms + rest_ms > round.due_ms;
    let is_hopeless = ctx.now.ms + gain.fresh_ms > round.hopeless_ms;
    // A job that can be in time is placed before others as soon as any run ends.
    let is_first = ctx.now.ms + gain.fresh_ms + rest_ms <= round.due_ms;
    // On a queue with advice, a worker that is freed may be ruled out.
    let takes_any = job.policy.advice.is_none() && (pace.is_hung() || is_first);
    let has_room = takes_any || place::has_other_worker(pool_state, key, worker, ctx.now.ms);
    (is_sooner && makes_late && !is_hopeless && has_room).then_some(gain)
}

/// Returns whether a further run may be moved now.
fn may_move(speeds: &mut Speeds, now_ms: Millis) -> bool {
    while (speeds.moves.front()).is_some_and(|at| now_ms >= at + MOVES_PERIOD_MS) {
        speeds.moves.pop_front();
    }
    let runs: usize = speeds.tracks.values().map(|t| t.runs.len()).sum();
    speeds.moves.len() < MOVES_FREE.max(runs / MOVES_SHARE)
}
