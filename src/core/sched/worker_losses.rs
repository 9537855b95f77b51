//! Counts the worker instances that ended while a task ran, and decides from the counts when the task is given up. The
//! counts are stored with the task's progress.
//!
//! An end counts in full only if the run was certainly executing when its worker ended and the end was not planned. An
//! owner records what it saw of a run when the worker's connections close and, for tasks that have lost an instance
//! before, as soon as the run begins. A new owner that finds the instance ended thus knows what the former one knew.

use serde::{Deserialize, Serialize};

use super::limits::{
    BLAMED_MAX, CRASHED_WEIGHT, CRASHER_WEIGHT, ENDED_MAX, ENDED_WEIGHT, LASTING_CRASHED_MAX,
    LIKELY_MAX, LIKELY_WEIGHT, PAST_THIRD_MAX, RESTART_PAUSE_MAX_MS, RESTART_PAUSE_MS,
    STARTED_OUT_WEIGHT,
};
use crate::clock::Millis;

/// The platform starts to count a task's starts once the third instance may have ended while it ran the task.
const STARTS_LIMITED_FROM: u8 = 3;

/// Counts of worker instances that may have ended while they ran a task. Planned ends are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLosses {
    /// Instances that crashed when they had just started the task, so that the task may be the cause.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub blamed: u8,
    /// Instances that certainly crashed while the task ran.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub crashed: u8,
    /// Instances that may have crashed while the task ran: its run had begun, but may have ended by itself without a
    /// report or a record of that.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub likely: u8,
    /// All instances that are not known to have outlived the task's start, including those that were only cut off and
    /// those on which the run may not have begun.
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub all: u8,
    /// The run in which the third instance of `all` ended, plus one for each later run that never started; 0 before the
    /// third.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub third_run: u32,
    /// What was observed of the current run.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub seen: Seen,
}

/// What an owner observed of a run. It is recorded because a later owner can't find out once the worker has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Seen {
    /// The run may not have begun.
    #[default]
    #[serde(rename = "n")]
    Nothing,
    /// The run had begun.
    #[serde(rename = "b")]
    Begun,
    /// The run was executing when its worker's connections closed.
    #[serde(rename = "g")]
    Gone,
    /// The same, and the run had only just begun.
    #[serde(rename = "f")]
    GoneFresh,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl WorkerLosses {
    /// The losses of a task that has none.
    pub const NONE: Self = Self {
        blamed: 0,
        crashed: 0,
        likely: 0,
        all: 0,
        third_run: 0,
        seen: Seen::Nothing,
    };

    /// Returns whether an instance may have ended while it ran the task, so that more about the task's runs is
    /// recorded.
    pub fn has_losses(self) -> bool {
        self.all > 0
    }

    /// Returns whether the platform's limit on starts applies, which allows two more. The next start must then show
    /// whether the task is the cause.
    pub fn is_start_limited(self) -> bool {
        self.all >= STARTS_LIMITED_FROM
    }

    /// Returns whether the task is given up after the run `run`. A lasting task meets many ends that it didn't cause,
    /// and no other task does its work, so it is retried with a growing pause and given up only after certain crashes.
    pub fn is_over_limit(self, lasts: bool, run: u32) -> bool {
        let is_past_third = self.third_run > 0 && run >= self.third_run + PAST_THIRD_MAX;
        if lasts {
            let is_near_bound = self.crashed >= BLAMED_MAX && is_past_third;
            let is_certain = self.crashed >= LASTING_CRASHED_MAX && self.all >= LIKELY_MAX;
            return is_certain || is_near_bound;
        }
        let is_crasher = self.blamed >= BLAMED_MAX || self.weight() >= CRASHER_WEIGHT;
        let is_likely = self.all >= LIKELY_MAX && self.weight() >= LIKELY_WEIGHT;
        let is_started_out = is_past_third && self.weight() >= STARTED_OUT_WEIGHT;
        let is_at_bound = self.all >= ENDED_MAX && self.weight() >= ENDED_WEIGHT;
        is_crasher || is_likely || is_started_out || is_at_bound
    }

    /// Returns the combined weight of the certain and the likely crashes.
    fn weight(self) -> u8 {
        let crashed = self.crashed.saturating_mul(CRASHED_WEIGHT);
        crashed.saturating_add(self.likely)
    }

    /// Returns how long a lasting task waits before its next start. There is no pause after the first crash, since
    /// anything may have caused it.
    pub fn pause_ms(self) -> Millis {
        match self.crashed {
            0 | 1 => 0,
            n => (RESTART_PAUSE_MS << (n - 2).min(8)).min(RESTART_PAUSE_MAX_MS),
        }
    }

    /// Notes that the last run certainly never started, so that it doesn't count as a start.
    pub fn note_never_started(&mut self) {
        if self.third_run > 0 {
            self.third_run += 1;
        }
    }

    /// Adds the losses of one worker's end, which happened during the run `run`.
    pub fn add(&mut self, end: Self, run: u32) {
        self.blamed = self.blamed.saturating_add(end.blamed);
        self.crashed = self.crashed.saturating_add(end.crashed);
        self.likely = self.likely.saturating_add(end.likely);
        self.all = self.all.saturating_add(end.all);
        if self.third_run == 0 && self.all >= STARTS_LIMITED_FROM {
            self.third_run = run;
        }
    }
}
