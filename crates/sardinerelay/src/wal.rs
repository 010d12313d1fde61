//! Write-ahead log of a replica: identity, log and snapshots in one directory.
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked exclusively while a process uses the directory |
//! | `identity` | format version, group id and replica id |
//! | `discarded` | empty; says that all files are to be deleted |
//! | `segment-<number>.log` | frames of records: entries, truncations, term and vote |
//! | `snapshot-<index>-<term>.snap` | one snapshot of the state machine |
//!
//! [`Store::append`] collects records. [`Store::sync`] writes them as one frame, which is synced
//! before the next one is written. Only the last frame of the last segment can therefore be
//! incomplete after a crash. It was never acknowledged, so it is cut off, and a warning is logged.
//! Damage anywhere before it concerns acknowledged records, and the directory is refused. Damage
//! within an acknowledged last frame cannot be told from an incomplete write and loses that
//! frame.
//!
//! The identity is written last when a directory is created. A directory without one is made anew
//! only if it holds nothing but what an interrupted creation leaves: no replica has run on it, so
//! none has voted or acknowledged entries.
//!
//! After a failed write or sync the content of the file is unknown, and a later sync may
//! succeed although data was lost. The store therefore refuses every later call, and the process
//! has to exit.

mod error;
mod file;
mod frame;
mod identity;
mod mark;
mod recover;
mod snapshot;
mod store;
mod unfinished;
mod volume;

pub use self::{
    error::{Corruption, Error},
    identity::Identity,
    mark::Mark,
    store::{Limits, Recovered, Store, TornTail},
    volume::Volume,
};
