//! Stand-ins that tests, the soak and the experiments share: the platform of workers and the in-memory table.

pub mod fleet;
pub mod rows;
