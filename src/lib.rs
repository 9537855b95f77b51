//! Rockwick: a fleet capacity and maintenance manager for small operators with mixed hosts.
//!
//! `entry` and `serve` are the two servers, `core` makes their decisions without I/O, `port` is the interface to the
//! platform, and `cmd` holds the commands of the `rockwick` binary.

pub mod auth;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod core;
pub mod entry;
pub mod error;
pub mod event;
pub mod guard;
pub mod http;
pub mod log;
pub mod metrics;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod port;
pub mod report;
pub mod runtime;
pub mod serve;
pub mod signals;
pub mod util;
pub mod view;
pub mod wire;
