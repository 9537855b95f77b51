//! What callers' jobs look like: steps, rounds, how long their tasks work.

use std::time::{SystemTime, UNIX_EPOCH};

use fastrand::Rng;
use serde_json::{json, Value};

/// The work of a long task, in milliseconds: a run of it outlives a change of owner.
const LONG_MS: std::ops::Range<u64> = 500..4_000;

/// A job, as it is sent.
pub(crate) struct Shape {
    /// Its text, which all tasks carry.
    pub(crate) text: String,
    /// The whole body.
    pub(crate) body: Value,
    /// All its tasks by name.
    pub(crate) tasks: Vec<String>,
}

/// Draws of what came later than the first jobs, so that seeds that failed before send the older ones as they did.
pub(crate) struct Shapes {
    rng: Rng,
    timed: u32,
}

impl Shapes {
    /// One job in `timed` is timed; none at 0.
    pub(crate) fn new(seed: u64, timed: u32) -> Self {
        Self {
            rng: Rng::with_seed(seed.rotate_left(23)),
            timed,
        }
    }

    /// A job of a number of tasks in its first step.
    pub(crate) fn draw(&mut self, id: &str, tasks: u64, lasts: bool) -> Shape {
        let long_ms = (self.rng.u32(..3) == 0).then(|| self.rng.u64(LONG_MS));
        let more_steps = self.rng.usize(..8).saturating_sub(5);
        let is_timed = self.timed > 0 && self.rng.u32(..self.timed) == 0;
        let long_ms = long_ms.filter(|_| !lasts);
        let more_steps = if lasts { 0 } else { more_steps };
        let word = if lasts { "lasts" } else { "work" };
        let text = match long_ms {
            Some(ms) => format!("{word} {id} ms={ms}"),
            None => format!("{word} {id}"),
        };
        let mut steps = vec![step(tasks, lasts, long_ms)];
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
        if is_timed && !lasts {
            rounds = self.rng.u64(2..9);
            body["repeat_count"] = json!(rounds);
            body["start_at_ms"] = json!(wall_ms() + self.rng.u64(..500));
            body["interval_ms"] = json!(self.rng.u64(100..900));
        }
        Shape {
            text,
            body,
            tasks: names(id, rounds, &counts),
        }
    }
}

fn step(count: u64, lasts: bool, long_ms: Option<u64>) -> Value {
    json!({"count": count, "cpu": 500, "mem_mb": 50, "estimate_ms": long_ms.unwrap_or(200),
        "long_running": lasts, "may_miss": lasts.then_some(1)})
}

fn names(id: &str, rounds: u64, counts: &[u64]) -> Vec<String> {
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
