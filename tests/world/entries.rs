//! The world's entries: processes that start, stand still, are cut off and end, and the schedulers in them.

use super::*;

impl World {
    /// Starts an entry's process.
    pub(crate) fn boot(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        entry.life += 1;
        entry.frozen_until_ms = 0;
        entry.held = 0;
        entry.calm_since_ms = self.now_ms;
        entry.wake_ms = self.now_ms + 5;
        let nonce = entry.life * 100 + n as u64;
        entry.state = Some(State::new(format!("entry-{n}"), nonce));
        self.tell_all(n);
        self.at(5, Happening::Wake(n));
    }

    /// Gives an entry so much processor time.
    pub(crate) fn set_cpu(&mut self, n: usize, cpu_milli: u64) {
        if let Some(state) = &mut self.entries[n].state {
            state.cpu_milli = cpu_milli;
        }
    }

    /// Kills an entry's process.
    pub(crate) fn kill(&mut self, n: usize) {
        self.entries[n].state = None;
        self.entries[n].life += 1;
    }

    /// Tells an entry to stop; its process ends a moment later.
    pub(crate) fn stop(&mut self, n: usize) {
        let life = self.entries[n].life;
        self.at(0, Happening::Deliver(n, life, Event::Stop));
        self.at(GRACE_MS, Happening::Kill(n, life));
    }

    /// An entry stands still. One that does already stands still as long as either of both asks for: let go by the shorter
    /// one, it would be handed what came later before what was held for the end of the longer one.
    pub(crate) fn freeze(&mut self, n: usize, ms: u64) {
        let already_ms = match self.hand_over {
            HandOver::InOrder => self.entries[n].frozen_until_ms,
            HandOver::AsMet => 0,
        };
        let until_ms = already_ms.max(self.now_ms + ms);
        self.entries[n].frozen_until_ms = until_ms;
        self.entries[n].calm_since_ms = until_ms;
    }

    /// The store does not hear an entry, nor it the store.
    pub(crate) fn cut_entry(&mut self, n: usize, ms: u64) {
        self.entries[n].cut_until_ms = self.now_ms + ms;
        self.entries[n].calm_since_ms = self.now_ms + ms;
        let life = self.entries[n].life;
        self.at(0, Happening::Deliver(n, life, Event::Store(false)));
        // Its feeds notice the end, whatever else goes on.
        self.at(ms + 1, Happening::Deliver(n, life, Event::Tick));
    }

    /// The owner's state.
    pub(crate) fn owner(&self) -> Option<&State> {
        let states = self.entries.iter().filter_map(|e| e.state.as_ref());
        states.into_iter().find(|s| s.owned_count() > 0)
    }

    /// The owner's books on the pool, once it has read them.
    pub(crate) fn owner_book(&self) -> Option<&PoolState> {
        self.owner()?
            .pool(POOL)?
            .ownership
            .as_ref()?
            .pool_state
            .as_ref()
    }

    /// Whether a job has ended by its owner's books, whatever is on record.
    pub(crate) fn is_over_by_books(&self, id: &str) -> bool {
        let pool_state = self.owner_book();
        pool_state.is_some_and(|pool_state| pool_state.jobs[pool_state.by_id[id]].state.is_final())
    }

    /// The entry that owns the pool.
    pub(crate) fn owner_entry(&self) -> Option<usize> {
        let owns = |e: &Entry| e.state.as_ref().is_some_and(|s| s.owned_count() > 0);
        self.entries.iter().position(owns)
    }

    /// An entry reads the rows of its pool again, within the same ownership; gives what is logged by it.
    pub(crate) fn reload(&mut self, n: usize) -> Vec<Decision> {
        let state = self.entries[n].state.as_ref();
        let ownership = state.and_then(|s| s.pool(POOL)?.ownership.as_ref());
        let epoch = ownership.expect("it owns the pool").epoch;
        let rows = self.rows();
        self.told(n, Event::Loaded(PoolKey(0), epoch, Some(rows)))
    }

    /// The pool's rows as they are now.
    pub(crate) fn read_rows(&self) -> LoadedRows {
        self.rows()
    }

    /// An entry is handed rows that were read before, within its ownership.
    pub(crate) fn load(&mut self, n: usize, rows: LoadedRows) {
        let state = self.entries[n].state.as_ref();
        let ownership = state.and_then(|s| s.pool(POOL)?.ownership.as_ref());
        let epoch = ownership.expect("it owns the pool").epoch;
        self.tell(n, Event::Loaded(PoolKey(0), epoch, Some(rows)));
    }

    /// Hands an event to an entry, or holds it while that stands still. `place` is its place among what was held.
    pub(super) fn deliver(&mut self, n: usize, life: u64, event: Event, place: Option<u64>) {
        if self.entries[n].life != life {
            return;
        }
        let is_behind = place.is_none() && self.is_in_order(&event) && self.entries[n].held > 0;
        if self.entries[n].frozen_until_ms > self.now_ms || is_behind {
            self.hold_back(n, life, event, place);
            return;
        }
        if place.is_some() {
            self.entries[n].held -= 1;
        }
        self.deliver_now(n, event);
    }

    /// Whether an event keeps its place among what an entry missed.
    fn is_in_order(&self, event: &Event) -> bool {
        self.hand_over == HandOver::InOrder && is_feed(event)
    }

    /// Feeds keep the order of changes, however often their reader stands still: what was held before goes first. Answers
    /// come by connections of their own, in any order.
    fn hold_back(&mut self, n: usize, life: u64, event: Event, place: Option<u64>) {
        let after_ms = self.entries[n].frozen_until_ms.saturating_sub(self.now_ms);
        if !self.is_in_order(&event) {
            self.at(after_ms, Happening::Deliver(n, life, event));
            return;
        }
        let place = place.unwrap_or_else(|| {
            self.entries[n].held += 1;
            self.next_number()
        });
        self.at_place(after_ms, place, Happening::Held(n, life, event, place));
    }

    pub(super) fn deliver_now(&mut self, n: usize, event: Event) {
        if self.entries[n].frozen_until_ms > self.now_ms {
            let thaw_ms = self.entries[n].frozen_until_ms;
            self.entries[n].wake_ms = thaw_ms;
            self.at(thaw_ms - self.now_ms, Happening::Wake(n));
            return;
        }
        let cut_until_ms = self.entries[n].cut_until_ms;
        if cut_until_ms > 0 && cut_until_ms <= self.now_ms {
            self.entries[n].cut_until_ms = 0;
            self.tell_all(n);
            let life = self.entries[n].life;
            self.at(3, Happening::Deliver(n, life, Event::Store(true)));
        }
        self.reduce(n, event);
    }

    pub(super) fn reduce(&mut self, n: usize, event: Event) {
        let now = self.now();
        let Some(state) = self.entries[n].state.as_mut() else {
            return;
        };
        let effects = reduce(state, event, now);
        for effect in effects {
            self.carry(n, effect);
        }
        let wake_ms = self.entries[n].state.as_ref().and_then(State::wake_ms);
        let Some(at_ms) = wake_ms else { return };
        let at_ms = at_ms.max(self.now_ms + 1);
        if self.entries[n].wake_ms <= self.now_ms || at_ms < self.entries[n].wake_ms {
            self.entries[n].wake_ms = at_ms;
            self.at(at_ms - self.now_ms, Happening::Wake(n));
        }
    }

    pub(super) fn reply(&mut self, n: usize, after_ms: u64, event: Event) {
        let life = self.entries[n].life;
        self.at(after_ms, Happening::Deliver(n, life, event));
    }

    /// What an entry reads when it starts, or comes back to the store.
    pub(super) fn tell_all(&mut self, n: usize) {
        let life = self.entries[n].life;
        let config = Event::Operator(OperatorEvent::Config(Arc::new(self.config.clone())));
        let config_ms = 3 + self.config_late_ms;
        self.at(config_ms, Happening::Deliver(n, life, config));
        let mut events = Vec::new();
        for wave in &self.waves {
            events.push(Event::Operator(OperatorEvent::Wave(wave.clone())));
        }
        // The list holds entries of lives that have ended for some heartbeats.
        let facts = self.listed();
        events.push(Event::WorkersRead(facts));
        for ((table, part, key), (value, revision)) in &self.store {
            let row = StoredRow {
                part: part.clone(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            };
            events.extend(row_event(*table, row));
        }
        for event in events {
            self.at(3, Happening::Deliver(n, life, event));
        }
    }
}
