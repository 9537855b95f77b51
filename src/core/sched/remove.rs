//! Jobs that finished long ago leave the store: first what was submitted, then their progress.
//!
//! In this order a job of which only a part is gone is never taken for a new one. Progress without a job, left by
//! an owner that ended in between, goes, too.

use std::collections::BTreeMap;

use super::keys::JobKey;
use super::limits::{FINISHED_KEPT_MS, REMOVED_JOBS, REMOVE_MS};
use super::rows::{cancel_key, intake_part};
use super::seat::epoch_guard;
use super::state::{Batch, Ctx, Effect, Tenure, Timer};
use crate::port::fleet::{RowTx, Table, TxOutcome, Write};

/// Removes what was submitted, of the part with the most jobs that are old.
pub(super) fn look(tenure: &mut Tenure, pool: &str, ctx: &mut Ctx<'_>) {
    ctx.after(REMOVE_MS, Timer::Remove);
    let Some(book) = &tenure.book else { return };
    if !tenure.removing.is_empty() || !tenure.removable.is_empty() || !ctx.may_send() {
        return;
    }
    let mut old: BTreeMap<String, Vec<JobKey>> = BTreeMap::new();
    for (key, job) in &book.jobs {
        let is_old = |at| ctx.now.ms > at + FINISHED_KEPT_MS;
        if job.finished_ms.is_some_and(is_old) {
            let part = intake_part(pool, &job.id);
            old.entry(part).or_default().push(key);
        }
    }
    let Some((part, mut keys)) = old.into_iter().max_by_key(|(_, keys)| keys.len()) else {
        return;
    };
    keys.truncate(REMOVED_JOBS);
    let ids = keys.iter().map(|key| &book.jobs[*key].id);
    let writes = ids.flat_map(|id| [id.clone(), cancel_key(id)]);
    let tx = RowTx {
        part,
        // Rows of a final job are nobody's any more: no guard is needed.
        guards: Vec::new(),
        writes: writes.map(|key| gone(Table::Intake, key)).collect(),
    };
    tenure.removing = keys;
    ctx.out
        .push(Effect::RemoveIntake(ctx.pool, tenure.epoch, tx));
}

fn gone(table: Table, key: String) -> Write {
    Write {
        table,
        key,
        value: None,
    }
}

/// What was submitted is gone, or not: then the next look tries again.
pub(super) fn intake_removed(tenure: &mut Tenure, outcome: &TxOutcome) {
    let keys = std::mem::take(&mut tenure.removing);
    if matches!(outcome, TxOutcome::Committed(_)) {
        tenure.removable = keys;
    }
}

/// Removes progress whose job is gone.
pub(super) fn flush(tenure: &mut Tenure, part: &str, ctx: &mut Ctx<'_>) {
    let Some(book) = &mut tenure.book else { return };
    if tenure.removable.is_empty() && book.orphans.is_empty() {
        return;
    }
    let removed = std::mem::take(&mut tenure.removable);
    let left = book.orphans.len().saturating_sub(REMOVED_JOBS);
    let mut ids = book.orphans.split_off(left);
    ids.extend(
        removed
            .iter()
            .filter_map(|key| Some(book.jobs.get(*key)?.id.clone())),
    );
    let tx = RowTx {
        part: part.to_string(),
        guards: vec![epoch_guard(tenure.epoch)],
        writes: ids
            .into_iter()
            .map(|id| gone(Table::Progress, id))
            .collect(),
    };
    ctx.out
        .push(Effect::Record(ctx.pool, tenure.epoch, tx.clone()));
    tenure.batch = Some(Batch {
        tx,
        jobs: Vec::new(),
        starts: Vec::new(),
        ends: Vec::new(),
        removed,
        beat_ms: None,
    });
}
