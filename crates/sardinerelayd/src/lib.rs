//! Parts of the daemon, as a library for its tests and measurements.

pub mod control;
pub mod peer;
