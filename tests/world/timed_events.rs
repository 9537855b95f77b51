//! The queue of timed events of the world, and how each event is carried out.

use super::*;

/// An event that is carried out at its time.
pub(super) enum TimedEvent {
    Deliver(usize, u64, Event),
    /// A row of a feed that arrived while the entry was frozen, with its position among the rows held back.
    DeliverHeld(usize, u64, Event, u64),
    Apply(RowTx),
    /// A delayed order, and the serial number of the instance that has already received it, if any.
    LateOrderArrives(String, Option<u64>, LateOrder),
    RunEnds(String, TaskName, u32),
    AtWork(String, TaskName, u32),
    GangAlone(String, TaskName, u32),
    RunCrashesWorker(String, TaskName, u32),
    Heartbeat(String),
    Lapse(String),
    UpkeepOver(String),
    LaterInstanceStarts(String),
    DrainEnds(String),
    Wake(usize),
    Kill(usize, u64),
}

/// An order that is carried out late, with its fencing token.
pub(super) enum LateOrder {
    Start(u64, RunStart),
    Stop(u64, TaskName, u32),
    Renew(u64, RenewalRequest),
}

pub(super) struct Queued {
    pub(super) at_ms: u64,
    pub(super) number: u64,
    pub(super) what: TimedEvent,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

impl World {
    pub(super) fn schedule(&mut self, after_ms: u64, what: TimedEvent) {
        let number = self.next_number();
        self.schedule_at(after_ms, number, what);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Schedules an event before all events of the same time with a higher number.
    pub(super) fn schedule_at(&mut self, after_ms: u64, number: u64, what: TimedEvent) {
        self.queue.push(Reverse(Queued {
            at_ms: self.now_ms + after_ms,
            number,
            what,
        }));
    }

    /// Runs the world for a time.
    pub(crate) fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_ms > until_ms {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_ms = next.at_ms.max(self.now_ms);
            self.apply_timed_event(next.what);
        }
        self.now_ms = until_ms;
    }

    fn apply_timed_event(&mut self, what: TimedEvent) {
        match what {
            TimedEvent::Deliver(n, incarnation, event) => self.deliver(n, incarnation, event, None),
            TimedEvent::DeliverHeld(n, incarnation, event, place) => {
                self.deliver(n, incarnation, event, Some(place))
            }
            TimedEvent::Apply(tx) => {
                self.transact(&tx);
            }
            TimedEvent::LateOrderArrives(id, serial, order) => {
                self.apply_late_order(&id, serial, order)
            }
            TimedEvent::RunEnds(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if there.is_some_and(|r| r.run == run) {
                    let is_bad = self.bad_worker.as_ref() == Some(&id);
                    let fails = self.chance(self.faults.run_fails) || is_bad;
                    let kind = if fails {
                        EndKind::Failed
                    } else {
                        EndKind::Done
                    };
                    self.end(&id, &task, run, kind);
                }
            }
            TimedEvent::AtWork(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if there.is_some_and(|r| r.run == run) {
                    self.ordered_away.remove(&task);
                }
            }
            TimedEvent::GangAlone(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                let is_there = there.is_some_and(|r| r.run == run);
                let members =
                    usize::from(self.specs[&task.job].steps[usize::from(task.step)].count);
                if is_there && self.count_members(&task, run) < members {
                    self.end(&id, &task, run, EndKind::GangAlone);
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
            TimedEvent::Lapse(id) => self.lapse(&id),
            TimedEvent::DrainEnds(id) => self.end_draining(&id),
            TimedEvent::LaterInstanceStarts(id) => self.start_later_instance(&id),
            TimedEvent::UpkeepOver(host) => {
                self.hosts_out.remove(&host);
                self.start_on_host(&host);
            }
            TimedEvent::Kill(n, incarnation) => {
                if self.entries[n].incarnation == incarnation {
                    self.kill(n);
                }
            }
            TimedEvent::Wake(n) if self.entries[n].wake_ms == self.now_ms => {
                self.deliver_now(n, Event::Tick);
            }
            // An earlier wake has replaced this one.
            TimedEvent::Wake(_) => {}
        }
    }
}
