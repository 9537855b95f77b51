//! Compact keys of objects in a pool's in-memory state.

use slotmap::new_key_type;

new_key_type! {
    /// Identifies a job in a pool's in-memory state.
    pub struct JobKey;
    /// Identifies a worker instance in a pool's in-memory state.
    pub struct WorkerKey;
}

/// Identifies one reading of a pool's rows. Keys are valid only within the in-memory state built from that reading. The
/// id keeps an answer to an earlier state's request from being applied to a later state, where its keys would name
/// another worker or task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolStateId {
    /// Epoch of the owner that read the rows.
    pub epoch: u64,
    /// Number of readings under that epoch, including this one.
    pub reading: u32,
}

/// Identifies a client account by its index in the pool's in-memory state; accounts are never removed from there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(pub u16);

/// Identifies a step of a job's round in a pool's in-memory state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Number of the round, counted from 0.
    pub round: u32,
    /// Index of the step in the job's specification.
    pub step: u16,
}

impl From<TaskKey> for StepKey {
    fn from(task: TaskKey) -> Self {
        Self {
            job: task.job,
            round: task.round,
            step: task.step,
        }
    }
}

/// Identifies a round of a job in a pool's in-memory state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RoundKey {
    /// Job that the round belongs to.
    pub job: JobKey,
    /// Number of the round, counted from 0.
    pub round: u32,
}

/// Identifies a task in a pool's in-memory state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Number of the round, counted from 0.
    pub round: u32,
    /// Index of the step in the job's specification.
    pub step: u16,
    /// Index of the task within the step.
    pub index: u16,
}

impl TaskKey {
    /// Returns the round that the task belongs to.
    pub fn round_key(self) -> RoundKey {
        RoundKey {
            job: self.job,
            round: self.round,
        }
    }
}
