//! The decisions, pure: no I/O, no clock reads, no randomness but a seeded generator passed in.

pub mod admit;
pub mod budget;
pub mod config;
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
