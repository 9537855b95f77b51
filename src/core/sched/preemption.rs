//! Stops runs that can continue from a checkpoint where jobs of a more urgent queue would be late for lack of room.
//!
//! Load pattern: a queue of short, urgent jobs shares its pool with long tasks that renew checkpoints. In a peak the long
//! tasks hold the room for seconds, while the urgent jobs have a fraction of a second left. A stopped run has its work
//! saved, so a stop costs the restoring of it and the wait.
//!
//! The owner's upkeep calls `make_room`. A stopped task waits like any other once its end was noted; the freed room goes
//! to the waiting tasks in their order.

use std::collections::HashMap;

use super::keys::{TaskKey, WorkerKey};
use super::pool_state::PoolState;
use super::runs;
use super::state::Ctx;
use super::tasks::{Class, Job, Phase, Rank};
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::Capacity;

/// A job is urgent for preemption from this long before the latest start with which it is in time. Room that comes by
/// itself usually comes earlier.
const URGENT_MS: Millis = 1_000;

/// Time from the order to stop a run until its room can be used: the stop, the report of the end and its record.
const STOP_MS: Millis = 300;

/// Time that must be left to the job of a stopped run besides all that the stop is expected to take.
const MARGIN_MS: Millis = 1_000;

/// Time for which a task waits for room before others are stopped for it. The next placement takes less.
const WAIT_MS: Millis = 100;

/// Most of a pool's processors that may be in the course of being freed, in percent.
pub const SHARE_PERCENT: u64 = 10;

/// Most waiting tasks that one pass examines.
const SCAN_MAX: usize = 64;

/// Runs that were stopped for urgent work: the last one of each task.
#[derive(Clone, Debug, Default)]
pub struct Preempted(HashMap<TaskKey, u32>);

impl Preempted {
    /// Returns whether the last run before `run` was stopped for urgent work.
    fn had_last_run(&self, key: TaskKey, run: u32) -> bool {
        self.0.get(&key).is_some_and(|last| last + 1 == run)
    }
}

/// A waiting task that needs room now.
struct Waiter {
    rank: Rank,
    demand: Capacity,
    label: Option<String>,
    /// Expected time of the task.
    task_ms: Millis,
    /// Time until the latest start with which its job is in time.
    slack_ms: Millis,
}

/// A run that may be stopped.
struct Candidate {
    key: TaskKey,
    demand: Capacity,
    /// Time that its job has left beyond the work left; `None` if the job is late in any case.
    slack_ms: Option<Millis>,
    rank: Rank,
}

/// Returns the expected time until a job is done if it goes on, without the work that `percent` of a step stands for.
fn left_ms(job: &Job, key: TaskKey, percent: u32) -> Millis {
    let Some(round) = job.rounds.get(&key.round) else {
        return 0;
    };
    let chain_ms = job
        .spec
        .longest_chain_ms(&job.step_ms, |n| round.steps[n].tasks_left > 0);
    let done_ms = job.step_ms[usize::from(key.step)] * u64::from(percent.min(100)) / 100;
    chain_ms.saturating_sub(done_ms)
}

fn waiter(pool_state: &PoolState, rank: Rank, now_ms: Millis) -> Option<Waiter> {
    let key = rank.task;
    let job = pool_state.jobs.get(key.job)?;
    let spec = pool_state.step_spec(key)?;
    let is_plain = !spec.gang && !spec.lasting && spec.per_worker_max == 0;
    let has_waited = now_ms >= pool_state.task(key)?.since_ms + WAIT_MS;
    let is_allowed = pool_state.is_within_quota(key, 1);
    if job.policy.priority > 0 || !is_plain || !has_waited || !is_allowed {
        return None;
    }
    let start_by_ms = job.due_ms.saturating_sub(left_ms(job, key, 0));
    let slack_ms = start_by_ms.checked_sub(now_ms)?;
    (STOP_MS..=URGENT_MS).contains(&slack_ms).then(|| Waiter {
        rank,
        demand: spec.demand(),
        label: spec.label.clone(),
        task_ms: job.step_ms[usize::from(key.step)],
        slack_ms,
    })
}

fn candidate(pool_state: &PoolState, key: TaskKey, now_ms: Millis) -> Option<Candidate> {
    let job = pool_state.jobs.get(key.job)?;
    let spec = pool_state.step_spec(key)?;
    let task = pool_state.task(key)?;
    let is_running = matches!(task.phase, Phase::Running(_));
    let can_continue = spec.checkpoints && !spec.gang && !spec.lasting;
    let was_stopped = pool_state.preempted.had_last_run(key, task.run);
    if job.policy.priority == 0 || !is_running || !can_continue || was_stopped {
        return None;
    }
    if task.is_crash_suspect() || job.state.is_final() {
        return None;
    }
    let percent = pool_state.checkpoints.percent(key)?;
    let slack_ms = job.due_ms.checked_sub(now_ms + left_ms(job, key, percent));
    Some(Candidate {
        key,
        demand: spec.demand(),
        slack_ms,
        rank: pool_state.rank(key, now_ms)?,
    })
}

/// Returns all runs that may be stopped, with their workers.
fn candidates(pool_state: &PoolState, now_ms: Millis) -> Vec<(WorkerKey, Candidate)> {
    let open = pool_state.workers.iter().filter(|(_, w)| w.is_open(now_ms));
    let tasks = open.flat_map(|(worker, w)| w.tasks.iter().map(move |key| (worker, *key)));
    let found =
        tasks.filter_map(|(worker, key)| Some((worker, candidate(pool_state, key, now_ms)?)));
    found.collect()
}

/// Returns the index of the run whose stop makes room for a task at the least expense: of a job that is late in any case,
/// else of the one with the most time left.
fn choose(
    pool_state: &PoolState,
    waiter: &Waiter,
    candidates: &[(WorkerKey, Candidate)],
    restore_ms: Millis,
) -> Option<usize> {
    let cost_ms = STOP_MS + waiter.task_ms + restore_ms + MARGIN_MS;
    let suits = |worker: WorkerKey, found: &Candidate| {
        let w = &pool_state.workers[worker];
        let mut used = w.used;
        used.sub(found.demand);
        used.add(waiter.demand);
        let label = waiter.label.as_ref();
        label.is_none_or(|label| w.info.labels.contains(label))
            && w.is_large_enough(used)
            && found.slack_ms.is_none_or(|ms| ms >= cost_ms)
            && found.rank > waiter.rank
    };
    let suitable = candidates.iter().enumerate();
    let suitable = suitable.filter(|(_, (worker, found))| suits(*worker, found));
    let best = suitable.max_by_key(|(_, (_, c))| (c.slack_ms.unwrap_or(Millis::MAX), c.key));
    best.map(|(n, _)| n)
}

/// Stops runs for urgent tasks that wait for room and would be late without it.
pub fn make_room(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    let (deployment, now_ms) = (ctx.deployment, ctx.now.ms);
    if deployment.checkpoint_interval_ms == 0 || pool_state.checkpoints.is_empty() {
        return;
    }
    let mut preempted = std::mem::take(&mut pool_state.preempted);
    preempted.0.retain(|key, _| {
        let task = pool_state.task(*key);
        task.is_some_and(|task| task.phase != Phase::Done)
    });
    pool_state.preempted = preempted;
    let open = pool_state.workers.values().filter(|w| w.is_open(now_ms));
    let open_cpu_milli: u64 = open.map(|w| w.info.capacity.cpu_milli).sum();
    let being_freed = pool_state.preempted.0.iter().filter(|(key, run)| {
        let task = pool_state.task(**key);
        task.is_some_and(|t| t.run == **run && matches!(t.phase, Phase::Stopping(_)))
    });
    let freed = being_freed.filter_map(|(key, _)| pool_state.step_spec(*key));
    let mut freed_cpu_milli: u64 = freed.map(|spec| spec.demand().cpu_milli).sum();
    let most_cpu_milli = open_cpu_milli * SHARE_PERCENT / 100;
    // What is being freed already serves the first of those that wait.
    let mut promised_cpu_milli = freed_cpu_milli;
    let in_time = pool_state
        .ready
        .iter()
        .filter(|rank| rank.class == Class::InTime);
    let waiters: Vec<Waiter> = in_time
        .take(SCAN_MAX)
        .filter_map(|rank| waiter(pool_state, *rank, now_ms))
        .collect();
    if waiters.is_empty() {
        return;
    }
    let mut candidates = candidates(pool_state, now_ms);
    let mut chosen = Vec::new();
    for waiter in waiters {
        if waiter.demand.cpu_milli <= promised_cpu_milli {
            promised_cpu_milli -= waiter.demand.cpu_milli;
            continue;
        }
        let restore_ms = deployment.checkpoint_restore_ms;
        let Some(n) = choose(pool_state, &waiter, &candidates, restore_ms) else {
            continue;
        };
        let (worker, found) = candidates.swap_remove(n);
        if freed_cpu_milli + found.demand.cpu_milli > most_cpu_milli {
            break;
        }
        freed_cpu_milli += found.demand.cpu_milli;
        log_stop(pool_state, &waiter, &found, ctx);
        chosen.push(found.key);
        // A second stop on the worker would count its free capacity twice.
        candidates.retain(|(other, _)| *other != worker);
    }
    for key in chosen {
        if let Some(run) = pool_state.task(key).map(|t| t.run) {
            pool_state.preempted.0.insert(key, run);
        }
        runs::stop_run(pool_state, key, epoch, ctx);
    }
}

fn log_stop(pool_state: &PoolState, waiter: &Waiter, found: &Candidate, ctx: &mut Ctx<'_>) {
    let why = "an urgent task waits for its room and would be late";
    let job = &pool_state.jobs[found.key.job].id;
    let urgent = &pool_state.jobs[waiter.rank.task.job].id;
    let decision = Decision::new(Code::TaskPreempted, Subject::Job, job, why)
        .with_name("for", &**urgent)
        .with("step", u64::from(found.key.step))
        .with("task", u64::from(found.key.index))
        .with("urgent_slack_ms", waiter.slack_ms);
    ctx.log(match found.slack_ms {
        Some(ms) => decision.with("slack_ms", ms),
        None => decision,
    });
}
