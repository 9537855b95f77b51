//! Stand-ins that tests, the soak and the experiments share: a platform with workers and hosts, and an in-memory table.

pub mod fleet;
pub mod rows;
