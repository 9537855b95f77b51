//! Indexes workers by the share of their processors that is free, over the pool and by rack, so that placement need
//! not visit every worker.
//!
//! The pool state keeps the index up to date. The index doesn't know whether a worker may get work: the caller checks
//! this for the few workers that the index returns.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use slotmap::{Key, SecondaryMap};

use super::keys::WorkerKey;
use super::worker::Worker;

/// A worker's position in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot {
    /// Thousandths of its processors that are free.
    pub free_milli: u64,
    /// The worker.
    pub worker: WorkerKey,
}

/// Index of workers by free processors.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    all: BTreeSet<Slot>,
    by_rack: HashMap<String, BTreeSet<Slot>>,
    /// The slot and the rack under which each worker is indexed.
    known: SecondaryMap<WorkerKey, (Slot, String)>,
    /// Processors of the largest worker so far, in thousandths of a core.
    largest_cpu_milli: u64,
}

impl FreeIndex {
    /// Updates the index with a worker's free processors and rack.
    pub fn update(&mut self, key: WorkerKey, worker: &Worker) {
        let room = worker.info.capacity.cpu_milli;
        let free = room.saturating_sub(worker.used.cpu_milli);
        let slot = Slot {
            free_milli: free * 1_000 / room.max(1),
            worker: key,
        };
        let known = self.known.get(key);
        if known.is_some_and(|(before, rack)| *before == slot && rack == worker.rack()) {
            return;
        }
        self.remove(key);
        self.largest_cpu_milli = self.largest_cpu_milli.max(room);
        self.all.insert(slot);
        let rack = worker.rack().to_string();
        self.by_rack.entry(rack.clone()).or_default().insert(slot);
        self.known.insert(key, (slot, rack));
    }

    /// Removes a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        let Some((slot, rack)) = self.known.remove(key) else {
            return;
        };
        self.all.remove(&slot);
        if let Some(in_rack) = self.by_rack.get_mut(&rack) {
            in_rack.remove(&slot);
            if in_rack.is_empty() {
                self.by_rack.remove(&rack);
            }
        }
    }

    /// Returns the workers that may have `cpu_milli` thousandths of a core free, the fullest first.
    pub fn workers_with_free(&self, cpu_milli: u64) -> impl Iterator<Item = Slot> + '_ {
        let range = (self.lower_bound(cpu_milli), Bound::Unbounded);
        self.all.range(range).copied()
    }

    /// Returns the workers of one rack that may have `cpu_milli` thousandths of a core free, the fullest first.
    pub fn rack_workers_with_free(
        &self,
        rack: &str,
        cpu_milli: u64,
    ) -> impl Iterator<Item = Slot> + '_ {
        let range = (self.lower_bound(cpu_milli), Bound::Unbounded);
        let in_rack = self.by_rack.get(rack).into_iter();
        in_rack.flat_map(move |slots| slots.range(range).copied())
    }

    /// Returns the lower bound of the slots that may have `cpu_milli` free. The bound is the free share that this would
    /// be on the largest worker, so smaller workers with less free may be included.
    fn lower_bound(&self, cpu_milli: u64) -> Bound<Slot> {
        let free_milli = cpu_milli * 1_000 / self.largest_cpu_milli.max(1);
        free_milli.checked_sub(1).map_or(Bound::Unbounded, |below| {
            Bound::Excluded(Slot {
                free_milli: below,
                // No key is greater than the null one.
                worker: WorkerKey::null(),
            })
        })
    }
}
