//! Scheduling of jobs on pools of workers, as a reducer that takes events and returns effects as data.
//!
//! Data types are at the bottom ([`job`], [`rows`], [`worker`], [`pool_state`]). Each decision is a module that works
//! on them, and [`reduce`](reduce::reduce) connects them all.

mod access;
pub mod accounts;
pub mod checkpoints;
pub mod claim;
pub mod commit;
pub mod conflict;
pub mod crashes;
pub mod deployment;
mod exchange;
pub mod fairness;
pub mod fencing_token;
mod fragmentation;
pub mod free_index;
pub mod gang;
mod halls;
mod handover;
pub mod hosts;
mod instances;
pub mod job;
pub mod keys;
pub mod limits;
pub mod listing;
pub mod load;
mod moves;
pub mod offers;
pub mod operation;
mod order;
pub mod overload;
pub mod owner_lease;
pub mod place;
mod policy;
pub mod pool_state;
mod progress;
pub mod quota;
pub mod reduce;
mod remove;
pub mod renewal;
pub mod reservations;
mod restarts;
pub mod routing;
pub mod rows;
pub mod run_log;
pub mod runs;
pub mod sizing;
pub mod standby;
pub mod state;
pub mod tasks;
pub mod times;
pub mod wave;
pub mod wave_waits;
pub mod worker;
pub mod worker_list;
pub mod worker_losses;

pub use reduce::reduce;
pub use state::{Effect, Event, State};
