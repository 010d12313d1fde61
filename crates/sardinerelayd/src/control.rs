//! The control thread: consensus, distribution of the sheet, and RPC between hosts.
//!
//! The thread has its own single-threaded runtime, so that traffic can't delay heartbeats. Other
//! threads write to disk. See section 2 of `docs/design.md`.

mod consensus;
mod creation_check;
pub mod disk;
mod distribution;
mod handle;
mod leader;
mod local_view;
mod members;
mod message;
pub mod proposals;
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
        state::{self, AcceptedSheet, Leaves, PlannedStop, Subject, View},
        wal,
    },
    std::{collections::BTreeMap, io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
    thiserror::Error as ThisError,
};

/// The part of the replicated view that is in force on this host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PublishedView {
    /// Version of the replicated view that this one was taken from.
    pub version: Version,
    /// Number, digest and version of the accepted sheet, if there is one.
    pub accepted: Option<AcceptedSheet>,
    /// The sheet in force, if there is one.
    pub sheet: Option<Arc<Sheet>>,
    /// Targets and hosts that have left, with the incarnation that left.
    pub leaves: Leaves,
    /// Planned stops of hosts and targets.
    pub stops: BTreeMap<Subject, PlannedStop>,
    /// Whether this view is at least as new as the version that a leader confirmed after this
    /// process started. Until then, a host that had no view on disk publishes nothing.
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
    /// The command was not committed and never will be.
    #[error("not committed within {timeout:?}: no leader accepted the command")]
    NotCommitted {
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// The command may have been committed, or may still be.
    #[error("no answer within {timeout:?}: the command may or may not be committed")]
    Unknown {
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// The command exceeds the size limit and was not committed.
    #[error("a command of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Size of the encoded command in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// No leader confirmed the read in time, or this host did not reach the confirmed version.
    #[error("no leader confirmed the read within {timeout:?}")]
    Unconfirmed {
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// This host doesn't lead the consensus group, so it can't change the membership.
    #[error("this host is not the leader; the leader is {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<Host>,
    },
    /// The replica refused the membership change.
    #[error("the membership change is refused: {0}")]
    Change(#[from] raft::RequestError),
    /// The control thread has ended. A command in progress may have been committed.
    #[error("the control thread has ended")]
    Ended,
}

impl Error {
    /// Whether the command is known not to be committed, so that the call that depends on it can be
    /// refused as "not run".
    pub fn is_not_committed(&self) -> bool {
        matches!(
            self,
            Self::NotCommitted { .. } | Self::TooLarge { .. } | Self::NotLeader { .. }
        )
    }
}

/// Why the control thread did not start, or why it ended. The process must exit.
#[derive(Debug, ThisError)]
pub enum FatalError {
    /// The settings of the control thread are inconsistent.
    #[error("the settings are invalid")]
    Settings(#[from] SettingsError),
    /// The timeouts or limits of the replica are inconsistent.
    #[error("the consensus settings are invalid")]
    RaftConfig(#[from] raft::ConfigError),
    /// The files of the replica can't be opened or written. After a failed sync, the replica must
    /// not acknowledge anything more.
    #[error("can't use the replica's files")]
    Storage(#[from] wal::Error),
    /// The file with the view can't be read or written.
    #[error("{action} {path} failed")]
    View {
        /// The operation that failed, such as `writing`, for the start of the message.
        action: &'static str,
        path: PathBuf,
        source: io::Error,
    },
    /// Another process uses the data directory.
    #[error("{path} is used by another process")]
    Locked {
        /// The data directory.
        path: PathBuf,
    },
    /// The data directory has no replica, and the settings don't allow this host to bootstrap a
    /// group. A voter that lost its disk must not vote again under its id.
    #[error(
        "{path} has no replica; either bootstrap a new group or join as a learner under a new \
         host id"
    )]
    NoReplica {
        /// The data directory.
        path: PathBuf,
    },
    /// The data directory has no replica, although this host has been part of the group before. A
    /// voter that bootstrapped a second time would forget its votes and the entries that it
    /// acknowledged.
    #[error(
        "{path} has no replica, but according to host {by}, host {host} has run before (version \
         {version}); restart it under a new host id with --learner and without --bootstrap, then \
         run `sardinectl voters replace {host} NEW`"
    )]
    AlreadyBootstrapped {
        /// The data directory.
        path: PathBuf,
        /// This host.
        host: Host,
        /// The host that recorded the earlier run.
        by: Host,
        /// Version of the view on that host.
        version: Version,
    },
    /// The data directory has no replica, although the host id belongs to a member of the group.
    #[error(
        "{path} has no replica, but host {host} is a member of the group already; restart it \
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
    /// A snapshot or a log entry can't be decoded.
    #[error("can't decode the replicated state")]
    State(#[from] state::Error),
    /// The address for other hosts can't be bound.
    #[error("can't listen on {address}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The operating system could not start a thread, or the runtime could not be built.
    #[error("can't start the control thread")]
    Thread(#[source] io::Error),
    /// A task of the control thread panicked.
    #[error("a task of the control thread panicked")]
    Panic,
}

/// State of the control thread, for operators and tests.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// This host.
    pub host: Host,
    /// State of the replica; `None` on hosts without one.
    pub replica: Option<raft::Status>,
    /// Version of the published view.
    pub version: Version,
    /// Whether the view is at least as new as the version that a leader confirmed after the start.
    pub confirmed: bool,
    /// Whether this host is in contact with no leader, neither directly nor through other hosts.
    pub cut_off: bool,
    /// The host from which this one pulls the view; `None` on hosts with a replica.
    pub upstream: Option<Host>,
}

/// The term in which this host leads, and its lease at the time of the request.
///
/// The copy of the lease remains valid for orders even if this host gives up leadership early,
/// because every new leader waits for the full length of its predecessor's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leadership {
    pub term: Term,
    pub lease: Lease,
}
