//! Removes jobs that finished long ago from the store: first their intake rows, then their progress. Old tombstones go
//! with the intake rows.
//!
//! In this order, a job that is only partly removed is never taken for a new one. Progress rows without a job, left by
//! an owner that ended between the two steps, are removed as well.

use std::collections::BTreeMap;

use super::keys::JobKey;
use super::limits::{FINISHED_KEPT_MS, REMOVED_JOBS, REMOVED_TOMBSTONES, REMOVE_MS};
use super::owner_lease::epoch_guard;
use super::pool_state::PoolState;
use super::rows::{cancel_key, is_tombstone_key, shard_part, SHARDS};
use super::state::{Batch, Ctx, Effect, IntakeRemoval, Ownership, Pool, Timer};
use crate::port::fleet::{RowTx, Table, TxOutcome, Write};

/// Removes old jobs' intake rows and old tombstones from the partition that holds the most of them.
pub(super) fn remove_old_intake(ownership: &mut Ownership, ctx: &mut Ctx<'_>) {
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
    let tombstones = pool_state.tombstones.count_old(ctx.now.ms);
    let parts = old.keys().copied().chain(tombstones.keys().copied());
    let count = |part: &String| {
        old.get(part).map_or(0, Vec::len) + tombstones.get(part).copied().unwrap_or(0)
    };
    let Some(part) = parts.max_by_key(|part| count(part)).cloned() else {
        return;
    };
    let mut jobs = old.remove(&part).unwrap_or_default();
    jobs.truncate(REMOVED_JOBS);
    let ids = jobs.iter().map(|key| &pool_state.jobs[*key].id);
    let writes = ids.flat_map(|id| [id.clone(), cancel_key(id)]);
    let mut tx = RowTx {
        part,
        // Jobs need no guard, since nobody changes the rows of a job in a final state.
        guards: Vec::new(),
        writes: writes.map(|key| removal_of(Table::Intake, key)).collect(),
    };
    let removed_max = REMOVED_TOMBSTONES - jobs.len();
    pool_state
        .tombstones
        .add_removals(&mut tx, removed_max, ctx.now.ms);
    ownership.removing = Some(IntakeRemoval {
        tx: tx.clone(),
        jobs,
    });
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
pub(super) fn settle_intake_removal(ownership: &mut Ownership, outcome: &TxOutcome, ctx: &Ctx<'_>) {
    let (Some(IntakeRemoval { tx, jobs }), Some(pool_state)) =
        (ownership.removing.take(), &mut ownership.pool_state)
    else {
        return;
    };
    match outcome {
        TxOutcome::Committed(_) => {}
        TxOutcome::Conflict(found) => {
            // A cancel has written a tombstone again, or a former owner has removed it.
            let rows = found.iter().map(|(_, row)| row);
            rows.for_each(|row| pool_state.tombstones.note(row, ctx.now.ms));
            return;
        }
        TxOutcome::Refused | TxOutcome::Unknown => return,
    }
    for write in tx.writes.iter().filter(|w| is_tombstone_key(&w.key)) {
        pool_state.tombstones.forget(&tx.part, &write.key);
    }
    for key in jobs {
        let Some(job) = pool_state.jobs.get_mut(key) else {
            continue;
        };
        job.intake.retain(|other| *other != tx.part);
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
