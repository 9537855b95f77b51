//! What is known of the workers that ended under a task, kept with the task's record, and what follows from it.
//!
//! An end is evidence only as far as it is certain: the run was there when its worker went, and nobody had planned that.
//! What an owner saw of a run is written as its worker's connections end, and, for tasks under which a life ended before,
//! as the run begins; so a new owner that finds the life over knows what the former one knew.

use serde::{Deserialize, Serialize};

use super::limits::{
    BLAMED_MAX, CRASHED_WEIGHT, CRASHER_WEIGHT, ENDED_MAX, ENDED_WEIGHT, LASTING_CRASHED_MAX,
    LIKELY_MAX, LIKELY_WEIGHT, PAST_THIRD_MAX, PAUSE_MAX_MS, PAUSE_MS, STARTED_OUT_WEIGHT,
};
use crate::clock::Millis;

/// With the third life that may have ended under a task the platform begins to count its starts.
const COUNTED_FROM: u8 = 3;

/// Lives of workers that ended under a task, but for those whose end was planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLosses {
    /// Those that crashed as they had just started it: it may be the cause.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub blamed: u8,
    /// Those that certainly crashed under it.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub crashed: u8,
    /// Those that may have crashed under it: its run had begun, and may have come to its own end unheard, or before that
    /// was on record.
    #[serde(rename = "l", default, skip_serializing_if = "is_default")]
    pub likely: u8,
    /// All that are not known to have outlived its start, also those that were only cut off, or under which it may not
    /// have begun.
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub all: u8,
    /// The run under which the third of them all ended, moved on by later ones that never began; 0 before.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub third_run: u32,
    /// What was seen of its present run.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub seen: Seen,
}

/// What an owner saw of a run, for the next one: should its worker turn out to have ended, nobody else can tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Seen {
    /// It may not have begun.
    #[default]
    #[serde(rename = "n")]
    Nothing,
    /// It had begun.
    #[serde(rename = "b")]
    Begun,
    /// It was there when its worker went with its connections.
    #[serde(rename = "g")]
    Gone,
    /// That was as it had just begun.
    #[serde(rename = "f")]
    GoneFresh,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl WorkerLosses {
    /// Of a task that met none.
    pub const NONE: Self = Self {
        blamed: 0,
        crashed: 0,
        likely: 0,
        all: 0,
        third_run: 0,
        seen: Seen::Nothing,
    };

    /// Whether more is to be told of its runs than of others: a life ended under it.
    pub fn is_noted(self) -> bool {
        self.all > 0
    }

    /// Whether its next start must tell whether it is the cause: the platform allows two more.
    pub fn is_near_bound(self) -> bool {
        self.all >= COUNTED_FROM
    }

    /// Whether the task is given up after that run. What lasts meets many ends that it has nothing to do with, and
    /// nobody does its work in its place: it is tried again with a growing pause, and left alone on certain crashes only.
    pub fn is_too_many(self, lasts: bool, run: u32) -> bool {
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

    /// What the crashes weigh together.
    fn weight(self) -> u8 {
        let crashed = self.crashed.saturating_mul(CRASHED_WEIGHT);
        crashed.saturating_add(self.likely)
    }

    /// How long a task that lasts waits for its next start: the first crash may be anything, so nothing is lost by it.
    pub fn pause_ms(self) -> Millis {
        match self.crashed {
            0 | 1 => 0,
            n => (PAUSE_MS << (n - 2).min(8)).min(PAUSE_MAX_MS),
        }
    }

    /// Takes in that its last run certainly never began, so that it is no start.
    pub fn note_unbegun(&mut self) {
        if self.third_run > 0 {
            self.third_run += 1;
        }
    }

    /// Adds what an end under that run counts.
    pub fn add(&mut self, end: Self, run: u32) {
        self.blamed = self.blamed.saturating_add(end.blamed);
        self.crashed = self.crashed.saturating_add(end.crashed);
        self.likely = self.likely.saturating_add(end.likely);
        self.all = self.all.saturating_add(end.all);
        if self.third_run == 0 && self.all >= COUNTED_FROM {
            self.third_run = run;
        }
    }
}
