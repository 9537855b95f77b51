//! What befalls a world only where a test asks for it, drawn by generators of their own.

use rockwick::port::fleet::OrderTarget;

use super::*;

/// Longest time that an order is late.
const LATE_MAX_MS: u64 = 12_000;

/// Longest time that is waited for runs to fail.
const FAIL_RUNS_MAX_MS: u64 = 20_000;

impl World {
    /// The list of workers lacks an entry for a while; the life runs on.
    pub(crate) fn unlist(&mut self, id: &str, ms: u64) {
        self.unlisted.insert(id.to_string());
        self.broadcast(&Event::Worker(WorkerEvent::Gone(id.to_string())));
        self.at(ms, Happening::Beat(id.to_string()));
    }

    /// All runs fail until so many of a task of a job have; then none does.
    pub(crate) fn fail_runs(&mut self, id: &str, fails: usize) {
        let until_ms = self.now_ms + FAIL_RUNS_MAX_MS;
        self.faults.run_fails = 1_000;
        while self.most_failed_runs(id) < fails && self.now_ms < until_ms {
            self.run(5);
        }
        self.faults.run_fails = 0;
    }

    /// All entries' processes are killed and start again at once.
    pub(crate) fn restart_all(&mut self) {
        for n in 0..self.entries.len() {
            self.kill(n);
            self.boot(n);
        }
    }

    /// Orders to workers get no answer this often, in thousandths, and are carried out up to 12 s later.
    pub(crate) fn delay_orders(&mut self, milli: u32, rng: Rng) {
        self.late_orders = Some((milli, rng));
    }

    /// How late an order is carried out, if it is.
    pub(super) fn lateness_ms(&mut self) -> Option<u64> {
        let (milli, rng) = self.late_orders.as_mut()?;
        let is_late = rng.u32(0..1_000) < *milli;
        is_late.then(|| rng.u64(20..LATE_MAX_MS))
    }

    /// A new life comes up on a host while the old one drains for a while: its runs go on, and it takes none.
    pub(crate) fn overlap(&mut self, id: &str, ms: u64) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.fact.draining = true;
        let fact = w.fact.clone();
        let host = fact.host.clone();
        self.broadcast(&Event::Worker(WorkerEvent::Present(fact)));
        self.new_life(&host);
        self.at(ms, Happening::LifeOver(id.to_string()));
    }

    pub(super) fn life_over(&mut self, id: &str) {
        let Some(w) = self.workers.get_mut(id).filter(|w| w.is_up) else {
            return;
        };
        w.is_up = false;
        for task in w.running.keys() {
            *self.crashes.under.entry(task.clone()).or_default() += 1;
        }
        self.clear(id);
    }

    /// The entry of a life names an address for a while at which another life answers.
    pub(crate) fn readdress(&mut self, id: &str, other: &str, ms: u64) {
        let fact = WorkerInfo {
            address: self.workers[other].fact.address,
            ..self.fact(id)
        };
        self.broadcast(&Event::Worker(WorkerEvent::Present(fact)));
        self.at(ms, Happening::Beat(id.to_string()));
    }

    /// What an order comes to that goes to another address than the worker's: who answers there says that it is another life.
    pub(super) fn astray(&self, to: &OrderTarget) -> Option<OrderReply> {
        let w = self.workers.get(&to.worker)?;
        if w.fact.address == to.address {
            return None;
        }
        let mut up = self.workers.values().filter(|w| w.is_up);
        let is_other = up.any(|w| w.fact.address == to.address);
        Some(match is_other {
            true => OrderReply::OtherLife,
            false => OrderReply::Refused,
        })
    }
}
