//! In-memory state of an owned pool: its jobs, tasks and workers, and what each worker carries.
//!
//! An owner builds it from the pool's rows (see [`load`](super::load)). The scheduler's modules change it, and
//! [`commit`](super::commit) records the changed jobs in the store.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use slotmap::SlotMap;

use super::accounts::AccountUse;
use super::checkpoints::Checkpoints;
use super::data_racks::DataRacks;
use super::free_index::FreeIndex;
use super::homes::GuestIds;
use super::host_crashes::HostCrashes;
use super::job::{JobState, StepSpec};
use super::keys::{AccountKey, JobKey, PoolStateId, StepKey, TaskKey, WorkerKey};
use super::late_starts::LateStarts;
use super::limits::{ARRIVALS_MS, CALM_MS, CALM_WAIT_MAX_MS, FORGOTTEN_KEPT_MS};
use super::order::ScanCursor;
use super::pace::PaceBook;
use super::policy::Deadlines;
use super::reservations::Reservations;
use super::run_log::StartAnswers;
use super::speeds::Speeds;
use super::task_waits::TaskWaits;
use super::tasks::{Job, Phase, Rank, Round, Seen, StepRun, Task};
use super::tickets::AdviceBook;
use super::times::Times;
use super::tombstones::Tombstones;
use super::worker::{AppliedEnd, Worker};
use crate::clock::{Millis, Now};
use crate::port::fleet::{Capacity, TaskName};

/// A run that is running, or may still start, although an earlier run of its task has ended the task, or the task waits
/// for a later run.
#[derive(Clone, Debug)]
pub struct LeftoverRun {
    /// Name of the task. Its job may be dropped before this run ends.
    pub name: TaskName,
    /// Account that the run is charged to, and the charge.
    pub charge: Option<(AccountKey, Capacity)>,
    /// Worker on which the run may be.
    pub worker: WorkerKey,
    /// Capacity that the run takes there.
    pub demand: Capacity,
    /// Worker that reported the end of the task, if it has ended, and the end's number. The end is acknowledged to the
    /// worker only after this run is over.
    pub reported_end: Option<(WorkerKey, u64)>,
    /// When the stop of the run was answered. A report requested later must not list the run.
    pub settled_ms: Option<Millis>,
}

/// Capacity that the pool will have once the hosts that it lacks have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedCapacity {
    /// Processors of the pool by then, in thousandths of a core.
    pub cpu_milli: u64,
    /// When the hosts are expected.
    pub at_ms: Millis,
}

/// In-memory state of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolState {
    /// Identifies the reading of the pool's rows that this state was built from.
    pub id: PoolStateId,
    /// Name of the pool.
    pub name: String,
    /// Jobs of the pool.
    pub jobs: SlotMap<JobKey, Job>,
    /// Keys of jobs by id.
    pub jobs_by_id: HashMap<String, JobKey>,
    /// Ids of jobs in the pool's intake that other pools run.
    pub guest_ids: GuestIds,
    /// Tombstones in the pool's intake.
    pub tombstones: Tombstones,
    /// Worker instances of the pool, including some that are no longer listed.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Worker instances by id. A worker that restarts may keep its id.
    pub workers_by_id: HashMap<String, Vec<WorkerKey>>,
    /// Number of restarts of each id whose workers were removed, and when the last one was removed. Orders to these
    /// workers may still be in flight.
    pub dropped_ids: HashMap<String, (u32, Millis)>,
    /// Worker instances by host.
    pub workers_by_host: HashMap<String, Vec<WorkerKey>>,
    /// Hosts that are to leave for maintenance, until they are ordered out. No work is placed there.
    pub closing_hosts: BTreeSet<String>,
    /// Closing hosts whose maintenance slot was requested. They may be ordered out at any time.
    pub hosts_that_may_leave: BTreeSet<String>,
    /// Data halls that the operator evacuates. No work is placed there.
    pub evacuated_halls: BTreeSet<String>,
    /// Workers by free capacity.
    pub free_index: FreeIndex,
    /// Demand for racks that hold the data of tasks.
    pub data_racks: DataRacks,
    /// Workers that are reserved for tasks that need most of one.
    pub reserved: Reservations,
    /// Workers with ends that are being recorded.
    pub recording: BTreeSet<WorkerKey>,
    /// Tasks that wait for placement, in order.
    pub ready: BTreeSet<Rank>,
    /// Position of the scan of the tasks far back in the order of `ready`.
    pub scan_cursor: ScanCursor,
    /// Jobs with progress to be recorded.
    pub dirty: BTreeSet<JobKey>,
    /// When the first of the dirty jobs became dirty.
    pub dirty_since_ms: Millis,
    /// Runs that are started once their record is committed.
    pub unsent_starts: Vec<(TaskKey, u32)>,
    /// Tasks whose starts may still be carried out, and ends that are not acknowledged meanwhile.
    pub late_starts: LateStarts,
    /// Leftover runs, by task and run.
    pub leftover_runs: BTreeMap<(TaskKey, u32), LeftoverRun>,
    /// Number of jobs that have not begun, by queue.
    pub waiting_jobs: BTreeMap<String, u64>,
    /// One member of each gang that lost a member: the other members are to be stopped.
    pub broken_gangs: Vec<TaskKey>,
    /// Tasks that are suspected of crashing workers and whose current run may still do so, with the worker of that run.
    pub watched: BTreeMap<TaskKey, WorkerKey>,
    /// Hosts that crashed lately.
    pub host_crashes: HostCrashes,
    /// When a worker last crashed, as far as is known.
    pub crashed_ms: Millis,
    /// Jobs with tasks that crashed too many workers: they are to be ended.
    pub given_up: Vec<JobKey>,
    /// Jobs that were dropped recently, and when. The feed may still bring rows of these jobs.
    pub recently_dropped: BTreeMap<String, Millis>,
    /// Jobs whose intake rows cannot be decoded: their progress is kept.
    pub undecodable: BTreeSet<String>,
    /// Progress rows without a job: shard and id.
    pub orphans: Vec<(usize, String)>,
    /// What the advice service has said about steps.
    pub advice: AdviceBook,
    /// What is known of the pace of runs.
    pub pace: PaceBook,
    /// Recent running times of steps.
    pub times: Times,
    /// Recently arrived jobs: arrival time, and work in core-milliseconds.
    pub arrivals: VecDeque<(Millis, u64)>,
    /// When the pool's load was last logged.
    pub load_logged_ms: Millis,
    /// Capacity that is expected once the hosts that the pool lacks have arrived; `None` if it lacks none.
    pub expected_capacity: Option<ExpectedCapacity>,
    /// Client accounts that have or had jobs here.
    pub accounts: Vec<AccountUse>,
    /// Keys of these accounts by name.
    pub account_keys: HashMap<String, AccountKey>,
    /// Whether more work of an account waits than its limit allows, or a grant changed.
    pub wants_quota: bool,
    /// Whether capacity or work was added since tasks were last placed.
    pub wants_placing: bool,
    /// Checkpoints of tasks that are not done.
    pub checkpoints: Checkpoints,
    /// Observed progress of the workers' runs.
    pub speeds: Speeds,
    /// Answers to starts that are not logged yet.
    pub answers: StartAnswers,
    /// Waits of tasks that were logged recently.
    pub task_waits: TaskWaits,
}

impl PoolState {
    /// Returns a task, or `None` if its job was dropped or its round is not in progress.
    pub fn task(&self, key: TaskKey) -> Option<&Task> {
        let round = self.jobs.get(key.job)?.rounds.get(&key.round)?;
        let step = round.steps.get(usize::from(key.step))?;
        step.tasks.get(usize::from(key.index))
    }

    /// Returns a task for modification.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        let round = self.jobs.get_mut(key.job)?.rounds.get_mut(&key.round)?;
        let step = round.steps.get_mut(usize::from(key.step))?;
        step.tasks.get_mut(usize::from(key.index))
    }

    /// Returns whether the advice service lets a task start on a worker now. Always true on queues without advice.
    pub(super) fn has_ticket(&self, key: TaskKey, worker: WorkerKey, now_ms: Millis) -> bool {
        let terms = self.jobs.get(key.job).and_then(|job| job.policy.advice);
        let step = StepKey::from(key);
        self.advice.may_start(terms, step, worker, now_ms)
    }

    /// Returns the specification of the task's step.
    pub fn step_spec(&self, key: TaskKey) -> Option<&StepSpec> {
        self.jobs
            .get(key.job)?
            .spec
            .steps
            .get(usize::from(key.step))
    }

    /// Returns the key of the task with this name.
    pub fn find_task(&self, name: &TaskName) -> Option<TaskKey> {
        let key = TaskKey {
            job: *self.jobs_by_id.get(&name.job)?,
            round: name.round,
            step: name.step,
            index: name.index,
        };
        self.task(key).map(|_| key)
    }

    /// Returns whether the progress of a job that has not ended cannot be decoded. Which of its tasks run is unknown,
    /// so its runs are left alone.
    pub fn has_unreadable_progress(&self, id: &str) -> bool {
        let job = self.jobs_by_id.get(id).and_then(|key| self.jobs.get(*key));
        job.is_some_and(|job| job.is_unreadable && !job.state.is_final())
    }

    /// Returns the name of a task.
    pub fn task_name(&self, key: TaskKey) -> Option<TaskName> {
        Some(TaskName {
            job: self.jobs.get(key.job)?.id.clone(),
            round: key.round,
            step: key.step,
            index: key.index,
        })
    }

    /// Moves a task to a phase, and updates the capacity in use and the queue accordingly.
    pub fn set_phase(&mut self, key: TaskKey, phase: Phase, now_ms: Millis) {
        let Some(demand) = self.step_spec(key).map(StepSpec::demand) else {
            return;
        };
        let Some(rank) = self.rank(key, now_ms) else {
            return;
        };
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let before = task.phase;
        task.phase = phase;
        task.since_ms = now_ms;
        task.settled_ms = None;
        task.started_ms = None;
        task.is_start_open = false;
        task.is_start_broken = false;
        task.start_sends = 0;
        task.seen = match phase {
            Phase::Running(_) => Seen::Begun,
            Phase::Stopping(_) | Phase::Suspect(_) => task.seen,
            _ => Seen::Nothing,
        };
        task.is_reported &= matches!(phase, Phase::Stopping(_));
        task.is_past_startup = false;
        task.sent_ms = match phase {
            Phase::Starting(_) => Some(now_ms),
            Phase::Running(_) | Phase::Stopping(_) => task.sent_ms,
            _ => None,
        };
        task.begun_ms = match phase {
            Phase::Running(_) => Some(now_ms),
            Phase::Stopping(_) => task.begun_ms,
            _ => None,
        };
        let is_suspect = task.is_crash_suspect();
        // Without this record, a new owner could not learn of the run's start if the worker is gone by then.
        let must_record_start = task.begun_ms == Some(now_ms) && task.losses.has_losses();
        if must_record_start {
            self.mark_dirty(key.job, now_ms);
        }
        if before.worker() != phase.worker() {
            self.set_watched(key, phase.worker().filter(|_| is_suspect));
            let left = before.worker();
            if let Some(w) = left.and_then(|w| self.workers.get_mut(w)) {
                w.remove_task(key, demand);
                self.wants_placing = true;
            }
            let taken = phase.worker();
            if let Some(w) = taken.and_then(|w| self.workers.get_mut(w)) {
                w.add_task(key, demand);
            }
            left.into_iter()
                .chain(taken)
                .for_each(|w| self.update_free_index(w));
            if let Some((account, charge)) = self.charge(key) {
                let account = self.account_mut(account);
                if left.is_some() {
                    account.used.sub(charge);
                }
                if taken.is_some() {
                    account.used.add(charge);
                }
            }
        }
        self.set_queued(key, (phase == Phase::Ready).then_some(rank));
    }

    /// Records the worker on which a suspect is watched, or that there is none.
    fn set_watched(&mut self, key: TaskKey, worker: Option<WorkerKey>) {
        let before = match worker {
            Some(worker) => self.watched.insert(key, worker),
            None => self.watched.remove(&key),
        };
        self.wants_placing |= before.is_some();
    }

    /// Returns whether a lasting task must wait before its next start. Its last attempts are made while no other worker
    /// crashes, so that a crash can be attributed to the task. Without this, 195 of 240 such tasks were never started
    /// again when a third of the workers crashed every 0.6 s for 36 s.
    pub fn must_delay_start(&self, key: TaskKey, now_ms: Millis) -> bool {
        let Some(task) = self.task(key) else {
            return false;
        };
        let is_calm =
            now_ms >= self.crashed_ms + CALM_MS || now_ms >= task.since_ms + CALM_WAIT_MAX_MS;
        let waits_for_calm = task.losses.is_start_limited() && !is_calm;
        waits_for_calm || now_ms < task.held_until_ms
    }

    /// Returns whether a suspect of crashes is watched on a worker.
    pub fn is_watched(&self, worker: WorkerKey) -> bool {
        self.watched.values().any(|on| *on == worker)
    }

    /// Adds a task to the waiting tasks at `rank`, or removes it from them if `rank` is `None`.
    pub(super) fn set_queued(&mut self, key: TaskKey, rank: Option<Rank>) {
        let Some(task) = self.task_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut task.waiting_rank, rank);
        if let Some(before) = before {
            self.ready.remove(&before);
        }
        if let Some(rank) = rank {
            self.ready.insert(rank);
            self.wants_placing = true;
        }
        if before.is_some() != rank.is_some() {
            self.note_waiting(key, rank.is_some());
        }
    }

    /// Marks a job's progress to be recorded.
    pub fn mark_dirty(&mut self, job: JobKey, now_ms: Millis) {
        if self.dirty.is_empty() {
            self.dirty_since_ms = now_ms;
        }
        self.dirty.insert(job);
        if let Some(job) = self.jobs.get_mut(job) {
            job.changes += 1;
        }
    }

    /// Notes that a run end reported by a worker was applied. The end counts as recorded once the change that it caused
    /// is recorded.
    pub fn note_applied_end(&mut self, worker: WorkerKey, number: u64, job: Option<JobKey>) {
        let change = job.and_then(|key| Some((key, self.jobs.get(key)?.changes)));
        let Some(w) = self.workers.get_mut(worker) else {
            return;
        };
        w.applied_through = number;
        w.unrecorded.push_back(AppliedEnd { number, change });
    }

    /// Updates the number of a worker's last recorded run end, and returns whether all of its applied ends are
    /// recorded.
    pub fn settle_ends(&mut self, worker: WorkerKey) -> bool {
        let Some(w) = self.workers.get_mut(worker) else {
            return true;
        };
        while let Some(end) = w.unrecorded.front() {
            if !is_recorded(&self.jobs, end) {
                return false;
            }
            w.recorded_through = end.number;
            w.unrecorded.pop_front();
        }
        true
    }

    /// Returns whether a worker has no tasks and all run ends that it reported are recorded.
    pub fn is_drained(&self, worker: WorkerKey) -> bool {
        self.workers.get(worker).is_none_or(|w| w.tasks.is_empty())
            && self.has_recorded_all_ends(worker)
    }

    /// Returns whether all run ends that a worker reported are recorded. Unrecorded ends are lost when a host leaves:
    /// when the owner was replaced in such a case, all of six finished tasks were started again.
    pub fn has_recorded_all_ends(&self, worker: WorkerKey) -> bool {
        let ends = self.workers.get(worker).map(|w| &w.unrecorded);
        let mut ends = ends.into_iter().flatten();
        ends.all(|end| is_recorded(&self.jobs, end))
    }

    /// Sets the state of a job, and updates the number of waiting jobs.
    pub fn set_state(&mut self, key: JobKey, state: JobState, now_ms: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let queue = job.spec.queue.clone();
        if job.state == JobState::Queued && state != JobState::Queued {
            if let Some(n) = self.waiting_jobs.get_mut(&queue) {
                *n = n.saturating_sub(1);
            }
        }
        job.state = state;
        if state.is_final() {
            job.finished_ms = Some(now_ms);
        }
    }

    /// Begins a round: steps without predecessors are opened, all others stay blocked.
    pub fn begin_round(&mut self, key: JobKey, number: u32, now: Now) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let steps = job.spec.steps.iter().map(|spec| StepRun {
            tasks: vec![Task::default(); usize::from(spec.count)],
            tasks_left: usize::from(spec.count),
            longest_ms: 0,
            is_open: false,
        });
        let mut round = Round {
            steps: steps.collect(),
            ..Round::default()
        };
        Deadlines::new(job, number, now).apply(&mut round);
        job.rounds.insert(number, round);
        job.rounds_begun = job.rounds_begun.max(number + 1);
        self.open_steps(key, number, now.ms);
    }

    /// Opens the steps of a round whose predecessors are done.
    pub fn open_steps(&mut self, key: JobKey, number: u32, now_ms: Millis) {
        let mut opened = Vec::new();
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(round) = job.rounds.get_mut(&number) else {
            return;
        };
        for (n, spec) in job.spec.steps.iter().enumerate() {
            let is_done = |s: &u16| {
                round
                    .steps
                    .get(usize::from(*s))
                    .is_some_and(|s| s.tasks_left == 0)
            };
            let can_open = !round.steps[n].is_open && spec.after.iter().all(is_done);
            if can_open {
                round.steps[n].is_open = true;
                opened.push(n);
            }
        }
        for step in opened {
            self.queue_step(key, number, step as u16, now_ms);
        }
    }

    fn queue_step(&mut self, job: JobKey, round: u32, step: u16, now_ms: Millis) {
        let spec = &self.jobs[job].spec.steps[usize::from(step)];
        let (count, lasts) = (spec.count, spec.lasting);
        for index in 0..count {
            let key = TaskKey {
                job,
                round,
                step,
                index,
            };
            let waits =
                |t: &Task| t.phase == Phase::Blocked && !t.losses.is_over_limit(lasts, t.run);
            if self.task(key).is_some_and(waits) {
                self.set_phase(key, Phase::Ready, now_ms);
            }
        }
    }

    /// Records the work of a job that arrived now.
    pub fn note_arrival(&mut self, key: JobKey, now_ms: Millis) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let work = job.spec.work(&job.step_ms);
        self.arrivals.push_back((now_ms, work));
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| now_ms > at + ARRIVALS_MS)
        {
            self.arrivals.pop_front();
        }
    }

    /// Returns the processor capacity that jobs keep busy on average if they continue to arrive at the recent rate, in
    /// thousandths of a core.
    pub fn arriving_cpu_milli(&self, now_ms: Millis) -> u64 {
        let sum: u64 = self.recent_work(now_ms).sum();
        sum.saturating_mul(1_000) / ARRIVALS_MS
    }

    /// Returns [`Self::arriving_cpu_milli`] less the standard deviation of the sum of the jobs' work, since that much
    /// may have arrived by chance. A single large job does not indicate a rate.
    pub fn min_arriving_cpu_milli(&self, now_ms: Millis) -> u64 {
        let sum: u64 = self.recent_work(now_ms).sum();
        let squares: u128 = self.recent_work(now_ms).map(|w| u128::from(w).pow(2)).sum();
        sum.saturating_sub(squares.isqrt() as u64)
            .saturating_mul(1_000)
            / ARRIVALS_MS
    }

    /// Returns the work of each job that arrived recently.
    fn recent_work(&self, now_ms: Millis) -> impl Iterator<Item = u64> + '_ {
        let recent_work = self.arrivals.iter();
        let recent_work = recent_work.filter(move |(at, _)| now_ms <= at + ARRIVALS_MS);
        recent_work.map(|(_, work)| *work)
    }

    /// Drops a finished job whose rows are removed.
    pub fn drop_job(&mut self, key: JobKey, now_ms: Millis) {
        self.recently_dropped
            .retain(|_, at_ms| now_ms < *at_ms + FORGOTTEN_KEPT_MS);
        if let Some(job) = self.jobs.remove(key) {
            self.jobs_by_id.remove(&job.id);
            self.watched.retain(|task, _| task.job != key);
            self.recently_dropped.insert(job.id, now_ms);
        }
    }

    /// Keeps a leftover run of a done task, with its capacity, until it is certainly over.
    pub fn keep_leftover_run(&mut self, key: TaskKey, run: u32, leftover: LeftoverRun) {
        if let Some(w) = self.workers.get_mut(leftover.worker) {
            w.used.add(leftover.demand);
        }
        if let Some((account, charge)) = leftover.charge {
            self.account_mut(account).used.add(charge);
        }
        self.update_free_index(leftover.worker);
        self.leftover_runs.insert((key, run), leftover);
    }

    /// Moves a leftover run and its capacity to the worker that turned out to have it.
    pub fn move_leftover_run(&mut self, run: (TaskKey, u32), to: WorkerKey) {
        let Some(leftover) = self.leftover_runs.get_mut(&run) else {
            return;
        };
        let from = std::mem::replace(&mut leftover.worker, to);
        leftover.settled_ms = None;
        let demand = leftover.demand;
        if let Some(w) = self.workers.get_mut(from) {
            w.used.sub(demand);
        }
        if let Some(w) = self.workers.get_mut(to) {
            w.used.add(demand);
        }
        self.update_free_index(from);
        self.update_free_index(to);
    }

    /// Drops the leftover runs that `is_over` selects, and frees their capacity.
    pub fn drop_leftover_runs(&mut self, is_over: impl Fn(&LeftoverRun) -> bool) {
        let over = self
            .leftover_runs
            .iter()
            .filter(|(_, leftover)| is_over(leftover));
        let over: Vec<(TaskKey, u32)> = over.map(|(key, _)| *key).collect();
        for key in over {
            let Some(leftover) = self.leftover_runs.remove(&key) else {
                continue;
            };
            if let Some(w) = self.workers.get_mut(leftover.worker) {
                w.used.sub(leftover.demand);
                self.wants_placing = true;
            }
            if let Some((account, charge)) = leftover.charge {
                self.account_mut(account).used.sub(charge);
            }
            self.update_free_index(leftover.worker);
        }
    }

    /// Returns the number of the last run end that may be acknowledged to a worker. Ends are acknowledged in order once
    /// they are recorded, but none from the first one on whose task left another run behind or may still be started.
    pub fn last_acknowledgeable_end(&self, worker: WorkerKey, now_ms: Millis) -> u64 {
        let recorded = self.workers.get(worker).map_or(0, |w| w.recorded_through);
        let blocked = self
            .leftover_runs
            .values()
            .filter_map(|leftover| leftover.reported_end);
        let blocked = blocked.filter(|(by, _)| *by == worker);
        let unheld = self.last_unheld_end(worker, recorded, now_ms);
        blocked.fold(unheld, |last, (_, end)| last.min(end.saturating_sub(1)))
    }

    /// Returns all tasks of a job.
    pub fn tasks_of(&self, key: JobKey) -> Vec<TaskKey> {
        let Some(job) = self.jobs.get(key) else {
            return Vec::new();
        };
        let mut keys = Vec::new();
        for (round, r) in &job.rounds {
            for (step, s) in r.steps.iter().enumerate() {
                keys.extend((0..s.tasks.len()).map(|index| TaskKey {
                    job: key,
                    round: *round,
                    step: step as u16,
                    index: index as u16,
                }));
            }
        }
        keys
    }

    /// Closes a host that is to leave for maintenance, or opens it again. A worker instance that appears there after a
    /// crash is closed, too: the maintenance is still to come, and in one case ended work that had been placed 50 ms
    /// earlier.
    pub fn set_closing(&mut self, host: &str, is_closing: bool) {
        match is_closing {
            true => self.closing_hosts.insert(host.to_string()),
            false => self.closing_hosts.remove(host),
        };
        if !is_closing {
            self.hosts_that_may_leave.remove(host);
        }
        // The list of a host's instances does not tell which of them is alive.
        for key in self.workers_by_host.get(host).into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(*key) {
                worker.is_closing = is_closing;
                // A worker that was ordered out and does not answer has left as planned. The list of hosts may show the
                // host as back before its next worker instance is listed.
                worker.may_leave &= is_closing || !worker.is_answering;
            }
        }
        self.wants_placing |= !is_closing;
    }

    /// Records that a closed host may be ordered out from now on. A worker that ended on the host earlier did not end
    /// as planned.
    pub fn set_may_leave(&mut self, host: &str) {
        self.hosts_that_may_leave.insert(host.to_string());
        for key in self.workers_by_host.get(host).into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(*key) {
                // A worker whose connections broke earlier was not ordered out.
                worker.may_leave |= worker.disconnected_ms.is_none();
            }
        }
    }

    /// Returns whether a worker has a lasting task.
    pub fn carries_lasting(&self, worker: &Worker) -> bool {
        let mut tasks = worker.tasks.iter();
        tasks.any(|key| self.step_spec(*key).is_some_and(|s| s.lasting))
    }

    /// Returns how many tasks of the same step and round a worker has.
    pub fn siblings_on(&self, key: TaskKey, worker: &Worker) -> usize {
        let same = |t: &&TaskKey| t.job == key.job && t.round == key.round && t.step == key.step;
        worker.tasks.iter().filter(same).count()
    }
}

/// Returns whether the change that an end caused is recorded.
fn is_recorded(jobs: &SlotMap<JobKey, Job>, end: &AppliedEnd) -> bool {
    let Some((job, change)) = end.change else {
        return true;
    };
    jobs.get(job)
        .is_none_or(|job| job.recorded_changes >= change)
}
