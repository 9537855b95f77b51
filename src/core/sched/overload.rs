//! Which jobs can be in time together, where a pool has more work than room.
//!
//! The load that this answers: a queue asks five times its mean for some seconds, more than its pool holds. By
//! earliest objective alone each job then waits for all before it, and nearly all end a little late. So the jobs
//! are taken in the order in which they must start, and where the work up to one of them is more than the room
//! until then can take, the one with the most work left is set behind (Moore and Hodgson's rule): as few as possible miss
//! their objectives. What is set behind goes on as soon as there is room, and counts in full in what the pool
//! needs.

use std::collections::BinaryHeap;

use super::keys::JobKey;
use crate::clock::Millis;

/// A job that was set behind stays there for so long, so that its tasks do not change places with others at each
/// look. About as long as jobs have until their objectives on the users' sites: in a replayed peak of twice the
/// room, 451 of 750 jobs were in time with it, 432 with 1 s, and 393 with none set behind.
const BEHIND_MS: Millis = 4_000;

/// Hosts that a pool lacks are counted as there so long after it began to lack them: a move takes 1.5 s, and the
/// way to it 0.5 s. Where they have not come by then, only those that are there count.
pub const COMING_MS: Millis = 2_000;

/// Share of the room that work can use in percent: tasks do not fill hosts to the brim. 75 gave the same in that
/// peak, 110 less (431).
const FILL_PERCENT: u64 = 90;

/// The processors of a pool, now and soon, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Those of hosts that take work now.
    pub now_cpu_milli: u64,
    /// Those of them that nothing runs on.
    pub free_cpu_milli: u64,
    /// Those of the hosts that the pool needs, if they are expected at all.
    pub coming_cpu_milli: u64,
    /// How long until those are there.
    pub coming_in_ms: Millis,
}

impl Supply {
    /// Core-milliseconds of work, in tasks of `task_ms`, that can be started within `ms`: what is free takes tasks
    /// at once, and what is full as its tasks end.
    pub fn startable(&self, ms: Millis, task_ms: Millis) -> u64 {
        let more_milli = self.coming_cpu_milli.saturating_sub(self.now_cpu_milli);
        let more_ms = match ms.checked_sub(self.coming_in_ms) {
            Some(left_ms) => left_ms + task_ms,
            None => 0,
        };
        let sum = self.now_cpu_milli * ms + self.free_cpu_milli * task_ms + more_milli * more_ms;
        sum / 1_000 * FILL_PERCENT / 100
    }
}

/// A job that could be in time, were it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contender {
    /// The job.
    pub job: JobKey,
    /// When its last tasks must start for it to be in time.
    pub start_by_ms: Millis,
    /// How long its tasks take, those of its longest step.
    pub task_ms: Millis,
    /// The work of its tasks that were not started, in core-milliseconds.
    pub work: u64,
}

/// The jobs that are to be set behind for the others to be in time.
pub fn jobs_to_defer(mut jobs: Vec<Contender>, supply: &Supply, now_ms: Millis) -> Vec<JobKey> {
    jobs.sort_unstable_by_key(|job| (job.start_by_ms, job.job));
    let mut kept: BinaryHeap<(u64, JobKey)> = BinaryHeap::new();
    let mut sum = 0;
    let mut behind = Vec::new();
    for job in jobs {
        kept.push((job.work, job.job));
        sum += job.work;
        let most = supply.startable(job.start_by_ms.saturating_sub(now_ms), job.task_ms);
        while sum > most {
            let Some((work, largest)) = kept.pop() else {
                break;
            };
            sum -= work;
            behind.push(largest);
        }
    }
    behind
}

/// Whether a job counts as set behind, and since when that was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deferral {
    until_ms: Millis,
}

impl Deferral {
    /// Sets the job behind from now on.
    pub fn set(&mut self, now_ms: Millis) {
        self.until_ms = now_ms + BEHIND_MS;
    }

    /// Whether it is behind now.
    pub fn is_set(self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}
