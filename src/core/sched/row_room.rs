//! Bounds what grows with a job: its progress row, which the store accepts up to a size, and the batches of such rows.
//!
//! The load that this handles: the rounds of a timed job overlap, or fall due together after an outage. A row that has
//! outgrown the store is refused each time it is sent, and the records of its shard's other jobs wait behind it for good.

use super::checkpoints::ROW_BYTES_MAX;
use super::keys::JobKey;
use super::pool_state::PoolState;
use super::rows::{self, ProgressRow, TaskProgress};
use super::worker_losses::WorkerLosses;

/// Bytes of values in one transaction: the store accepts 1 MB in all, of which their encoding takes a third.
pub const BATCH_BYTES_MAX: usize = 512 * 1_024;

/// Bytes that a started task takes in a row, without losses.
const TASK_BYTES: usize = 20;

/// Bytes by which the record of a task grows when it is started.
const STARTED_BYTES: usize = 8;

/// Bytes that a round takes apart from its tasks.
const ROUND_BYTES: usize = 32;

/// Returns the number of further rounds of a job for which its row has room once all their tasks are started.
pub fn rounds_with_room(pool_state: &PoolState, key: JobKey) -> usize {
    let Some(job) = pool_state.jobs.get(key) else {
        return 0;
    };
    let Some(row) = pool_state.progress_row(key) else {
        return 0;
    };
    let unstarted = row.rounds.iter().flat_map(|r| r.steps.iter().flatten());
    let unstarted = unstarted.filter(|t| t.2 == TaskProgress::Idle).count();
    let used_bytes = rows::encode(&row).len() + unstarted * STARTED_BYTES;
    let tasks: usize = job.spec.steps.iter().map(|s| usize::from(s.count)).sum();
    let round_bytes = ROUND_BYTES + tasks * TASK_BYTES;
    ROW_BYTES_MAX.saturating_sub(used_bytes) / round_bytes
}

/// Encodes a progress row so that the store accepts it. A row that is too large leaves out its checkpoints and the losses
/// of its tasks, which only save work, and then its bindings, without which nothing could be recorded for their time.
/// Returns its size if it is too large even so.
pub fn encode_progress(mut row: ProgressRow) -> Result<Vec<u8>, usize> {
    let whole = rows::encode(&row);
    if whole.len() <= ROW_BYTES_MAX {
        return Ok(whole);
    }
    row.checkpoints.clear();
    let tasks = row.rounds.iter_mut().flat_map(|r| &mut r.steps).flatten();
    tasks.for_each(|task| task.3 = WorkerLosses::default());
    let mut reduced = rows::encode(&row);
    if reduced.len() > ROW_BYTES_MAX && !row.bound.is_empty() {
        row.bound.clear();
        reduced = rows::encode(&row);
    }
    match reduced.len() <= ROW_BYTES_MAX {
        true => Ok(reduced),
        false => Err(reduced.len()),
    }
}
