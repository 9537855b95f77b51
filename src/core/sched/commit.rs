//! Recorded before ordered: progress goes to the store in batches, and only then do starts go out and
//! ends count as seen.

use super::book::Book;
use super::holds;
use super::keys::{JobKey, WorkerKey};
use super::limits::{BATCH_JOBS, GATHER_MS, TX_RETRY_MS};
use super::remove;
use super::rows;
use super::runs;
use super::seat::{self, epoch_guard, Seat};
use super::state::{Batch, Ctx, Effect, Pool, Tenure, Timer};
use super::worker::HoldPhase;
use crate::clock::Millis;
use crate::event::{Code, Decision, Subject};
use crate::port::fleet::{Guard, Revision, RowTx, StoredRow, Table, TxOutcome, Write};

/// What became of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It is on record, or is sent again.
    Fine,
    /// Another entry owns the pool.
    PoolLost,
    /// The rows are not what the books say: they must be read again.
    Diverged,
}

/// Sends what was gathered, if it is time and no batch is out.
pub fn flush(pool: &mut Pool, ctx: &mut Ctx<'_>) {
    let Some(tenure) = &mut pool.tenure else {
        return;
    };
    let epoch = tenure.epoch;
    let part = &pool.name;
    let Some(book) = &mut tenure.book else { return };
    if tenure.batch.is_some() || !ctx.may_send() {
        return;
    }
    if book.dirty.is_empty() {
        release_ends(book, epoch, ctx);
        remove::flush(tenure, part, ctx);
        return;
    }
    let due_ms = book.dirty_since_ms + GATHER_MS;
    if ctx.now.ms < due_ms {
        ctx.after(due_ms - ctx.now.ms, Timer::Flush);
        return;
    }
    let mut batch = gather(book, part, epoch, ctx.now.ms);
    // One write less where writes of a part go in turn, 300 ms each on the users' slow days.
    batch.tx.writes.push(seat::next_beat(pool, ctx));
    ctx.out
        .push(Effect::Record(ctx.pool, epoch, batch.tx.clone()));
    if let Some(tenure) = &mut pool.tenure {
        tenure.batch = Some(batch);
    }
}

/// Ends that change nothing on record count as seen at once.
fn release_ends(book: &mut Book, epoch: u64, ctx: &mut Ctx<'_>) {
    for (worker, taken) in ends(book) {
        seen(book, worker, taken, epoch, ctx);
    }
}

fn ends(book: &Book) -> Vec<(WorkerKey, u64)> {
    let recording = book.recording.iter();
    recording
        .filter_map(|key| Some((*key, book.workers.get(*key)?.taken)))
        .collect()
}

fn seen(book: &mut Book, key: WorkerKey, taken: u64, epoch: u64, ctx: &mut Ctx<'_>) {
    let Some(w) = book.workers.get_mut(key) else {
        return;
    };
    w.recorded = w.recorded.max(taken);
    book.recording.remove(&key);
    if w.hold == HoldPhase::Recording {
        w.hold = HoldPhase::Idle;
        holds::next(book, key, epoch, ctx);
    }
}

fn gather(book: &mut Book, part: &str, epoch: u64, now_ms: Millis) -> Batch {
    let jobs: Vec<JobKey> = book.dirty.iter().copied().take(BATCH_JOBS).collect();
    for job in &jobs {
        book.dirty.remove(job);
    }
    let mut tx = RowTx {
        part: part.to_string(),
        guards: vec![epoch_guard(epoch)],
        writes: Vec::new(),
    };
    let mut kept = Vec::new();
    for key in jobs {
        let Some(progress) = book.progress(key) else {
            continue;
        };
        let job = &book.jobs[key];
        tx.guards.push(Guard {
            table: Table::Progress,
            key: job.id.clone(),
            revision: job.revision,
        });
        tx.writes.push(Write {
            table: Table::Progress,
            key: job.id.clone(),
            value: Some(rows::encode(&progress)),
        });
        kept.push(key);
    }
    let unsent = std::mem::take(&mut book.unsent);
    let (starts, later) = unsent
        .into_iter()
        .partition(|(task, _)| kept.contains(&task.job));
    book.unsent = later;
    Batch {
        tx,
        jobs: kept,
        starts,
        removed: Vec::new(),
        beat_ms: Some(now_ms),
        // Ends may only count as seen with every change that they brought.
        ends: if book.dirty.is_empty() {
            ends(book)
        } else {
            Vec::new()
        },
    }
}

/// Settles the batch that is out.
pub fn recorded(
    tenure: &mut Tenure,
    seat: &mut Seat,
    outcome: TxOutcome,
    ctx: &mut Ctx<'_>,
) -> Settled {
    let epoch = tenure.epoch;
    let Some(batch) = &tenure.batch else {
        return Settled::Fine;
    };
    let revision = match outcome {
        TxOutcome::Committed(revision) => Ok(revision),
        TxOutcome::Conflict(found) => own_work(batch, epoch, &found),
        TxOutcome::Refused | TxOutcome::Unknown => {
            ctx.after(TX_RETRY_MS, Timer::Resend);
            return Settled::Fine;
        }
    };
    let revision = match revision {
        Ok(revision) => revision,
        Err(why) => {
            ctx.tell(
                Decision::new(
                    Code::LostRace,
                    Subject::Pool,
                    &batch.tx.part,
                    format!("{why:?}"),
                )
                .with("epoch", epoch),
            );
            return why;
        }
    };
    let (Some(batch), Some(book)) = (tenure.batch.take(), &mut tenure.book) else {
        return Settled::Fine;
    };
    // Sent again, it may have taken effect the first time: the lease counts from then.
    if let Some(sent_ms) = batch.beat_ms {
        seat.note_renewed(sent_ms, ctx.now.ms);
    }
    for key in &batch.jobs {
        if let Some(job) = book.jobs.get_mut(*key) {
            job.revision = revision;
        }
    }
    for key in &batch.removed {
        book.forget(*key);
    }
    for (task, run) in &batch.starts {
        runs::send_start(book, *task, *run, epoch, ctx);
    }
    for (worker, taken) in &batch.ends {
        seen(book, *worker, *taken, epoch, ctx);
    }
    Settled::Fine
}

/// A conflict with our own batch means that an earlier sending of it took effect.
fn own_work(batch: &Batch, epoch: u64, found: &[(Table, StoredRow)]) -> Result<Revision, Settled> {
    let mut revision = None;
    for (table, row) in found {
        if *table == Table::Owners && row.revision != epoch {
            return Err(Settled::PoolLost);
        }
        if *table != Table::Progress {
            continue;
        }
        let written = batch.tx.writes.iter().find(|w| w.key == row.key);
        if written.is_none_or(|w| w.value != row.value) {
            return Err(Settled::Diverged);
        }
        revision = Some(row.revision);
    }
    revision.ok_or(Settled::Diverged)
}

/// Sends the batch that is out again.
pub fn resend(tenure: &Tenure, ctx: &mut Ctx<'_>) {
    let Some(batch) = &tenure.batch else { return };
    if !ctx.may_send() {
        ctx.after(TX_RETRY_MS, Timer::Resend);
        return;
    }
    ctx.out
        .push(Effect::Record(ctx.pool, tenure.epoch, batch.tx.clone()));
}
