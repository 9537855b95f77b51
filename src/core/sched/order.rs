//! Orders waiting tasks by class and due time, and defers rounds that can't all be in time with the pool's capacity.
//!
//! Placement takes its candidates from here; the owner of a pool calls `resort` regularly.

use std::collections::{HashMap, HashSet};
use std::ops::Bound;

use super::keys::{RoundKey, StepKey, TaskKey};
use super::limits::{PLACE_SCAN_MAX, RESORT_MS};
use super::overload::{self, Contender, Supply};
use super::pool_state::PoolState;
use super::runs;
use super::tasks::{Class, Outlook, Rank, Task};
use crate::clock::Millis;

/// Tasks of a scan that are examined before the steps that are barred are looked up again.
const SCAN_CHUNK: usize = 32;

/// Most tasks of barred steps that a scan skips.
const SCAN_SKIPPED_MAX: usize = 8 * PLACE_SCAN_MAX;

/// Position of the scan over tasks behind the first [`PLACE_SCAN_MAX`].
#[derive(Clone, Copy, Debug, Default)]
pub struct ScanCursor {
    /// The last task that was scanned; `None` if the next scan begins right behind the first ones.
    after: Option<Rank>,
    /// When the last scan was.
    at_ms: Millis,
}

/// A scan of the tasks behind the first [`PLACE_SCAN_MAX`] in one pass of placement.
#[derive(Debug)]
pub(super) struct Scan {
    after: Option<Rank>,
    /// Number of tasks that were returned.
    examined: usize,
    /// Number of tasks that were skipped because their step was barred.
    skipped: usize,
}

impl PoolState {
    /// Returns the scan of the tasks behind `first`, the first tasks of a pass of placement, or `None` if there are none
    /// or the last scan was less than [`RESORT_MS`] ago.
    pub(super) fn begin_scan(&mut self, first: &[Rank], now_ms: Millis) -> Option<Scan> {
        let is_cut = first.len() == PLACE_SCAN_MAX;
        if !is_cut || now_ms < self.scan_cursor.at_ms + RESORT_MS {
            return None;
        }
        self.scan_cursor.at_ms = now_ms;
        Some(Scan {
            after: self.scan_cursor.after.max(first.last().copied()),
            examined: 0,
            skipped: 0,
        })
    }

    /// Returns the next tasks of a scan, and none once it is over. Tasks of the steps in `barred` are skipped if nothing
    /// but their step decides where they may start.
    pub(super) fn next_to_scan(
        &mut self,
        scan: &mut Scan,
        barred: &HashSet<StepKey>,
        now_ms: Millis,
    ) -> Vec<Rank> {
        let mut chunk = Vec::new();
        let mut is_cut = false;
        for rank in self.waiting_after(scan.after, now_ms) {
            if chunk.len() == SCAN_CHUNK
                || scan.examined == PLACE_SCAN_MAX
                || scan.skipped == SCAN_SKIPPED_MAX
            {
                is_cut = true;
                break;
            }
            scan.after = Some(*rank);
            if barred.contains(&StepKey::from(rank.task)) && self.is_like_its_step(rank.task) {
                scan.skipped += 1;
            } else {
                scan.examined += 1;
                chunk.push(*rank);
            }
        }
        self.scan_cursor.after = scan.after.filter(|_| is_cut);
        chunk
    }

    /// Returns whether a task may start on the same workers as any other task of its step.
    pub(super) fn is_like_its_step(&self, key: TaskKey) -> bool {
        let is_gang = self.step_spec(key).is_some_and(|s| s.gang);
        let is_plain = |t: &Task| t.failed_on.is_none() && !t.is_crash_suspect();
        is_gang || (self.task(key).is_some_and(is_plain) && !self.is_bound(key))
    }

    /// Returns the first waiting tasks.
    pub(super) fn first_to_place(&self, now_ms: Millis) -> Vec<Rank> {
        let waiting = self.waiting_after(None, now_ms);
        waiting.take(PLACE_SCAN_MAX).copied().collect()
    }

    /// Returns the waiting tasks after a rank. Tasks that are delayed, have no attempt left or exceed their quota are
    /// left out, so that they don't block others.
    fn waiting_after(
        &self,
        after: Option<Rank>,
        now_ms: Millis,
    ) -> impl Iterator<Item = &Rank> + '_ {
        let first = after.map_or(Bound::Unbounded, Bound::Excluded);
        let waiting = self.ready.range((first, Bound::Unbounded));
        waiting
            .filter(move |r| r.class > Class::Lasting || !self.must_delay_start(r.task, now_ms))
            .filter(|r| !runs::is_exhausted(self, r.task))
            .filter(|r| self.is_within_quota(r.task, 1))
    }

    pub(super) fn rank(&self, key: TaskKey, now_ms: Millis) -> Option<Rank> {
        let job = self.jobs.get(key.job)?;
        let round = job.rounds.get(&key.round)?;
        let lasts = job.spec.steps.get(usize::from(key.step))?.lasting;
        let class = match lasts {
            true => Class::Lasting,
            false => job.class(round, now_ms),
        };
        let weight_ms = if lasts { 0 } else { job.weight_ms(key.round) };
        Some(Rank {
            class,
            due_ms: round.due_ms + weight_ms,
            task: key,
        })
    }

    /// Defers rounds where not all can be in time.
    fn defer_rounds(&mut self, now_ms: Millis) {
        let supply = self.supply(now_ms);
        let contenders = self.contenders(now_ms);
        for key in overload::rounds_to_defer(contenders, &supply, now_ms) {
            if let Some(round) = self.jobs[key.job].rounds.get_mut(&key.round) {
                round.deferral.set(now_ms);
            }
        }
    }

    /// Returns the rounds that could be in time and are not deferred.
    fn contenders(&self, now_ms: Millis) -> Vec<Contender> {
        let open = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.state.is_final() && !job.spec.is_lasting() && !job.is_excess);
        let mut contenders = Vec::new();
        for (key, job) in open {
            for (number, round) in &job.rounds {
                let can_be_in_time = job.outlook(round, now_ms) == Outlook::InTime;
                if can_be_in_time && !round.deferral.is_set(now_ms) {
                    let key = RoundKey {
                        job: key,
                        round: *number,
                    };
                    contenders.push(job.contender(key, round));
                }
            }
        }
        contenders
    }

    /// Returns the processors of the hosts that take work now and of those that are expected.
    fn supply(&self, now_ms: Millis) -> Supply {
        let open = self.workers.values().filter(|w| w.is_open(now_ms));
        let (mut now_cpu_milli, mut free_cpu_milli) = (0, 0);
        for worker in open {
            let room = worker.info.capacity.cpu_milli;
            now_cpu_milli += room;
            free_cpu_milli += room.saturating_sub(worker.used.cpu_milli);
        }
        let coming = self.expected_capacity.filter(|c| now_ms < c.at_ms);
        Supply {
            now_cpu_milli,
            free_cpu_milli,
            coming_cpu_milli: coming.map_or(0, |c| c.cpu_milli),
            coming_in_ms: coming.map_or(0, |c| c.at_ms - now_ms),
        }
    }

    /// Ranks rounds that can't be in time, or not together with all others, behind those that can.
    pub fn resort(&mut self, now_ms: Millis) {
        self.defer_rounds(now_ms);
        let waiting: Vec<Rank> = self.ready.iter().copied().collect();
        let mut classes: HashMap<RoundKey, Class> = HashMap::new();
        for rank in waiting.into_iter().filter(|r| r.class > Class::Lasting) {
            let key = rank.task.round_key();
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            let Some(round) = job.rounds.get(&key.round) else {
                continue;
            };
            let class = *classes
                .entry(key)
                .or_insert_with(|| job.class(round, now_ms));
            if class != rank.class {
                self.set_queued(rank.task, Some(Rank { class, ..rank }));
            }
        }
    }
}
