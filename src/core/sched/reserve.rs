//! Decides how long hosts without work stay on, and how fast they are turned off.
//!
//! Load pattern: pools peak in turn, each for some seconds, and together need far fewer hosts than are on. After a peak
//! some hundred hosts are free at once, and no pool wants them before the next peak begins.

use super::deployment::Deployment;
use crate::clock::Millis;

/// How long a host stays on offer where the cost of a move or the platform's limit of orders is unknown.
const HOLD_MS: Millis = 4_000;

/// Most hosts that are being turned off at a time where the platform's limit of orders is unknown.
const PARKING_MAX: usize = 16;

/// Share of the platform's limit of orders beyond which no host is turned off, in percent. The rest is left for moves to
/// pools that lack hosts.
const PARKING_PERCENT: u64 = 50;

/// The platform's limit counts orders per second.
pub const ORDER_RATE_MS: Millis = 1_000;

/// Most orders per second up to which hosts are turned off. A pool's row of offers names a taken host for 3.3 s, and has
/// room for some 512 of them.
const PARKED_PER_S_MAX: u64 = 150;

/// Returns how long a host that no pool wants stays on offer before it is turned off: as long as staying on costs less than
/// the two moves, off and back.
pub fn hold_ms(deployment: &Deployment) -> Millis {
    match (deployment.host_orders_per_s, deployment.host_move_cost_ms) {
        (0, _) | (_, 0) => HOLD_MS,
        (_, cost_ms) => 2 * cost_ms,
    }
}

/// Orders to hosts that count against the platform's limit, and those that turn hosts off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Orders {
    /// Orders of any kind that were sent within [`ORDER_RATE_MS`], or that are about to be sent.
    pub recent: usize,
    /// Hosts that are being turned off.
    pub parking: usize,
}

/// Returns how many hosts may be turned off now.
pub fn room_to_park(deployment: &Deployment, orders: Orders) -> usize {
    if deployment.host_orders_per_s == 0 {
        return PARKING_MAX.saturating_sub(orders.parking);
    }
    let most = (deployment.host_orders_per_s * PARKING_PERCENT / 100).clamp(1, PARKED_PER_S_MAX);
    (most as usize).saturating_sub(orders.recent)
}
