//! Draws the jobs that callers submit: their steps, their rounds and the run time of their tasks.

use std::ops::Range;
use std::time::{SystemTime, UNIX_EPOCH};

use fastrand::Rng;
use serde_json::{json, Value};

/// Run time of a long task in milliseconds; it may outlast a change of owner.
pub(crate) const LONG_MS: Range<u64> = 500..4_000;

/// Holds a job as it is sent.
pub(crate) struct Shape {
    /// Text that all its tasks carry; the stand-in's workers read the run time from it.
    pub(crate) text: String,
    /// Body of the request.
    pub(crate) body: Value,
    /// Names of all its tasks.
    pub(crate) tasks: Vec<String>,
}

/// Draws the properties of jobs. Its generator is separate from the caller's, so that saved seeds draw the caller's
/// other choices as before.
pub(crate) struct Shapes {
    rng: Rng,
    timed: u32,
    /// Run time of a long task in milliseconds.
    long_ms: Range<u64>,
}

impl Shapes {
    /// Creates the generator; one job in `timed` has a schedule, none if 0.
    pub(crate) fn new(seed: u64, timed: u32) -> Self {
        Self {
            rng: Rng::with_seed(seed.rotate_left(23)),
            timed,
            long_ms: LONG_MS,
        }
    }

    /// Sets the range from which the run time of a long task is drawn, in milliseconds.
    pub(crate) fn with_long_ms(self, long_ms: Range<u64>) -> Self {
        Self { long_ms, ..self }
    }

    /// Draws a job with `tasks` tasks in its first step.
    pub(crate) fn draw(&mut self, id: &str, tasks: u64, is_long_running: bool) -> Shape {
        let long_ms = (self.rng.u32(..3) == 0).then(|| self.rng.u64(self.long_ms.clone()));
        let more_steps = self.rng.usize(..8).saturating_sub(5);
        let is_timed = self.timed > 0 && self.rng.u32(..self.timed) == 0;
        let long_ms = long_ms.filter(|_| !is_long_running);
        let more_steps = if is_long_running { 0 } else { more_steps };
        let word = if is_long_running { "lasts" } else { "work" };
        let text = match long_ms {
            Some(ms) => format!("{word} {id} ms={ms}"),
            None => format!("{word} {id}"),
        };
        let mut steps = vec![step(tasks, is_long_running, long_ms)];
        let mut counts = vec![tasks];
        for n in 0..more_steps {
            let count = self.rng.u64(1..4);
            let mut next = step(count, false, long_ms);
            next["depends_on"] = json!([n]);
            steps.push(next);
            counts.push(count);
        }
        let mut body = json!({"spec": text, "steps": steps});
        let mut rounds = 1;
        if is_timed && !is_long_running {
            rounds = self.rng.u64(2..9);
            body["repeat_count"] = json!(rounds);
            body["start_at_ms"] = json!(wall_ms() + self.rng.u64(..500));
            body["interval_ms"] = json!(self.rng.u64(100..900));
        }
        Shape {
            text,
            body,
            tasks: task_names(id, rounds, &counts),
        }
    }
}

fn step(count: u64, is_long_running: bool, long_ms: Option<u64>) -> Value {
    json!({"count": count, "cpu": 500, "mem_mb": 50, "estimate_ms": long_ms.unwrap_or(200),
        "long_running": is_long_running, "may_miss": is_long_running.then_some(1)})
}

fn task_names(id: &str, rounds: u64, counts: &[u64]) -> Vec<String> {
    let mut all = Vec::new();
    for round in 0..rounds {
        for (step, count) in counts.iter().enumerate() {
            all.extend((0..*count).map(|n| format!("{id}.{round}.{step}.{n}")));
        }
    }
    all
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
