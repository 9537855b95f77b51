//! Finds slow and hung workers by the progress that they report, and the runs that should move away from them.
//!
//! Load pattern: a part of the workers stands still or runs many times slower for seconds, while they renew their leases
//! and accept starts. Without this module, jobs with a run there are late or fail, and more work is placed there.
//!
//! [`observe`] takes in each report, and [`review`] is called periodically. Both do nothing unless the deployment's
//! settings give the time of a stop.

use std::collections::{BTreeMap, VecDeque};

use slotmap::SecondaryMap;

use super::deployment::Deployment;
use super::keys::{TaskKey, WorkerKey};
use super::pool_state::PoolState;
use super::state::{Ctx, Timer};
use super::tasks::Phase;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{RenewalReport, RunningTask};

/// Time after which an observation has lost half of its weight against one of the same length.
const WINDOW_MS: u64 = 300;

/// Time without any progress after which several runs show that their worker is hung; a single one needs twice as long.
const STILL_MIN_MS: u64 = 200;

/// Expected progress, in percent, whose absence shows that a worker is hung.
const STILL_MIN_PERCENT: u64 = 15;

/// Shortest time that a renewal waits at a worker for the next end.
const RENEWAL_WAIT_MIN_MS: Millis = 250;

/// Time of runs that must have been observed on a worker before it is judged.
const OBSERVED_MIN_MS: u64 = 250;

/// An observation is used for this long after its report.
const RECENT_MS: Millis = 2_500;

/// Number of workers that must have been observed before any is judged.
const OBSERVED_WORKERS_MIN: usize = 3;

/// A pool below this speed, in thousandths of the expected one, stands still as a whole.
const POOL_SPEED_MIN_MILLI: u64 = 200;

/// A worker below this share of the pool's speed, in thousandths, is slow.
const SLOW_MILLI: u64 = 333;

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

/// Added to a slow worker's cost, in thousandths: more than what another rack adds.
const SLOW_COST_MILLI: u64 = 2_000;

/// Time of a placement, its record and its start.
const START_MS: Millis = 100;

/// A run is moved if its remaining time exceeds that of a fresh run by this factor, in thousandths.
const GAIN_MIN_MILLI: u64 = 1_500;

/// Most times that a task is moved.
const MOVES_MAX: u8 = 2;

/// Period over which the number of moves is bounded.
const MOVES_PERIOD_MS: Millis = 5_000;

/// At most one in this many runs is moved in a period.
const MOVES_SHARE: usize = 4;

/// Moves in a period that are always allowed, so that small pools can move any.
const MOVES_FREE: usize = 4;

/// What an owner observed of the progress of its workers.
#[derive(Clone, Debug, Default)]
pub struct Stragglers {
    tracks: SecondaryMap<WorkerKey, Track>,
    /// Times of recent moves.
    moves: VecDeque<Millis>,
}

/// Progress of one worker.
#[derive(Clone, Debug, Default)]
struct Track {
    /// The worker's clock at its last report.
    clock_ms: Millis,
    /// When the last report that shows progress or a lack of it was applied.
    observed_ms: Millis,
    /// Runs of the last report: the number of the run and its percentage.
    runs: BTreeMap<TaskKey, (u32, u32)>,
    /// Time of its runs that was observed, weighted.
    passed_ms: u64,
    /// Work that they did, as the time that it is expected to take, weighted.
    done_ms: u64,
    /// Time since any of its runs progressed.
    still_ms: u64,
    /// Progress in percent that the shortest of its runs was expected to make in that time.
    still_percent: u64,
    /// Time from the last report until one of its runs is expected to end; `None` without such runs.
    next_end_ms: Option<Millis>,
    /// Whether it is treated as slow.
    is_slow: bool,
    /// Number of pauses in a row.
    pauses: u32,
    /// End of the pause that was set here; 0 for none.
    paused_until_ms: Millis,
}

impl Track {
    /// Adds what a run did in a time.
    fn add(&mut self, passed_ms: u64, done_ms: u64) {
        self.passed_ms += passed_ms;
        self.done_ms += done_ms;
    }

    /// Reduces the weight of what was observed before the last `ms`.
    fn age(&mut self, ms: u64) {
        self.passed_ms = self.passed_ms * WINDOW_MS / (WINDOW_MS + ms);
        self.done_ms = self.done_ms * WINDOW_MS / (WINDOW_MS + ms);
    }

    /// Returns whether none of its runs progresses.
    fn is_still(&self) -> bool {
        let least_ms = match self.runs.len() {
            0 | 1 => 2 * STILL_MIN_MS,
            _ => STILL_MIN_MS,
        };
        self.still_ms >= least_ms && self.still_percent >= STILL_MIN_PERCENT
    }

    /// Returns its speed in thousandths of the expected one, if enough was observed recently.
    fn speed_milli(&self, now_ms: Millis) -> Option<u64> {
        let is_recent = now_ms < self.observed_ms + RECENT_MS;
        if is_recent && self.is_still() {
            return Some(0);
        }
        let is_enough = is_recent && self.passed_ms >= OBSERVED_MIN_MS;
        is_enough.then(|| self.done_ms * 1_000 / self.passed_ms)
    }
}

impl Stragglers {
    /// Returns what a worker's speed adds to its cost.
    pub fn cost_milli(&self, worker: WorkerKey) -> u64 {
        match self.tracks.get(worker) {
            Some(track) if track.is_slow => SLOW_COST_MILLI,
            _ => 0,
        }
    }

    /// Returns how long a renewal should wait at a worker for the next end: a little longer than an end should take, so
    /// that a worker on which it doesn't come is noticed soon.
    pub fn renewal_wait_ms(&self, worker: WorkerKey, most_ms: Millis) -> Millis {
        let next_end_ms = self.tracks.get(worker).and_then(|t| t.next_end_ms);
        let wait_ms = next_end_ms.map(|ms| (ms * 3 / 2).max(RENEWAL_WAIT_MIN_MS));
        wait_ms.map_or(most_ms, |ms| ms.min(most_ms))
    }

    /// Returns the median speed of the workers, if it allows a judgement.
    fn pool_speed_milli(&self, now_ms: Millis) -> Option<u64> {
        let tracks = self.tracks.values();
        let mut speeds: Vec<u64> = tracks.filter_map(|t| t.speed_milli(now_ms)).collect();
        speeds.sort_unstable();
        let median = speeds.get(speeds.len() / 2).copied()?;
        (speeds.len() >= OBSERVED_WORKERS_MIN && median >= POOL_SPEED_MIN_MILLI).then_some(median)
    }

    /// Returns whether a further run may be moved now.
    fn may_move(&mut self, now_ms: Millis) -> bool {
        while (self.moves.front()).is_some_and(|at| now_ms >= at + MOVES_PERIOD_MS) {
            self.moves.pop_front();
        }
        let runs: usize = self.tracks.values().map(|t| t.runs.len()).sum();
        self.moves.len() < MOVES_FREE.max(runs / MOVES_SHARE)
    }
}

/// Returns the time that a task is expected to take on a worker at the expected speed. `None` if its progress tells
/// nothing of the worker: lasting tasks have none, members of a gang wait for each other, and fillers for other tasks.
fn expected_ms(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    deployment: &Deployment,
) -> Option<Millis> {
    let spec = pool_state.step_spec(key)?;
    if spec.lasting || spec.gang || spec.filler {
        return None;
    }
    let ms = *pool_state.jobs[key.job]
        .step_ms
        .get(usize::from(key.step))?;
    let rack = pool_state.workers.get(worker)?.rack();
    let is_remote = spec.data_rack.as_deref().is_some_and(|data| data != rack);
    let factor_milli = match is_remote {
        true => deployment.remote_data_factor_milli.max(1_000),
        false => 1_000,
    };
    Some((ms * factor_milli / 1_000).max(1))
}

/// Returns the task of a reported run if it is the task's current one and is not being stopped.
fn current_task(pool_state: &PoolState, worker: WorkerKey, run: &RunningTask) -> Option<TaskKey> {
    let key = pool_state.find_task(&run.task)?;
    let task = pool_state.task(key)?;
    let is_current = task.run == run.run && task.phase == Phase::Running(worker);
    is_current.then_some(key)
}

/// Takes in a worker's report.
pub fn observe(
    pool_state: &mut PoolState,
    worker: WorkerKey,
    report: &RenewalReport,
    ctx: &mut Ctx<'_>,
) {
    if ctx.deployment.stop_ms == 0 {
        return;
    }
    let mut stragglers = std::mem::take(&mut pool_state.stragglers);
    let mut track = stragglers.tracks.remove(worker).unwrap_or_default();
    let passed_ms = report.clock_ms.saturating_sub(track.clock_ms);
    if passed_ms > 0 {
        let before = std::mem::take(&mut track.runs);
        let mut observed = Vec::new();
        let mut shortest_ms = Millis::MAX;
        track.next_end_ms = None;
        for run in &report.running {
            let Some(key) = current_task(pool_state, worker, run) else {
                continue;
            };
            let Some(expected_ms) = expected_ms(pool_state, key, worker, &ctx.deployment) else {
                continue;
            };
            if let Some((_, percent)) = before.get(&key).filter(|(n, _)| *n == run.run) {
                let done = u64::from(run.percent.saturating_sub(*percent));
                observed.push(done * expected_ms / 100);
                shortest_ms = shortest_ms.min(expected_ms);
            }
            let left_ms = expected_ms * u64::from(100u32.saturating_sub(run.percent)) / 100;
            track.next_end_ms = Some(track.next_end_ms.map_or(left_ms, |ms| ms.min(left_ms)));
            track.runs.insert(key, (run.run, run.percent));
        }
        if !observed.is_empty() {
            track.age(passed_ms);
            track.observed_ms = ctx.now.ms;
            let is_still = observed.iter().all(|done_ms| *done_ms == 0);
            track.still_ms = if is_still {
                track.still_ms + passed_ms
            } else {
                0
            };
            track.still_percent = track.still_ms * 100 / shortest_ms;
        }
        for done_ms in observed {
            track.add(passed_ms, done_ms);
        }
        track.clock_ms = report.clock_ms;
    }
    // A hung worker is looked at before the next periodic pass.
    if track.is_still() && !track.is_slow {
        ctx.set_timer(0, Timer::Upkeep);
    }
    stragglers.tracks.insert(worker, track);
    pool_state.stragglers = stragglers;
}

/// Pauses slow workers, and returns the runs to be stopped so that they start elsewhere.
pub fn review(pool_state: &mut PoolState, ctx: &mut Ctx<'_>) -> Vec<TaskKey> {
    if ctx.deployment.stop_ms == 0 {
        return Vec::new();
    }
    let mut stragglers = std::mem::take(&mut pool_state.stragglers);
    let workers = &pool_state.workers;
    stragglers.tracks.retain(|key, _| workers.contains_key(key));
    let mut stops = Vec::new();
    if let Some(pool_milli) = stragglers.pool_speed_milli(ctx.now.ms) {
        let slow = update_slow(pool_state, &mut stragglers, pool_milli, ctx);
        for (worker, speed_milli) in slow {
            let speeds = Speeds {
                worker_milli: speed_milli,
                pool_milli,
            };
            stops.extend(lagging_runs(
                pool_state,
                &mut stragglers,
                worker,
                speeds,
                ctx,
            ));
        }
    }
    pool_state.stragglers = stragglers;
    for key in &stops {
        if let Some(task) = pool_state.task_mut(*key) {
            task.moves += 1;
        }
    }
    stops
}

/// Speeds of a worker and of its pool, in thousandths of the expected one.
#[derive(Clone, Copy)]
struct Speeds {
    worker_milli: u64,
    pool_milli: u64,
}

impl Speeds {
    fn is_hung(self) -> bool {
        self.worker_milli * 1_000 < self.pool_milli * HUNG_MILLI
    }
}

/// Updates which workers are treated as slow, and pauses them. Returns those observed to be slow now, with their
/// speeds, the slowest first.
fn update_slow(
    pool_state: &mut PoolState,
    stragglers: &mut Stragglers,
    pool_milli: u64,
    ctx: &mut Ctx<'_>,
) -> Vec<(WorkerKey, u64)> {
    let now_ms = ctx.now.ms;
    let mut slow = Vec::new();
    for (key, track) in &mut stragglers.tracks {
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
        pause(pool_state, stragglers, *key, (*speed, pool_milli), ctx);
    }
    slow
}

/// Pauses a slow worker, or extends its pause.
fn pause(
    pool_state: &mut PoolState,
    stragglers: &mut Stragglers,
    key: WorkerKey,
    (speed_milli, pool_milli): (u64, u64),
    ctx: &mut Ctx<'_>,
) {
    let (Some(track), Some(worker)) = (
        stragglers.tracks.get_mut(key),
        pool_state.workers.get_mut(key),
    ) else {
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
    stragglers: &mut Stragglers,
    worker: WorkerKey,
    speeds: Speeds,
    ctx: &mut Ctx<'_>,
) -> Vec<TaskKey> {
    let Some(track) = stragglers.tracks.get(worker) else {
        return Vec::new();
    };
    let runs = track.runs.clone();
    let mut lagging = Vec::new();
    for (key, (run, percent)) in runs {
        let Some(gain) = gain_of_move(pool_state, key, (run, percent), worker, speeds, ctx) else {
            continue;
        };
        if !stragglers.may_move(ctx.now.ms) {
            break;
        }
        stragglers.moves.push_back(ctx.now.ms);
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
    speeds: Speeds,
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
        left_ms: work_left_ms * 1_000 / speeds.worker_milli.max(1),
        fresh_ms: expected_ms * 1_000 / speeds.pool_milli + ctx.deployment.stop_ms + START_MS,
    };
    let is_sooner = gain.left_ms * 1_000 > gain.fresh_ms * GAIN_MIN_MILLI;
    let steps = &job.rounds.get(&key.round)?.steps;
    let is_later = |n: usize| n > usize::from(key.step) && steps[n].tasks_left > 0;
    let rest_ms = job.spec.longest_chain_ms(&job.step_ms, is_later);
    let makes_late = ctx.now.ms + gain.left_ms + rest_ms > job.due_ms;
    let is_hopeless = ctx.now.ms + gain.fresh_ms > job.hopeless_ms;
    let has_room = speeds.is_hung() || has_room_elsewhere(pool_state, key, worker, ctx.now.ms);
    (is_sooner && makes_late && !is_hopeless && has_room).then_some(gain)
}

/// Returns whether another open worker has room for the task.
fn has_room_elsewhere(
    pool_state: &PoolState,
    key: TaskKey,
    worker: WorkerKey,
    now_ms: Millis,
) -> bool {
    let Some(demand) = pool_state.step_spec(key).map(|s| s.demand()) else {
        return false;
    };
    let slots = pool_state.free_index.workers_with_free(demand.cpu_milli);
    let mut others = slots.map(|slot| slot.worker).filter(|w| *w != worker);
    others.any(|other| {
        let w = &pool_state.workers[other];
        w.is_open(now_ms) && w.fits(demand)
    })
}
