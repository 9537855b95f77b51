//! Fencing tokens of orders to workers.
//!
//! A worker refuses an order whose token is lower than the highest that it has seen. The token combines three counters:
//! the owner's epoch rejects orders of a former owner, the owner's reading of the rows rejects orders from its earlier
//! in-memory state, and the restarts of the worker's id reject orders meant for an earlier instance. An order names its
//! worker by id alone, so an order to an earlier instance may reach the later one as well.

use super::keys::PoolStateId;

/// Number of readings per ownership, and of restarts per worker id within a reading, that tokens distinguish. Higher
/// counts share the last value.
const COUNTER_RANGE: u64 = 256;

/// Returns the fencing token of orders to a worker whose id has restarted `restarts` times in this in-memory state.
pub fn encode(pool_state: PoolStateId, epoch: u64, restarts: u32) -> u64 {
    let reading = u64::from(pool_state.reading).min(COUNTER_RANGE - 1);
    let restarts = u64::from(restarts).min(COUNTER_RANGE - 1);
    (epoch * COUNTER_RANGE + reading) * COUNTER_RANGE + restarts
}

/// Returns the owner's epoch that a fencing token contains.
pub fn epoch_of(token: u64) -> u64 {
    token / (COUNTER_RANGE * COUNTER_RANGE)
}
