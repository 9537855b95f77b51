//! Fences of orders to workers.
//!
//! A worker does nothing for a lower fence than the highest that it has seen. The owner's epoch bars what a former owner sent;
//! the owner's reading of the rows bars what its earlier books sent; the restarts of the worker's id bar what was sent to an
//! earlier life, which names the later one, too.

use super::keys::PoolStateId;

/// Readings of one ownership, and restarts of one id within a reading, that are told apart. Beyond, the last one stands for all
/// that follow.
const COUNTED: u64 = 256;

/// The fence of orders to a worker whose id has begun anew that often in these books.
pub fn encode(pool_state: PoolStateId, epoch: u64, restarts: u32) -> u64 {
    let reading = u64::from(pool_state.reading).min(COUNTED - 1);
    let restarts = u64::from(restarts).min(COUNTED - 1);
    (epoch * COUNTED + reading) * COUNTED + restarts
}

/// The owner's epoch that a fence holds.
pub fn epoch_of(fence: u64) -> u64 {
    fence / (COUNTED * COUNTED)
}
