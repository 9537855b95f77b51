//! Whether a pool has room that is only split up: enough of it in all, and too little on any one host.

use super::pool_state::PoolState;
use super::tasks::Class;
use crate::clock::Millis;
use crate::port::fleet::Capacity;

/// What is free holds a task so many times over, so that others lose no room for it.
const ROOM_FACTOR: u64 = 2;

/// No more than that share of a pool's processors is taken, in percent: what is free is to be put together for any task.
/// Where it is under half, a task of half a host or less finds a place unless another resource is short.
const IDLE_PERCENT: u64 = 60;

/// The same for tasks of more than half a host that can be in time. In fuller pools hosts are worth more to small tasks.
const WIDE_PERCENT: u64 = 80;

/// What the open hosts of a pool have, and have free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fragmentation {
    now_ms: Millis,
    /// The open hosts.
    pub(super) hosts: u64,
    capacity: Capacity,
    free: Capacity,
}

impl Fragmentation {
    /// Of this pool.
    pub(super) fn of(pool_state: &PoolState, now_ms: Millis) -> Self {
        let mut fragmentation = Self {
            now_ms,
            hosts: 0,
            capacity: Capacity::default(),
            free: Capacity::default(),
        };
        for worker in pool_state.workers.values().filter(|w| w.is_open(now_ms)) {
            fragmentation.hosts += 1;
            fragmentation.capacity.add(worker.fact.capacity);
            fragmentation.free.add(worker.free());
        }
        fragmentation
    }

    /// Whether a task of this class waits only since no host alone has what is free in all.
    pub(super) fn is_split(&self, pool_state: &PoolState, class: Class, demand: Capacity) -> bool {
        let used_percent = self.used_percent();
        let is_wide = || class <= Class::InTime && self.is_wide(demand);
        let is_due = used_percent <= IDLE_PERCENT || used_percent <= WIDE_PERCENT && is_wide();
        is_due
            && self.free.contains(demand.times(ROOM_FACTOR))
            && !has_host(pool_state, demand, self.now_ms)
    }

    fn used_percent(&self) -> u64 {
        let used_cpu_milli = self.capacity.cpu_milli.saturating_sub(self.free.cpu_milli);
        (used_cpu_milli * 100).div_ceil(self.capacity.cpu_milli.max(1))
    }

    /// Whether a task takes more than half of a mean host.
    fn is_wide(&self, demand: Capacity) -> bool {
        !self.capacity.contains(demand.times(2 * self.hosts))
    }
}

/// Whether some open host that is reserved for no other task has that much free.
fn has_host(pool_state: &PoolState, demand: Capacity, now_ms: Millis) -> bool {
    let slots = pool_state.free_index.workers_with_free(demand.cpu_milli);
    let slots = slots.filter(|slot| !pool_state.reserved.has(slot.worker));
    let mut open = slots.map(|slot| &pool_state.workers[slot.worker]);
    open.any(|w| w.is_open(now_ms) && w.fits(demand))
}
