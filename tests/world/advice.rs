//! The advice service: it names the worker instances that may run a step, and gives tickets that end.

use rockwick::core::sched::keys::PoolStateId;
use rockwick::core::sched::tickets::AdviceRequest;
use rockwick::port::fleet::{AdviceAnswer, AdviceError, AdviceTerms, StepName};

use super::*;

/// The simulated service.
#[derive(Default)]
pub(crate) struct Service {
    /// The queue's terms; `None` if workers accept starts without tickets.
    terms: Option<AdviceTerms>,
    /// Time until which no call is answered.
    pub(crate) down_until_ms: u64,
    /// Number of calls that are turned away next.
    pub(crate) busy_calls: u32,
    /// Whether only every other worker instance may run a step.
    pub(crate) rules_out_half: bool,
    /// Number of calls, and of workers that they named.
    pub(crate) calls: u64,
    pub(crate) named_workers: u64,
    /// Number of starts that workers refused for their tickets.
    pub(crate) refused_tickets: u64,
}

impl World {
    /// Puts the queue under a policy that chooses workers.
    pub(crate) fn use_advice(&mut self, terms: AdviceTerms) {
        self.advice.terms = Some(terms);
        let queue = self.config.queues.get_mut(QUEUE).expect("the queue");
        queue.advice = Some(terms);
        self.broadcast_config();
    }

    /// Returns whether the policy allows an instance to run a step.
    fn is_allowed(&self, serial: u64, step: &StepName) -> bool {
        !self.advice.rules_out_half || (serial + u64::from(step.step)).is_multiple_of(2)
    }

    fn ticket(&self, serial: u64, step: &StepName) -> String {
        let StepName { job, round, step } = step;
        format!("{job}.{round}.{step}@{serial}@{}", self.now_ms)
    }

    pub(super) fn ask_advice(
        &mut self,
        n: usize,
        pool: PoolKey,
        pool_state: PoolStateId,
        request: AdviceRequest,
    ) {
        let sent_ms = self.now_ms;
        let terms = self.advice.terms.expect("the queue needs advice");
        self.advice.calls += 1;
        self.advice.named_workers += request.workers.len() as u64;
        assert!(request.workers.len() <= 100, "a call names too many");
        let (after_ms, result) = if self.advice.busy_calls > 0 {
            self.advice.busy_calls -= 1;
            (3, Err(AdviceError::Busy))
        } else if self.now_ms < self.advice.down_until_ms {
            (request.timeout_ms, Err(AdviceError::Down))
        } else {
            let after_ms = terms.call_ms(request.workers.len());
            (after_ms, Ok(self.advise(&request, terms.valid_ms)))
        };
        let event = Event::Advised(
            pool,
            pool_state,
            request.step,
            request.workers,
            sent_ms,
            result,
        );
        self.schedule_reply(n, after_ms, event);
    }

    fn advise(&self, request: &AdviceRequest, valid_ms: u64) -> AdviceAnswer {
        let ids = request.worker_ids.iter();
        let up = ids.filter_map(|id| Some((id, self.workers.get(id).filter(|w| w.is_up)?.serial)));
        let allowed = up.filter(|(_, serial)| self.is_allowed(*serial, &request.name));
        AdviceAnswer {
            tickets: allowed
                .map(|(id, serial)| (id.clone(), self.ticket(serial, &request.name)))
                .collect(),
            valid_ms: Some(valid_ms),
        }
    }

    /// Returns whether a worker instance accepts the ticket of a start: it must be of the step and the instance, and
    /// not have ended.
    pub(super) fn accepts_ticket(&mut self, serial: u64, start: &RunStart) -> bool {
        let Some(terms) = self.advice.terms else {
            return true;
        };
        let step = StepName {
            job: start.task.job.clone(),
            round: start.task.round,
            step: start.task.step,
        };
        let parts: Vec<&str> = start.ticket.split('@').collect();
        let named = format!("{}.{}.{}", step.job, step.round, step.step);
        let is_valid = parts.len() == 3
            && parts[0] == named
            && parts[1] == serial.to_string()
            && self.now_ms < parts[2].parse::<u64>().expect("a time") + terms.valid_ms;
        self.advice.refused_tickets += u64::from(!is_valid);
        assert!(
            !is_valid || self.is_allowed(serial, &step),
            "a ticket for a worker that is ruled out"
        );
        is_valid
    }
}
