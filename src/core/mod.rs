//! The decisions of an entry, and in [`sched`] those of the job scheduler, as functions over in-memory state.
//!
//! Nothing here does I/O or reads a clock, and random numbers come only from a seeded generator, so that a run can be
//! repeated exactly.

pub mod admit;
pub mod budget;
pub mod config;
pub mod connections;
pub mod drain;
pub mod events;
pub mod health;
pub mod job;
pub mod members;
pub mod operate;
pub mod place;
pub mod reduce;
pub mod retry;
pub mod route;
pub mod routes;
pub mod rows;
pub mod sched;
pub mod state;
pub mod tuning;
pub mod wave;

pub use reduce::{reduce, Effect, Event};
pub use state::State;
