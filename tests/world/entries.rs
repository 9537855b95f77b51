//! Simulated entries: processes that start, freeze, lose the store and end, with a scheduler in each of them.

use super::*;

impl World {
    /// Starts the process of an entry.
    pub(crate) fn boot(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        entry.incarnation += 1;
        entry.frozen_until_ms = 0;
        entry.held_row_count = 0;
        entry.undisturbed_since_ms = self.now_ms;
        entry.wake_ms = self.now_ms + 5;
        let nonce = entry.incarnation * 100 + n as u64;
        let state = State::new(format!("entry-{n}"), nonce).with_deployment(self.deployment);
        entry.state = Some(match self.has_standbys {
            true => state.with_standbys(),
            false => state,
        });
        self.deliver_initial_state(n);
        self.schedule(5, TimedEvent::Wake(n));
    }

    /// Sets the processor time of an entry, in thousandths of a core.
    pub(crate) fn set_cpu(&mut self, n: usize, cpu_milli: u64) {
        if let Some(state) = &mut self.entries[n].state {
            state.cpu_milli = cpu_milli;
        }
    }

    /// Kills the process of an entry.
    pub(crate) fn kill(&mut self, n: usize) {
        self.entries[n].state = None;
        self.entries[n].incarnation += 1;
    }

    /// Asks an entry to stop; its process is killed after a grace period.
    pub(crate) fn stop(&mut self, n: usize) {
        let incarnation = self.entries[n].incarnation;
        self.schedule(0, TimedEvent::Deliver(n, incarnation, Event::Stop));
        self.schedule(GRACE_MS, TimedEvent::Kill(n, incarnation));
    }

    /// Freezes an entry for a time. If it is frozen already, the later of the two ends applies: at the earlier one, it
    /// would receive events that arrived later before those held back until the later end. With
    /// [`DeliveryOrder::AtThaw`], the new end always applies.
    pub(crate) fn freeze(&mut self, n: usize, ms: u64) {
        let already_ms = match self.delivery_order {
            DeliveryOrder::InOrder => self.entries[n].frozen_until_ms,
            DeliveryOrder::AtThaw => 0,
        };
        let until_ms = already_ms.max(self.now_ms + ms);
        self.entries[n].frozen_until_ms = until_ms;
        self.entries[n].undisturbed_since_ms = until_ms;
    }

    /// Disconnects an entry from the store for a time.
    pub(crate) fn disconnect_entry(&mut self, n: usize, ms: u64) {
        self.entries[n].disconnected_until_ms = self.now_ms + ms;
        self.entries[n].undisturbed_since_ms = self.now_ms + ms;
        let incarnation = self.entries[n].incarnation;
        self.schedule(0, TimedEvent::Deliver(n, incarnation, Event::Store(false)));
        // The feeds notice that the connection is back even if no other event arrives.
        self.schedule(ms + 1, TimedEvent::Deliver(n, incarnation, Event::Tick));
    }

    /// Returns the state of the entry that owns the pool.
    pub(crate) fn owner(&self) -> Option<&State> {
        let states = self.entries.iter().filter_map(|e| e.state.as_ref());
        states.into_iter().find(|s| s.owned_count() > 0)
    }

    /// Returns the owner's in-memory state of the pool, once it is loaded.
    pub(crate) fn owner_pool_state(&self) -> Option<&PoolState> {
        self.owner()?
            .pool(POOL)?
            .ownership
            .as_ref()?
            .pool_state
            .as_ref()
    }

    /// Returns whether a job has ended in its owner's in-memory state, whether or not that is recorded.
    pub(crate) fn has_ended_in_memory(&self, id: &str) -> bool {
        let pool_state = self.owner_pool_state();
        pool_state
            .is_some_and(|pool_state| pool_state.jobs[pool_state.jobs_by_id[id]].state.is_final())
    }

    /// Returns the number of the entry that owns the pool.
    pub(crate) fn owner_entry(&self) -> Option<usize> {
        let owns = |e: &Entry| e.state.as_ref().is_some_and(|s| s.owned_count() > 0);
        self.entries.iter().position(owns)
    }

    /// Makes an entry read the rows of its pool again within the same ownership, and returns the decisions that it
    /// logs.
    pub(crate) fn reload(&mut self, n: usize) -> Vec<Decision> {
        let state = self.entries[n].state.as_ref();
        let ownership = state.and_then(|s| s.pool(POOL)?.ownership.as_ref());
        let epoch = ownership.expect("the entry owns the pool").epoch;
        let rows = self.loaded_rows();
        self.deliver_logged(n, Event::Loaded(PoolKey(0), epoch, Some(rows)))
    }

    /// Returns the current rows of the pool.
    pub(crate) fn read_rows(&self) -> LoadedRows {
        self.loaded_rows()
    }

    /// Delivers rows that were read earlier to an entry, within its ownership.
    pub(crate) fn deliver_rows(&mut self, n: usize, rows: LoadedRows) {
        let state = self.entries[n].state.as_ref();
        let ownership = state.and_then(|s| s.pool(POOL)?.ownership.as_ref());
        let epoch = ownership.expect("the entry owns the pool").epoch;
        self.deliver_event(n, Event::Loaded(PoolKey(0), epoch, Some(rows)));
    }

    /// Delivers an event to an entry, or holds it back while the entry is frozen. `held_number` is the number that the
    /// event got when it was first held back.
    pub(super) fn deliver(
        &mut self,
        n: usize,
        incarnation: u64,
        event: Event,
        held_number: Option<u64>,
    ) {
        if self.entries[n].incarnation != incarnation {
            return;
        }
        let is_behind =
            held_number.is_none() && self.is_in_order(&event) && self.entries[n].held_row_count > 0;
        if self.entries[n].frozen_until_ms > self.now_ms || is_behind {
            self.hold_back(n, incarnation, event, held_number);
            return;
        }
        if held_number.is_some() {
            self.entries[n].held_row_count -= 1;
        }
        self.deliver_now(n, event);
    }

    /// Returns whether an event keeps its position among the held events.
    fn is_in_order(&self, event: &Event) -> bool {
        self.delivery_order == DeliveryOrder::InOrder && is_feed(event)
    }

    /// Holds an event back until the entry is no longer frozen. Feeds keep the order of changes, so rows held back
    /// earlier go first. Answers come over connections of their own, in any order.
    fn hold_back(&mut self, n: usize, incarnation: u64, event: Event, held_number: Option<u64>) {
        let after_ms = self.entries[n].frozen_until_ms.saturating_sub(self.now_ms);
        if !self.is_in_order(&event) {
            self.schedule(after_ms, TimedEvent::Deliver(n, incarnation, event));
            return;
        }
        let held_number = held_number.unwrap_or_else(|| {
            self.entries[n].held_row_count += 1;
            self.next_event_number()
        });
        self.schedule_at(
            after_ms,
            held_number,
            TimedEvent::DeliverHeld(n, incarnation, event, held_number),
        );
    }

    pub(super) fn deliver_now(&mut self, n: usize, event: Event) {
        if self.entries[n].frozen_until_ms > self.now_ms {
            let thaw_ms = self.entries[n].frozen_until_ms;
            self.entries[n].wake_ms = thaw_ms;
            self.schedule(thaw_ms - self.now_ms, TimedEvent::Wake(n));
            return;
        }
        let disconnected_until_ms = self.entries[n].disconnected_until_ms;
        if disconnected_until_ms > 0 && disconnected_until_ms <= self.now_ms {
            self.entries[n].disconnected_until_ms = 0;
            self.deliver_initial_state(n);
            let incarnation = self.entries[n].incarnation;
            self.schedule(3, TimedEvent::Deliver(n, incarnation, Event::Store(true)));
        }
        self.reduce_event(n, event);
    }

    pub(super) fn reduce_event(&mut self, n: usize, event: Event) {
        let now = self.now();
        let Some(state) = self.entries[n].state.as_mut() else {
            return;
        };
        let was_following = state.follows_owners();
        let effects = reduce(state, event, now);
        let begins_to_follow = !was_following && state.follows_owners();
        for effect in effects {
            self.apply_effect(n, effect);
        }
        if begins_to_follow {
            self.deliver_owner_rows(n);
        }
        let wake_ms = self.entries[n].state.as_ref().and_then(State::wake_ms);
        let Some(at_ms) = wake_ms else { return };
        let at_ms = at_ms.max(self.now_ms + 1);
        if self.entries[n].wake_ms <= self.now_ms || at_ms < self.entries[n].wake_ms {
            self.entries[n].wake_ms = at_ms;
            self.schedule(at_ms - self.now_ms, TimedEvent::Wake(n));
        }
    }

    pub(super) fn schedule_reply(&mut self, n: usize, after_ms: u64, event: Event) {
        let incarnation = self.entries[n].incarnation;
        self.schedule(after_ms, TimedEvent::Deliver(n, incarnation, event));
    }

    /// Delivers everything that an entry reads when it starts or reaches the store again.
    pub(super) fn deliver_initial_state(&mut self, n: usize) {
        let incarnation = self.entries[n].incarnation;
        let config = Event::Operator(OperatorEvent::Config(Arc::new(self.config.clone())));
        let config_ms = 3 + self.config_late_ms;
        self.schedule(config_ms, TimedEvent::Deliver(n, incarnation, config));
        let mut events: Vec<Event> = self.halls_event().into_iter().collect();
        for wave in &self.waves {
            events.push(Event::Operator(OperatorEvent::Wave(wave.clone())));
        }
        // The platform's list keeps ended instances for some heartbeats, so this one contains them, too.
        let infos = self.listed_workers();
        events.push(Event::WorkersRead(infos));
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
            self.schedule(3, TimedEvent::Deliver(n, incarnation, event));
        }
    }
}
