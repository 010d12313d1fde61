//! The control thread: consensus, distribution of the sheet, and peer RPC.
//!
//! It is one thread with a runtime of its own, so that traffic can't delay heartbeats. Writes to
//! disk happen on further threads. See section 2 of `docs/design.md`.

mod consensus;
mod creation_check;
pub mod disk;
mod distribution;
mod handle;
mod leader;
mod local_view;
mod members;
mod message;
mod propose;
pub mod reads;
mod report;
mod rpc;
mod settings;
mod start;
mod view_file;
mod writer;

pub use self::{
    handle::{Handle, spawn},
    members::MembershipError,
    report::Reporter,
    settings::{Peer, Settings, SettingsError},
};

use {
    sardinerelay::{
        id::{Host, Term, Version},
        lease::Lease,
        raft,
        sheet::Sheet,
        state::{self, Accepted, Leaves, Planned, Subject, View},
        wal,
    },
    std::{collections::BTreeMap, io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    thiserror::Error as ThisError,
};

/// What is in force on this host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PublishedView {
    /// The view's version.
    pub version: Version,
    /// The sheet's number, digest and version.
    pub accepted: Option<Accepted>,
    /// The sheet in force.
    pub sheet: Option<Arc<Sheet>>,
    /// Targets and hosts that left.
    pub leaves: Leaves,
    /// Planned stops.
    pub stops: BTreeMap<Subject, Planned>,
    /// Whether a leader has confirmed, since this process started, that nothing older than what
    /// was in force then is shown. Until then, a host without a synced view shows nothing.
    pub confirmed: bool,
}

impl PublishedView {
    fn new(view: &View, confirmed: bool) -> Self {
        Self {
            version: view.version,
            accepted: view.accepted.clone(),
            sheet: view.sheet.clone(),
            leaves: view.leaves.clone(),
            stops: view.stops.clone(),
            confirmed,
        }
    }
}

/// Why a request to the control thread failed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The command was certainly not committed and never will be.
    #[error("not committed within {deadline:?}: no leader accepted the command")]
    NotCommitted {
        /// The caller's deadline.
        deadline: Duration,
    },
    /// The command may have been committed, or may still be.
    #[error("no answer within {deadline:?}: the command may or may not be committed")]
    Unknown {
        /// The caller's deadline.
        deadline: Duration,
    },
    /// The command exceeds the size limit and was not committed.
    #[error("a command of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Its size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// No leader confirmed the read in time, or this host did not catch up with it.
    #[error("no leader confirmed the read within {deadline:?}")]
    Unconfirmed {
        /// The caller's deadline.
        deadline: Duration,
    },
    /// This host has no replica that could lead a membership change.
    #[error("this host is not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Host>,
    },
    /// The membership change was refused.
    #[error("the membership change is refused: {0}")]
    Change(#[from] raft::RequestError),
    /// The control thread has ended. A command that was under way may be committed.
    #[error("the control thread has ended")]
    Ended,
}

impl Error {
    /// Whether a command with this error was certainly not committed, so that the call that
    /// depends on it may be refused as "not run".
    pub fn is_not_committed(&self) -> bool {
        matches!(
            self,
            Self::NotCommitted { .. } | Self::TooLarge { .. } | Self::NotLeader { .. }
        )
    }
}

/// Why the control thread did not start or ended. The process has to exit.
#[derive(Debug, ThisError)]
pub enum FatalError {
    /// The settings don't fit together.
    #[error("the settings are refused")]
    Settings(#[from] SettingsError),
    /// The replica's timeouts or limits don't fit together.
    #[error("the consensus settings are refused")]
    RaftConfig(#[from] raft::ConfigError),
    /// The replica's files can't be opened or written. After a failed sync nothing more may be
    /// acknowledged.
    #[error("the replica's files can't be used")]
    Storage(#[from] wal::Error),
    /// The file of the view can't be written.
    #[error("{action} {path} failed")]
    View {
        /// What was attempted.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process uses the data directory.
    #[error("{path} is used by another process")]
    Locked {
        /// The data directory.
        path: PathBuf,
    },
    /// The data directory holds no replica, and founding a group was not asked for. A voter that
    /// lost its disk must not vote again under its id.
    #[error(
        "{path} holds no replica; either found a new group or rejoin as a learner under a new \
         host id"
    )]
    NoReplica {
        /// The data directory.
        path: PathBuf,
    },
    /// The data directory holds no replica, and the group has accepted changes already. A voter
    /// that founded it a second time would forget its votes and what it acknowledged.
    #[error(
        "{path} holds no replica, but host {by} says that host {host} has run before (version \
         {version}); come back under a new host id with --learner and without --bootstrap, then run \
         `sardinectl voters replace {host} NEW`"
    )]
    AlreadyFounded {
        /// The data directory.
        path: PathBuf,
        /// This host.
        host: Host,
        /// The host that says so.
        by: Host,
        /// The version that it has.
        version: Version,
    },
    /// The data directory holds no replica, and the number belongs to a member of the group.
    #[error(
        "{path} holds no replica, but host {host} is a member of the group already; come back \
         under a new host id with --learner, then run `sardinectl voters replace {host} NEW`"
    )]
    AlreadyMember {
        /// The data directory.
        path: PathBuf,
        /// This host.
        host: Host,
    },
    /// The data directory belongs to another host.
    #[error("{path} belongs to host {found}, not to host {host}")]
    WrongHost {
        /// The data directory.
        path: PathBuf,
        /// The host it belongs to.
        found: Host,
        /// This host.
        host: Host,
    },
    /// A snapshot or a log entry can't be read.
    #[error("replicated state can't be read")]
    State(#[from] state::Error),
    /// The peer address can't be bound.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The thread or its runtime can't be started.
    #[error("the control thread can't be started")]
    Thread(#[source] io::Error),
    /// A task of the control thread panicked.
    #[error("a task of the control thread panicked")]
    Panic,
}

/// What the control thread knows of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// This host.
    pub host: Host,
    /// The replica's state, on hosts that have one.
    pub replica: Option<raft::Status>,
    /// The version in force.
    pub version: Version,
    /// Whether a leader has confirmed it.
    pub confirmed: bool,
    /// Whether this host hears neither a leader nor anyone who does.
    pub cut_off: bool,
    /// The host that this one pulls from, unless it has a replica.
    pub upstream: Option<Host>,
}

/// The term in which this host leads, and its lease as of the question.
///
/// The copy stays safe to rely on: a lease that is given up early ends no earlier for orders,
/// because every new leader waits out its full length.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: Term,
    /// The lease.
    pub lease: Lease,
}
