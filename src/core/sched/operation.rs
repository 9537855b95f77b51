//! What callers ask of jobs, and what they are told.

use super::job::{JobSpec, JobState};
use crate::clock::Millis;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Take in a job under this id.
    Submit(String, Box<JobSpec>),
    /// How is the job?
    Read(String),
    /// End the job.
    Cancel(String),
    /// How many jobs of the queue have not begun?
    CountWaiting,
}

/// A decoded call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The queue that it is for.
    pub queue: String,
    /// The pool that runs the queue now.
    pub pool: String,
    /// The account whose key the call carried; none on a public queue.
    pub account: Option<String>,
    /// What is asked.
    pub operation: Operation,
    /// How long the caller waits.
    pub deadline_ms: Millis,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is on record.
    Accepted,
    /// The cancel is on record.
    Cancelled,
    /// How the job is.
    State(JobState),
    /// How many jobs wait.
    Waiting(u64),
    /// No such queue.
    UnknownQueue,
    /// The queue takes no call without the key of an account, and the call carried none that is known.
    UnknownKey,
    /// No such job, by a good read.
    UnknownJob,
    /// The id stands for another job.
    OtherBody,
    /// Not a request that we understand.
    Malformed(String),
    /// This entry has no configuration, or can't know whether a newer one is in force.
    NotReady,
    /// Certainly not taken.
    NotTaken {
        /// When to come back.
        retry_after_s: u32,
    },
    /// The store's answer was lost.
    Unsure,
}
