//! What the stand-ins share with tests and experiments.

pub mod fleet;
pub mod rows;
