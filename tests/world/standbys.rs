//! Standbys: worlds in which entries take part in the slots, and only those that follow the owners receive owner rows.

use rockwick::core::sched::standby::STANDBY_PART;

use super::*;

/// Interval at which every entry reads the slots.
const POLL_MS: u64 = 5_000;

/// Time from a write of a slot to its answer.
const ANSWER_MS: u64 = 8;

impl World {
    /// Creates a world whose entries take part in the slots of standbys.
    pub(crate) fn with_standbys(seed: u64, entries: usize, workers: usize) -> Self {
        let mut world = World::new(seed, 0, workers);
        world.has_standbys = true;
        world.add_entries(entries);
        for n in 0..entries {
            // Entries read the slots at different times.
            world.schedule(20 + n as u64 * 37, TimedEvent::ReadStandbys(n));
        }
        world
    }

    /// Returns the entries that follow the owners.
    pub(crate) fn following(&self) -> Vec<usize> {
        let follows = |n: &usize| {
            let state = self.entries[*n].state.as_ref();
            state.is_some_and(State::follows_owners)
        };
        (0..self.entries.len()).filter(follows).collect()
    }

    pub(super) fn write_standby(&mut self, n: usize, tx: &RowTx) {
        let is_disconnected = self.entries[n].disconnected_until_ms > self.now_ms;
        let outcome = match is_disconnected {
            true => TxOutcome::Refused,
            false => self.apply_transaction(tx),
        };
        self.schedule_reply(n, ANSWER_MS, Event::StandbyWritten(outcome));
    }

    /// Lets an entry read the slots, now and then regularly.
    pub(super) fn read_standbys(&mut self, n: usize) {
        if self.entries[n].disconnected_until_ms <= self.now_ms {
            let rows = self.store.iter();
            let rows = rows.filter(|((table, ..), _)| *table == Table::Standbys);
            let rows = rows.map(|((_, _, key), (value, revision))| StoredRow {
                part: STANDBY_PART.to_string(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: *revision,
            });
            let event = Event::Standbys {
                rows: rows.collect(),
                is_continuous: true,
            };
            self.schedule_reply(n, FEED_MS, event);
        }
        self.schedule(POLL_MS, TimedEvent::ReadStandbys(n));
    }

    /// Delivers all owner rows to an entry that has begun to follow the owners.
    pub(super) fn deliver_owner_rows(&mut self, n: usize) {
        let rows: Vec<Event> = self
            .store
            .iter()
            .filter(|((table, ..), _)| *table == Table::Owners)
            .map(|((_, part, key), (value, revision))| {
                Event::Owner(StoredRow {
                    part: part.clone(),
                    key: key.clone(),
                    value: Some(value.clone()),
                    revision: *revision,
                })
            })
            .collect();
        for event in rows {
            self.schedule_reply(n, FEED_MS, event);
        }
    }
}
