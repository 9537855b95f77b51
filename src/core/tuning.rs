//! The identity of an entry, and the intervals and timeouts of its decisions.
//!
//! The control thread fills in both when the entry starts, and the reducer's state keeps them unchanged.

use crate::clock::{Millis, SECOND_MS};

/// Intervals and timeouts of an entry's decisions.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Interval between ticks.
    pub tick_ms: Millis,
    /// Time without an answer from the table or a peer after which the entry is isolated and takes no new work.
    pub isolation_ms: Millis,
    /// Minimum gap between two ticks at which the process counts as paused.
    pub pause_ms: Millis,
    /// Time without an exchange after which a peer is no longer considered alive and owns no pools.
    pub peer_ms: Millis,
    /// Length of a drain after which the log says what holds the drain up.
    pub drain_ms: Millis,
    /// Time for which a host that came back is watched, in the state `Returning`, before it serves again.
    pub return_ms: Millis,
    /// Time after which a host that is not live is replaced in its pool.
    pub replace_ms: Millis,
    /// Length of a task's lease; the owner of the job's pool renews leases after a third of it.
    pub lease_ms: Millis,
    /// Time after which the reboot of a host that has not come back is ordered again.
    pub reboot_ms: Millis,
    /// Time after its end when a job's row is removed.
    pub keep_job_ms: Millis,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            tick_ms: 500,
            isolation_ms: 5 * SECOND_MS,
            pause_ms: 2 * SECOND_MS,
            peer_ms: 3 * SECOND_MS,
            drain_ms: 600 * SECOND_MS,
            return_ms: 2 * SECOND_MS,
            replace_ms: 300 * SECOND_MS,
            lease_ms: 10 * SECOND_MS,
            reboot_ms: 600 * SECOND_MS,
            keep_job_ms: 24 * 3_600 * SECOND_MS,
        }
    }
}

/// The identity of this entry.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Name of the entry, unique among entries.
    pub name: String,
    /// Random number, new with each start.
    pub incarnation: u64,
    /// Name of the entry's data hall.
    pub hall: String,
    /// Address at which peers reach it.
    pub peer: String,
    /// Whether peers are configured. An entry without peers never counts as isolated.
    pub has_peers: bool,
}
