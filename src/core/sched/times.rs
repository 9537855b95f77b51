//! Learns how long steps really take, by queue: callers' estimates are far off, but the jobs of one queue are
//! alike.
//!
//! Durations and errors of estimates are treated as log-normal, since both are ratios. A job's expected time
//! combines its own estimate with the queue's durations, each weighted by the inverse of its variance. The owner of
//! a pool stores the result with its heartbeat.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::job::JobSpec;
use crate::clock::Millis;
use crate::port::fleet::SPAN_MAX_MS;

/// Steps of a queue that must have ended before the learned times are used.
const SAMPLES_MIN: u32 = 12;

/// Approximate number of recent steps that the running average covers.
const SAMPLES_KEPT: u32 = 200;

/// Lower bound of both variances, so that no weight grows without bound.
const VARIANCE_MIN: f64 = 0.01;

/// Learned step durations of all queues of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Times {
    by_queue: BTreeMap<String, QueueTimes>,
}

/// A running mean and variance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Spread(f64, f64);

impl Spread {
    fn note(&mut self, value: f64, samples: u32) {
        let part = 1.0 / f64::from(samples.clamp(1, SAMPLES_KEPT));
        let off = value - self.0;
        self.0 += part * off;
        self.1 = (1.0 - part) * (self.1 + part * off * off);
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct QueueTimes {
    samples: u32,
    /// Logarithm of the steps' durations in milliseconds.
    took: Spread,
    /// Logarithm of the estimate divided by the step's duration.
    error: Spread,
}

impl QueueTimes {
    fn expected_ms(&self, estimate_ms: Millis) -> Millis {
        if self.samples < SAMPLES_MIN {
            return estimate_ms;
        }
        let by_queue = 1.0 / self.took.1.max(VARIANCE_MIN);
        let by_estimate = 1.0 / self.error.1.max(VARIANCE_MIN);
        let estimate = (estimate_ms.max(1) as f64).ln() - self.error.0;
        let mean = (self.took.0 * by_queue + estimate * by_estimate) / (by_queue + by_estimate);
        mean.exp() as Millis
    }
}

impl Times {
    /// Records that a step with this estimate took `took_ms`, which is the time of its longest task.
    pub fn record(&mut self, queue: &str, estimate_ms: Millis, took_ms: Millis) {
        let times = match self.by_queue.get_mut(queue) {
            Some(times) => times,
            None => self.by_queue.entry(queue.to_string()).or_default(),
        };
        let took = (took_ms.max(1) as f64).ln();
        let estimate = (estimate_ms.max(1) as f64).ln();
        times.samples = times.samples.saturating_add(1);
        times.took.note(took, times.samples);
        times.error.note(estimate - took, times.samples);
    }

    /// Returns how long the steps of a job are expected to take.
    pub fn expected_step_ms(&self, spec: &JobSpec) -> Vec<Millis> {
        let times = self.by_queue.get(&spec.queue);
        let expected = spec.steps.iter().map(|step| match times {
            Some(times) if !step.lasting => times.expected_ms(step.estimate_ms),
            _ => step.estimate_ms,
        });
        expected.map(|ms| ms.min(SPAN_MAX_MS)).collect()
    }
}
