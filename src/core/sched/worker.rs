//! A worker in an owner's books: what it carries, its lease, its hold.

use std::collections::{BTreeSet, VecDeque};

use super::keys::{JobKey, TaskKey};
use super::limits::{ADDRESS_SETTLED_MS, CLOCK_SLOW_PERCENT, LEASE_SLACK_MS};
use crate::clock::Millis;
use crate::port::fleet::{Capacity, WorkerFact};

/// A moment on a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// Ours, not before the worker read its own.
    pub local_ms: Millis,
    /// The worker's.
    pub worker_ms: Millis,
}

impl ClockSample {
    /// What the worker's clock says at most now, were it not fast.
    pub fn at(self, now_ms: Millis) -> Millis {
        self.worker_ms + now_ms.saturating_sub(self.local_ms)
    }
}

/// What is known of a worker's hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RenewalPhase {
    /// None is out; the next goes at once or by a timer.
    #[default]
    Idle,
    /// One is out since then.
    Out(Millis),
    /// Its ends are being recorded since then; the next goes after that.
    Recording(Millis),
}

/// An end that was taken into the books and is not on record yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenEnd {
    /// Its number.
    pub number: u64,
    /// The job that it changed, and which of the job's changes holds it; nothing where it changed none.
    pub change: Option<(JobKey, u64)>,
}

/// A worker's life in the books.
#[derive(Clone, Debug)]
pub struct Worker {
    /// As it states itself.
    pub fact: WorkerFact,
    /// Whether it stands in the platform's list.
    pub is_listed: bool,
    /// What its tasks take.
    pub used: Capacity,
    /// The tasks on it.
    pub tasks: BTreeSet<TaskKey>,
    /// The newest look at its clock.
    pub clock: Option<ClockSample>,
    /// Everything ordered there before is over by then, heard or not.
    pub lease_end_ms: Millis,
    /// Its hold.
    pub renewal: RenewalPhase,
    /// Whether it answered the last hold.
    pub answers: bool,
    /// When it last answered one.
    pub heard_ms: Millis,
    /// When the first hold that it answered was sent.
    pub first_asked_ms: Option<Millis>,
    /// When its entry last named another address than before.
    pub moved_ms: Option<Millis>,
    /// Its last hold met no listener, or ended with its connection.
    pub is_refusing: bool,
    /// When it went with its connections: it ended one or took none, right after it had answered. One that first falls
    /// silent may have been cut off, and what ran there may have ended before it crashed.
    pub broke_ms: Option<Millis>,
    /// Its last account was asked for without a gap before that: no end can have come unheard.
    pub is_heard_through: bool,
    /// Ends up to this number were taken into the books.
    pub taken: u64,
    /// Ends up to this number are on record.
    pub recorded: u64,
    /// It was told that ends up to this number were seen; for the log.
    pub acked_through: u64,
    /// Ends behind that, in order.
    pub unrecorded: VecDeque<TakenEnd>,
    /// Entries of its last account that could not be read.
    pub unreadable: usize,
    /// Tasks that failed there with none done in between.
    pub fails_in_row: u32,
    /// How many times in a row it was left alone.
    pub suspensions: u32,
    /// It gets nothing new before.
    pub suspended_until_ms: Millis,
    /// Its host is about to leave for upkeep.
    pub is_closing: bool,
    /// Its host's slot was asked for, and an order to leave may follow at any time.
    pub is_going: bool,
    /// A wave has its host still before it.
    pub is_due: bool,
    /// Its host is not wanted in the pool.
    pub is_spare: bool,
    /// Its host is on offer to other pools, or was taken.
    pub is_offered: bool,
    /// It left the platform's list while it answered: it is about to end, and did not say so.
    pub is_withdrawn: bool,
    /// A later life answered under its id: nothing more is sent to it.
    pub is_superseded: bool,
    /// How often its id had begun anew as it was met; part of the fence of all orders to it.
    pub restarts: u32,
    /// It is not known yet whether it is up or an earlier life of its id: the first answer tells.
    pub is_unproven: bool,
}

impl Worker {
    /// A worker not yet heard.
    pub fn new(fact: WorkerFact, lease_end_ms: Millis) -> Self {
        Self {
            fact,
            is_listed: true,
            used: Capacity::default(),
            tasks: BTreeSet::new(),
            clock: None,
            lease_end_ms,
            renewal: RenewalPhase::Idle,
            answers: false,
            heard_ms: 0,
            first_asked_ms: None,
            moved_ms: None,
            is_refusing: false,
            broke_ms: None,
            is_heard_through: false,
            taken: 0,
            recorded: 0,
            acked_through: 0,
            unrecorded: VecDeque::new(),
            unreadable: 0,
            fails_in_row: 0,
            suspensions: 0,
            suspended_until_ms: 0,
            is_closing: false,
            is_going: false,
            is_due: false,
            is_spare: false,
            is_offered: false,
            is_withdrawn: false,
            is_superseded: false,
            restarts: 0,
            is_unproven: false,
        }
    }

    /// Whether it may get new work.
    pub fn is_open(&self, now_ms: Millis) -> bool {
        self.is_listed
            && self.answers
            && self.clock.is_some()
            && !self.fact.draining
            && !self.is_closing
            && !self.is_spare
            && now_ms >= self.suspended_until_ms
    }

    /// Whether it is the life that began then; without a time on one side, the id alone tells.
    pub fn has_start_time(&self, born_wall_ms: Option<Millis>) -> bool {
        let ours = self.fact.born_wall_ms;
        ours.is_none() || born_wall_ms.is_none() || ours == born_wall_ms
    }

    /// Whether its id has begun anew: an order that was on its way then is refused for its fence, whoever owns the pool.
    pub fn has_restarted(&self) -> bool {
        self.is_superseded || self.restarts > 0
    }

    /// Whether it was heard, or given work by this owner or a former one. Another may be younger than all that is known.
    pub fn has_been_seen(&self) -> bool {
        self.heard_ms > 0 || !self.tasks.is_empty() || self.is_superseded
    }

    /// Whether it has answered itself at the address that its entry names: another life that answers there is in its place.
    pub fn has_answered_at_address(&self) -> bool {
        let is_settled = |moved_ms| self.heard_ms >= moved_ms + ADDRESS_SETTLED_MS;
        self.clock.is_some() && self.moved_ms.is_none_or(is_settled)
    }

    /// Whether `later`, of the same host, shows that this one has crashed. A host carries two lives only while one of them
    /// drains, and one that was met before this one was last heard may have been beside it.
    pub fn is_succeeded_by(&self, later: &Worker) -> bool {
        let may_serve_on = self.fact.draining || self.is_withdrawn;
        let is_gone = self.is_refusing && !may_serve_on;
        let is_met_later = later.first_asked_ms.is_some_and(|at| self.heard_ms < at);
        is_gone && self.has_been_seen() && later.answers && !later.fact.draining && is_met_later
    }

    /// Whether it ever stood in the platform's list; others are known from what a former owner recorded.
    pub fn is_known(&self) -> bool {
        self.fact.address.port() != 0
    }

    /// Whether its life may be about to end by a plan that it did not tell: its own, or a move or upkeep of its host.
    pub fn is_leaving(&self) -> bool {
        self.is_offered || self.is_withdrawn || self.is_going
    }

    /// What it has free; nothing where it carries more than its room.
    pub fn free(&self) -> Capacity {
        let (room, used) = (self.fact.capacity, self.used);
        Capacity {
            cpu_milli: room.cpu_milli.saturating_sub(used.cpu_milli),
            mem_mb: room.mem_mb.saturating_sub(used.mem_mb),
            gpu: room.gpu.saturating_sub(used.gpu),
        }
    }

    /// Whether `demand` fits beside what it carries.
    pub fn fits(&self, demand: Capacity) -> bool {
        let mut sum = self.used;
        sum.add(demand);
        self.is_large_enough(sum)
    }

    /// Whether it could carry `demand` if it carried nothing else.
    pub fn is_large_enough(&self, demand: Capacity) -> bool {
        self.fact.capacity.contains(demand)
    }

    /// Its rack; by the platform's custom the label behind its kind.
    pub fn rack(&self) -> &str {
        self.fact.labels.get(1).map_or("", String::as_str)
    }

    /// Notes a lease until `lease_until_ms` on its clock that was or may have been given.
    pub fn note_lease(&mut self, lease_until_ms: Millis) {
        let Some(clock) = self.clock else { return };
        let ahead_ms = lease_until_ms.saturating_sub(clock.worker_ms);
        let longest_ms = ahead_ms * 100 / (100 - CLOCK_SLOW_PERCENT);
        let over_ms = clock.local_ms + longest_ms + LEASE_SLACK_MS;
        self.lease_end_ms = self.lease_end_ms.max(over_ms);
    }

    /// Counts a task in.
    pub fn take(&mut self, key: TaskKey, demand: Capacity) {
        if self.tasks.insert(key) {
            self.used.add(demand);
        }
    }

    /// Counts a task out.
    pub fn release(&mut self, key: TaskKey, demand: Capacity) {
        if self.tasks.remove(&key) {
            self.used.sub(demand);
        }
    }
}
