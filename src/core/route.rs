//! The choice of a backend server for a request, from what one entry knows by itself.
//!
//! Several entries, for example nine, share a backend server's slots without coordination: each keeps a window of how
//! many requests it may have in flight there. A refusal shrinks the window, and answers let it grow again.

use super::config::Class;

/// Number of parts in one request. Windows are counted in parts so that they can grow slowly.
const PARTS_PER_REQUEST: u32 = 16;

/// Parts that an answer adds while the window is in full use, which makes sixteen answers for one more request.
const GROW_PARTS: u32 = 1;

/// Batch requests leave one in `BATCH_RESERVE_DIVISOR` of a service's slots free for the other classes.
const BATCH_RESERVE_DIVISOR: u32 = 8;

/// The number of requests that this entry may have in flight at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    parts: u32,
    parts_max: u32,
}

impl Window {
    /// Creates a window of the entry's equal share of the slots, so that many entries that start together do not
    /// overload the backend server.
    pub fn new(slots: u32, entries: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let parts_max = slots.max(1) * PARTS_PER_REQUEST;
        Self {
            parts: (parts_max / entries).max(PARTS_PER_REQUEST),
            parts_max,
        }
    }

    /// Returns the window in whole requests.
    pub fn size(&self) -> u32 {
        self.parts / PARTS_PER_REQUEST
    }

    /// Shrinks the window after a refusal to three quarters, at least to one request.
    pub fn shrink(&mut self) {
        self.parts = (self.parts * 3 / 4).max(PARTS_PER_REQUEST);
    }

    /// Grows the window after an answer that came while the window was in full use, at most to all slots.
    pub fn grow(&mut self) {
        self.parts = (self.parts + GROW_PARTS).min(self.parts_max);
    }
}

/// The properties of a backend server that the choice depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Number of this entry's requests in flight there.
    pub in_flight: u32,
    /// Maximum number of this entry's requests in flight there.
    pub window: u32,
    /// Whether it may not be picked: it is ejected or closed, or was already tried for this request.
    pub is_excluded: bool,
    /// Whether it is in this entry's hall.
    pub is_same_hall: bool,
}

impl Candidate {
    fn has_room(&self) -> bool {
        !self.is_excluded && self.in_flight < self.window
    }

    /// Returns the load in thousandths of the window, and whether the backend server is in another hall.
    fn load(&self) -> (u32, bool) {
        (
            self.in_flight * 1_000 / self.window.max(1),
            !self.is_same_hall,
        )
    }
}

/// Returns the index of the less loaded of two random backend servers with a free slot in their windows, or `None`
/// if there is none.
///
/// `candidate_at` returns the candidate at an index below `count`, and is called only for indexes that are drawn.
pub fn pick_candidate<F>(count: usize, candidate_at: F, rng: &mut fastrand::Rng) -> Option<usize>
where
    F: Fn(usize) -> Candidate,
{
    let first = draw(count, &candidate_at, rng)?;
    let second = draw(count, &candidate_at, rng)?;
    if candidate_at(second).load() < candidate_at(first).load() {
        Some(second)
    } else {
        Some(first)
    }
}

/// Draws a random candidate with a free slot: a few random tries first, then a scan from a random start.
fn draw<F>(count: usize, candidate_at: &F, rng: &mut fastrand::Rng) -> Option<usize>
where
    F: Fn(usize) -> Candidate,
{
    const RANDOM_TRIES: usize = 4;
    if count == 0 {
        return None;
    }
    for _ in 0..RANDOM_TRIES {
        let i = rng.usize(..count);
        if candidate_at(i).has_room() {
            return Some(i);
        }
    }
    let start = rng.usize(..count);
    (0..count)
        .map(|n| (start + n) % count)
        .find(|i| candidate_at(*i).has_room())
}

/// Whether a request of `class` may take a slot now, given the batch requests in flight and the number of all slots.
///
/// Batch requests are limited to this entry's share, so that the batch requests of all entries together leave the
/// last slots to the other classes.
pub fn class_may_enter(class: Class, batch_in_flight: u32, all_slots: u32, entries: usize) -> bool {
    if class != Class::Batch {
        return true;
    }
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    let for_batch = all_slots - all_slots / BATCH_RESERVE_DIVISOR;
    batch_in_flight < (for_batch / entries).max(1)
}
