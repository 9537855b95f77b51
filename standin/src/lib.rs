//! What the stand-ins share with tests and experiments.

pub mod rows;
