//! Holds an owner's state of one worker instance: its tasks and capacity, its lease, its renewals and its host's state.

use std::collections::{BTreeSet, VecDeque};

use super::keys::{JobKey, TaskKey};
use super::limits::{ADDRESS_SETTLED_MS, CLOCK_SLOW_PERCENT, LEASE_SLACK_MS};
use crate::clock::Millis;
use crate::port::fleet::{Capacity, WorkerInfo};

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// This owner's clock, at or after the moment at which the worker read its own.
    pub local_ms: Millis,
    /// The worker's clock.
    pub worker_ms: Millis,
}

impl ClockSample {
    /// Returns the highest value that the worker's clock may show now, provided that it doesn't run fast.
    pub fn at(self, now_ms: Millis) -> Millis {
        self.worker_ms + now_ms.saturating_sub(self.local_ms)
    }
}

/// State of a worker's lease renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RenewalPhase {
    /// No renewal is in flight. The next one is sent at once or by a timer.
    #[default]
    Idle,
    /// A renewal was sent at this time and has no answer yet.
    Sent(Millis),
    /// Since this time, the run ends that the worker reported are being recorded. The next renewal is sent after that.
    Recording(Millis),
}

/// A run end that was applied to the pool's state and is not recorded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedEnd {
    /// Number of the end, as the worker counts them.
    pub number: u64,
    /// The job that the end changed and the number of that change, or `None` if it changed no job.
    pub change: Option<(JobKey, u64)>,
}

/// One worker instance in the pool's state.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What the worker states about itself.
    pub info: WorkerInfo,
    /// Whether it is in the platform's list.
    pub is_listed: bool,
    /// Capacity that its tasks and the leftover runs on it take.
    pub used: Capacity,
    /// Tasks placed on it.
    pub tasks: BTreeSet<TaskKey>,
    /// Newest reading of its clock.
    pub clock: Option<ClockSample>,
    /// Time by which everything ordered to it has expired, even if it never answers again.
    pub lease_end_ms: Millis,
    /// When an order that carries a lease was last sent to it, by this owner or, as far as this one knows, by another.
    pub leased_ms: Millis,
    /// State of its lease renewal.
    pub renewal: RenewalPhase,
    /// Whether it answered the last renewal.
    pub is_answering: bool,
    /// When it last answered a renewal; 0 if never.
    pub answered_ms: Millis,
    /// When the last renewal that it answered was sent; 0 if none.
    pub asked_ms: Millis,
    /// When the first renewal that it answered was sent.
    pub first_asked_ms: Option<Millis>,
    /// When its list entry last changed to another address.
    pub moved_ms: Option<Millis>,
    /// Whether its last renewal met no listener or ended with a closed connection.
    pub is_refusing: bool,
    /// When its connections closed: it closed one or refused one right after it had answered. It stays `None` for a
    /// worker that first falls silent, which may have been cut off, so that its runs may have ended before it crashed.
    pub disconnected_ms: Option<Millis>,
    /// Whether the renewal during which its connections closed was sent right after its last report, so that no run end
    /// can have gone unreported.
    pub is_gapless: bool,
    /// Number of the last run end that was applied to the pool's state.
    pub applied_through: u64,
    /// Number of the last run end that is recorded.
    pub recorded_through: u64,
    /// Number of the last run end that was acknowledged to the worker. Used for the log only.
    pub acked_through: u64,
    /// Applied run ends after `recorded_through`, in order.
    pub unrecorded: VecDeque<AppliedEnd>,
    /// Whether its last report listed ends.
    pub lists_ends: bool,
    /// Number of entries in its last report that could not be read.
    pub unreadable: usize,
    /// Number of tasks that failed on it in a row.
    pub fails_in_row: u32,
    /// Number of times in a row that it was suspended.
    pub suspensions: u32,
    /// Time before which it gets no new tasks.
    pub suspended_until_ms: Millis,
    /// Whether its host is about to leave for maintenance.
    pub is_closing: bool,
    /// Whether a maintenance slot was requested for its host, so that an order to leave may follow at any time.
    pub may_leave: bool,
    /// Whether its host's turn in a maintenance wave is still to come.
    pub awaits_wave: bool,
    /// Whether the operator evacuates its data hall.
    pub is_evacuated: bool,
    /// Whether its host is surplus to the pool.
    pub is_spare: bool,
    /// Whether its host is offered to other pools or was taken by one.
    pub is_offered: bool,
    /// Whether it left the platform's list while it answered. It is about to end without having announced it.
    pub is_withdrawn: bool,
    /// Whether a later instance answered under its id. Nothing more is sent to it.
    pub is_superseded: bool,
    /// Number of restarts of its id up to this instance, as far as this owner knows; part of the fencing token of all
    /// orders to it.
    pub restarts: u32,
    /// Whether an earlier instance of its id may still be running in its place. Cleared when the worker first answers.
    pub is_unconfirmed: bool,
}

impl Worker {
    /// Creates a worker that has not answered yet.
    pub fn new(info: WorkerInfo, lease_end_ms: Millis) -> Self {
        Self {
            info,
            is_listed: true,
            used: Capacity::default(),
            tasks: BTreeSet::new(),
            clock: None,
            lease_end_ms,
            leased_ms: 0,
            renewal: RenewalPhase::Idle,
            is_answering: false,
            answered_ms: 0,
            asked_ms: 0,
            first_asked_ms: None,
            moved_ms: None,
            is_refusing: false,
            disconnected_ms: None,
            is_gapless: false,
            applied_through: 0,
            recorded_through: 0,
            acked_through: 0,
            unrecorded: VecDeque::new(),
            lists_ends: false,
            unreadable: 0,
            fails_in_row: 0,
            suspensions: 0,
            suspended_until_ms: 0,
            is_closing: false,
            may_leave: false,
            awaits_wave: false,
            is_evacuated: false,
            is_spare: false,
            is_offered: false,
            is_withdrawn: false,
            is_superseded: false,
            restarts: 0,
            is_unconfirmed: false,
        }
    }

    /// Returns whether it may get new tasks.
    pub fn is_open(&self, now_ms: Millis) -> bool {
        self.closed_reason(now_ms).is_none()
    }

    /// Returns why it may get no new tasks now, or `None` if it is open.
    pub fn closed_reason(&self, now_ms: Millis) -> Option<&'static str> {
        if self.is_spare {
            return Some("its worker's host is surplus to the pool");
        }
        self.refusal_reason(now_ms)
    }

    /// Returns why a start that was decided on earlier and never sent must not go out now. A surplus host stays until it
    /// is empty, so it may still get such a start.
    pub fn refusal_reason(&self, now_ms: Millis) -> Option<&'static str> {
        if let Some(why) = self.leaving_reason() {
            return Some(why);
        }
        if !self.is_answering || self.clock.is_none() {
            return Some("its worker does not answer");
        }
        (now_ms < self.suspended_until_ms).then_some("its worker is suspended")
    }

    /// Returns why it is about to leave the pool or its host, or `None` if it stays as far as this owner knows.
    pub fn leaving_reason(&self) -> Option<&'static str> {
        let reasons = [
            (self.info.is_draining, "its worker announced its end"),
            (!self.is_listed, "its worker is no longer listed"),
            (self.is_evacuated, "its worker's hall is evacuated"),
            (self.is_closing, "its worker's host is due for maintenance"),
            (
                self.is_offered,
                "its worker's host is given to another pool",
            ),
        ];
        let mut holding = reasons.into_iter().filter(|(holds, _)| *holds);
        holding.next().map(|(_, why)| why)
    }

    /// Returns whether it is the instance that started at `born_wall_ms`. If either time is unknown, the id alone
    /// decides.
    pub fn has_start_time(&self, born_wall_ms: Option<Millis>) -> bool {
        let ours = self.info.born_wall_ms;
        ours.is_none() || born_wall_ms.is_none() || ours == born_wall_ms
    }

    /// Returns whether its id has restarted. An order that was on its way then is refused for its fencing token,
    /// whoever owns the pool.
    pub fn has_restarted(&self) -> bool {
        self.is_superseded || self.restarts > 0
    }

    /// Returns whether it has answered, or was given work by this owner or a former one. Any other instance may be
    /// newer than all that this owner knows.
    pub fn has_been_seen(&self) -> bool {
        self.answered_ms > 0 || !self.tasks.is_empty() || self.is_superseded
    }

    /// Returns whether it has itself answered at the address in its list entry. Another instance that answers there has
    /// then taken its place.
    pub fn has_answered_at_address(&self) -> bool {
        let is_settled = |moved_ms| self.answered_ms >= moved_ms + ADDRESS_SETTLED_MS;
        self.clock.is_some() && self.moved_ms.is_none_or(is_settled)
    }

    /// Returns whether `later`, on the same host, shows that this instance has crashed. A host has two instances only
    /// while one of them drains, and an instance that was first asked before this one last answered may have run beside
    /// it.
    pub fn is_succeeded_by(&self, later: &Worker) -> bool {
        let may_still_serve = self.info.is_draining || self.is_withdrawn;
        let is_gone = self.is_refusing && !may_still_serve;
        let answered_later = later.first_asked_ms.is_some_and(|at| self.answered_ms < at);
        is_gone
            && self.has_been_seen()
            && later.is_answering
            && !later.info.is_draining
            && answered_later
    }

    /// Returns whether it was ever in the platform's list. Other workers are known only from what a former owner
    /// recorded.
    pub fn has_been_listed(&self) -> bool {
        self.info.address.port() != 0
    }

    /// Returns whether it may be about to end by a plan that it did not announce: its own, or a move or maintenance of
    /// its host.
    pub fn is_leaving(&self) -> bool {
        self.is_offered || self.is_withdrawn || self.may_leave
    }

    /// Returns its free capacity; zero for what it is overcommitted in.
    pub fn free(&self) -> Capacity {
        let (room, used) = (self.info.capacity, self.used);
        Capacity {
            cpu_milli: room.cpu_milli.saturating_sub(used.cpu_milli),
            mem_mb: room.mem_mb.saturating_sub(used.mem_mb),
            gpu: room.gpu.saturating_sub(used.gpu),
        }
    }

    /// Returns whether `demand` fits in addition to its tasks.
    pub fn fits(&self, demand: Capacity) -> bool {
        let mut sum = self.used;
        sum.add(demand);
        self.is_large_enough(sum)
    }

    /// Returns whether `demand` would fit if it had no tasks.
    pub fn is_large_enough(&self, demand: Capacity) -> bool {
        self.info.capacity.contains(demand)
    }

    /// Returns its rack, which the platform lists as the label after its kind.
    pub fn rack(&self) -> &str {
        self.info.labels.get(1).map_or("", String::as_str)
    }

    /// Extends `lease_end_ms` to cover a lease that is ordered now and may be granted until `lease_until_ms` on the
    /// worker's clock.
    pub fn note_lease(&mut self, lease_until_ms: Millis, now_ms: Millis) {
        self.leased_ms = now_ms;
        let Some(clock) = self.clock else { return };
        let ahead_ms = lease_until_ms.saturating_sub(clock.worker_ms);
        let longest_ms = ahead_ms * 100 / (100 - CLOCK_SLOW_PERCENT);
        let end_ms = clock.local_ms + longest_ms + LEASE_SLACK_MS;
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    /// Adds a task and the capacity that it takes.
    pub fn add_task(&mut self, key: TaskKey, demand: Capacity) {
        if self.tasks.insert(key) {
            self.used.add(demand);
        }
    }

    /// Removes a task and releases its capacity.
    pub fn remove_task(&mut self, key: TaskKey, demand: Capacity) {
        if self.tasks.remove(&key) {
            self.used.sub(demand);
        }
    }
}
