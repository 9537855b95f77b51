//! Measures how fast the workers of a pool progress with their runs, from the percentages that they report.
//!
//! [`observe`] takes in each report, and does nothing unless the deployment's settings give the time of a stop. What
//! follows from the speeds is decided by [`stragglers`](super::stragglers).

use std::collections::{BTreeMap, VecDeque};

use slotmap::SecondaryMap;

use super::deployment::Deployment;
use super::keys::{TaskKey, WorkerKey};
use super::pool_state::PoolState;
use super::state::{Ctx, Timer};
use super::tasks::Phase;
use crate::clock::Millis;
use crate::port::fleet::{RenewalReport, RunningTask};

/// Time after which an observation has lost half of its weight against one of the same length.
const WINDOW_MS: u64 = 150;

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

/// Added to a slow worker's cost, in thousandths: more than what another rack adds.
const SLOW_COST_MILLI: u64 = 2_000;

/// What an owner observed of the progress of its workers.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    pub(super) tracks: SecondaryMap<WorkerKey, Track>,
    /// Times of recent moves.
    pub(super) moves: VecDeque<Millis>,
}

/// Progress of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Track {
    /// The worker's clock at its last report.
    clock_ms: Millis,
    /// When the last report that shows progress or a lack of it was applied.
    pub(super) observed_ms: Millis,
    /// Runs of the last report: the number of the run and its percentage.
    pub(super) runs: BTreeMap<TaskKey, (u32, u32)>,
    /// Time of its runs that was observed, weighted.
    pub(super) passed_ms: u64,
    /// Work that they did, as the time that it is expected to take, weighted.
    done_ms: u64,
    /// Time since any of its runs progressed.
    still_ms: u64,
    /// Progress in percent that the shortest of its runs was expected to make in that time.
    still_percent: u64,
    /// Time from the last report until one of its runs is expected to end; `None` without such runs.
    next_end_ms: Option<Millis>,
    /// Whether it is treated as slow.
    pub(super) is_slow: bool,
    /// Number of pauses in a row.
    pub(super) pauses: u32,
    /// End of the pause that was set here; 0 for none.
    pub(super) paused_until_ms: Millis,
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
    pub(super) fn speed_milli(&self, now_ms: Millis) -> Option<u64> {
        let is_recent = now_ms < self.observed_ms + RECENT_MS;
        if is_recent && self.is_still() {
            return Some(0);
        }
        let is_enough = is_recent && self.passed_ms >= OBSERVED_MIN_MS;
        is_enough.then(|| self.done_ms * 1_000 / self.passed_ms)
    }
}

impl Speeds {
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
    pub(super) fn pool_speed_milli(&self, now_ms: Millis) -> Option<u64> {
        let tracks = self.tracks.values();
        let mut speeds: Vec<u64> = tracks.filter_map(|t| t.speed_milli(now_ms)).collect();
        speeds.sort_unstable();
        let median = speeds.get(speeds.len() / 2).copied()?;
        (speeds.len() >= OBSERVED_WORKERS_MIN && median >= POOL_SPEED_MIN_MILLI).then_some(median)
    }
}

/// Returns the time that a task is expected to take on a worker at the expected speed. `None` if its progress tells
/// nothing of the worker: lasting tasks have none, members of a gang wait for each other, and fillers for other tasks.
pub(super) fn expected_ms(
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
    let ms = deployment.task_ms(ms, spec.data_rack.as_deref(), rack);
    Some(ms.max(1))
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
    let mut speeds = std::mem::take(&mut pool_state.speeds);
    let mut track = speeds.tracks.remove(worker).unwrap_or_default();
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
    speeds.tracks.insert(worker, track);
    pool_state.speeds = speeds;
}
