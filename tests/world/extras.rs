//! Faults that occur only where a test asks for them, drawn by generators of their own.

use rockwick::port::fleet::OrderTarget;

use super::*;

/// The longest delay of an order.
const LATE_MAX_MS: u64 = 12_000;

/// The longest time to wait for runs to fail.
const FAIL_RUNS_MAX_MS: u64 = 20_000;

impl World {
    /// Removes a worker from the worker list for a time; the worker keeps running.
    pub(crate) fn unlist(&mut self, id: &str, ms: u64) {
        self.unlisted.insert(id.to_string());
        self.broadcast(&Event::Worker(WorkerEvent::Gone(id.to_string())));
        self.schedule(ms, TimedEvent::Heartbeat(id.to_string()));
    }

    /// Makes all runs fail until one task of a job has this many failed runs.
    pub(crate) fn fail_runs(&mut self, id: &str, fails: usize) {
        let until_ms = self.now_ms + FAIL_RUNS_MAX_MS;
        self.faults.run_fails = 1_000;
        while self.most_failed_runs(id) < fails && self.now_ms < until_ms {
            self.run(5);
        }
        self.faults.run_fails = 0;
    }

    /// Kills the processes of all entries and starts them again at once.
    pub(crate) fn restart_all_entries(&mut self) {
        for n in 0..self.entries.len() {
            self.kill(n);
            self.boot(n);
        }
    }

    /// Makes orders to workers get no answer with this probability, in thousandths; such orders are carried out up to
    /// 12 s later.
    pub(crate) fn delay_orders(&mut self, milli: u32, rng: Rng) {
        self.late_orders = Some((milli, rng));
    }

    /// Draws the delay of an order, or returns `None` for an order in time.
    pub(super) fn draw_lateness_ms(&mut self) -> Option<u64> {
        let (milli, rng) = self.late_orders.as_mut()?;
        let is_late = rng.u32(0..1_000) < *milli;
        is_late.then(|| rng.u64(20..LATE_MAX_MS))
    }

    /// Starts a new instance on a host while the old one drains for a time: its runs continue, and it takes no new
    /// ones.
    pub(crate) fn overlap_instances(&mut self, id: &str, ms: u64) {
        if !self.announce_end(id) {
            return;
        }
        let host = self.workers[id].info.host.clone();
        self.start_instance(&host);
        self.schedule(ms, TimedEvent::DrainEnds(id.to_string()));
    }

    pub(super) fn end_draining(&mut self, id: &str) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        for task in w.running.keys() {
            *self.crashes.crashed_under.entry(task.clone()).or_default() += 1;
        }
        self.end_all_runs(id);
    }

    /// Lists a worker for a time under another worker's address.
    pub(crate) fn readdress(&mut self, id: &str, other: &str, ms: u64) {
        let info = WorkerInfo {
            address: self.workers[other].info.address,
            ..self.worker_info(id)
        };
        self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
        self.schedule(ms, TimedEvent::Heartbeat(id.to_string()));
    }

    /// Returns the reply to an order whose address is not that of its worker, or `None` for a correct address. Another
    /// worker at the address answers that it is another instance; if none is up there, the connection is refused.
    pub(super) fn misaddressed_reply(&self, to: &OrderTarget) -> Option<OrderReply> {
        let w = self.workers.get(&to.worker)?;
        if w.info.address == to.address {
            return None;
        }
        let mut up = self.workers.values().filter(|w| w.is_up);
        let is_other = up.any(|w| w.info.address == to.address);
        Some(match is_other {
            true => OrderReply::OtherLife,
            false => OrderReply::Refused,
        })
    }
}
