//! Stand-ins for the systems around sardinerelay: a model engine, a plain service, the platform's
//! host list, and a fault-injecting proxy. Their random choices are seeded. They serve tests,
//! benchmarks and the daemon's development mode.

pub mod batch;
pub mod cache;
pub mod engine;
pub mod hosts;
pub mod orders;
pub mod pipe;
pub mod proxy;
pub mod record;
pub mod server;
pub mod service;

mod decoder;
mod reader;
