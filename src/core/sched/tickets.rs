//! Holds what the advice service has said about steps: the tickets of workers that may run them, and the workers that
//! may not.
//!
//! Tickets are kept by worker instance and in memory alone: they end within seconds, and a new owner asks again.

use std::collections::{HashMap, HashSet};

use super::keys::{StepKey, WorkerKey};
use crate::clock::Millis;
use crate::port::fleet::{AdviceTerms, StepName};

/// Fewest workers that a call names while that many have not been asked about: the platform counts a call of this size
/// in a step's time.
pub(super) const WORKERS_USUAL: usize = 30;

/// A ticket is used for a start only if it is valid for at least this long: the time to record the start and to send it.
const START_MARGIN_MS: Millis = 250;

/// A ticket of one worker instance for one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ticket {
    pub(super) text: String,
    /// When it ends: its validity counted from the time when the call was sent.
    pub(super) until_ms: Millis,
}

/// What the service has said about one step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepAdvice {
    /// Newest ticket of each worker that may run the step, also after its end.
    pub(super) tickets: HashMap<WorkerKey, Ticket>,
    /// Workers that may not run the step.
    pub(super) ruled_out: HashSet<WorkerKey>,
}

impl StepAdvice {
    pub(super) fn is_valid(&self, worker: WorkerKey, now_ms: Millis) -> bool {
        let ticket = self.tickets.get(&worker);
        ticket.is_some_and(|ticket| now_ms + START_MARGIN_MS < ticket.until_ms)
    }
}

/// What an owner knows from the advice service.
#[derive(Clone, Debug, Default)]
pub struct AdviceBook {
    /// Whether some job of the pool needs advice.
    pub(super) is_used: bool,
    pub(super) steps: HashMap<StepKey, StepAdvice>,
    /// Whether a call is under way.
    pub(super) is_asking: bool,
    /// Number of calls without an answer since the last answer.
    pub(super) failures: u32,
    /// The step that the last of these calls was about.
    pub(super) failed_step: Option<StepKey>,
    /// Time before which no call is sent.
    pub(super) paused_until_ms: Millis,
}

impl AdviceBook {
    /// Notes the terms that apply to a job.
    pub fn note_terms(&mut self, terms: Option<AdviceTerms>) {
        self.is_used |= terms.is_some();
    }

    /// Returns the ticket of a worker for a step, whether or not it is still valid.
    pub fn ticket(&self, step: StepKey, worker: WorkerKey) -> Option<&str> {
        let ticket = self.steps.get(&step)?.tickets.get(&worker)?;
        Some(&ticket.text)
    }

    /// Returns whether a worker is known not to be allowed to run a step.
    pub(super) fn is_ruled_out(&self, step: StepKey, worker: WorkerKey) -> bool {
        let advice = self.steps.get(&step);
        advice.is_some_and(|advice| advice.ruled_out.contains(&worker))
    }

    /// Returns whether a task of a step with these terms may be started on a worker now.
    pub(super) fn may_start(
        &self,
        terms: Option<AdviceTerms>,
        step: StepKey,
        worker: WorkerKey,
        now_ms: Millis,
    ) -> bool {
        let advice = self.steps.get(&step);
        terms.is_none() || advice.is_some_and(|advice| advice.is_valid(worker, now_ms))
    }

    /// Drops the ticket of a worker that has refused it.
    pub fn drop_ticket(&mut self, step: StepKey, worker: WorkerKey) {
        if let Some(advice) = self.steps.get_mut(&step) {
            advice.tickets.remove(&worker);
        }
    }
}

/// A call for advice about one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Name of the step.
    pub name: StepName,
    /// The workers to ask about.
    pub workers: Vec<WorkerKey>,
    /// Ids of these workers, in the same order.
    pub worker_ids: Vec<String>,
    /// Time after which the call counts as unanswered.
    pub timeout_ms: Millis,
}

/// Returns the time that is expected for a step's advice before its tasks can start.
pub(super) fn expected_ms(terms: Option<AdviceTerms>) -> Millis {
    terms.map_or(0, |terms| terms.call_ms(WORKERS_USUAL))
}
