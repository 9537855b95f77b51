//! The simulated store, and the checks on the progress that is recorded in it.

use super::*;

/// A call without an answer is given up after this time.
pub(super) const STORE_TIMEOUT_MS: u64 = 800;

impl World {
    pub(super) fn put_row(&mut self, table: Table, part: &str, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let row_key = (table, part.to_string(), key.to_string());
        self.store.insert(row_key, (value.clone(), self.revision));
        let row = StoredRow {
            part: part.to_string(),
            key: key.to_string(),
            value: Some(value),
            revision: self.revision,
        };
        for n in 0..self.entries.len() {
            if self.entries[n].disconnected_until_ms > self.now_ms {
                continue;
            }
            if table == Table::Owners {
                let state = self.entries[n].state.as_ref();
                if !state.is_some_and(State::follows_owners) {
                    continue;
                }
                self.owner_rows_delivered += 1;
            }
            let incarnation = self.entries[n].incarnation;
            if let Some(event) = row_event(table, row.clone()) {
                // Each change reaches an entry after the same delay, so feeds keep the order of changes.
                self.schedule(FEED_MS, TimedEvent::Deliver(n, incarnation, event));
            }
        }
    }

    pub(super) fn remove_row(&mut self, table: Table, part: &str, key: &str) {
        self.revision += 1;
        if table == Table::Progress {
            let state = self.recorded_state(key);
            assert!(state.is_final(), "{key} is removed while {state:?}");
            self.removed_job_states.insert(key.to_string(), state);
        }
        self.store
            .remove(&(table, part.to_string(), key.to_string()));
    }

    pub(super) fn apply_transaction(&mut self, tx: &RowTx) -> TxOutcome {
        let mut found = Vec::new();
        let mut guards_hold = true;
        for guard in &tx.guards {
            let row_key = (guard.table, tx.part.clone(), guard.key.clone());
            let stored = self.store.get(&row_key);
            guards_hold &= stored.map_or(0, |(_, revision)| *revision) == guard.revision;
            let row = StoredRow {
                part: tx.part.clone(),
                key: guard.key.clone(),
                value: stored.map(|(value, _)| value.clone()),
                revision: stored.map_or(0, |(_, revision)| *revision),
            };
            found.push((guard.table, row));
        }
        if !guards_hold {
            return TxOutcome::Conflict(found);
        }
        let before = self.revision;
        for write in &tx.writes {
            // All rows of a transaction get the same revision.
            self.revision = before;
            let Some(value) = write.value.clone() else {
                self.remove_row(write.table, &tx.part, &write.key);
                continue;
            };
            self.put_row(write.table, &tx.part, &write.key, value);
            if write.table == Table::Progress {
                self.check_progress(&write.key);
            }
        }
        TxOutcome::Committed(self.revision)
    }

    /// Replaces the recorded progress of a job by bytes that cannot be decoded.
    pub(crate) fn corrupt_progress(&mut self, id: &str) {
        let rows = self.store.iter_mut();
        let mut of_job = rows.filter(|((table, _, key), _)| *table == Table::Progress && key == id);
        let (_, (value, _)) = of_job.next().expect("the job has a record");
        *value = b"\xff{".to_vec();
    }

    /// Rewrites the recorded progress of a job with other bytes of the same meaning. The owner's next record conflicts
    /// with a row that the owner did not write, so it reads all rows again. Returns whether the row exists.
    pub(crate) fn rewrite_progress(&mut self, id: &str) -> bool {
        let mut rows = self.store.iter();
        let found = rows.find(|((table, _, key), _)| *table == Table::Progress && key == id);
        let Some(((_, part, _), (value, _))) = found else {
            return false;
        };
        let (part, mut value) = (part.clone(), value.clone());
        value.push(b' ');
        self.put_row(Table::Progress, &part, id, value);
        true
    }

    /// Returns the largest number of failed runs of one task of a job. A gang fails as a whole, whichever member
    /// failed, so the runs of its members count together.
    pub(crate) fn most_failed_runs(&self, id: &str) -> usize {
        let steps = &self.specs[id].steps;
        let mut runs: HashMap<(u32, u16, Option<u16>), HashSet<u32>> = HashMap::new();
        for (task, failed) in self.failed_runs.iter().filter(|(task, _)| task.job == id) {
            let is_gang = steps[usize::from(task.step)].gang;
            let own_index = (!is_gang).then_some(task.index);
            let key = (task.round, task.step, own_index);
            runs.entry(key).or_default().extend(failed);
        }
        runs.values().map(HashSet::len).max().unwrap_or(0)
    }

    pub(super) fn check_progress(&mut self, id: &str) {
        let row = self.progress(id).expect("the record was just written");
        let spec = &self.specs[id];
        if row.state == JobState::Failed {
            let most = self.most_failed_runs(id);
            let (attempts_min, _) = self.attempts_allowed[id];
            assert!(
                most >= attempts_min as usize || self.may_be_given_up(id),
                "{id} is recorded as failed: {most} failed runs, not {attempts_min}, and no task with two crashes"
            );
        }
        if row.state == JobState::Completed {
            let rounds = spec.schedule.map_or(1, |schedule| schedule.rounds);
            for round in 0..rounds {
                self.check_round_done(id, round);
            }
        }
    }

    /// Checks that all tasks of a round were done.
    fn check_round_done(&self, id: &str, round: u32) {
        for (step, s) in self.specs[id].steps.iter().enumerate() {
            for index in 0..s.count {
                let name = TaskName {
                    job: id.to_string(),
                    round,
                    step: step as u16,
                    index,
                };
                assert!(
                    self.was_done(&name),
                    "{name:?} was not done, but its job is recorded as completed"
                );
            }
        }
    }

    pub(super) fn was_done(&self, name: &TaskName) -> bool {
        let is_done_end = |e: &RunEnd| e.task == *name && e.kind == EndKind::Done;
        let mut instances = self.workers.values().chain(&self.former_instances);
        self.acked_done.contains(name) || instances.any(|w| w.ended.iter().any(is_done_end))
    }

    /// Sends a transaction, subject to the faults of the world. Returns the time until the answer arrives and the
    /// answer.
    pub(super) fn call_store(&mut self, n: usize, tx: &RowTx) -> (u64, TxOutcome) {
        if self.entries[n].disconnected_until_ms > self.now_ms
            || self.unavailable_parts.contains(&tx.part)
        {
            return (STORE_TIMEOUT_MS, TxOutcome::Unknown);
        }
        if self.draw_chance(self.faults.store_lost) {
            if self.draw_chance(500) {
                self.apply_transaction(tx);
            } else if self.draw_chance(self.faults.store_late) {
                let late_ms = self.rng.u64(1_000..6_000);
                self.schedule(late_ms, TimedEvent::Apply(tx.clone()));
            }
            return (STORE_TIMEOUT_MS, TxOutcome::Unknown);
        }
        let outcome = self.apply_transaction(tx);
        let outcome = self.with_newer_revision(outcome);
        (self.draw_delay_ms() + 4, outcome)
    }

    /// Returns the answer to a commit, which may name a newer revision than the commit's own.
    fn with_newer_revision(&mut self, outcome: TxOutcome) -> TxOutcome {
        if !matches!(outcome, TxOutcome::Committed(_))
            || self.newer_answers_rng.u32(0..1_000) >= self.newer_answers_milli
        {
            return outcome;
        }
        self.revision += 1;
        TxOutcome::Committed(self.revision)
    }

    /// Returns the rows and workers that an owner reads when it loads the pool.
    pub(super) fn loaded_rows(&self) -> LoadedRows {
        let rows_of = |table: Table, part: &str| -> Vec<StoredRow> {
            let rows = self.store.iter();
            let rows =
                rows.filter(|((t, p, _), _)| *t == table && (p == part || pool_of_part(p) == part));
            rows.map(|((_, part, key), (value, revision))| StoredRow {
                part: part.clone(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            })
            .collect()
        };
        LoadedRows {
            intake: rows_of(Table::Intake, POOL),
            progress: rows_of(Table::Progress, POOL),
            owner: rows_of(Table::Owners, POOL),
            workers: self.listed_workers(),
            workers_asked_ms: self.now_ms,
            waves: rows_of(Table::Waves, ""),
            host_orders: rows_of(Table::HostOrders, POOL),
        }
    }
}
