//! Tasks that serve and tasks that fill: what fills disturbs what serves beside it by its pace.

use super::*;

/// Tail of a serving task that nothing disturbs, in percent of its target.
const CALM_PERCENT: u64 = 50;

impl World {
    pub(super) fn set_pace(
        &mut self,
        id: &str,
        fence: u64,
        task: &TaskName,
        run: u32,
        percent: u32,
    ) -> OrderReply {
        let w = match self.take_order(id, fence) {
            Ok(w) => w,
            Err(reply) => return reply,
        };
        match w.running.get_mut(task).filter(|r| r.run == run) {
            Some(running) => {
                running.pace_percent = u64::from(percent);
                OrderReply::Accepted
            }
            None => OrderReply::Outdated,
        }
    }

    fn step_of(&self, task: &TaskName) -> &StepSpec {
        &self.specs[&task.job].steps[usize::from(task.step)]
    }

    /// Returns the tails of the serving tasks on a worker.
    pub(super) fn tails_ms(&self, id: &str) -> HashMap<TaskName, u64> {
        let Some(worker) = self.workers.get(id).filter(|w| w.is_up) else {
            return HashMap::new();
        };
        let at_work = worker
            .running
            .iter()
            .filter(|(_, r)| self.now_ms >= r.at_work_ms);
        let fillers = at_work.filter(|(task, _)| self.step_of(task).filler);
        let paces: u64 = fillers.map(|(_, r)| r.pace_percent).sum();
        let percent = CALM_PERCENT + paces * self.disturbance_percent / 100;
        let serving = worker.running.keys().filter_map(|task| {
            let target_ms = self.step_of(task).tail_max_ms;
            (target_ms > 0).then(|| (task.clone(), target_ms * percent / 100))
        });
        serving.collect()
    }

    /// Returns whether some serving task is over its target.
    pub(crate) fn is_over_target(&self) -> bool {
        self.workers.keys().any(|id| {
            let mut tails = self.tails_ms(id).into_iter();
            tails.any(|(task, tail_ms)| tail_ms > self.step_of(&task).tail_max_ms)
        })
    }

    /// Returns the paces of all running tasks that fill.
    pub(crate) fn filler_paces(&self) -> Vec<u64> {
        let up = self.workers.values().filter(|w| w.is_up);
        let running = up.flat_map(|w| w.running.iter());
        let fillers = running.filter(|(task, _)| self.step_of(task).filler);
        fillers.map(|(_, r)| r.pace_percent).collect()
    }
}
