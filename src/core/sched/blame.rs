//! What is known of the workers that ended under a task, kept with the task's record, and what follows from it.
//!
//! An end is evidence only as far as it is certain: the run was there when its worker went, and nobody had planned that.
//! Ends that a new owner finds are certain where the record says that the run had begun; that is written for tasks under
//! which a life ended before, so that it costs next to no writes.

use serde::{Deserialize, Serialize};

use super::limits::{
    BLAMED_MAX, CRASHER_WEIGHT, ENDED_MAX, LASTING_CRASHED_MAX, LIKELY_MAX, LIKELY_WEIGHT,
    PAST_THIRD_MAX, PAUSE_MAX_MS, PAUSE_MS,
};
use crate::clock::Millis;

/// With the third life that may have ended under a task the platform begins to count its starts.
const COUNTED_FROM: u8 = 3;

/// Lives of workers that ended under a task, but for those whose end was planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LivesEnded {
    /// Those that crashed as they had just started it: it may be the cause.
    #[serde(rename = "b", default, skip_serializing_if = "is_default")]
    pub blamed: u8,
    /// Those that certainly crashed under it.
    #[serde(rename = "c", default, skip_serializing_if = "is_default")]
    pub crashed: u8,
    /// Those that a new owner found gone, with its run on record as begun.
    #[serde(rename = "f", default, skip_serializing_if = "is_default")]
    pub found: u8,
    /// All that are not known to have outlived its start, also those that were only cut off, or under which it may not
    /// have begun.
    #[serde(rename = "a", default, skip_serializing_if = "is_default")]
    pub all: u8,
    /// It has been at work for long: it is not what brings workers down, and nothing more is counted.
    #[serde(rename = "s", default, skip_serializing_if = "is_default")]
    pub is_sound: bool,
    /// The run under which the third of them all ended; 0 before.
    #[serde(rename = "t", default, skip_serializing_if = "is_default")]
    pub third_run: u32,
    /// Its present run is known to have begun.
    #[serde(rename = "g", default, skip_serializing_if = "is_default")]
    pub has_begun: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl LivesEnded {
    /// Of a task that met none.
    pub const NONE: Self = Self {
        blamed: 0,
        crashed: 0,
        found: 0,
        all: 0,
        is_sound: false,
        third_run: 0,
        has_begun: false,
    };

    /// Of a task that is not what brings workers down.
    pub const SOUND: Self = Self {
        is_sound: true,
        ..Self::NONE
    };

    /// Whether more is to be told of its runs than of others: a life ended under it, and it is not known to be sound.
    pub fn is_noted(self) -> bool {
        self.all > 0 && !self.is_sound
    }

    /// Whether the task is given up after that run. What lasts meets many ends that it has nothing to do with, and
    /// nobody does its work in its place: it is tried again with a growing pause, and left alone on certain crashes only.
    pub fn is_too_many(self, lasts: bool, run: u32) -> bool {
        let is_past_third = self.third_run > 0 && run >= self.third_run + PAST_THIRD_MAX;
        if lasts {
            let is_certain = self.crashed >= LASTING_CRASHED_MAX;
            return is_certain || (self.weight() >= LIKELY_WEIGHT && is_past_third);
        }
        let is_counted = is_past_third || self.all >= LIKELY_MAX;
        let is_likely = self.weight() >= LIKELY_WEIGHT && is_counted;
        let is_crasher = self.weight() >= CRASHER_WEIGHT || is_likely;
        is_crasher || self.blamed >= BLAMED_MAX || self.all >= ENDED_MAX
    }

    /// What the crashes weigh. One that was found counts half: the run may have come to its own end while nobody owned
    /// the pool, or before that was put on record.
    fn weight(self) -> u8 {
        let crashed = self.crashed.saturating_mul(2);
        crashed.saturating_add(self.found)
    }

    /// How long a task that lasts waits for its next start: the first crash may be anything, so nothing is lost by it.
    pub fn pause_ms(self) -> Millis {
        match self.crashed {
            0 | 1 => 0,
            n => (PAUSE_MS << (n - 2).min(8)).min(PAUSE_MAX_MS),
        }
    }

    /// Adds what an end under that run counts.
    pub fn add(&mut self, end: Self, run: u32) {
        self.blamed = self.blamed.saturating_add(end.blamed);
        self.crashed = self.crashed.saturating_add(end.crashed);
        self.found = self.found.saturating_add(end.found);
        self.all = self.all.saturating_add(end.all);
        if self.third_run == 0 && self.all >= COUNTED_FROM {
            self.third_run = run;
        }
    }
}
