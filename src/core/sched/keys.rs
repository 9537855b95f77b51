//! Small keys into an owner's books.

use slotmap::new_key_type;

new_key_type! {
    /// A job in the books.
    pub struct JobKey;
    /// A worker's life in the books.
    pub struct WorkerKey;
}

/// One reading of a pool's rows. Keys mean something in the books that came of it alone: an answer to what they sent that
/// reaches other books, taken in there, would speak of another worker or task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolStateId {
    /// Epoch of the owner that read.
    pub epoch: u64,
    /// Its readings until then, this one included.
    pub reading: u32,
}

/// A client account, by its place in the books; accounts are never removed from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AccountKey(pub u16);

/// A task in the books.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// The job.
    pub job: JobKey,
    /// The round, by number.
    pub round: u32,
    /// The step.
    pub step: u16,
    /// The task of the step.
    pub index: u16,
}
