//! A job as submitted: steps of tasks, with what each task needs.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::port::fleet::{Capacity, FleetConfig};

/// A job as submitted. This is also what its row holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue that it was sent to.
    pub queue: String,
    /// The client account that handed it in; none on a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Handed to its tasks as it is.
    pub payload: String,
    /// What is to be done.
    pub steps: Vec<StepSpec>,
    /// Set for a job that runs at set times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// What its queue promised as it was accepted; missing where an earlier version wrote the row.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    /// Wall clock of the entry that took it in.
    pub accepted_wall_ms: Millis,
}

/// What a queue promises of its jobs, by a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The configuration's version.
    pub config: u64,
    /// Failed runs of a task after which its job has failed.
    pub attempts_max: u32,
    /// How long a job may take on top of its stretched chain.
    pub target_ms: Millis,
    /// Factor on the longest chain of work, in thousandths.
    pub stretch_milli: u64,
}

impl QueuePolicy {
    /// Of a queue, if the configuration names it.
    pub fn of(queue: &str, config: &FleetConfig) -> Option<Self> {
        let queue = config.queues.get(queue)?;
        Some(Self {
            config: config.version,
            attempts_max: queue.attempts_max,
            target_ms: queue.target_ms,
            stretch_milli: queue.stretch_milli,
        })
    }

    /// The same, as a later configuration has it.
    pub fn at(self, config: u64) -> Self {
        Self { config, ..self }
    }
}

/// When the rounds of a timed job fall due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds.
    pub rounds: u32,
    /// Wall clock of round 0.
    pub first_wall_ms: Millis,
    /// Time from one round to the next.
    pub interval_ms: Millis,
}

/// One step: so many alike tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Thousandths of a core that a task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub cpu_milli: u64,
    /// Memory that a task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub mem_mb: u64,
    /// Accelerators that a task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub gpu: u64,
    /// The caller's guess of a task's time.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// Steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "is_default")]
    pub after: Vec<u16>,
    /// Its tasks can go on from checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// All tasks run together or not at all.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// The gang is slow across racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// A label that the worker must have.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<String>,
    /// The rack where the data lies.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for any number.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker_max: u16,
    /// Copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub copies: bool,
    /// Its tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub lasting: bool,
    /// What its tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound on the tail of what its tasks serve; 0 where they serve nobody.
    #[serde(skip_serializing_if = "is_default")]
    pub tail_max_ms: Millis,
    /// Its tasks live on processor time that others leave over.
    #[serde(skip_serializing_if = "is_default")]
    pub filler: bool,
    /// Most tasks of the step that we may keep away at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub away_max: Option<u16>,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl StepSpec {
    /// What a task takes of a worker's capacity.
    pub fn demand(&self) -> Capacity {
        Capacity {
            cpu_milli: if self.filler { 0 } else { self.cpu_milli },
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }

    /// What a task counts against its account's quota: its processors also where they are others' leavings.
    pub fn charge(&self) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli,
            ..self.demand()
        }
    }
}

impl JobSpec {
    /// Whether it runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// Its work in core-milliseconds, but for what lasts, if each step takes as long as `step_ms` says.
    pub fn work(&self, step_ms: &[Millis]) -> u64 {
        let ends = self.steps.iter().zip(step_ms).filter(|(s, _)| !s.lasting);
        ends.map(|(s, ms)| u64::from(s.count) * s.demand().cpu_milli * ms / 1_000)
            .sum()
    }

    /// The longest chain through the steps that `counts` names, each as long as `step_ms` says.
    pub fn longest_ms(&self, step_ms: &[Millis], counts: impl Fn(usize) -> bool) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for (n, step) in self.steps.iter().enumerate() {
            let begin = step
                .after
                .iter()
                .filter_map(|s| ends.get(usize::from(*s)))
                .max()
                .copied()
                .unwrap_or(0);
            let own_ms = if counts(n) { step_ms[n] } else { 0 };
            ends.push(begin + own_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// What is wrong with it, if something is.
    pub fn fault(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("a job needs at least one step");
        }
        if self.steps.iter().any(|s| s.count == 0) {
            return Some("a step needs at least one task");
        }
        if self
            .steps
            .iter()
            .map(|s| usize::from(s.count))
            .sum::<usize>()
            > TASKS_MAX
        {
            return Some("too many tasks in one job");
        }
        let forward = |(n, s): (usize, &StepSpec)| s.after.iter().any(|a| usize::from(*a) >= n);
        if self.steps.iter().enumerate().any(forward) {
            return Some("a step may only wait for earlier steps");
        }
        None
    }
}

/// Most tasks in one job, so that its progress fits a row of 64 KB at some 20 bytes a task.
pub const TASKS_MAX: usize = 2_000;

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; nothing of it has begun.
    #[default]
    Queued,
    /// A task of it has begun.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether it stays so for good.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        )
    }
}
