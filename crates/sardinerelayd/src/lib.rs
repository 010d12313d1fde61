//! The daemon's parts, as a library for its tests and measurements.

pub mod api;
pub mod cli;
pub mod config;
pub mod control;
pub mod dev;
pub mod engine;
pub mod exit_code;
pub mod filter;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod prefix;
pub mod refusal;
pub mod resume;
pub mod run;
pub mod schedule;
pub mod serve;
pub mod snapshot;
pub mod stop;
pub mod targets;
