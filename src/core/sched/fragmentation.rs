//! Tells whether a pool's free capacity is fragmented: enough in all, but too little on any one host.
//!
//! For tasks that wait because of this, [`super::reservations`] reserves hosts, and [`super::sizing`] requests more.

use super::pool_state::PoolState;
use super::tasks::Class;
use crate::clock::Millis;
use crate::port::fleet::Capacity;

/// The free capacity must hold the task this many times over, so that reserving a host takes no room from others.
const FREE_FACTOR: u64 = 2;

/// Highest percentage of the pool's processors in use at which fragmentation counts for any task. In a pool that is
/// less than half full, a task of half a host or less finds a host unless another resource is short.
const USED_MAX_PERCENT: u64 = 60;

/// Highest percentage in use at which fragmentation counts for tasks of more than half a host, if they are lasting or
/// can be in time. In fuller pools hosts are worth more to small tasks.
const WIDE_USED_MAX_PERCENT: u64 = 80;

/// Total and free capacity of the open hosts of a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fragmentation {
    now_ms: Millis,
    /// Number of open hosts.
    pub(super) hosts: u64,
    capacity: Capacity,
    free: Capacity,
}

impl Fragmentation {
    /// Sums up the open hosts of a pool.
    pub(super) fn of(pool_state: &PoolState, now_ms: Millis) -> Self {
        let mut fragmentation = Self {
            now_ms,
            hosts: 0,
            capacity: Capacity::default(),
            free: Capacity::default(),
        };
        for worker in pool_state.workers.values().filter(|w| w.is_open(now_ms)) {
            fragmentation.hosts += 1;
            fragmentation.capacity.add(worker.info.capacity);
            fragmentation.free.add(worker.free());
        }
        fragmentation
    }

    /// Whether a task of this class and demand waits only because no single host has the capacity that is free in
    /// all.
    pub(super) fn is_split(&self, pool_state: &PoolState, class: Class, demand: Capacity) -> bool {
        let used_percent = self.used_percent();
        let is_wide = || class <= Class::InTime && self.is_wide(demand);
        let is_due =
            used_percent <= USED_MAX_PERCENT || used_percent <= WIDE_USED_MAX_PERCENT && is_wide();
        is_due
            && self.free.contains(demand.times(FREE_FACTOR))
            && !has_host(pool_state, demand, self.now_ms)
    }

    fn used_percent(&self) -> u64 {
        let used_cpu_milli = self.capacity.cpu_milli.saturating_sub(self.free.cpu_milli);
        (used_cpu_milli * 100).div_ceil(self.capacity.cpu_milli.max(1))
    }

    /// Whether a task takes more than half of an average host.
    fn is_wide(&self, demand: Capacity) -> bool {
        !self.capacity.contains(demand.times(2 * self.hosts))
    }
}

/// Whether some open host without a reservation has `demand` free.
fn has_host(pool_state: &PoolState, demand: Capacity, now_ms: Millis) -> bool {
    let slots = pool_state.free_index.workers_with_free(demand.cpu_milli);
    let slots = slots.filter(|slot| !pool_state.reserved.has(slot.worker));
    let mut open = slots.map(|slot| &pool_state.workers[slot.worker]);
    open.any(|w| w.is_open(now_ms) && w.fits(demand))
}
