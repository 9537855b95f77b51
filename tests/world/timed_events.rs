//! The queue of timed events of the world, and how each event is carried out.

use super::*;

/// An event that is carried out at its time.
pub(super) enum TimedEvent {
    /// An event for an entry, given by its number and the incarnation that the event is for.
    Deliver(usize, u64, Event),
    /// A row of a feed that arrived while the entry was frozen, with the number that it got then.
    DeliverHeld(usize, u64, Event, u64),
    /// A write without an answer that reaches the store late.
    Apply(RowTx),
    /// A delayed order to the worker with this id.
    LateOrderArrives(String, LateOrder),
    RunEnds(String, TaskName, u32),
    AtWork(String, TaskName, u32),
    GangAlone(String, TaskName, u32),
    RunCrashesWorker(String, TaskName, u32),
    Heartbeat(String),
    Lapse(String),
    UpkeepOver(String),
    LaterInstanceStarts(String),
    /// A worker is disconnected for this long.
    Disconnect(String, u64),
    DrainEnds(String),
    /// A worker ends as it announced; the host is back after this time.
    PlannedEnd(String, u64),
    ReadStandbys(usize),
    Wake(usize),
    Kill(usize, u64),
}

/// An order that is carried out late, with its fencing token.
pub(super) enum LateOrder {
    Start(u64, RunStart),
    Stop(u64, TaskName, u32),
    Renew(u64, RenewalRequest),
    Pace(u64, TaskName, u32, u32),
}

pub(super) struct QueuedEvent {
    pub(super) at_ms: u64,
    pub(super) number: u64,
    pub(super) event: TimedEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

impl World {
    pub(super) fn schedule(&mut self, after_ms: u64, event: TimedEvent) {
        let number = self.next_event_number();
        self.schedule_at(after_ms, number, event);
    }

    pub(super) fn next_event_number(&mut self) -> u64 {
        self.last_event_number += 1;
        self.last_event_number
    }

    /// Schedules an event before all events of the same time with a higher number.
    pub(super) fn schedule_at(&mut self, after_ms: u64, number: u64, event: TimedEvent) {
        self.timed_events.push(Reverse(QueuedEvent {
            at_ms: self.now_ms + after_ms,
            number,
            event,
        }));
    }

    /// Runs the world for a time.
    pub(crate) fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(Reverse(next)) = self.timed_events.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(next)) = self.timed_events.pop() else {
                break;
            };
            self.now_ms = next.at_ms.max(self.now_ms);
            self.apply_timed_event(next.event);
        }
        self.now_ms = until_ms;
    }

    fn apply_timed_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::Deliver(n, incarnation, event) => self.deliver(n, incarnation, event, None),
            TimedEvent::DeliverHeld(n, incarnation, event, held_number) => {
                self.deliver(n, incarnation, event, Some(held_number))
            }
            TimedEvent::Apply(tx) => {
                self.apply_transaction(&tx);
            }
            TimedEvent::LateOrderArrives(id, order) => self.apply_late_order(&id, order),
            TimedEvent::RunEnds(id, task, run) => {
                let active = self.workers.get(&id).and_then(|w| w.running.get(&task));
                let is_active = active.is_some_and(|r| r.run == run);
                if is_active && self.has_done_work(&id, &task, run) {
                    let is_bad = self.bad_worker.as_ref() == Some(&id);
                    let fails = self.draw_chance(self.faults.run_fails) || is_bad;
                    let kind = if fails {
                        EndKind::Failed
                    } else {
                        EndKind::Done
                    };
                    self.end_run(&id, &task, run, kind);
                }
            }
            TimedEvent::AtWork(id, task, run) => {
                let active = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if active.is_some_and(|r| r.run == run) {
                    self.ordered_away.remove(&task);
                }
            }
            TimedEvent::GangAlone(id, task, run) => {
                let active = self.workers.get(&id).and_then(|w| w.running.get(&task));
                let is_active = active.is_some_and(|r| r.run == run);
                let members =
                    usize::from(self.specs[&task.job].steps[usize::from(task.step)].count);
                if is_active && self.count_members(&task, run) < members {
                    self.end_run(&id, &task, run, EndKind::GangAlone);
                }
            }
            TimedEvent::RunCrashesWorker(id, task, run) => self.crash_worker_of(&id, &task, run),
            TimedEvent::Heartbeat(id) => {
                self.unlisted.remove(&id);
                let up = self.workers.get(&id).filter(|w| w.is_up);
                if let Some(info) = up.map(|w| w.info.clone()) {
                    self.broadcast(&Event::Worker(WorkerEvent::Present(info)));
                }
            }
            TimedEvent::Lapse(id) => self.lapse_lease(&id),
            TimedEvent::DrainEnds(id) => self.end_draining(&id),
            TimedEvent::PlannedEnd(id, back_after_ms) => {
                self.end_as_planned(&id, back_after_ms);
            }
            TimedEvent::LaterInstanceStarts(id) => self.start_later_instance(&id),
            TimedEvent::Disconnect(id, ms) => self.disconnect_worker(&id, ms),
            TimedEvent::UpkeepOver(host) => {
                self.hosts_out.remove(&host);
                self.start_on_host(&host);
            }
            TimedEvent::Kill(n, incarnation) => {
                if self.entries[n].incarnation == incarnation {
                    self.kill(n);
                }
            }
            TimedEvent::ReadStandbys(n) => self.read_standbys(n),
            TimedEvent::Wake(n) if self.entries[n].wake_ms == self.now_ms => {
                self.deliver_now(n, Event::Tick);
            }
            // Another wake has replaced this one.
            TimedEvent::Wake(_) => {}
        }
    }
}
