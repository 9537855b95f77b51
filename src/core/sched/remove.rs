//! Removes jobs that finished long ago from the store: first their intake rows, then their progress.
//!
//! In this order, a job that is only partly removed is never taken for a new one. Progress rows without a job, left by
//! an owner that ended between the two steps, are removed as well.

use std::collections::BTreeMap;

use super::keys::JobKey;
use super::limits::{FINISHED_KEPT_MS, REMOVED_JOBS, REMOVE_MS};
use super::owner_lease::epoch_guard;
use super::pool_state::PoolState;
use super::rows::{cancel_key, shard_part, SHARDS};
use super::state::{Batch, Ctx, Effect, Ownership, Pool, Timer};
use crate::port::fleet::{RowTx, Table, TxOutcome, Write};

/// Removes intake rows of old jobs from the partition that holds the most of them.
pub(super) fn remove_finished_jobs(ownership: &mut Ownership, ctx: &mut Ctx<'_>) {
    ctx.set_timer(REMOVE_MS, Timer::Remove);
    let Some(pool_state) = &ownership.pool_state else {
        return;
    };
    if ownership.removing.is_some() || !ownership.removable.is_empty() || !ctx.may_send() {
        return;
    }
    let mut old: BTreeMap<&String, Vec<JobKey>> = BTreeMap::new();
    for (key, job) in &pool_state.jobs {
        let is_old = |at| ctx.now.ms > at + FINISHED_KEPT_MS;
        // The next owner does not know of an end that is not recorded yet.
        let is_recorded = job.recorded_changes >= job.changes;
        if is_recorded && job.finished_ms.is_some_and(is_old) {
            // The first row is the job. If it were removed before a later one, that one would be taken for a new job.
            if let Some(part) = job.intake.last() {
                old.entry(part).or_default().push(key);
            }
        }
    }
    let Some((part, mut keys)) = old.into_iter().max_by_key(|(_, keys)| keys.len()) else {
        return;
    };
    keys.truncate(REMOVED_JOBS);
    let ids = keys.iter().map(|key| &pool_state.jobs[*key].id);
    let writes = ids.flat_map(|id| [id.clone(), cancel_key(id)]);
    let tx = RowTx {
        part: part.clone(),
        // No guard is needed, since nobody changes the rows of a job in a final state.
        guards: Vec::new(),
        writes: writes.map(|key| removal_of(Table::Intake, key)).collect(),
    };
    ownership.removing = Some((part.clone(), keys));
    ctx.out
        .push(Effect::RemoveIntake(ctx.pool, pool_state.id, tx));
}

fn removal_of(table: Table, key: String) -> Write {
    Write {
        table,
        key,
        value: None,
    }
}

/// Handles the answer to a removal of intake rows. After a failure, the next timer tries again.
pub(super) fn settle_intake_removal(ownership: &mut Ownership, outcome: &TxOutcome) {
    let (Some((part, keys)), Some(pool_state)) =
        (ownership.removing.take(), &mut ownership.pool_state)
    else {
        return;
    };
    if !matches!(outcome, TxOutcome::Committed(_)) {
        return;
    }
    for key in keys {
        let Some(job) = pool_state.jobs.get_mut(key) else {
            continue;
        };
        job.intake.retain(|other| *other != part);
        // Progress is kept until no partition can bring the job back.
        if job.intake.is_empty() {
            ownership.removable.push(key);
        }
    }
}

/// Removes the progress rows of old jobs whose intake rows are gone, and orphaned progress rows, in each shard without
/// a batch in flight.
pub(super) fn remove_progress(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(ownership) = &mut pool.ownership else {
        return;
    };
    let Some(pool_state) = &mut ownership.pool_state else {
        return;
    };
    if ownership.removable.is_empty() && pool_state.orphans.is_empty() {
        return;
    }
    for shard in 0..SHARDS {
        if ownership.batches[shard].is_some() {
            continue;
        }
        let (removed, later) = std::mem::take(&mut ownership.removable)
            .into_iter()
            .partition(|key| {
                pool_state
                    .jobs
                    .get(*key)
                    .is_none_or(|job| job.shard.unwrap_or(0) == shard)
            });
        ownership.removable = later;
        let removed: Vec<JobKey> = removed;
        let mut ids = take_orphans(pool_state, shard);
        let jobs = removed.iter().filter_map(|key| pool_state.jobs.get(*key));
        ids.extend(jobs.map(|job| job.id.clone()));
        if ids.is_empty() {
            continue;
        }
        let tx = RowTx {
            part: shard_part(&pool.name, shard),
            guards: vec![epoch_guard(ownership.owner_revisions[shard])],
            writes: ids
                .into_iter()
                .map(|id| removal_of(Table::Progress, id))
                .collect(),
        };
        pool.lease.note_sent(shard, ctx.now.ms);
        ctx.out
            .push(Effect::Record(ctx.pool, pool_state.id, shard, tx.clone()));
        ownership.batches[shard] = Some(Batch {
            tx,
            jobs: Vec::new(),
            starts: Vec::new(),
            removed,
            sent_ms: ctx.now.ms,
            has_heartbeat: false,
            is_complete: true,
        });
    }
}

/// Takes the orphaned progress rows of a shard, as many as one transaction may remove.
fn take_orphans(pool_state: &mut PoolState, shard: usize) -> Vec<String> {
    let mut ids = Vec::new();
    pool_state.orphans.retain(|(of, id)| {
        let is_taken = *of == shard && ids.len() < REMOVED_JOBS;
        if is_taken {
            ids.push(id.clone());
        }
        !is_taken
    });
    ids
}
