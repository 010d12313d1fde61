//! Messages of the operators' JSON-RPC interface, shared by `sardinectl` and the daemon.
//!
//! Each method takes its request type as by-name parameters, so that the JSON object in `params` is
//! the request itself. Methods without a request type take no parameters. Times are in milliseconds
//! since the Unix epoch; ages and waits are in milliseconds. `docs/design.md`, section 5, lists the
//! methods.

use {
    crate::{
        id::{Class, Host, Organisation, Target, Term, Zone},
        sheet::{self, Change, Sheet},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
    },
    uuid::Uuid,
};

mod digest;
mod error_code;
mod voters;

pub use {
    digest::{Digest, DigestError},
    error_code::{ErrorCode, ErrorData},
    voters::{MemberRow, ReplaceError, ReplaceProgress, ReplaceRequest, ReplaceStage, Voters},
};

/// Checks a sheet against the one in force: [`CheckRequest`] to [`CheckReport`].
pub const SHEET_CHECK: &str = "sheet.check";

/// Submits a sheet: [`Submission`] to [`Verdict`].
pub const SHEET_SUBMIT: &str = "sheet.submit";

/// Returns the last accepted sheet: no parameters to `Option<`[`PublishedSheet`]`>`.
pub const SHEET_SHOW: &str = "sheet.show";

/// Lists the hosts: no parameters to `Vec<`[`HostRow`]`>`.
pub const HOSTS: &str = "hosts";

/// Lists the targets: no parameters to `Vec<`[`TargetRow`]`>`.
pub const TARGETS: &str = "targets";

/// Lists the organisations: no parameters to `Vec<`[`OrganisationRow`]`>`.
pub const ORGANISATIONS: &str = "organisations";

/// Lists the admission queues: no parameters to `Vec<`[`QueueRow`]`>`.
pub const QUEUES: &str = "queues";

/// Plans a graceful stop of a host or target: [`StopRequest`] to [`StopProgress`].
pub const STOP_PLAN: &str = "stop.plan";

/// Waits until a planned stop makes progress: [`StopWatchRequest`] to [`StopProgress`].
pub const STOP_WATCH: &str = "stop.watch";

/// Lists the members of the consensus group: no parameters to [`Voters`].
pub const VOTERS: &str = "voters";

/// Takes the next step in replacing a voter: [`ReplaceRequest`] to [`ReplaceProgress`].
pub const VOTERS_REPLACE: &str = "voters.replace";

/// Returns the state of the answering host: no parameters to [`Health`].
pub const HEALTH: &str = "health";

/// Random id that the operator's tool picks for each change and sends again in a retry.
pub type ProposalId = Uuid;

/// Identity of an accepted sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetVersion {
    /// The number that the sheet carries.
    pub number: u64,
    /// The sheet's canonical digest.
    pub digest: Digest,
    /// Version of the replicated view in which the sheet came into force. It increases with each
    /// accepted sheet, so that a host at this version or above has this sheet or a later one in
    /// force.
    pub version: u64,
}

/// Asks what a submission of the sheet would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The sheet as TOML.
    pub toml: String,
}

/// The findings in a sheet and its differences from the last accepted one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    /// The last accepted sheet, with which it is compared. Absent before the first one.
    pub current: Option<SheetVersion>,
    /// Errors. A sheet with any of them is rejected.
    pub faults: Vec<Finding>,
    /// Warnings, which do not prevent a submission.
    pub warnings: Vec<Finding>,
    /// Differences from the current sheet. Empty if there are errors.
    pub changes: Vec<Change>,
}

impl CheckReport {
    /// Validates a sheet and compares it with the last accepted one.
    pub fn new(toml: &str, current: Option<(SheetVersion, &Sheet)>) -> Self {
        let mut report = Self {
            current: current.map(|(version, _)| version),
            faults: Vec::new(),
            warnings: sheet::warnings(toml).iter().map(Finding::from).collect(),
            changes: Vec::new(),
        };
        match sheet::parse(toml) {
            Ok(new) => {
                let empty = Sheet::default();
                let old = current.map_or(&empty, |(_, old)| old);
                report.changes = sheet::diff(old, &new);
            }
            Err(errors) => report.faults = errors.iter().map(Finding::from).collect(),
        }
        report
    }
}

/// An error or a warning in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line number, from 1.
    pub line: u32,
    /// Column number in characters, from 1.
    pub column: u32,
    /// Path of the field, for example `organisation[2].classes[0]`. Empty if the finding is about
    /// the whole file.
    pub field: String,
    /// Description for people, without the position and the field.
    pub message: String,
}

impl From<&sheet::Error> for Finding {
    fn from(error: &sheet::Error) -> Self {
        Self {
            line: error.line,
            column: error.column,
            field: error.field.clone(),
            message: error.kind.to_string(),
        }
    }
}

impl From<&sheet::Warning> for Finding {
    fn from(warning: &sheet::Warning) -> Self {
        Self {
            line: warning.line,
            column: warning.column,
            field: warning.field.clone(),
            message: warning.kind.to_string(),
        }
    }
}

impl Display for Finding {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// A sheet to put in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The number in the sheet, repeated so that the server detects a mismatch.
    pub number: u64,
    /// The digest that the submitter computed. A mismatch means that the text was damaged or is
    /// read differently by the server.
    pub digest: Digest,
    /// The sheet as TOML.
    pub toml: String,
    /// Identifies the submission. A retry with the same id returns the recorded verdict.
    pub proposal: ProposalId,
}

/// The recorded outcome of a submission. Any other failure is an [`ErrorCode`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The sheet is accepted, permanently. A submission of the same number and digest under a new
    /// proposal id returns this too, with the version of the first acceptance.
    Accepted(SheetVersion),
    /// A different sheet with the same number is accepted.
    Conflict {
        /// The accepted sheet with that number.
        held: SheetVersion,
    },
    /// A sheet with a higher number is already accepted.
    Outdated {
        /// The last accepted sheet.
        newest: SheetVersion,
    },
}

/// The last accepted sheet with its text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSheet {
    /// Its number and digest, and the version of the view in which it came into force.
    #[serde(flatten)]
    pub version: SheetVersion,
    /// When the leader accepted it, in milliseconds since the Unix epoch.
    pub accepted_at_ms: u64,
    /// The sheet as TOML.
    pub toml: String,
}

/// A host's role towards the consensus group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The voter that leads the group and decides the order of changes.
    Leader,
    /// A voter that is not the leader.
    Voter,
    /// A member that catches up with the log before it may vote.
    Learner,
    /// A host outside the group that pulls the view on behalf of its availability zone.
    Relay,
    /// A host outside the group that only serves traffic.
    Entry,
}

/// Whether a host serves traffic, as far as the answering host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Serves traffic.
    Ready,
    /// Runs but does not serve traffic yet.
    NotReady,
    /// Drains for a planned stop.
    Stopping,
    /// The answering host has no recent report from this host.
    Unreachable,
}

/// A row of the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// The host's number, which is unique and not reused after the loss of a disk.
    pub host: Host,
    /// The availability zone that it runs in.
    pub zone: Zone,
    /// The address that other hosts connect to.
    pub address: SocketAddr,
    /// Its role towards the consensus group.
    pub role: Role,
    /// Whether it serves traffic.
    pub state: HostState,
    /// The sheet that it has in force. Absent if it has none.
    pub in_force: Option<SheetVersion>,
    /// Number of open streams.
    pub streams: u64,
    /// Number of requests in its admission queue.
    pub queued: u64,
    /// Age of this row's values, in milliseconds.
    pub age_ms: u64,
}

/// The kind of workload on a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// An engine that runs models.
    Engine,
    /// A server of a plain HTTP service.
    Service,
}

/// A target's state as the answering host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives new work.
    Active,
    /// Receives no work after failures, until a probe succeeds.
    Ejected,
    /// Receives no new work; open work finishes.
    Leaving,
    /// Has left, although the sheet or the platform's list still names it.
    Left,
    /// Nothing is known about it yet.
    Unknown,
}

/// A row of the list of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// The target's name in the sheet.
    pub target: Target,
    /// The availability zone that it runs in.
    pub zone: Zone,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The kind of workload on it.
    pub kind: TargetKind,
    /// Whether it may get requests.
    pub state: TargetState,
    /// For engines, the models with version and adapters that it reports as loaded. Otherwise the
    /// names of the services.
    pub serves: Vec<CompactString>,
    /// Size of the key-value memory in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Key-value memory in use, in tokens, as last reported.
    pub used_tokens: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of requests that wait inside the engine.
    pub waiting: u64,
    /// Age of the last load report in milliseconds. Absent before the first one.
    pub report_age_ms: Option<u64>,
}

/// A row of the list of organisations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRow {
    /// The organisation's name in the sheet.
    pub organisation: Organisation,
    /// The sheet's limit, in tokens per minute.
    pub tokens_per_minute: u64,
    /// Tokens charged within the last minute.
    pub tokens_used: u64,
    /// The sheet's limit, in requests per minute.
    pub requests_per_minute: u64,
    /// Requests charged within the last minute.
    pub requests_used: u64,
    /// Number of open streams and calls.
    pub running: u64,
    /// Number of requests in admission queues.
    pub queued: u64,
    /// Requests refused within the last minute.
    pub refused: u64,
}

/// A row of the list of admission queues: one class on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRow {
    /// The host that queues the requests.
    pub host: Host,
    /// The request class, by its name in the sheet.
    pub class: Class,
    /// The class's priority. Lower numbers are served first.
    pub priority: u8,
    /// Number of waiting requests.
    pub queued: u64,
    /// How long the oldest of them has waited, in milliseconds.
    pub oldest_wait_ms: u64,
    /// Maximum wait of the class in milliseconds, after which a request is refused.
    pub max_wait_ms: u64,
    /// Number of running requests.
    pub running: u64,
    /// Key-value memory reserved for the running requests, in tokens.
    pub reserved_tokens: u64,
}

/// The host or target that a planned stop is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", content = "name", rename_all = "snake_case")]
pub enum Subject {
    /// A host, by number.
    Host(Host),
    /// A target, by name.
    Target(Target),
}

impl Display for Subject {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Host(host) => write!(formatter, "host {host}"),
            Self::Target(target) => write!(formatter, "target {target}"),
        }
    }
}

/// Plans a graceful stop of a host or target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// What to stop. Planning the same stop again has no effect.
    pub subject: Subject,
    /// Identifies the request across retries.
    pub proposal: ProposalId,
}

/// Waits until a planned stop has made progress (a long poll).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopWatchRequest {
    /// What is being stopped.
    pub subject: Subject,
    /// The last revision seen. If there is a later one, the server answers at once.
    pub seen: Option<u64>,
    /// How long the server may hold back its answer while nothing changes, in milliseconds.
    pub wait_ms: u64,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopStage {
    /// Committed, but some entry hosts have not confirmed yet that they send no new work.
    Planned,
    /// No new work arrives, and open work finishes.
    Draining,
    /// No work is left, so the host or target can be switched off.
    Drained,
}

/// Progress of a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopProgress {
    /// What is being stopped.
    pub subject: Subject,
    /// How far the stop has come.
    pub stage: StopStage,
    /// Increases with each change. A client that waits for the next one sends it back as
    /// [`StopWatchRequest::seen`].
    pub revision: u64,
    /// Number of entry hosts that have not confirmed the stop yet.
    pub unconfirmed_hosts: u64,
    /// Number of streams that are still open.
    pub streams: u64,
    /// Number of plain-service calls that are still open.
    pub calls: u64,
    /// Number of requests that still wait in the admission queue; 0 for targets.
    pub queued: u64,
    /// When the stop was committed, in milliseconds since the Unix epoch.
    pub planned_at_ms: u64,
}

/// State of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The answering host's number.
    pub host: Host,
    /// The availability zone that it runs in.
    pub zone: Zone,
    /// Version of the daemon's software.
    pub release: CompactString,
    /// Its role towards the consensus group.
    pub role: Role,
    /// Whether it serves traffic.
    pub state: HostState,
    /// The leader that it knows of. Absent if it knows none.
    pub leader: Option<Host>,
    /// The latest term that it knows of.
    pub term: Term,
    /// Whether a leader with a quorum was confirmed recently, so that changes are possible.
    pub quorum: bool,
    /// The sheet in force on this host.
    pub in_force: Option<SheetVersion>,
    /// Why the host is not ready, described for people. Empty if it is ready.
    pub problems: Vec<String>,
}
