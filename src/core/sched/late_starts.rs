//! Keeps tasks with the workers that may still start them.
//!
//! A start without an answer may be carried out for [`ORDER_DELAY_MAX_MS`], by whichever instance is up under the
//! worker's id by then. An instance that has just restarted has seen no fencing token, and its clock began anew, so it
//! refuses neither the order's token nor its deadline, and an owner that can't reach it doesn't learn of the run. So the
//! task is bound to the id until no such order is left and no run that it began can last: meanwhile its next run goes to
//! an instance of that id, which has seen a higher token. An end that would finish the task is acknowledged only once no
//! start of the task can arrive.

use std::collections::BTreeMap;

use super::gang;
use super::keys::{JobKey, TaskKey, WorkerKey};
use super::limits::{ORDER_DELAY_MAX_MS, SAME_INSTANCE_MS, STRAY_LEASE_MS};
use super::pool_state::{LeftoverRun, PoolState};
use super::rows::BoundRow;
use super::runs;
use super::state::Ctx;
use super::tasks::Phase;
use super::worker::Worker;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{EndKind, RunEnd};

/// Most ends of a worker that stay unacknowledged because of late starts. A worker lists 500 ends at a time, and further
/// ones would not be seen.
const ENDS_HELD_MAX: u64 = 300;

/// A worker id under which starts of a task may still be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Binding {
    /// Id of the worker.
    worker: String,
    /// Time after which no order arrives any more.
    until_ms: Millis,
    /// The same by the store's clock; 0 if unknown.
    until_store_ms: Millis,
    /// Whether an order without an answer may still arrive. Otherwise the run may have begun unseen, and no further one
    /// can begin.
    is_unanswered: bool,
}

/// Tasks whose starts may still be carried out, and the ends that wait for these starts.
#[derive(Clone, Debug, Default)]
pub struct LateStarts {
    bindings: BTreeMap<TaskKey, Binding>,
    /// Time until which an end stays unacknowledged, by worker and number of the end.
    held_ends: BTreeMap<(WorkerKey, u64), Millis>,
}

impl LateStarts {
    /// Returns the number of the first end of a worker that may not be acknowledged yet.
    fn first_held_end(&self, worker: WorkerKey, now_ms: Millis) -> Option<u64> {
        let mut held = self.held_ends.range((worker, 0)..=(worker, u64::MAX));
        let first = held.find(|(_, until_ms)| now_ms < **until_ms);
        first.map(|((_, number), _)| *number)
    }
}

impl PoolState {
    /// Binds a task to its worker's id. `is_unanswered` tells that an order to that id may still be carried out; otherwise the
    /// run may have begun on an instance that this owner has not heard.
    pub(super) fn bind_task(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        is_unanswered: bool,
        ctx: &mut Ctx<'_>,
    ) {
        // Without start times, an id names one instance.
        let worker = self.workers.get(worker);
        let Some(w) = worker.filter(|w| w.info.born_wall_ms.is_some()) else {
            return;
        };
        let bindings = &mut self.late_starts.bindings;
        let before = bindings.get(&key).filter(|b| b.worker == w.info.id);
        let is_known = before.is_some();
        let until_ms = w.leased_ms + ORDER_DELAY_MAX_MS;
        let until_ms = before.map_or(until_ms, |b| b.until_ms.max(until_ms));
        let left_ms = until_ms.saturating_sub(ctx.now.ms);
        let binding = Binding {
            worker: w.info.id.clone(),
            until_ms,
            until_store_ms: match ctx.now.store_ms {
                0 => 0,
                store_ms => store_ms + left_ms,
            },
            is_unanswered: is_unanswered || before.is_some_and(|b| b.is_unanswered),
        };
        bindings.insert(key, binding);
        let Some(job) = self.jobs.get(key.job).filter(|_| !is_known) else {
            return;
        };
        let why = match is_unanswered {
            true => "a start of the task may still be carried out",
            false => "a run of the task may be unreported",
        };
        let decision = Decision::new(Code::TaskBound, Subject::Job, &job.id, why)
            .with_name("worker", &*w.info.id)
            .with("round", u64::from(key.round))
            .with("step", u64::from(key.step))
            .with("task", u64::from(key.index))
            .with("left_ms", left_ms);
        ctx.log(decision);
        self.mark_dirty(key.job, ctx.now.ms);
    }

    /// Extends the bindings to a worker's id whose lease has ended: the last order that carried a lease may prolong what an
    /// earlier one began.
    pub(super) fn extend_bindings(&mut self, worker: WorkerKey) {
        let Some(w) = self.workers.get(worker) else {
            return;
        };
        let until_ms = w.leased_ms + ORDER_DELAY_MAX_MS;
        let bindings = self.late_starts.bindings.values_mut();
        for binding in bindings.filter(|b| b.worker == w.info.id) {
            binding.until_ms = binding.until_ms.max(until_ms);
        }
    }

    /// Returns whether a task may start on one worker's id only.
    pub(super) fn is_bound(&self, key: TaskKey) -> bool {
        self.late_starts.bindings.contains_key(&key)
    }

    /// Notes that an instance has reported a task's run. Only orders without an answer keep the task bound.
    pub(super) fn note_run_reported(&mut self, key: TaskKey) {
        let bindings = &mut self.late_starts.bindings;
        if bindings.get(&key).is_some_and(|b| !b.is_unanswered) {
            bindings.remove(&key);
        }
    }

    /// Notes that an earlier owner knew the fate of all starts of a job but those of bound tasks.
    pub(super) fn note_settled_starts(&mut self, job: JobKey) {
        for key in self.tasks_of(job) {
            let is_bound = self.late_starts.bindings.contains_key(&key);
            if let Some(task) = self.task_mut(key).filter(|_| !is_bound) {
                task.is_reported = matches!(task.phase, Phase::Suspect(_));
            }
        }
    }

    /// Returns the bindings of a job's tasks as the job's progress lists them.
    pub(super) fn bound_rows(&self, job: JobKey) -> Vec<BoundRow> {
        let first = TaskKey {
            job,
            ..TaskKey::default()
        };
        let from_job = self.late_starts.bindings.range(first..);
        let of_job = from_job.take_while(|(key, _)| key.job == job);
        let rows = of_job.map(|(key, binding)| {
            let worker = binding.worker.clone();
            BoundRow(
                key.round,
                key.step,
                key.index,
                worker,
                binding.until_store_ms,
            )
        });
        rows.collect()
    }

    /// Restores the recorded bindings of a job's tasks. Orders of former owners may have been sent until `began_ms`.
    pub(super) fn restore_bindings(
        &mut self,
        job: JobKey,
        rows: &[BoundRow],
        began_ms: Millis,
        now: Now,
    ) {
        for BoundRow(round, step, index, worker, until_store_ms) in rows {
            let key = TaskKey {
                job,
                round: *round,
                step: *step,
                index: *index,
            };
            let latest_ms = began_ms + ORDER_DELAY_MAX_MS;
            let until_ms = match (now.store_ms, *until_store_ms) {
                (0, _) | (_, 0) => latest_ms,
                (store_ms, until_ms) => {
                    let left_ms = until_ms.saturating_sub(store_ms);
                    now.ms.saturating_add(left_ms).min(latest_ms)
                }
            };
            let binding = Binding {
                worker: worker.clone(),
                until_ms,
                until_store_ms: *until_store_ms,
                is_unanswered: true,
            };
            self.late_starts.bindings.insert(key, binding);
        }
    }

    /// Returns whether an earlier start of a task keeps it from a worker.
    pub(super) fn is_bound_elsewhere(&self, key: TaskKey, worker: &Worker) -> bool {
        let binding = self.late_starts.bindings.get(&key);
        binding.is_some_and(|binding| binding.worker != worker.info.id)
    }

    /// Returns the worker id that a task is bound to, and the longest time for which it still is.
    pub(super) fn binding_of(&self, key: TaskKey, now_ms: Millis) -> Option<(&str, Millis)> {
        let binding = self.late_starts.bindings.get(&key)?;
        let left_ms = (binding.until_ms + STRAY_LEASE_MS).saturating_sub(now_ms);
        Some((&binding.worker, left_ms))
    }

    /// Returns whether an earlier start of a task can't meet a new one on a worker: no instance that would carry out the
    /// earlier one may have taken the worker's place.
    pub(super) fn is_start_safe(&self, key: TaskKey, worker: WorkerKey, now_ms: Millis) -> bool {
        let is_recent = |w: &Worker| now_ms < w.answered_ms + SAME_INSTANCE_MS;
        !self.late_starts.bindings.contains_key(&key)
            || self.workers.get(worker).is_some_and(is_recent)
    }

    /// Returns whether a run of a task is being stopped that this state did not expect.
    pub(super) fn has_leftover_run(&self, key: TaskKey) -> bool {
        let runs = (key, 0)..=(key, u32::MAX);
        self.leftover_runs.range(runs).next().is_some()
    }

    /// Returns the time until which starts of a task, or of its gang, may still be carried out. The only start of a run that
    /// has ended was carried out, whether or not its answer has come.
    fn late_until_ms(&self, key: TaskKey) -> Option<Millis> {
        let members = match gang::is_member(self, key) {
            true => gang::members(self, key),
            false => vec![key],
        };
        let bindings = &self.late_starts.bindings;
        let until_ms = |member: &TaskKey| {
            let binding = bindings.get(member).filter(|b| b.is_unanswered);
            binding.map(|b| b.until_ms)
        };
        members.iter().filter_map(until_ms).max()
    }

    /// Keeps an end from being acknowledged while a start of its task may still be carried out.
    pub(super) fn hold_end(&mut self, worker: WorkerKey, end: &RunEnd, now_ms: Millis) {
        let job = self.jobs_by_id.get(&end.task.job).copied();
        let ends_task = matches!(end.kind, EndKind::Done | EndKind::Failed);
        let Some(job) = job.filter(|_| ends_task) else {
            return;
        };
        let key = TaskKey {
            job,
            round: end.task.round,
            step: end.task.step,
            index: end.task.index,
        };
        let until_ms = self.late_until_ms(key).filter(|ms| now_ms < *ms);
        if let Some(until_ms) = until_ms {
            self.late_starts
                .held_ends
                .insert((worker, end.number), until_ms);
        }
    }

    /// Returns the last of a worker's ends up to `recorded` that late starts allow to acknowledge.
    pub(super) fn last_unheld_end(&self, worker: WorkerKey, recorded: u64, now_ms: Millis) -> u64 {
        let first = self.late_starts.first_held_end(worker, now_ms);
        let last = first.map_or(recorded, |number| number.saturating_sub(1));
        match recorded.saturating_sub(last) > ENDS_HELD_MAX {
            true => recorded,
            false => last.min(recorded),
        }
    }

    /// Keeps the ends unacknowledged whose tasks left a run on a worker, while its start may still be carried out.
    pub(super) fn hold_ends_of_leftovers(&mut self, worker: WorkerKey) {
        let Some(w) = self.workers.get(worker) else {
            return;
        };
        let until_ms = w.leased_ms + ORDER_DELAY_MAX_MS;
        let on_worker = self.leftover_runs.values().filter(|l| l.worker == worker);
        let ends = on_worker.filter_map(|leftover| leftover.reported_end);
        self.late_starts
            .held_ends
            .extend(ends.map(|end| (end, until_ms)));
    }

    /// Frees the tasks that are bound to an id which no instance will use again.
    pub(super) fn unbind_worker(&mut self, id: &str) {
        let bindings = &mut self.late_starts.bindings;
        bindings.retain(|_, binding| binding.worker != id);
    }
}

/// Binds a task whose run is given up, or whose worker does not answer, if its start may have been carried out by an
/// instance that this owner did not hear, or may still be.
pub(super) fn bind_unclear(
    pool_state: &mut PoolState,
    key: TaskKey,
    is_silent: bool,
    ctx: &mut Ctx<'_>,
) {
    let Some(task) = pool_state.task(key) else {
        return;
    };
    let is_sent = task.starts_in_flight > 0;
    let (is_unclear, is_unanswered) = match task.phase {
        Phase::Starting(_) | Phase::Running(_) | Phase::Stopping(_) => {
            (is_sent || (is_silent && !task.is_reported), is_sent)
        }
        Phase::Suspect(_) => (!task.is_reported, true),
        _ => return,
    };
    if let Some(worker) = task.phase.worker().filter(|_| is_unclear) {
        pool_state.bind_task(key, worker, is_unanswered, ctx);
    }
}

/// Binds the unclear tasks of a worker that has fallen silent, so that a new owner knows them.
pub(super) fn bind_silent(pool_state: &mut PoolState, worker: WorkerKey, ctx: &mut Ctx<'_>) {
    let Some(w) = pool_state.workers.get(worker) else {
        return;
    };
    let tasks: Vec<TaskKey> = w.tasks.iter().copied().collect();
    for task in tasks {
        bind_unclear(pool_state, task, true, ctx);
    }
}

/// Frees bound tasks, and ends that were held back, whose time has come. A report that was requested after the last
/// order expired shows all runs that such orders began.
pub fn expire(pool_state: &mut PoolState, now_ms: Millis) {
    let late_starts = &pool_state.late_starts;
    if late_starts.bindings.is_empty() && late_starts.held_ends.is_empty() {
        return;
    }
    let is_over = |binding: &Binding| {
        let mut instances = pool_state.instances_of(&binding.worker);
        now_ms >= binding.until_ms + STRAY_LEASE_MS
            || instances.any(|(_, w)| w.asked_ms > binding.until_ms)
    };
    let over = late_starts.bindings.iter();
    let over = over.filter(|(_, binding)| is_over(binding));
    let over: Vec<TaskKey> = over.map(|(key, _)| *key).collect();
    let late_starts = &mut pool_state.late_starts;
    for key in over {
        late_starts.bindings.remove(&key);
    }
    late_starts
        .held_ends
        .retain(|_, until_ms| now_ms < *until_ms);
}

/// Handles a run that a worker reports although its task waits for the next run: the task takes it over if it is its
/// last run, else waits until the run is stopped. Returns whether the run was handled.
pub(super) fn take_over_run(
    pool_state: &mut PoolState,
    key: TaskKey,
    worker: WorkerKey,
    run: u32,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) -> bool {
    let Some(task) = pool_state.task(key).filter(|t| t.phase == Phase::Ready) else {
        return false;
    };
    let is_last = task.run == run;
    if is_last && !gang::is_member(pool_state, key) {
        pool_state.set_phase(key, Phase::Running(worker), ctx.now.ms);
        if let Some(task) = pool_state.task_mut(key) {
            task.settled_ms = Some(ctx.now.ms);
            task.is_reported = true;
        }
        return true;
    }
    keep_stray(pool_state, key, worker, run);
    runs::resend_stop(pool_state, key, run, epoch, ctx);
    true
}

/// Keeps a run until it is stopped, so that its task does not start beside it.
fn keep_stray(pool_state: &mut PoolState, key: TaskKey, worker: WorkerKey, run: u32) {
    if pool_state.leftover_runs.contains_key(&(key, run)) {
        return;
    }
    let (Some(name), Some(spec)) = (pool_state.task_name(key), pool_state.step_spec(key)) else {
        return;
    };
    let leftover = LeftoverRun {
        name,
        charge: pool_state.charge(key),
        worker,
        demand: spec.demand(),
        reported_end: None,
        settled_ms: None,
    };
    pool_state.keep_leftover_run(key, run, leftover);
}
