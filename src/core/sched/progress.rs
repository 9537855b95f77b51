//! Converts a job's in-memory progress to its row in the store; the row's format is in [`rows`](super::rows).

use std::collections::HashMap;

use super::checkpoints;
use super::keys::{JobKey, WorkerKey};
use super::pool_state::PoolState;
use super::rows::{ProgressRow, RoundRow, TaskProgress, TaskRow};
use super::tasks::{Phase, Seen, Task, WorkerLosses};

impl PoolState {
    /// Returns the progress row of a job as it is now, which may be newer than the recorded one.
    pub fn progress_row(&self, key: JobKey) -> Option<ProgressRow> {
        let job = self.jobs.get(key)?;
        let mut row = ProgressRow {
            state: job.state,
            rounds_done: job
                .rounds
                .keys()
                .next()
                .copied()
                .unwrap_or(job.rounds_begun),
            bound: self.bound_rows(key),
            ..ProgressRow::default()
        };
        if job.state.is_final() {
            return Some(row);
        }
        row.policy = job.changed_policy();
        let mut worker_indices: HashMap<WorkerKey, u16> = HashMap::new();
        for (number, round) in &job.rounds {
            let mut steps = Vec::with_capacity(round.steps.len());
            for step in &round.steps {
                let tasks = step.tasks.iter();
                steps.push(
                    tasks
                        .map(|t| self.task_row(t, &mut row, &mut worker_indices))
                        .collect(),
                );
            }
            row.rounds.push(RoundRow {
                round: *number,
                steps,
            });
        }
        // A later round may end first. If the row did not distinguish it from a round that never began, the next owner
        // would begin it again.
        if row.first_unbegun_round() < job.rounds_begun {
            row.rounds_begun = job.rounds_begun;
        }
        row.checkpoints = checkpoints::rows(self, key, &row);
        Some(row)
    }

    fn task_row(
        &self,
        task: &Task,
        row: &mut ProgressRow,
        worker_indices: &mut HashMap<WorkerKey, u16>,
    ) -> TaskRow {
        let task_progress = match (task.phase, task.phase.worker()) {
            (Phase::Done, _) => TaskProgress::Done,
            (_, Some(worker)) => match self.workers.get(worker) {
                Some(w) => {
                    TaskProgress::Started(*worker_indices.entry(worker).or_insert_with(|| {
                        row.add_instance(&w.info.id, &w.info.host, w.info.born_wall_ms)
                    }))
                }
                None => TaskProgress::Idle,
            },
            _ => TaskProgress::Idle,
        };
        let records_seen = task.losses.has_losses() || task.seen >= Seen::Gone;
        let losses = WorkerLosses {
            seen: if records_seen {
                task.seen
            } else {
                Seen::Nothing
            },
            ..task.losses
        };
        TaskRow(task.run, task.failed_runs, task_progress, losses)
    }
}
