//! Scheduling, coordination and durable storage of sardinerelay, as a library.
//!
//! No module opens a socket or reads a clock. Time and randomness are arguments, so that every
//! decision can be tested and measured without a network. The design is described in
//! `docs/design.md`.
#![deny(missing_docs)]

pub mod admission;
pub mod bound;
pub mod estimate;
pub mod fairness;
pub mod fleet;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod length;
pub mod limiter;
pub mod operator;
pub mod orders;
pub mod pacing;
pub mod raft;
pub mod rate;
pub mod refusal_code;
pub mod resume;
pub mod retry;
pub mod router;
pub mod scheduler;
pub mod sheet;
pub mod state;
pub mod stream;
pub mod unix_time;
pub mod wal;
