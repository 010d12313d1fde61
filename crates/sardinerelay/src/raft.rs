//! Consensus replica as a pure state machine.
//!
//! The algorithm is Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", USENIX ATC 2014, with these parts of Ongaro's thesis "Consensus: Bridging Theory
//! and Practice" (2014): leadership transfer (3.10), single-server membership change (4.1),
//! learners (4.2.1), refusing votes while a leader is alive (4.2.3), check-quorum (6.2), read
//! index (6.4), leader lease (6.4.1), pre-vote (9.6), and sending appends in a pipeline while
//! the leader writes its own copy (10.2).
//!
//! A [`Replica`] does no I/O. Time is an argument and randomness comes from [`Config::seed`].
//! The caller drives it in a loop:
//!
//! 1. Call [`Replica::tick`] at [`Replica::deadline`], and [`Replica::step`] for each message.
//! 2. Take [`Replica::ready`] until [`Ready::is_empty`].
//! 3. Write and sync [`Ready::persist`], then call [`Replica::persisted`] with its sequence.
//! 4. Send [`Ready::messages`].
//! 5. Restore [`Ready::snapshot`], apply [`Ready::committed`], then answer [`Ready::reads`].
//!
//! Writing may happen on another thread while the loop continues, provided that writes are done
//! in the order of their sequence numbers. See [`Ready`] for what the replica holds back meanwhile.
//!
//! A replica that lost its disk must come back under a new id, as a learner, because its old id
//! may have voted and acknowledged entries that it no longer knows of.

mod config;
mod election;
mod inbound;
mod leader;
mod log;
mod membership;
mod message;
mod progress;
mod ready;
mod replacement;
mod replica;
mod replication;
mod snapshot;
mod writes;

pub use self::{
    config::{Config, ConfigError},
    membership::{Change, Membership},
    message::{
        Append, Body, Chunk, Conflict, DurableState, Entry, Envelope, HardState, Message, Payload,
        Position, Snapshot, SnapshotMeta,
    },
    ready::{Persist, Read, Ready, SoftState},
    replacement::{Replacement, ReplacementError},
    replica::{Replica, RequestError, Role, Status},
};
