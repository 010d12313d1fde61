//! Messages of the operator's JSON-RPC, shared by `sardinectl` and the daemon.
//!
//! Each method takes its request type as by-name parameters, so that the JSON object in
//! `params` is the request itself; methods without a request type take no parameters. Times are
//! milliseconds since the Unix epoch, ages and waits are milliseconds. The methods are listed
//! in `docs/design.md`, section 5.

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

/// Plans a graceful stop: [`StopRequest`] to [`StopProgress`].
pub const STOP_PLAN: &str = "stop.plan";

/// Waits for progress of a planned stop: [`StopWatchRequest`] to [`StopProgress`].
pub const STOP_WATCH: &str = "stop.watch";

/// Lists the members of the consensus group: no parameters to [`Voters`].
pub const VOTERS: &str = "voters";

/// Takes the next step of replacing a voter: [`ReplaceRequest`] to [`ReplaceProgress`].
pub const VOTERS_REPLACE: &str = "voters.replace";

/// Returns the state of the answering host: no parameters to [`Health`].
pub const HEALTH: &str = "health";

/// A number that the operator's tool picks per change and repeats in a resend.
pub type ProposalId = Uuid;

/// An accepted sheet's identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetVersion {
    /// The planner's number in the sheet.
    pub number: u64,
    /// The digest of the sheet's meaning.
    pub digest: Digest,
    /// The position among accepted sheets. It only rises, so that a host at this version or
    /// above has the sheet or a later one in force.
    pub version: u64,
}

/// Asks what submitting a sheet would change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// The sheet's text.
    pub toml: String,
}

/// The findings in a sheet and its differences from the last accepted one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport {
    /// The sheet compared with, absent before the first sheet.
    pub current: Option<SheetVersion>,
    /// Errors, each of which would refuse the sheet.
    pub faults: Vec<Finding>,
    /// Findings that do not refuse the sheet.
    pub warnings: Vec<Finding>,
    /// Differences from the current sheet; empty if there are faults.
    pub changes: Vec<Change>,
}

impl CheckReport {
    /// Checks a sheet against the last accepted one.
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
            Err(faults) => report.faults = faults.iter().map(Finding::from).collect(),
        }
        report
    }
}

/// One finding in a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line, from 1.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Path of the field, for example `organisation[2].classes[0]`.
    pub field: String,
    /// What is wrong, in plain language.
    pub message: String,
}

impl From<&sheet::Error> for Finding {
    fn from(fault: &sheet::Error) -> Self {
        Self {
            line: fault.line,
            column: fault.column,
            field: fault.field.clone(),
            message: fault.problem.to_string(),
        }
    }
}

impl From<&sheet::Warning> for Finding {
    fn from(warning: &sheet::Warning) -> Self {
        Self {
            line: warning.line,
            column: warning.column,
            field: warning.field.clone(),
            message: warning.concern.to_string(),
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
    /// The number inside the sheet, repeated so that a mismatch is caught.
    pub number: u64,
    /// The digest that the submitter computed from the sheet.
    pub digest: Digest,
    /// The sheet's text.
    pub toml: String,
    /// Identifies the submission; a resend under the same id gets the recorded verdict.
    pub proposal: ProposalId,
}

/// The recorded result of a submission. Anything else is an [`ErrorCode`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The sheet is accepted and never reverts. Submitting the same number and digest under a
    /// new proposal also gives this, with the version of the first acceptance.
    Accepted(SheetVersion),
    /// Another sheet holds the number.
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

/// The last accepted sheet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedSheet {
    /// Its identity.
    #[serde(flatten)]
    pub version: SheetVersion,
    /// When the leader accepted it.
    pub accepted_at_ms: u64,
    /// Its text.
    pub toml: String,
}

/// A host's part in the consensus group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The voter that orders changes.
    Leader,
    /// Another voter.
    Voter,
    /// A host that catches up before it may vote.
    Learner,
    /// A host that pulls for its availability zone.
    Relay,
    /// A host that only serves traffic.
    Entry,
}

/// A host's condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Serves traffic.
    Ready,
    /// Runs, but does not serve traffic yet.
    NotReady,
    /// Drains after a planned stop.
    Stopping,
    /// The answering host has no recent report from it.
    Unreachable,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Its number.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its part in the consensus group.
    pub role: Role,
    /// Its condition.
    pub state: HostState,
    /// The sheet it has in force.
    pub in_force: Option<SheetVersion>,
    /// Open streams.
    pub streams: u64,
    /// Requests in its queue.
    pub queued: u64,
    /// Age of this row's figures.
    pub age_ms: u64,
}

/// What a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A server of a plain service.
    Service,
}

/// A target's condition as the answering host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives new work.
    Active,
    /// Out of selection after failures, until a probe succeeds.
    Ejected,
    /// Receives no new work; open work finishes.
    Leaving,
    /// Has left; the sheet or the platform's list still names it.
    Left,
    /// Not heard of yet.
    Unknown,
}

/// One target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRow {
    /// Its name.
    pub target: Target,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: TargetKind,
    /// Its condition.
    pub state: TargetState,
    /// Models with version and adapters that it reports as loaded, or service names.
    pub serves: Vec<CompactString>,
    /// Key-value memory in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Key-value memory in use, in tokens, as last reported.
    pub used_tokens: u64,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait inside the engine.
    pub waiting: u64,
    /// Age of the last load report; absent before the first one.
    pub report_age_ms: Option<u64>,
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationRow {
    /// Its name.
    pub organisation: Organisation,
    /// The sheet's limit in tokens a minute.
    pub tokens_per_minute: u64,
    /// Tokens charged within the last minute.
    pub tokens_used: u64,
    /// The sheet's limit in requests a minute.
    pub requests_per_minute: u64,
    /// Requests charged within the last minute.
    pub requests_used: u64,
    /// Open streams and calls.
    pub running: u64,
    /// Requests in queues.
    pub queued: u64,
    /// Requests refused within the last minute.
    pub refused: u64,
}

/// One class in one host's admission queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRow {
    /// The host.
    pub host: Host,
    /// The request class.
    pub class: Class,
    /// The class's priority; 0 comes first.
    pub priority: u8,
    /// Requests that wait.
    pub queued: u64,
    /// The longest wait among them.
    pub oldest_wait_ms: u64,
    /// The class's longest permitted wait.
    pub max_wait_ms: u64,
    /// Requests that run.
    pub running: u64,
    /// Key-value memory reserved for them, in tokens.
    pub reserved_tokens: u64,
}

/// What a planned stop is about.
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

/// Plans a graceful stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// What to stop. Planning a stop twice has no further effect.
    pub subject: Subject,
    /// Identifies the request in a resend.
    pub proposal: ProposalId,
}

/// Waits until a planned stop has moved on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopWatchRequest {
    /// What is being stopped.
    pub subject: Subject,
    /// The revision last seen; the answer is sent at once if there is a later one.
    pub seen: Option<u64>,
    /// How long the answer may be held back without a change.
    pub wait_ms: u64,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopStage {
    /// Committed, but not every entry host has confirmed that it sends no new work.
    Planned,
    /// No new work arrives; open work finishes.
    Draining,
    /// No work is left, so that the subject may be switched off.
    Drained,
}

/// State of a planned stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopProgress {
    /// What is being stopped.
    pub subject: Subject,
    /// How far it has come.
    pub stage: StopStage,
    /// Rises with each change. A watcher sends it back as [`StopWatchRequest::seen`].
    pub revision: u64,
    /// Entry hosts that have not confirmed the stop yet.
    pub unconfirmed_hosts: u64,
    /// Streams that are still open.
    pub streams: u64,
    /// Plain-service calls that are still open.
    pub calls: u64,
    /// Requests that still wait in the queue; 0 for targets.
    pub queued: u64,
    /// When the stop was committed.
    pub planned_at_ms: u64,
}

/// State of the answering host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Its number.
    pub host: Host,
    /// Its availability zone.
    pub zone: Zone,
    /// The daemon's version.
    pub release: CompactString,
    /// Its part in the consensus group.
    pub role: Role,
    /// Its condition.
    pub state: HostState,
    /// The leader it knows of.
    pub leader: Option<Host>,
    /// The term it knows of.
    pub term: Term,
    /// Whether a leader has confirmed a quorum recently, so that changes are possible.
    pub quorum: bool,
    /// The sheet in force on this host.
    pub in_force: Option<SheetVersion>,
    /// Why it is not ready, in plain language; empty if it is ready.
    pub problems: Vec<String>,
}
