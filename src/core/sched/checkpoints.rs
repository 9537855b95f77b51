//! Keeps the newest checkpoint of each task, from which the task's next run continues.
//!
//! Load pattern: most long jobs renew a checkpoint with every few seconds of work, their workers crash, lapse or leave in
//! groups, and owners end at the same time. Workers report the checkpoints with each renewal of their leases, so nothing is
//! asked for; what is recorded goes into the row of the job's progress, together with other changes.
//!
//! [`renewal`](super::renewal) and [`runs`](super::runs) pass reported checkpoints on, [`place`](super::place) takes the
//! text that a run starts with, and [`progress`](super::progress) and [`load`](super::load) store and restore it.

use std::collections::{BTreeMap, HashMap};

use super::job::StepSpec;
use super::keys::{JobKey, TaskKey};
use super::pool_state::PoolState;
use super::rows::{self, CheckpointRow, ProgressRow};
use super::state::Ctx;
use super::tasks::Phase;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{RunEnd, RunningTask};

/// Longest checkpoint that is kept, in bytes. It is sent with the start of each member of a gang.
pub const TEXT_BYTES_MAX: usize = 1_024;

/// Most bytes that the checkpoints of a job take in its progress row.
pub const ROW_SHARE_BYTES: usize = 16 * 1_024;

/// Most bytes of a progress row with checkpoints. The store refuses rows of more than 64 KB.
pub const ROW_BYTES_MAX: usize = 60 * 1_024;

/// Least time between two records of a job that are made only for its checkpoints.
const RECORD_MIN_MS: Millis = 10_000;

/// Number of renewals of a checkpoint that one record made only for checkpoints may cover.
const RENEWALS_PER_RECORD: u64 = 5;

/// The newest checkpoint of a task or, under its first member, of a gang.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Checkpoint {
    text: String,
    /// Number of the run that reported it; 0 if a former owner recorded it.
    run: u32,
    /// Completed part of the work as last reported, in percent.
    percent: u32,
}

/// Checkpoints of a pool's tasks.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints {
    newest: HashMap<TaskKey, Checkpoint>,
    /// Jobs with checkpoints that are not recorded, and when the oldest of these was reported.
    unrecorded: BTreeMap<JobKey, Millis>,
}

impl Checkpoints {
    /// Notes that a job's progress, with its checkpoints, is about to be recorded.
    pub(super) fn note_recorded(&mut self, job: JobKey) {
        self.unrecorded.remove(&job);
    }
}

/// Returns the key under which a task's checkpoint is kept: the members of a gang share one.
fn slot(step: &StepSpec, key: TaskKey) -> TaskKey {
    let index = if step.gang { 0 } else { key.index };
    TaskKey { index, ..key }
}

fn is_undone(pool_state: &PoolState, key: TaskKey) -> bool {
    let task = pool_state.task(key);
    task.is_some_and(|task| task.phase != Phase::Done)
}

/// Notes the checkpoint of a run that a worker reports. The run must be the task's current one, on the instance that
/// reports it.
pub(super) fn note_run(
    pool_state: &mut PoolState,
    key: TaskKey,
    run: &RunningTask,
    now_ms: Millis,
) {
    let reported = Checkpoint {
        text: run.checkpoint.clone(),
        run: run.run,
        percent: run.percent,
    };
    note(pool_state, key, reported, now_ms);
}

/// Notes the checkpoint of a run that ended without completing its task. The run must be the task's current one, on the
/// instance that reports its end.
pub(super) fn note_end(pool_state: &mut PoolState, key: TaskKey, end: &RunEnd, now_ms: Millis) {
    let Some(step) = pool_state.step_spec(key) else {
        return;
    };
    let before = pool_state.checkpoints.newest.get(&slot(step, key));
    let percent = before.filter(|c| c.run == end.run).map_or(0, |c| c.percent);
    let reported = Checkpoint {
        text: end.checkpoint.clone(),
        run: end.run,
        percent,
    };
    note(pool_state, key, reported, now_ms);
}

fn note(pool_state: &mut PoolState, key: TaskKey, reported: Checkpoint, now_ms: Millis) {
    let Some(step) = pool_state.step_spec(key).filter(|s| s.checkpoints) else {
        return;
    };
    if reported.text.is_empty() || reported.text.len() > TEXT_BYTES_MAX {
        return;
    }
    let newest = pool_state.checkpoints.newest.entry(slot(step, key));
    let newest = newest.or_default();
    // The members of a gang are reported by several workers, whose reports are not in order.
    let is_behind = reported.run == newest.run && reported.percent < newest.percent;
    if is_behind || reported.run < newest.run {
        return;
    }
    let is_new = reported.text != newest.text;
    *newest = reported;
    if is_new {
        let unrecorded = &mut pool_state.checkpoints.unrecorded;
        unrecorded.entry(key.job).or_insert(now_ms);
    }
}

/// Sets the checkpoint that the run of a task that is being placed starts with. All requests to start that run carry
/// it, and all members of a gang, which are placed together, get the same one.
pub(super) fn prepare_start(pool_state: &mut PoolState, key: TaskKey, ctx: &mut Ctx<'_>) {
    let Some(step) = pool_state.step_spec(key) else {
        return;
    };
    let newest = pool_state.checkpoints.newest.get(&slot(step, key));
    let newest = newest.cloned().unwrap_or_default();
    let is_resumed = !newest.text.is_empty();
    let Some(task) = pool_state.task_mut(key) else {
        return;
    };
    task.checkpoint = newest.text;
    if !is_resumed {
        return;
    }
    let next_run = u64::from(task.run) + 1;
    let why = "the task's next run continues from its newest checkpoint";
    let job = &pool_state.jobs[key.job].id;
    ctx.log(
        Decision::new(Code::CheckpointUsed, Subject::Job, job, why)
            .with("round", u64::from(key.round))
            .with("step", u64::from(key.step))
            .with("task", u64::from(key.index))
            .with("run", next_run)
            .with("reported_by_run", u64::from(newest.run))
            .with("percent", u64::from(newest.percent)),
    );
}

/// Has the checkpoints of a job recorded with the next batch if any are new: a run of the job ends or is about to.
pub(super) fn record_soon(pool_state: &mut PoolState, job: JobKey, now_ms: Millis) {
    if pool_state.checkpoints.unrecorded.contains_key(&job) {
        pool_state.mark_dirty(job, now_ms);
    }
}

/// Has checkpoints recorded that have been new for long, and forgets those of tasks that are over. Nothing is recorded
/// for checkpoints alone if the deployment does not tell how often they are renewed.
pub(super) fn record_due(pool_state: &mut PoolState, interval_ms: Millis, now_ms: Millis) {
    if pool_state.checkpoints.newest.is_empty() {
        return;
    }
    let mut checkpoints = std::mem::take(&mut pool_state.checkpoints);
    let is_open = |job: JobKey| {
        let job = pool_state.jobs.get(job);
        job.is_some_and(|job| !job.state.is_final())
    };
    checkpoints
        .newest
        .retain(|key, _| is_open(key.job) && is_undone(pool_state, *key));
    checkpoints.unrecorded.retain(|job, _| is_open(*job));
    pool_state.checkpoints = checkpoints;
    if interval_ms == 0 {
        return;
    }
    let pace_ms = RECORD_MIN_MS.max(RENEWALS_PER_RECORD * interval_ms);
    let unrecorded = &pool_state.checkpoints.unrecorded;
    let due = unrecorded.iter().filter(|(_, at)| now_ms >= **at + pace_ms);
    let due: Vec<JobKey> = due.map(|(job, _)| *job).collect();
    for job in due {
        pool_state.mark_dirty(job, now_ms);
    }
}

/// Returns the checkpoints to record in a job's progress row. If they do not all fit, those with the least work are left
/// out.
pub(super) fn rows(pool_state: &PoolState, job: JobKey, row: &ProgressRow) -> Vec<CheckpointRow> {
    if pool_state.checkpoints.newest.is_empty() {
        return Vec::new();
    }
    let mut found: Vec<(u64, CheckpointRow)> = Vec::new();
    let Some(Some(steps)) = pool_state.jobs.get(job).map(|job| {
        let has_checkpoints = job.spec.steps.iter().any(|s| s.checkpoints);
        has_checkpoints.then_some((&job.spec.steps, &job.step_ms, &job.rounds))
    }) else {
        return Vec::new();
    };
    let (specs, step_ms, rounds) = steps;
    for round in rounds.keys() {
        for (n, step) in specs.iter().enumerate().filter(|(_, s)| s.checkpoints) {
            let slots = if step.gang { 1 } else { step.count };
            for index in 0..slots {
                let key = TaskKey {
                    job,
                    round: *round,
                    step: n as u16,
                    index,
                };
                let Some(newest) = pool_state.checkpoints.newest.get(&key) else {
                    continue;
                };
                if !is_undone(pool_state, key) {
                    continue;
                }
                let members = if step.gang { u64::from(step.count) } else { 1 };
                let work = members * step.cpu_milli.max(1) * step_ms[n] * u64::from(newest.percent);
                let stored =
                    CheckpointRow(*round, n as u16, index, newest.percent, newest.text.clone());
                found.push((work, stored));
            }
        }
    }
    if found.is_empty() {
        return Vec::new();
    }
    found.sort_by(|(a, _), (b, _)| b.cmp(a));
    let free_bytes = ROW_BYTES_MAX.saturating_sub(rows::encode(row).len());
    let mut left_bytes = free_bytes.min(ROW_SHARE_BYTES);
    let mut kept = Vec::with_capacity(found.len());
    for (_, stored) in found {
        // The separator comes with each.
        let bytes = rows::encode(&stored).len() + 1;
        if bytes <= left_bytes {
            left_bytes -= bytes;
            kept.push(stored);
        }
    }
    kept
}

/// Restores the checkpoints that a former owner recorded for a job. Those of steps that have none now, or of tasks that
/// are done, are skipped.
pub(super) fn restore(pool_state: &mut PoolState, job: JobKey, recorded: &[CheckpointRow]) {
    for CheckpointRow(round, step, index, percent, text) in recorded {
        let key = TaskKey {
            job,
            round: *round,
            step: *step,
            index: *index,
        };
        let Some(spec) = pool_state.step_spec(key).filter(|s| s.checkpoints) else {
            continue;
        };
        let is_slot = slot(spec, key) == key;
        if !is_slot || !is_undone(pool_state, key) || text.is_empty() || text.len() > TEXT_BYTES_MAX
        {
            continue;
        }
        let newest = Checkpoint {
            text: text.clone(),
            run: 0,
            percent: *percent,
        };
        pool_state.checkpoints.newest.insert(key, newest);
    }
}
