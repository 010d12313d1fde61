//! Coordination parts of sardinerelay, for embedding.
//!
//! Everything here is decision code or durable files. No module opens a socket or reads a
//! clock: time and randomness are arguments, so that each decision can be tested and measured
//! without a network. The design is described in
//! `docs/design.md`.
#![deny(missing_docs)]

pub mod admission;
pub mod fleet;
pub mod id;
pub mod length;
pub mod limiter;
pub mod retry;
pub mod router;
pub mod scheduler;
pub mod sheet;
pub mod stream;
