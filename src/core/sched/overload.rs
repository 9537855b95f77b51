//! Decides which rounds of jobs to defer where a pool has more work than capacity, so that as many as possible are in
//! time. A job without a schedule is one round.
//!
//! The overload that this handles: a queue gets five times its mean load for some seconds, more than its pool can
//! run. With the earliest deadline first alone, each job waits for all before it, and nearly all end a little late.
//! So jobs are taken in the order in which they must start, and where the work up to one of them exceeds the
//! capacity until then, the job with the most work left is deferred (Moore and Hodgson's rule), which minimizes the
//! number of late jobs. Deferred jobs run as soon as there is room, and count in full in the pool's need for hosts.
//! The `order` module calls this one.

use std::collections::BinaryHeap;

use super::keys::RoundKey;
use crate::clock::Millis;

/// How long a job stays deferred, so that its tasks don't change places with others in each pass. This is about the
/// time that jobs have until their deadlines on the users' sites. In a replayed peak of twice the capacity, 451 of 750
/// jobs were in time with this value, 432 with 1 s, and 393 without deferral.
const DEFERRAL_MS: Millis = 4_000;

/// Missing hosts count as available this long after the pool began to lack them: a move takes 1.5 s, and ordering
/// it 0.5 s. If they have not arrived by then, only the present hosts count.
pub const HOSTS_EXPECTED_MS: Millis = 2_000;

/// Percentage of the capacity that work can use, since tasks don't fill hosts completely. In the replayed peak of
/// `DEFERRAL_MS`, 75 gave the same result, and with 110 only 431 jobs were in time.
const FILL_PERCENT: u64 = 90;

/// The processors of a pool, now and soon, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Supply {
    /// Processors of the hosts that take work now.
    pub now_cpu_milli: u64,
    /// The part of `now_cpu_milli` that is free.
    pub free_cpu_milli: u64,
    /// Processors of all hosts that the pool needs, if missing ones are expected; else 0.
    pub coming_cpu_milli: u64,
    /// How long until the missing hosts are expected.
    pub coming_in_ms: Millis,
}

impl Supply {
    /// Returns the core-milliseconds of work, in tasks of `task_ms`, that can be started within `ms`. Free
    /// processors take tasks at once, and busy ones as their tasks end.
    pub fn startable_core_ms(&self, ms: Millis, task_ms: Millis) -> u64 {
        let more_milli = self.coming_cpu_milli.saturating_sub(self.now_cpu_milli);
        let more_ms = match ms.checked_sub(self.coming_in_ms) {
            Some(left_ms) => left_ms + task_ms,
            None => 0,
        };
        let product = |cpu_milli: u64, ms: Millis| cpu_milli.saturating_mul(ms);
        let sum = product(self.now_cpu_milli, ms)
            .saturating_add(product(self.free_cpu_milli, task_ms))
            .saturating_add(product(more_milli, more_ms));
        sum / 1_000 * FILL_PERCENT / 100
    }
}

/// A round of a job that could be in time if it were alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contender {
    /// The round.
    pub round: RoundKey,
    /// The latest time at which the round's last tasks may start for the round to be in time.
    pub start_by_ms: Millis,
    /// Duration of the tasks of the round's longest unfinished step.
    pub task_ms: Millis,
    /// Work of the round's tasks that have not started, in core-milliseconds.
    pub work_core_ms: u64,
}

/// Returns the rounds to defer so that the others can be in time.
pub fn rounds_to_defer(
    mut contenders: Vec<Contender>,
    supply: &Supply,
    now_ms: Millis,
) -> Vec<RoundKey> {
    contenders.sort_unstable_by_key(|contender| (contender.start_by_ms, contender.round));
    let mut kept: BinaryHeap<(u64, RoundKey)> = BinaryHeap::new();
    let mut sum = 0;
    let mut deferred = Vec::new();
    for contender in contenders {
        kept.push((contender.work_core_ms, contender.round));
        sum += contender.work_core_ms;
        let left_ms = contender.start_by_ms.saturating_sub(now_ms);
        let startable_work = supply.startable_core_ms(left_ms, contender.task_ms);
        while sum > startable_work {
            let Some((work, largest)) = kept.pop() else {
                break;
            };
            sum -= work;
            deferred.push(largest);
        }
    }
    deferred
}

/// Whether a round is deferred, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deferral {
    until_ms: Millis,
}

impl Deferral {
    /// Defers the round for `DEFERRAL_MS` from now.
    pub fn set(&mut self, now_ms: Millis) {
        self.until_ms = now_ms + DEFERRAL_MS;
    }

    /// Whether the round is deferred now.
    pub fn is_set(self, now_ms: Millis) -> bool {
        now_ms < self.until_ms
    }
}
