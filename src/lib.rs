//! Rockwick: a fleet capacity and maintenance manager for small operators with mixed hosts.

pub mod clock;
pub mod core;
pub mod error;
pub mod event;
pub mod http;
pub mod platform;
pub mod runtime;
