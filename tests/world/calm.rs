//! Helpers that check whether work continues once all faults have ended.

use super::*;

/// Interval at which waits are looked at.
const LOOK_MS: u64 = 100;

/// Time without disruption before a wait counts.
const CALM_MS: u64 = 4_000;

/// Longest wait of a job without a run, or of a lasting task, while there is room.
const WAIT_MAX_MS: u64 = 3_000;

/// Time after its last run from which a lasting task has to be at work.
const LASTING_GAP_MS: u64 = 6_000;

/// What waits: a job, or a task of a lasting job.
type Waiter = (String, Option<u16>);

/// Waits that have lasted too long while no worker and no entry changed.
#[derive(Default)]
pub(crate) struct LongWaits {
    /// Workers that are up, by serial number, and incarnations of entries, as they were at the last look.
    seen: (Vec<u64>, Vec<u64>),
    calm_since_ms: u64,
    since_ms: BTreeMap<Waiter, u64>,
    last_run_ms: BTreeMap<Waiter, u64>,
    /// Each wait that was too long, with when it began.
    pub(crate) found: BTreeMap<Waiter, u64>,
}

impl World {
    /// Runs the world and looks for jobs with nothing running for 3 s although a task's turn has come, there is room for
    /// it twice over and under half of the capacity is in use; and for lasting tasks that are not at work 6 s after
    /// their last run although there is room for them twice over. Both only count after 4 s without disruption.
    pub(crate) fn run_watched(&mut self, ms: u64, jobs: &[String], waits: &mut LongWaits) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.run(LOOK_MS.min(until_ms - self.now_ms));
            self.look_for_waits(jobs, waits);
        }
    }

    fn look_for_waits(&mut self, jobs: &[String], waits: &mut LongWaits) {
        let up = self.workers.values().filter(|w| w.is_up);
        let in_touch = up.filter(|w| w.disconnected_until_ms <= self.now_ms);
        let serials = in_touch.map(|w| w.serial).collect();
        let entries = self.entries.iter().filter(|e| e.state.is_some());
        let seen = (serials, entries.map(|e| e.incarnation).collect());
        if waits.seen != seen || waits.calm_since_ms == 0 {
            waits.seen = seen;
            waits.calm_since_ms = self.now_ms;
        }
        // An entry or a worker that is frozen or cut off is disturbed until that is over.
        let entries = self.entries.iter().map(|e| e.undisturbed_since_ms);
        let workers = self.workers.values().filter(|w| w.is_up);
        let workers = workers.map(|w| w.disconnected_until_ms);
        let disturbed_ms = entries.chain(workers).max().unwrap_or(0);
        waits.calm_since_ms = waits.calm_since_ms.max(disturbed_ms);
        let is_half_free = self.is_half_free();
        for id in jobs {
            let spec = &self.specs[id];
            match spec.is_lasting() {
                true => {
                    for index in 0..spec.steps[0].count {
                        let is_waiting = !self.runs_task(id, index)
                            && self.has_room_twice(id)
                            && self.is_owed(id);
                        waits.note(
                            (id.clone(), Some(index)),
                            is_waiting,
                            !self.runs_task(id, index),
                            self.now_ms,
                        );
                    }
                }
                false => {
                    let is_waiting = is_half_free
                        && self.running(id) == 0
                        && self.has_room_twice(id)
                        && self.is_owed(id);
                    waits.note((id.clone(), None), is_waiting, true, self.now_ms);
                }
            }
        }
    }

    /// Returns whether under half of the processors of the workers that are up are in use.
    fn is_half_free(&self) -> bool {
        let up = || self.workers.values().filter(|w| w.is_up);
        let room: u64 = up().map(|w| w.info.capacity.cpu_milli).sum();
        let runs = up().flat_map(|w| w.running.values());
        let used: u64 = runs.map(|run| run.demand.cpu_milli).sum();
        used * 2 < room
    }

    /// Returns whether a job is neither over nor cancelled, and all its rounds are due.
    fn is_owed(&self, id: &str) -> bool {
        let schedule = self.specs[id].schedule;
        let is_due = schedule
            .is_none_or(|s| WALL_MS + self.now_ms >= s.due_wall_ms(s.rounds.saturating_sub(1)));
        let is_cancelled = self.cancelled_at_ms.contains_key(id);
        is_due
            && !is_cancelled
            && !self.may_be_given_up(id)
            && matches!(
                self.recorded_state(id),
                JobState::Queued | JobState::Running
            )
    }

    /// Returns whether the free capacity of the workers that are up and in touch holds a task of any step of a job, or a
    /// whole gang, twice.
    fn has_room_twice(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        spec.steps.iter().enumerate().all(|(n, step)| {
            let copies = self.workers.values().map(|w| {
                let label = step.label.as_ref();
                let may_take = w.is_up
                    && w.disconnected_until_ms <= self.now_ms
                    && w.draining_since_ms.is_none()
                    && label.is_none_or(|label| w.info.labels.contains(label));
                if !may_take {
                    return 0;
                }
                let mut free = w.info.capacity;
                w.running.values().for_each(|run| {
                    free.cpu_milli = free.cpu_milli.saturating_sub(run.demand.cpu_milli);
                    free.mem_mb = free.mem_mb.saturating_sub(run.demand.mem_mb);
                });
                let here = w.running.keys();
                let siblings = here.filter(|t| t.job == id && usize::from(t.step) == n);
                match (step.per_worker_max, siblings.count()) {
                    (1.., n) if n >= usize::from(step.per_worker_max) => 0,
                    _ => copies_on(step, free),
                }
            });
            let wanted = if step.gang { u64::from(step.count) } else { 1 };
            copies.fold(0, u64::saturating_add) >= wanted * 2
        })
    }

    fn runs_task(&self, id: &str, index: u16) -> bool {
        let up = self.workers.values().filter(|w| w.is_up);
        let mut tasks = up.flat_map(|w| w.running.keys());
        tasks.any(|t| t.job == id && t.index == index)
    }
}

impl LongWaits {
    /// Notes whether a job or a lasting task waits with room now, and whether nothing of it runs.
    fn note(&mut self, waiter: Waiter, is_waiting: bool, is_idle: bool, now_ms: u64) {
        if !is_idle {
            self.last_run_ms.insert(waiter.clone(), now_ms);
        }
        if !is_waiting {
            self.since_ms.remove(&waiter);
            return;
        }
        let since_ms = *self.since_ms.entry(waiter.clone()).or_insert(now_ms);
        let last_run_ms = match waiter.1 {
            Some(_) => self.last_run_ms.get(&waiter).copied(),
            None => None,
        };
        let from_ms = since_ms
            .max(self.calm_since_ms + CALM_MS)
            .max(last_run_ms.map_or(0, |ms| ms + LASTING_GAP_MS - WAIT_MAX_MS));
        if now_ms >= from_ms + WAIT_MAX_MS {
            self.found.entry(waiter).or_insert(since_ms);
        }
    }
}

impl World {
    /// Changes the labels of a worker, which states them in a heartbeat at once.
    pub(crate) fn relabel(&mut self, id: &str, labels: &[&str]) {
        if let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) {
            w.info.labels = labels.iter().map(ToString::to_string).collect();
            self.schedule(0, TimedEvent::Heartbeat(id.to_string()));
        }
    }

    /// Returns the number of tasks that run on all workers.
    pub(crate) fn all_running(&self) -> usize {
        let instances = self.workers.values().filter(|w| w.is_up);
        instances.map(|w| w.running.len()).sum()
    }

    /// Returns whether the workers that are up, if they were empty, could take a task of the first step of a job, or a
    /// whole gang.
    pub(crate) fn fits_somewhere(&self, id: &str) -> bool {
        let step = &self.specs[id].steps[0];
        let up = self.workers.values().filter(|w| w.is_up);
        let labelled = up.filter(|w| {
            let label = step.label.as_ref();
            label.is_none_or(|label| w.info.labels.contains(label))
        });
        let copies = labelled.map(|w| copies_on(step, w.info.capacity));
        let wanted = if step.gang { u64::from(step.count) } else { 1 };
        copies.sum::<u64>() >= wanted
    }
}

/// Returns how many tasks of a step an empty worker can take.
fn copies_on(step: &StepSpec, room: Capacity) -> u64 {
    let demand = step.demand();
    let by_cpu = room.cpu_milli / demand.cpu_milli.max(1);
    let by_mem = room.mem_mb / demand.mem_mb.max(1);
    let most = match step.per_worker_max {
        0 => u64::MAX,
        most => u64::from(most),
    };
    by_cpu.min(by_mem).min(most)
}
