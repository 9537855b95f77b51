//! What happens in the world, each at its time, and how it is carried out.

use super::*;

/// What comes at its time.
pub(super) enum Happening {
    Deliver(usize, u64, Event),
    /// What came by a feed while its entry stood still, and its place in the order in which such things came.
    Held(usize, u64, Event, u64),
    Apply(RowTx),
    /// An order, and the life whose process has it, if one has.
    OrderLate(String, Option<u64>, LateOrder),
    RunEnds(String, TaskName, u32),
    AtWork(String, TaskName, u32),
    GangAlone(String, TaskName, u32),
    CrashedBy(String, TaskName, u32),
    Beat(String),
    Lapse(String),
    UpkeepOver(String),
    Restarted(String),
    LifeOver(String),
    Wake(usize),
    Kill(usize, u64),
}

/// An order that is carried out late.
pub(super) enum LateOrder {
    Start(u64, RunStart),
    Stop(u64, TaskName, u32),
    Hold(u64, RenewalRequest),
}

pub(super) struct Queued {
    pub(super) at_ms: u64,
    pub(super) number: u64,
    pub(super) what: Happening,
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
    pub(super) fn at(&mut self, after_ms: u64, what: Happening) {
        let number = self.next_number();
        self.at_place(after_ms, number, what);
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// The same, before all with a higher number that happen then.
    pub(super) fn at_place(&mut self, after_ms: u64, number: u64, what: Happening) {
        self.queue.push(Reverse(Queued {
            at_ms: self.now_ms + after_ms,
            number,
            what,
        }));
    }

    /// Lets the world run on for so long.
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
            self.happen(next.what);
        }
        self.now_ms = until_ms;
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Deliver(n, life, event) => self.deliver(n, life, event, None),
            Happening::Held(n, life, event, place) => self.deliver(n, life, event, Some(place)),
            Happening::Apply(tx) => {
                self.transact(&tx);
            }
            Happening::OrderLate(id, life, order) => self.order_late(&id, life, order),
            Happening::RunEnds(id, task, run) => {
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
            Happening::AtWork(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                if there.is_some_and(|r| r.run == run) {
                    self.ordered_away.remove(&task);
                }
            }
            Happening::GangAlone(id, task, run) => {
                let there = self.workers.get(&id).and_then(|w| w.running.get(&task));
                let is_there = there.is_some_and(|r| r.run == run);
                let members =
                    usize::from(self.specs[&task.job].steps[usize::from(task.step)].count);
                if is_there && self.present(&task, run) < members {
                    self.end(&id, &task, run, EndKind::GangAlone);
                }
            }
            Happening::CrashedBy(id, task, run) => self.crashed_by(&id, &task, run),
            Happening::Beat(id) => {
                self.unlisted.remove(&id);
                let up = self.workers.get(&id).filter(|w| w.is_up);
                if let Some(fact) = up.map(|w| w.fact.clone()) {
                    self.broadcast(&Event::Worker(WorkerEvent::Present(fact)));
                }
            }
            Happening::Lapse(id) => self.lapse(&id),
            Happening::LifeOver(id) => self.life_over(&id),
            Happening::Restarted(id) => self.restarted(&id),
            Happening::UpkeepOver(host) => {
                self.out.remove(&host);
                self.come_back(&host);
            }
            Happening::Kill(n, life) => {
                if self.entries[n].life == life {
                    self.kill(n);
                }
            }
            Happening::Wake(n) if self.entries[n].wake_ms == self.now_ms => {
                self.deliver_now(n, Event::Tick);
            }
            // An earlier wake came before it.
            Happening::Wake(_) => {}
        }
    }
}
