//! Whether a pool has room that is only split up: enough of it in all, and too little on any one host.

use super::book::Book;
use super::tasks::Class;
use crate::clock::Millis;
use crate::port::fleet::Capacity;

/// What is free holds a task so many times over, so that others lose no room for it.
const ROOM_FACTOR: u64 = 2;

/// Work that is late gets room gathered only while no more than that share of the pool is taken, in percent.
const LATE_USED_PERCENT: u64 = 60;

/// What the open hosts of a pool have free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Slack {
    now_ms: Millis,
    free: Capacity,
    room_cpu_milli: u64,
}

impl Slack {
    /// Of this pool.
    pub(super) fn of(book: &Book, now_ms: Millis) -> Self {
        let mut free = Capacity::default();
        let mut room_cpu_milli = 0;
        for worker in book.workers.values().filter(|w| w.is_open(now_ms)) {
            free.add(worker.free());
            room_cpu_milli += worker.fact.capacity.cpu_milli;
        }
        Self {
            now_ms,
            free,
            room_cpu_milli,
        }
    }

    /// Whether a task of this class waits only since no host alone has what is free in all.
    pub(super) fn is_split(&self, book: &Book, class: Class, demand: Capacity) -> bool {
        self.has_free(demand.times(ROOM_FACTOR))
            && (class <= Class::InTime || self.is_idle())
            && !has_host(book, demand, self.now_ms)
    }

    fn has_free(&self, sum: Capacity) -> bool {
        holds(self.free, sum)
    }

    fn is_idle(&self) -> bool {
        let used_cpu_milli = self.room_cpu_milli.saturating_sub(self.free.cpu_milli);
        used_cpu_milli * 100 <= self.room_cpu_milli * LATE_USED_PERCENT
    }
}

/// Whether `room` has as much of everything as `sum`.
pub(super) fn holds(room: Capacity, sum: Capacity) -> bool {
    sum.cpu_milli <= room.cpu_milli && sum.mem_mb <= room.mem_mb && sum.gpu <= room.gpu
}

/// Whether some open host that is kept for no other task has that much free.
fn has_host(book: &Book, demand: Capacity, now_ms: Millis) -> bool {
    let slots = book.room.with_free(demand.cpu_milli);
    let slots = slots.filter(|slot| !book.reserved.has(slot.worker));
    let mut open = slots.map(|slot| &book.workers[slot.worker]);
    open.any(|w| w.is_open(now_ms) && w.fits(demand))
}
