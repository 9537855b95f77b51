//! Data halls: hosts belong to two of them by turns, and the operator evacuates halls and gives them back.

use super::*;

/// Number of halls of a world.
const HALLS: u64 = 2;

/// An entry that is in touch starts nothing in a hall this long after its evacuation: the shortest bound that the
/// users' deployments state.
const EVACUATE_MS: u64 = 5_000;

/// Returns the hall of a host.
pub(crate) fn hall_of(host: &str) -> String {
    let number: u64 = host.trim_start_matches("host-").parse().unwrap_or(0);
    format!("hall-{}", number % HALLS)
}

impl World {
    /// Evacuates a hall.
    pub(crate) fn evacuate(&mut self, hall: &str) {
        self.has_evacuations = true;
        self.evacuated_since_ms
            .insert(hall.to_string(), self.now_ms);
        self.announce(OperatorEvent::HallEvacuated(hall.to_string()));
    }

    /// Gives an evacuated hall back.
    pub(crate) fn return_hall(&mut self, hall: &str) {
        self.evacuated_since_ms.remove(hall);
        self.announce(OperatorEvent::HallReturned(hall.to_string()));
    }

    /// Gives all evacuated halls back.
    pub(crate) fn return_all_halls(&mut self) {
        for hall in std::mem::take(&mut self.evacuated_since_ms).into_keys() {
            self.announce(OperatorEvent::HallReturned(hall));
        }
    }

    /// Tells the entries that reach the store of a change. The others learn it when they reach the store again.
    fn announce(&mut self, change: OperatorEvent) {
        for n in 0..self.entries.len() {
            if self.entries[n].disconnected_until_ms > self.now_ms {
                continue;
            }
            let incarnation = self.entries[n].incarnation;
            let event = TimedEvent::Deliver(n, incarnation, Event::Operator(change.clone()));
            self.schedule(FEED_MS, event);
        }
    }

    /// Makes an entry read the whole of the operator's table again, as after a loss of history.
    pub(crate) fn reread_halls(&mut self, n: usize) {
        if let Some(event) = self.halls_event() {
            self.deliver_event(n, event);
        }
    }

    /// Returns the event with all evacuated halls that begins a reading of the operator's table.
    pub(super) fn halls_event(&self) -> Option<Event> {
        let halls = self.evacuated_since_ms.keys().cloned().collect();
        self.has_evacuations
            .then_some(Event::Operator(OperatorEvent::EvacuatedHalls(halls)))
    }

    /// Counts a start in its worker's hall, and checks that the hall was not evacuated for too long.
    pub(super) fn check_hall(&mut self, id: &str) {
        let hall = self.workers[id].info.hall.clone();
        if let Some(since_ms) = self.evacuated_since_ms.get(&hall) {
            let since_ms = *since_ms;
            assert!(
                !self.is_undisturbed() || self.now_ms < since_ms + EVACUATE_MS,
                "{} ms: a start on {id} in {hall}, which is evacuated since {since_ms} ms",
                self.now_ms
            );
        }
        *self.starts_by_hall.entry(hall).or_default() += 1;
    }
}
