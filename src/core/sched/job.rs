//! Defines a job as it is submitted and stored: its steps of tasks, what each task needs, and the policy of its queue.
//! Entries write it at acceptance; the owner of the pool reads it.

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::clock::Millis;
use crate::port::fleet::{
    AdviceTerms, Capacity, FleetConfig, CAPACITY_MAX, MOMENT_MAX_MS, NAME_BYTES_MAX,
    PAYLOAD_BYTES_MAX,
};

/// A job as submitted. The job's row in the store holds this.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Pool that runs it; `None` if that is the pool in whose intake it is stored. This is the first field of a row, so
    /// that rows of other pools are told apart without decoding all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Queue to which it was submitted.
    pub queue: String,
    /// The client account that submitted it; `None` on a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub account: Option<String>,
    /// Passed to its tasks unchanged.
    pub payload: String,
    /// Steps of the job. A step's number is its index.
    pub steps: Vec<StepSpec>,
    /// Set for a job whose rounds run on a schedule.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
    /// The queue's policy at acceptance; missing in rows written by an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<QueuePolicy>,
    /// Wall clock of the entry that accepted it.
    pub accepted_wall_ms: Millis,
}

/// What a version of the configuration promises to a queue's jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Version of the configuration.
    pub config: u64,
    /// Number of failed runs of one task at which the job fails.
    pub attempts_max: u32,
    /// Time that a job may take in addition to its stretched chain of steps.
    pub target_ms: Millis,
    /// Factor on the longest chain of steps, in thousandths.
    pub stretch_milli: u64,
    /// The terms of the advice service; `None` if every worker of the pool may run the job's steps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceTerms>,
}

impl QueuePolicy {
    /// Returns the policy of a queue, or `None` if the configuration doesn't have the queue.
    pub fn of(queue: &str, config: &FleetConfig) -> Option<Self> {
        let queue = config.queues.get(queue)?;
        Some(Self {
            config: config.version,
            attempts_max: queue.attempts_max,
            target_ms: queue.target_ms,
            stretch_milli: queue.stretch_milli,
            advice: queue.advice,
        })
    }

    /// Returns the same policy with another configuration version.
    pub fn with_config_version(self, config: u64) -> Self {
        Self { config, ..self }
    }
}

/// Times at which the rounds of a scheduled job fall due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of rounds.
    pub rounds: u32,
    /// Wall-clock time of round 0.
    pub first_wall_ms: Millis,
    /// Time from one round to the next.
    pub interval_ms: Millis,
}

impl Schedule {
    /// Returns the wall-clock time at which a round may begin.
    pub fn due_wall_ms(&self, round: u32) -> Millis {
        let after_ms = Millis::from(round).saturating_mul(self.interval_ms);
        let due_ms = self.first_wall_ms.saturating_add(after_ms);
        due_ms.min(MOMENT_MAX_MS)
    }
}

/// One step: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u16,
    /// Thousandths of a core that a task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub cpu_milli: u64,
    /// Memory that a task needs, in megabytes.
    #[serde(skip_serializing_if = "is_default")]
    pub mem_mb: u64,
    /// Number of accelerators that a task needs.
    #[serde(skip_serializing_if = "is_default")]
    pub gpu: u64,
    /// The caller's estimate of a task's time.
    #[serde(skip_serializing_if = "is_default")]
    pub estimate_ms: Millis,
    /// Steps whose tasks must all be done first, each once.
    #[serde(
        skip_serializing_if = "is_default",
        deserialize_with = "deserialize_distinct"
    )]
    pub after: Vec<u16>,
    /// Whether its tasks can continue from checkpoints.
    #[serde(skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether its tasks run all together or not at all.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the gang should be placed in one rack, since it is slow across racks.
    #[serde(skip_serializing_if = "is_default")]
    pub same_rack: bool,
    /// Label that the worker must have.
    #[serde(skip_serializing_if = "is_default")]
    pub label: Option<String>,
    /// Rack that holds the data of its tasks.
    #[serde(skip_serializing_if = "is_default")]
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_default")]
    pub per_worker_max: u16,
    /// Whether copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_default")]
    pub copies: bool,
    /// Whether its tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_default")]
    pub lasting: bool,
    /// Image that its tasks run. Tasks of one image behave alike.
    #[serde(skip_serializing_if = "is_default")]
    pub image: String,
    /// Bound on the tail latency of the requests that its tasks serve; 0 if they serve none.
    #[serde(skip_serializing_if = "is_default")]
    pub tail_max_ms: Millis,
    /// Whether its tasks use only processor time that other tasks leave idle.
    #[serde(skip_serializing_if = "is_default")]
    pub filler: bool,
    /// Most tasks of the step that the scheduler may keep from running at a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub away_max: Option<u16>,
}

/// Collects step numbers without keeping any of them twice, so that memory is bounded by their number and not by that of
/// the entries in the text.
struct DistinctVisitor;

impl<'de> Visitor<'de> for DistinctVisitor {
    type Value = Vec<u16>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of step numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Vec<u16>, A::Error> {
        let mut seen = BTreeSet::new();
        let mut numbers = Vec::new();
        while let Some(number) = list.next_element()? {
            if seen.insert(number) {
                numbers.push(number);
            }
        }
        Ok(numbers)
    }
}

/// Deserializes a list of step numbers, each once, in the order of the text.
pub fn deserialize_distinct<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u16>, D::Error> {
    from.deserialize_seq(DistinctVisitor)
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl StepSpec {
    /// Returns what a task takes of a worker's capacity.
    pub fn demand(&self) -> Capacity {
        Capacity {
            cpu_milli: if self.filler { 0 } else { self.cpu_milli },
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }

    fn has_long_name(&self) -> bool {
        let names = [
            self.label.as_deref(),
            self.data_rack.as_deref(),
            Some(&*self.image),
        ];
        names.iter().flatten().any(|n| n.len() > NAME_BYTES_MAX)
    }

    /// Returns what a task counts against its account's quota. Unlike `demand`, this includes the processors of a
    /// filler.
    pub fn charge(&self) -> Capacity {
        Capacity {
            cpu_milli: self.cpu_milli,
            ..self.demand()
        }
    }
}

impl JobSpec {
    /// Returns whether it runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// Returns its work in core-milliseconds without lasting steps, if each step takes the time in `step_ms`.
    pub fn work(&self, step_ms: &[Millis]) -> u64 {
        let ends = self.steps.iter().zip(step_ms).filter(|(s, _)| !s.lasting);
        ends.map(|(s, ms)| work_core_ms(u64::from(s.count), s.demand().cpu_milli, *ms))
            .sum()
    }

    /// Returns the length of the longest chain of steps, if each step takes the time in `step_ms` and those that
    /// `counts` excludes take none.
    pub fn longest_chain_ms(&self, step_ms: &[Millis], counts: impl Fn(usize) -> bool) -> Millis {
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

    /// Returns why the job is not accepted from a caller, if there is a reason. A job that is in the store already runs
    /// unless it has a [`fault`](Self::fault).
    pub fn refusal(&self) -> Option<&'static str> {
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Some("the payload of a job has at most 4,000 bytes");
        }
        if self.steps.iter().any(StepSpec::has_long_name) {
            return Some("a label, a rack and an image have at most 200 bytes each");
        }
        self.fault()
    }

    /// Returns why the job can't be run, if there is a reason.
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
        if self
            .steps
            .iter()
            .any(|s| !CAPACITY_MAX.contains(s.charge()))
        {
            return Some("a task needs more than any host has");
        }
        let forward = |(n, s): (usize, &StepSpec)| s.after.iter().any(|a| usize::from(*a) >= n);
        if self.steps.iter().enumerate().any(forward) {
            return Some("a step may only wait for earlier steps");
        }
        None
    }
}

/// Most work of one step, in core-milliseconds: that of 10,000 cores over a day. More counts as this, so that the work of
/// all jobs of a pool can be added up.
const STEP_WORK_MAX_CORE_MS: u64 = 1 << 40;

/// Returns the work of tasks that each take some thousandths of a core for some time, in core-milliseconds.
pub fn work_core_ms(tasks: u64, cpu_milli: u64, task_ms: Millis) -> u64 {
    let work_milli = tasks.saturating_mul(cpu_milli).saturating_mul(task_ms);
    (work_milli / 1_000).min(STEP_WORK_MAX_CORE_MS)
}

/// Most tasks in one job. Its progress takes about 20 bytes a task and must fit a row of 64 KB.
pub const TASKS_MAX: usize = 2_000;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// The job can't be completed, for example because a task used up its attempts.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can't change any more.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            JobState::Completed | JobState::Failed | JobState::Cancelled
        )
    }
}
