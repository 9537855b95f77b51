//! Builds the in-memory state of a pool from its rows when a new owner reads them, and applies intake rows that arrive
//! later.
//!
//! The [reducer](super::reduce) calls it; [`pool_state`](super::pool_state) holds the result.

use std::collections::{BTreeMap, BTreeSet};

use super::checkpoints;
use super::conflict;
use super::homes::other_part;
use super::job::{JobSpec, JobState};
use super::keys::{JobKey, PoolStateId, TaskKey, WorkerKey};
use super::limits::{
    CLOCK_SLOW_PERCENT, LEASE_SLACK_MS, START_SETTLED_MS, STRAY_LEASE_MS, WORKER_LEASE_MS,
    YOUNG_INSTANCE_MS,
};
use super::policy::{self, Deadlines};
use super::pool_state::PoolState;
use super::row_room;
use super::rows::{
    self, cancelled_job, is_job_key, is_tombstone_key, pool_of_part, shard_of_part, ProgressRow,
    RoundRow, TaskProgress, TaskRow,
};
use super::runs;
use super::state::{Ctx, LoadedRows, State};
use super::tasks::{Job, Phase, Round, Seen, StepRun, Task, WorkerLosses};
use super::times::Times;
use super::worker::Worker;
use super::worker_list::ListChanges;
use crate::clock::{Millis, Now};
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{FleetConfig, StoredRow, WorkerInfo, ABSENT};

/// Maximum time after a claim during which an order of a former owner can keep runs alive.
pub const FOREIGN_LEASE_MS: Millis =
    WORKER_LEASE_MS * 100 / (100 - CLOCK_SLOW_PERCENT) + LEASE_SLACK_MS;

/// The last orders of earlier in-memory states.
#[derive(Clone, Copy, Debug)]
pub struct EarlierOrders {
    /// When they may have been sent at the latest, by this owner's clock.
    pub until_ms: Millis,
    /// When they may have been sent at the latest, or somewhat earlier, by the store's clock; 0 if unknown.
    pub store_ms: Millis,
}

impl EarlierOrders {
    /// Returns whether an earlier owner knew what became of the starts of a row: those without an answer or a report are
    /// then listed in the row.
    fn are_settled(self, row: &ProgressRow) -> bool {
        row.written_store_ms > 0
            && row.written_store_ms.saturating_add(START_SETTLED_MS) <= self.store_ms
    }
}

/// Builds the in-memory state of a pool.
pub fn build(
    pool: &str,
    id: PoolStateId,
    earlier: EarlierOrders,
    times: Times,
    loaded: LoadedRows,
    state: &Facts<'_>,
    ctx: &mut Ctx<'_>,
) -> PoolState {
    let mut pool_state = PoolState {
        id,
        name: pool.to_string(),
        times,
        evacuated_halls: state.evacuated_halls.clone(),
        ..PoolState::default()
    };
    for info in state.listed.values().filter(|f| f.pool == pool) {
        add_listed(&mut pool_state, info.clone(), earlier.until_ms, ctx.now);
    }
    let mut cancels = Vec::new();
    let mut intake = loaded.intake;
    // A job with rows in two partitions is taken from the row that was written first, as by an owner that followed the
    // feed.
    intake.sort_unstable_by_key(|row| row.revision);
    for row in intake {
        if is_job_key(&row.key) {
            add_job(&mut pool_state, &row, state.config, ctx);
        } else {
            cancels.push(row);
        }
    }
    pool_state.meter_loaded_jobs(ctx.now);
    for row in loaded.progress {
        apply_progress(&mut pool_state, &row, earlier, ctx);
    }
    let keys: Vec<JobKey> = pool_state.jobs.keys().collect();
    for key in keys {
        begin_new_rounds(&mut pool_state, key, ctx);
    }
    for row in cancels {
        apply_intake(&mut pool_state, &row, state.config, id.epoch, ctx);
    }
    pool_state.wants_placing = true;
    pool_state
}

/// Parts of the state that are read alongside a pool.
pub struct Facts<'a> {
    /// Configuration that this entry has adopted.
    pub config: &'a FleetConfig,
    /// Workers that the platform lists, by id.
    pub listed: &'a BTreeMap<String, WorkerInfo>,
    /// When the list was known to be current.
    pub list_changes: &'a ListChanges,
    /// Data halls that the operator evacuates.
    pub evacuated_halls: &'a BTreeSet<String>,
}

impl<'a> Facts<'a> {
    /// Returns the facts of a state.
    pub fn new(state: &'a State) -> Self {
        Self {
            config: &state.config,
            listed: &state.listed,
            list_changes: &state.list_changes,
            evacuated_halls: &state.evacuated_halls,
        }
    }
}

/// Adds a worker instance to the in-memory state. Its lease is taken to end [`FOREIGN_LEASE_MS`] after `began_ms`.
pub fn add_worker(pool_state: &mut PoolState, info: WorkerInfo, began_ms: Millis) -> WorkerKey {
    let mut worker = Worker::new(info, began_ms + FOREIGN_LEASE_MS);
    worker.leased_ms = began_ms;
    pool_state.add_worker(worker)
}

/// Adds a worker instance whose start this owner did not observe. If the instance started recently, a former owner may
/// have sent it a deadline that was meant for an earlier instance of the same id.
pub(super) fn add_listed(
    pool_state: &mut PoolState,
    info: WorkerInfo,
    began_ms: Millis,
    now: Now,
) -> WorkerKey {
    let born_wall_ms = info.born_wall_ms;
    let key = add_worker(pool_state, info, began_ms);
    let is_young = born_wall_ms.is_some_and(|ms| now.wall_ms.abs_diff(ms) < YOUNG_INSTANCE_MS);
    if is_young {
        let w = &mut pool_state.workers[key];
        w.lease_end_ms = w.lease_end_ms.max(now.ms + STRAY_LEASE_MS);
    }
    key
}

/// Applies an intake row: a job, a cancel or a tombstone.
pub fn apply_intake(
    pool_state: &mut PoolState,
    row: &StoredRow,
    config: &FleetConfig,
    epoch: u64,
    ctx: &mut Ctx<'_>,
) {
    if is_tombstone_key(&row.key) {
        pool_state.tombstones.note(row, ctx.now.ms);
        return;
    }
    if row.value.is_none() {
        pool_state.guest_ids.note_removed(row);
        return;
    }
    if let Some(id) = cancelled_job(&row.key) {
        if let Some(key) = pool_state.jobs_by_id.get(id).copied() {
            runs::cancel_job(pool_state, key, epoch, ctx);
        }
        return;
    }
    if is_stale(pool_state, row, epoch) {
        ctx.log_job(
            Code::JobStale,
            &row.key,
            "the row arrived after the job was removed from the store",
        );
        return;
    }
    if let Some(key) = add_job(pool_state, row, config, ctx) {
        pool_state.meter_job(key, ctx.now.ms);
        begin_new_rounds(pool_state, key, ctx);
        let Some(job) = pool_state.jobs.get(key) else {
            return;
        };
        // Work beyond its account's weight or quota does not indicate a need for hosts.
        let is_beyond = job
            .account
            .is_some_and(|account| pool_state.is_beyond_quota(account));
        if !job.is_excess && !is_beyond {
            pool_state.note_arrival(key, ctx.now.ms);
        }
    }
}

/// Returns whether a job's row was read before the job was removed but arrived afterwards. Beginning the job anew would
/// run all its finished tasks again. A row older than the claim was present in the reading that followed the claim,
/// unless the job had been removed.
fn is_stale(pool_state: &PoolState, row: &StoredRow, epoch: u64) -> bool {
    let is_known = pool_state.jobs_by_id.contains_key(&row.key);
    !is_known && (row.revision < epoch || pool_state.recently_dropped.contains_key(&row.key))
}

fn add_job(
    pool_state: &mut PoolState,
    row: &StoredRow,
    config: &FleetConfig,
    ctx: &mut Ctx<'_>,
) -> Option<JobKey> {
    if let Some(key) = pool_state.jobs_by_id.get(&row.key).copied() {
        let parts = &mut pool_state.jobs[key].intake;
        if !parts.contains(&row.part) {
            parts.push(row.part.clone());
        }
        return None;
    }
    let is_in_own_intake = pool_of_part(&row.part) == pool_state.name;
    if is_in_own_intake && pool_state.guest_ids.note(row) {
        return None;
    }
    let spec: JobSpec = match decode_job(row) {
        Ok(spec) => spec,
        Err(e) => {
            let why = format!("cannot decode the intake row: {e}");
            ctx.log(Decision::new(Code::BadRow, Subject::Job, &row.key, why));
            pool_state.undecodable.insert(row.key.clone());
            return None;
        }
    };
    let policy = policy::initial_policy(&spec, config);
    let step_ms = pool_state.times.expected_step_ms(&spec);
    *pool_state
        .waiting_jobs
        .entry(spec.queue.clone())
        .or_default() += 1;
    let account = spec.account.as_deref();
    let config_version = spec.policy.map_or(0, |policy| policy.config);
    let account =
        account.map(|name| pool_state.account_key(name, config.accounts.get(name), config_version));
    let key = pool_state.jobs.insert(Job {
        id: row.key.clone(),
        state: JobState::Queued,
        rounds: Default::default(),
        rounds_begun: 0,
        policy,
        revision: ABSENT,
        recorded_digest: 0,
        account,
        is_excess: false,
        holds_rounds: false,
        is_unreadable: false,
        intake: match is_in_own_intake {
            true => vec![row.part.clone()],
            // A later row under the id may be in the other partition.
            false => vec![row.part.clone(), other_part(&row.part, &row.key)],
        },
        shard: None,
        changes: 0,
        recorded_changes: 0,
        finished_ms: None,
        step_ms,
        spec,
    });
    pool_state.jobs_by_id.insert(row.key.clone(), key);
    pool_state.advice.note_terms(policy.advice);
    pool_state.pace.note_spec(&pool_state.jobs[key].spec);
    Some(key)
}

/// Decodes a job's row, or returns why it can't be run. Another writer may have left it.
fn decode_job(row: &StoredRow) -> Result<JobSpec, String> {
    let spec: JobSpec = rows::decode(row.value.as_deref().unwrap_or_default())?;
    match spec.fault() {
        None => Ok(spec),
        Some(why) => Err(why.to_string()),
    }
}

/// Begins the rounds of a job that are due and have never begun, in their order, as far as the job's row has room for
/// them. The others begin as earlier ones end.
pub fn begin_new_rounds(pool_state: &mut PoolState, key: JobKey, ctx: &mut Ctx<'_>) {
    let mut room = None;
    loop {
        let Some(job) = pool_state.jobs.get(key) else {
            return;
        };
        let next = job.rounds_begun;
        let is_due = match job.spec.schedule {
            None => next == 0,
            Some(s) => next < s.rounds && ctx.now.wall_ms >= s.due_wall_ms(next),
        };
        if !is_due || job.state.is_final() || job.is_unreadable {
            return;
        }
        // A job without an open round may always begin one.
        if !job.rounds.is_empty() {
            let left = room.get_or_insert_with(|| row_room::rounds_with_room(pool_state, key));
            if *left == 0 {
                hold_rounds(pool_state, key, next, ctx);
                return;
            }
            *left -= 1;
        }
        pool_state.begin_round(key, next, ctx.now);
        pool_state.jobs[key].holds_rounds = false;
    }
}

/// Notes that a job's due rounds wait for room in its row, and logs it when that begins.
fn hold_rounds(pool_state: &mut PoolState, key: JobKey, next: u32, ctx: &mut Ctx<'_>) {
    let job = &mut pool_state.jobs[key];
    if std::mem::replace(&mut job.holds_rounds, true) {
        return;
    }
    let why = "the job's record has no room for further rounds until earlier ones end";
    let decision = Decision::new(Code::RoundsHeld, Subject::Job, &job.id, why)
        .with("round", u64::from(next))
        .with("open", job.rounds.len() as u64);
    ctx.log(decision);
}

fn apply_progress(
    pool_state: &mut PoolState,
    row: &StoredRow,
    earlier: EarlierOrders,
    ctx: &mut Ctx<'_>,
) {
    let Some((_, shard)) = shard_of_part(&row.part) else {
        let why = "the progress row is in a partition that belongs to no shard";
        ctx.log(Decision::new(Code::BadRow, Subject::Job, &row.key, why));
        return;
    };
    let Some(key) = pool_state.jobs_by_id.get(&row.key).copied() else {
        if !pool_state.undecodable.contains(&row.key) {
            pool_state.orphans.push((shard, row.key.clone()));
        }
        return;
    };
    let progress: ProgressRow = match rows::decode(row.value.as_deref().unwrap_or_default()) {
        Ok(progress) => progress,
        Err(e) => {
            let why = format!("cannot decode the progress row: {e}");
            ctx.log(Decision::new(Code::BadRow, Subject::Job, &row.key, why));
            // If the job began anew, it might run twice. The write of its record would also conflict every time, and
            // with it the whole batch.
            pool_state.set_state(key, JobState::Running, ctx.now.ms);
            let job = &mut pool_state.jobs[key];
            job.revision = row.revision;
            job.shard = Some(shard);
            job.is_unreadable = true;
            return;
        }
    };
    pool_state.set_state(key, progress.state, ctx.now.ms);
    pool_state.jobs[key].revision = row.revision;
    pool_state.jobs[key].recorded_digest = conflict::digest(row.value.as_deref());
    pool_state.jobs[key].shard = Some(shard);
    pool_state.jobs[key].rounds_begun = progress.first_unbegun_round();
    pool_state.restore_bindings(key, &progress.bound, earlier.until_ms, ctx.now);
    if progress.state.is_final() {
        return;
    }
    pool_state.jobs[key].update_policy(progress.policy, ctx.now);
    let named_workers: Vec<WorkerKey> = progress
        .instances()
        .map(|(id, host, born)| {
            find_or_add_unlisted(pool_state, (id, born), host, earlier.until_ms, ctx.now)
        })
        .collect();
    for round in &progress.rounds {
        apply_round(pool_state, key, round, &named_workers, ctx.now);
    }
    if earlier.are_settled(&progress) {
        pool_state.note_settled_starts(key);
    }
    checkpoints::restore(pool_state, key, &progress.checkpoints);
}

/// Returns the worker that a progress row names. A worker that is not listed may still run its tasks until a later
/// instance of its host answers, or until all orders and leases sent to it have expired.
fn find_or_add_unlisted(
    pool_state: &mut PoolState,
    (id, born_wall_ms): (&str, Option<Millis>),
    host: &str,
    began_ms: Millis,
    now: Now,
) -> WorkerKey {
    if let Some(key) = pool_state.find_instance(id, born_wall_ms) {
        return key;
    }
    let info = WorkerInfo {
        id: id.to_string(),
        born_wall_ms,
        host: host.to_string(),
        pool: String::new(),
        address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
        hall: String::new(),
        labels: Vec::new(),
        capacity: Default::default(),
        is_draining: true,
    };
    let key = add_listed(pool_state, info, began_ms, now);
    pool_state.workers[key].is_listed = false;
    key
}

fn apply_round(
    pool_state: &mut PoolState,
    job: JobKey,
    row: &RoundRow,
    named_workers: &[WorkerKey],
    now: Now,
) {
    let spec = pool_state.jobs[job].spec.clone();
    let mut round = Round::default();
    for (n, step) in spec.steps.iter().enumerate() {
        let recorded = row.steps.get(n);
        let tasks: Vec<Task> = (0..usize::from(step.count))
            .map(|i| {
                recorded
                    .and_then(|s| s.get(i))
                    .map_or_else(Task::default, task_from_row)
            })
            .collect();
        let left = tasks.iter().filter(|t| t.phase != Phase::Done).count();
        round.steps.push(StepRun {
            tasks,
            tasks_left: left,
            longest_ms: 0,
            is_open: false,
        });
    }
    Deadlines::new(&pool_state.jobs[job], row.round, now).apply(&mut round);
    pool_state.jobs[job].rounds.insert(row.round, round);
    for (step, tasks) in row.steps.iter().enumerate() {
        for (index, task) in tasks.iter().enumerate() {
            let TaskProgress::Started(worker_index) = task.2 else {
                continue;
            };
            let Some(worker) = named_workers.get(usize::from(worker_index)) else {
                continue;
            };
            let key = TaskKey {
                job,
                round: row.round,
                step: step as u16,
                index: index as u16,
            };
            pool_state.set_phase(key, Phase::Suspect(*worker), now.ms);
        }
    }
    pool_state.open_steps(job, row.round, now.ms);
}

fn task_from_row(row: &TaskRow) -> Task {
    Task {
        phase: if row.2 == TaskProgress::Done {
            Phase::Done
        } else {
            Phase::Blocked
        },
        run: row.0,
        failed_runs: row.1,
        losses: WorkerLosses {
            seen: Seen::Nothing,
            ..row.3
        },
        seen: row.3.seen,
        ..Task::default()
    }
}
