//! Who an entry is, and the lengths of time that its decisions rest on.

use crate::clock::{Millis, SECOND_MS};

/// Lengths of time that decisions rest on.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Between two ticks.
    pub tick_ms: Millis,
    /// A silence of table and peers for so long stops new work here.
    pub isolation_ms: Millis,
    /// A step of the clock between ticks of so long means that we were paused.
    pub pause_ms: Millis,
    /// A peer unheard for so long is not given any pools.
    pub peer_ms: Millis,
    /// A drain over this is reported with what holds it.
    pub drain_ms: Millis,
    /// A host that is back is watched for so long before it serves.
    pub return_ms: Millis,
    /// A host gone for so long is replaced.
    pub replace_ms: Millis,
    /// Length of a task's lease.
    pub lease_ms: Millis,
    /// A reboot that did not come back in this time is asked for again.
    pub reboot_ms: Millis,
    /// A job that ended is forgotten after so long.
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

/// Who this entry is.
#[derive(Clone, Debug)]
pub struct Me {
    /// Name, unique among entries.
    pub name: String,
    /// Random, new with each start.
    pub incarnation: u64,
    /// Data hall.
    pub hall: String,
    /// Where peers reach it.
    pub peer: String,
    /// Whether peers are configured, so that silence means something.
    pub has_peers: bool,
}
