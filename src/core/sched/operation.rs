//! Requests of callers about jobs, and their outcomes. The server decodes HTTP requests into these types, carries them
//! out and turns the outcomes into answers.

use super::job::{JobSpec, JobState};
use crate::clock::Millis;
use crate::port::fleet::QueueRoute;
use crate::util::cut_text;

/// Longest reason of a malformed request, in bytes. It may quote the request.
const REASON_BYTES_MAX: usize = 256;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Submit a job under this id.
    Submit(String, Box<JobSpec>),
    /// Return the state of the job.
    Read(String),
    /// Cancel the job.
    Cancel(String),
    /// Return the number of jobs of the queue that have not begun.
    CountWaiting,
}

/// A decoded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Queue that the request concerns.
    pub queue: String,
    /// Address of the queue and the pool that runs its new jobs.
    pub route: QueueRoute,
    /// Account whose key the request carried; `None` on a public queue.
    pub account: Option<String>,
    /// What the request asks for.
    pub operation: Operation,
    /// How long the caller waits for the answer.
    pub deadline_ms: Millis,
}

/// Outcome of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The job is recorded.
    Accepted,
    /// The cancel is recorded.
    Cancelled,
    /// Current state of the job.
    State(JobState),
    /// Number of jobs of the queue that have not begun.
    Waiting(u64),
    /// No queue has this name.
    UnknownQueue,
    /// The queue requires the key of an account, and the request carried no known key.
    UnknownKey,
    /// A successful read found no job with this id.
    UnknownJob,
    /// The id belongs to another job.
    OtherBody,
    /// The request is malformed, for this reason.
    Malformed(String),
    /// This entry has no configuration, or cannot know whether a newer one is in force.
    NotReady,
    /// The request certainly had no effect.
    NotTaken {
        /// When the caller should retry, in seconds.
        retry_after_s: u32,
    },
    /// The store does not answer this entry, so a question could not be answered; it has no effect.
    Unavailable {
        /// When the caller should retry, in seconds.
        retry_after_s: u32,
    },
    /// The store's answer was lost, so it is unknown whether the request took effect.
    Unsure,
}

impl Outcome {
    /// Returns the outcome of a malformed request, whose reason is cut where it is too long.
    pub fn malformed(why: impl ToString) -> Self {
        let mut why = why.to_string();
        cut_text(&mut why, REASON_BYTES_MAX);
        Outcome::Malformed(why)
    }
}
