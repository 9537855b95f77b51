//! Batches of progress: records job changes in the store before any order depends on them.
//!
//! Progress goes to the store in one batch at a time per shard. Starts are sent, and ends are confirmed to workers,
//! only after the batch with them is committed. The reducer calls [`flush`] after every event and passes the store's
//! answers to [`settle_batch`].

use super::conflict::{self, Verdict};
use super::keys::{JobKey, TaskKey, WorkerKey};
use super::limits::{BATCH_JOBS, GATHER_MS, SHARD_BUSY_MS, TX_RETRY_MS};
use super::owner_lease::{self, epoch_guard, OwnerLease};
use super::pool_state::PoolState;
use super::remove;
use super::renewal;
use super::row_room::{self, BATCH_BYTES_MAX};
use super::rows::{shard_part, SHARDS};
use super::run_log;
use super::starts;
use super::state::{Batch, Ctx, Effect, Ownership, Pool, Timer};
use super::worker::RenewalPhase;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Guard, RowTx, StoredRow, Table, TxOutcome, Write};

/// Result of handling the answer to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The batch is committed, or is sent again.
    Handled,
    /// Another entry owns the pool.
    PoolLost,
    /// The rows differ from the in-memory state and must be read again.
    Diverged,
}

/// Sends pending changes in each shard without a batch in flight, once they have been gathered long enough.
pub fn flush(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(ownership) = &mut pool.ownership else {
        return;
    };
    let Some(pool_state) = &mut ownership.pool_state else {
        return;
    };
    if !ctx.may_send() {
        return;
    }
    if pool_state.dirty.is_empty() {
        remove::remove_progress(pool, ctx);
        return;
    }
    let due_ms = pool_state.dirty_since_ms + GATHER_MS;
    if ctx.now.ms < due_ms {
        ctx.set_timer(due_ms - ctx.now.ms, Timer::Flush);
        return;
    }
    let for_new = shard_for_new(ownership, &pool.lease, ctx);
    for shard in 0..SHARDS {
        send_batch(pool, shard, for_new == Some(shard), ctx);
    }
}

/// Returns the shard for jobs without a record: the first one that answers, unless its batch has been in flight for
/// [`SHARD_BUSY_MS`]. Returns `None` while a younger batch of that shard is in flight. If there is no such shard,
/// returns the first one without a batch. An unavailable partition thus delays only the jobs that began in it.
fn shard_for_new(ownership: &Ownership, lease: &OwnerLease, ctx: &mut Ctx<'_>) -> Option<usize> {
    for (shard, batch) in ownership.batches.iter().enumerate() {
        let Some(batch) = batch else {
            if lease.is_responsive(shard, ctx.now.ms) {
                return Some(shard);
            }
            continue;
        };
        let busy_ms = batch.sent_ms + SHARD_BUSY_MS;
        if ctx.now.ms < busy_ms && lease.is_responsive(shard, ctx.now.ms) {
            ctx.set_timer(busy_ms - ctx.now.ms, Timer::Flush);
            return None;
        }
    }
    ownership.batches.iter().position(Option::is_none)
}

/// Sends pending changes of one shard unless a batch of that shard is in flight.
fn send_batch(pool: &mut Pool, shard: usize, takes_new: bool, ctx: &mut Ctx<'_>) {
    let Some(ownership) = &mut pool.ownership else {
        return;
    };
    let Some(pool_state) = &mut ownership.pool_state else {
        return;
    };
    let id = pool_state.id;
    if ownership.batches[shard].is_some() {
        return;
    }
    let jobs = pick_jobs(pool_state, shard, takes_new);
    if jobs.is_empty() {
        return;
    }
    let picked = jobs.len();
    let tx = RowTx {
        part: shard_part(&pool.name, shard),
        guards: vec![epoch_guard(ownership.owner_revisions[shard])],
        writes: Vec::new(),
    };
    let mut batch = build_batch(pool_state, jobs, tx, ctx);
    if batch.jobs.is_empty() {
        return;
    }
    batch.is_complete = picked < BATCH_JOBS && batch.is_complete;
    // The heartbeat travels with the batch to save one write: on the users' slow days the store takes a partition's
    // writes one after another, 300 ms each.
    batch.tx.writes.push(owner_lease::next_heartbeat(pool, ctx));
    pool.lease.note_sent(shard, ctx.now.ms);
    ctx.out
        .push(Effect::Record(ctx.pool, id, shard, batch.tx.clone()));
    if let Some(ownership) = &mut pool.ownership {
        ownership.batches[shard] = Some(batch);
    }
}

/// Returns the jobs whose changes go into a shard now. If the shard takes new jobs, assigns them to it.
fn pick_jobs(pool_state: &mut PoolState, shard: usize, takes_new: bool) -> Vec<JobKey> {
    let mut jobs = Vec::new();
    for key in &pool_state.dirty {
        let Some(job) = pool_state.jobs.get_mut(*key) else {
            continue;
        };
        if takes_new {
            job.shard.get_or_insert(shard);
        }
        if job.shard == Some(shard) {
            jobs.push(*key);
        }
        if jobs.len() >= BATCH_JOBS {
            break;
        }
    }
    jobs
}

fn build_batch(
    pool_state: &mut PoolState,
    jobs: Vec<JobKey>,
    mut tx: RowTx,
    ctx: &mut Ctx<'_>,
) -> Batch {
    let mut kept = Vec::with_capacity(jobs.len());
    let mut left_bytes = BATCH_BYTES_MAX;
    let mut is_complete = true;
    for key in jobs {
        let Some(mut progress) = pool_state.progress_row(key) else {
            pool_state.dirty.remove(&key);
            continue;
        };
        progress.written_store_ms = ctx.now.store_ms;
        let value = match row_room::encode_progress(progress) {
            Ok(value) => value,
            Err(bytes) => {
                pool_state.dirty.remove(&key);
                log_too_large(pool_state, key, bytes, ctx);
                continue;
            }
        };
        if value.len() > left_bytes {
            is_complete = false;
            break;
        }
        left_bytes -= value.len();
        pool_state.dirty.remove(&key);
        pool_state.checkpoints.note_recorded(key);
        let job = &pool_state.jobs[key];
        tx.guards.push(Guard {
            table: Table::Progress,
            key: job.id.clone(),
            revision: job.revision,
        });
        tx.writes.push(Write {
            table: Table::Progress,
            key: job.id.clone(),
            value: Some(value),
        });
        kept.push((key, job.changes));
    }
    let is_in = |task: &TaskKey| kept.iter().any(|(job, _)| *job == task.job);
    let unsent = std::mem::take(&mut pool_state.unsent_starts);
    let (starts, later) = unsent.into_iter().partition(|(task, _)| is_in(task));
    pool_state.unsent_starts = later;
    Batch {
        tx,
        jobs: kept,
        starts,
        removed: Vec::new(),
        sent_ms: ctx.now.ms,
        has_heartbeat: true,
        is_complete,
    }
}

/// Logs that a job can't be recorded. The other jobs of its shard go on.
fn log_too_large(pool_state: &PoolState, key: JobKey, bytes: usize, ctx: &mut Ctx<'_>) {
    let job = &pool_state.jobs[key];
    let why = "the store would refuse the job's record";
    let decision = Decision::new(Code::RecordTooLarge, Subject::Job, &job.id, why)
        .with("bytes", bytes as u64)
        .with("rounds", job.rounds.len() as u64);
    ctx.log(decision);
}

/// Resumes renewals of workers whose ends are all committed.
fn resume_renewals(pool_state: &mut PoolState, epoch: u64, ctx: &mut Ctx<'_>) {
    let waiting: Vec<WorkerKey> = pool_state.recording.iter().copied().collect();
    for key in waiting {
        if !pool_state.settle_ends(key) {
            continue;
        }
        pool_state.recording.remove(&key);
        let Some(w) = pool_state.workers.get_mut(key) else {
            continue;
        };
        if matches!(w.renewal, RenewalPhase::Recording(_)) {
            w.renewal = RenewalPhase::Idle;
            renewal::send_next(pool_state, key, epoch, ctx);
        }
    }
}

/// Handles the answer to a shard's batch.
pub fn settle_batch(
    ownership: &mut Ownership,
    lease: &mut OwnerLease,
    shard: usize,
    outcome: TxOutcome,
    ctx: &mut Ctx<'_>,
) -> Settled {
    let epoch = ownership.epoch;
    lease.note_answer(shard, &outcome, ctx.now.ms);
    if ownership.batches[shard].is_none() {
        return Settled::Handled;
    }
    let revision = match outcome {
        TxOutcome::Committed(revision) => revision,
        TxOutcome::Conflict(found) => match settle_conflict(ownership, lease, shard, &found, ctx) {
            Verdict::Done(revision) => revision,
            Verdict::Again => {
                resend(ownership, lease, shard, ctx);
                return Settled::Handled;
            }
            Verdict::PoolLost => return Settled::PoolLost,
            Verdict::Diverged => return Settled::Diverged,
        },
        TxOutcome::Refused | TxOutcome::Unknown => {
            ctx.set_timer(TX_RETRY_MS, Timer::Resend(shard));
            return Settled::Handled;
        }
    };
    let (Some(batch), Some(pool_state)) =
        (ownership.batches[shard].take(), &mut ownership.pool_state)
    else {
        return Settled::Handled;
    };
    run_log::log_batch(&batch, pool_state, revision, epoch, ctx);
    // A batch sent twice may have taken effect the first time, so the lease counts from the first send.
    if batch.has_heartbeat {
        lease.note_renewed(batch.sent_ms, ctx.now.ms);
    }
    for ((key, change), write) in batch.jobs.iter().zip(&batch.tx.writes) {
        if let Some(job) = pool_state.jobs.get_mut(*key) {
            job.revision = revision;
            job.recorded_digest = conflict::digest(write.value.as_deref());
            job.recorded_changes = *change;
        }
    }
    for key in &batch.removed {
        pool_state.drop_job(*key, ctx.now.ms);
    }
    starts::send_recorded(pool_state, &batch.starts, epoch, ctx);
    // While more changes wait than fit into a batch, workers are not asked for more ends, since each report costs the
    // owner processor time that is short then. With renewals resumed at once, 95 of 100 tasks of a peak day started
    // within 1,447 ms; with this delay, within 961 ms.
    if batch.is_complete {
        resume_renewals(pool_state, epoch, ctx);
    }
    Settled::Handled
}

/// Decides what a conflict means for a shard's batch. Logs it unless an earlier send of the batch had taken effect.
fn settle_conflict(
    ownership: &mut Ownership,
    lease: &OwnerLease,
    shard: usize,
    found: &[(Table, StoredRow)],
    ctx: &mut Ctx<'_>,
) -> Verdict {
    let (Some(batch), Some(pool_state)) =
        (&mut ownership.batches[shard], &mut ownership.pool_state)
    else {
        return Verdict::Diverged;
    };
    let is_ours = |row: &StoredRow| conflict::is_ours(lease, ctx.me, row);
    let unexpected_key = conflict::first_unexpected_key(batch, found);
    let verdict = conflict::judge_conflict(batch, pool_state, found, is_ours);
    let part = batch.tx.part.clone();
    let owner_row = found.iter().find(|(table, _)| *table == Table::Owners);
    if let Some((_, row)) = owner_row.filter(|_| verdict == Verdict::Again) {
        ownership.owner_revisions[shard] = row.revision;
    }
    if !matches!(verdict, Verdict::Done(_)) {
        let why = format!("{verdict:?}");
        let decision = Decision::new(Code::LostRace, Subject::Pool, &part, why);
        ctx.log(
            decision
                .with_name("row", unexpected_key)
                .with("epoch", ownership.epoch),
        );
    }
    verdict
}

/// Sends a shard's batch again.
pub fn resend(ownership: &Ownership, lease: &mut OwnerLease, shard: usize, ctx: &mut Ctx<'_>) {
    let (Some(batch), Some(pool_state)) = (&ownership.batches[shard], &ownership.pool_state) else {
        return;
    };
    if !ctx.may_send() {
        ctx.set_timer(TX_RETRY_MS, Timer::Resend(shard));
        return;
    }
    lease.note_sent(shard, ctx.now.ms);
    ctx.out.push(Effect::Record(
        ctx.pool,
        pool_state.id,
        shard,
        batch.tx.clone(),
    ));
}
