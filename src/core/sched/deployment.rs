//! Figures of the deployment that the entry's settings give to the scheduler.

use crate::clock::Millis;

/// Figures of a deployment. A figure that the settings do not give is 0, and what depends on it is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deployment {
    /// Factor on the time of a task that runs outside the rack of its data, in thousandths.
    pub remote_data_factor_milli: u64,
    /// Orders to hosts that the platform accepts per second, from all entries together.
    pub host_orders_per_s: u64,
    /// Cost of moving a host to another pool, as the time for which a host in service costs the same.
    pub host_move_cost_ms: Millis,
    /// Time of work after which a task renews its checkpoint.
    pub checkpoint_interval_ms: Millis,
    /// Longest time that a worker takes to stop a run.
    pub stop_ms: Millis,
}

impl Deployment {
    /// Returns the time that a task takes in `rack` if it takes `near_ms` in the rack of its data.
    pub fn task_ms(&self, near_ms: Millis, data_rack: Option<&str>, rack: &str) -> Millis {
        let is_remote = data_rack.is_some_and(|data| data != rack);
        let factor_milli = match is_remote {
            true => self.remote_data_factor_milli.max(1_000),
            false => 1_000,
        };
        near_ms * factor_milli / 1_000
    }
}
