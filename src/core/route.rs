//! Which backend server gets a request, from what one entry can see.
//!
//! Nine entries share a backend server's slots without talking about it: each keeps a window of how
//! many requests it may have there at once. A refusal shrinks the window, answers let it grow again.

use super::config::Class;

/// Parts of one request that windows are counted in, so that they can grow slowly.
const PART: u32 = 16;

/// Parts that an answer adds while the window is in full use: sixteen such answers for one more request.
const GROW: u32 = 1;

/// One in so many of the places together is kept from batch.
const BATCH_LEAVES: u32 = 8;

/// How many requests this entry may have at a backend server at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    parts: u32,
    most: u32,
}

impl Window {
    /// Starts at the share that an equal split among `entries` would give, so that a start of many
    /// entries together does not overrun the backend server.
    pub fn new(slots: u32, entries: usize) -> Self {
        let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
        let most = slots.max(1) * PART;
        Self {
            parts: (most / entries).max(PART),
            most,
        }
    }

    /// Whole requests that it allows.
    pub fn size(&self) -> u32 {
        self.parts / PART
    }

    /// After a refusal: three quarters, one at least.
    pub fn shrink(&mut self) {
        self.parts = (self.parts * 3 / 4).max(PART);
    }

    /// After an answer that came while the window was in full use.
    pub fn grow(&mut self) {
        self.parts = (self.parts + GROW).min(self.most);
    }
}

/// A backend server as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Requests of this entry in flight there.
    pub in_flight: u32,
    /// How many may be.
    pub window: u32,
    /// Whether it is ejected, closed, or was asked before for this request.
    pub barred: bool,
    /// Whether it stands in this entry's hall.
    pub near: bool,
}

impl Candidate {
    fn has_room(&self) -> bool {
        !self.barred && self.in_flight < self.window
    }

    /// Load in thousandths of the window, then distance.
    fn load(&self) -> (u32, bool) {
        (self.in_flight * 1_000 / self.window.max(1), !self.near)
    }
}

/// Picks the less loaded of two drawn at random among those with room; none where there is no room.
///
/// `look` gives the candidate at an index below `count`; only those drawn are looked at.
pub fn pick<F>(count: usize, look: F, rng: &mut fastrand::Rng) -> Option<usize>
where
    F: Fn(usize) -> Candidate,
{
    let first = draw(count, &look, rng)?;
    let second = draw(count, &look, rng)?;
    if look(second).load() < look(first).load() {
        Some(second)
    } else {
        Some(first)
    }
}

/// Draws evenly among those with room: a few blind draws first, then a walk from a random start.
fn draw<F>(count: usize, look: &F, rng: &mut fastrand::Rng) -> Option<usize>
where
    F: Fn(usize) -> Candidate,
{
    const BLIND_DRAWS: usize = 4;
    if count == 0 {
        return None;
    }
    for _ in 0..BLIND_DRAWS {
        let i = rng.usize(..count);
        if look(i).has_room() {
            return Some(i);
        }
    }
    let start = rng.usize(..count);
    (0..count)
        .map(|n| (start + n) % count)
        .find(|i| look(*i).has_room())
}

/// Whether a request of `class` may take a place now, given the places in use and all there are.
///
/// Batch is also held to this entry's part of all slots, so that the batch of all entries together
/// leaves the last slots to the others.
pub fn class_may_enter(class: Class, batch_in_flight: u32, all_slots: u32, entries: usize) -> bool {
    if class != Class::Batch {
        return true;
    }
    let entries = u32::try_from(entries.max(1)).unwrap_or(u32::MAX);
    let for_batch = all_slots - all_slots / BATCH_LEAVES;
    batch_in_flight < (for_batch / entries).max(1)
}
