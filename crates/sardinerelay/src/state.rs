//! The replicated state machine.
//!
//! All replicas apply the same log entries in the same order and therefore hold the same state.
//! The part that every host needs is the [`View`]: each accepted change to it increments a version,
//! and hosts without a replica pull the changes. The idempotency ledger and the limit leases stay
//! within the consensus group; their replies go only to the host that proposed the command.

mod lease;
mod session;
mod view;

pub use self::{
    lease::{Lease, LeaseRequest, Leases},
    session::{ProposalKey, SessionId, Sessions},
    view::{
        AcceptedSheet, ApplyError, Change, Digest, History, Leaves, PlannedStop, Stop, Subject,
        Update, VersionedChange, View,
    },
};

use {
    crate::{
        id::{Host, Incarnation, Index, Target, Version},
        ledger::{self, Begin, Finish, Ledger, Owner, Quota},
        sheet::Sheet,
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc, time::SystemTime},
    uuid::Uuid,
};

/// Format number at the start of a snapshot. [`Machine::restore`] rejects any other.
pub const SNAPSHOT_FORMAT: u16 = 1;

/// Maximum number of accepted submissions that are kept, the last one included. A resubmission of
/// an older one is a conflict as well, but its reply no longer tells that it was accepted.
const MAX_SUBMISSIONS: usize = 256;

/// Error of encoding or decoding the state.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The snapshot has a format that this release can't read.
    #[error("the snapshot has format {found}, this version reads format {SNAPSHOT_FORMAT}")]
    Format {
        /// The format number in the snapshot.
        found: u16,
    },
    /// The state can't be encoded, or the bytes can't be decoded.
    #[error("the state can't be encoded or decoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// A log entry: a command and its metadata.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the proposal, so that a retry of it is applied once. `None` for commands that
    /// are idempotent by themselves, such as [`Command::Open`].
    pub proposal: Option<ProposalKey>,
    /// The proposer's wall-clock time. The machine's clock is the highest time seen so far.
    pub at: SystemTime,
    /// The ledger shard that the command belongs to; always 0 while there is a single group.
    pub shard: u16,
    /// The command to apply.
    pub command: Command,
}

/// A change to the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a host's proposals. Older processes of the host count as gone, and so
    /// the outcome of calls that they began is unknown.
    Open {
        /// The host whose process opens the session.
        host: Host,
        /// The incarnation of the host's process.
        incarnation: Incarnation,
        /// Random. A retry with the same nonce returns the same session.
        nonce: Uuid,
    },
    /// Submits a sheet, which takes effect if its number is above the last accepted one.
    Submit {
        /// The sheet's canonical digest.
        digest: Digest,
        /// The sheet, including its number.
        sheet: Arc<Sheet>,
    },
    /// Records that an idempotent call begins.
    Begin(ledger::Intent),
    /// Records the outcome of an idempotent call.
    Finish(ledger::Completion),
    /// Marks an incarnation of a target as leaving. Only a higher incarnation is eligible again.
    LeaveTarget {
        /// The target that leaves.
        target: Target,
        /// The incarnation that leaves. Lower ones count as left too.
        incarnation: Incarnation,
    },
    /// Marks an incarnation of a host as gone or leaving.
    LeaveHost {
        /// The host that leaves.
        host: Host,
        /// The incarnation that leaves. Lower ones count as left too.
        incarnation: Incarnation,
    },
    /// Records a planned stop of a host or a target.
    PlanStop(Stop),
    /// Requests leases on organisations' limits.
    Grant(Vec<LeaseRequest>),
}

/// The result of applying a command, for its proposer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open, under this id.
    Opened(SessionId),
    /// The sheet is accepted, now or by an earlier submission of the same sheet.
    Accepted(AcceptedSheet),
    /// The sheet is rejected: its number is not above the last accepted one, and it isn't that
    /// sheet.
    Conflict {
        /// The last accepted sheet, which stays in force.
        winner: AcceptedSheet,
        /// The earlier acceptance of the submitted sheet, if it was accepted before the winner.
        earlier: Option<AcceptedSheet>,
    },
    /// The ledger's reply to [`Command::Begin`].
    Begun(Begin),
    /// The ledger's reply to [`Command::Finish`].
    Finished(Finish),
    /// The leave or the planned stop is part of the view from this version on, or an equal or later
    /// one was part of it already.
    Recorded(Version),
    /// The maximum number of leaves or planned stops is reached, so that nothing was recorded.
    Full,
    /// The granted leases, in the order of the requests. Each may be lower than requested.
    Granted(Vec<Lease>),
    /// The proposal's session is closed or its number is below the session's floor. This entry
    /// changed nothing, but an earlier copy of the same proposal may have been applied.
    Forgotten,
}

/// The state machine that each replica of a group runs.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    state: State,
    history: History,
}

/// The replicated state, as a snapshot contains it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct State {
    applied: Index,
    view: View,
    submissions: VecDeque<AcceptedSheet>,
    sessions: Sessions,
    ledger: Ledger,
    leases: Leases,
}

impl Machine {
    /// Creates an empty machine whose ledger is bounded by `quota`.
    pub fn new(quota: Quota) -> Self {
        let state = State {
            ledger: Ledger::new(quota),
            ..State::default()
        };
        Self {
            history: History::new(&state.view),
            state,
        }
    }

    /// Applies the log entry at `index`. A retry of a proposal that was applied already changes
    /// nothing and returns the first reply.
    pub fn apply(&mut self, index: Index, entry: &Entry) -> Reply {
        self.state.applied = index;
        self.state.ledger.expire(entry.at);
        let Some(proposal) = entry.proposal else {
            return self.execute(index, &entry.command);
        };
        match self.state.sessions.lookup(&proposal) {
            session::Lookup::New => {}
            session::Lookup::Reply(reply) => return reply,
            session::Lookup::Forgotten => return Reply::Forgotten,
        }
        let reply = self.execute(index, &entry.command);
        self.state.sessions.store(&proposal, &reply);
        reply
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> Index {
        self.state.applied
    }

    /// The part of the state that every host pulls.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// The idempotency records of all organisations.
    pub fn ledger(&self) -> &Ledger {
        &self.state.ledger
    }

    /// Returns what a host with a view of this version and digest is missing.
    pub fn update_since(&self, version: Version, digest: &Digest) -> Update {
        self.history.update_since(&self.state.view, version, digest)
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] if the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        let bytes = SNAPSHOT_FORMAT.to_le_bytes().to_vec();
        Ok(postcard::to_extend(&self.state, bytes)?)
    }

    /// Restores the machine from a snapshot. The change history starts empty, so hosts with a view
    /// of any other version pull a whole view.
    ///
    /// # Errors
    ///
    /// [`Error::Format`] for an unknown format and [`Error::Encoding`] for damaged bytes.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (format, body) = bytes
            .split_first_chunk()
            .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
        let found = u16::from_le_bytes(*format);
        if found != SNAPSHOT_FORMAT {
            return Err(Error::Format { found });
        }
        let state: State = postcard::from_bytes(body)?;
        Ok(Self {
            history: History::new(&state.view),
            state,
        })
    }

    fn execute(&mut self, index: Index, command: &Command) -> Reply {
        match command {
            Command::Open {
                host,
                incarnation,
                nonce,
            } => self.open_session(index, *host, *incarnation, *nonce),
            Command::Submit { digest, sheet } => self.submit(digest, sheet),
            Command::Begin(intent) => Reply::Begun(self.begin(intent)),
            Command::Finish(completion) => {
                let now = self.state.ledger.clock();
                Reply::Finished(self.state.ledger.finish(completion.clone(), now))
            }
            Command::LeaveTarget {
                target,
                incarnation,
            } => self.record(Change::LeaveTarget(target.clone(), *incarnation)),
            Command::LeaveHost { host, incarnation } => {
                self.record(Change::LeaveHost(*host, *incarnation))
            }
            Command::PlanStop(stop) => self.record(Change::PlanStop(stop.clone())),
            Command::Grant(requests) => {
                let now = self.state.ledger.clock();
                let sheet = self.state.view.sheet.as_deref();
                Reply::Granted(self.state.leases.grant(requests, sheet, now))
            }
        }
    }

    fn open_session(
        &mut self,
        index: Index,
        host: Host,
        incarnation: Incarnation,
        nonce: Uuid,
    ) -> Reply {
        if let Some(previous) = incarnation.checked_sub(1) {
            self.record(Change::LeaveHost(host, previous));
        }
        Reply::Opened(self.state.sessions.open(index, host, nonce))
    }

    fn begin(&mut self, intent: &ledger::Intent) -> Begin {
        let leaves = &self.state.view.leaves;
        let owner_left = |owner: Owner| leaves.has_host_left(owner.host, owner.incarnation);
        let now = self.state.ledger.clock();
        self.state.ledger.begin(intent, now, owner_left)
    }

    fn submit(&mut self, digest: &Digest, sheet: &Arc<Sheet>) -> Reply {
        let number = sheet.number;
        if let Some(winner) = self.state.view.accepted.clone() {
            if number == winner.number && *digest == winner.digest {
                return Reply::Accepted(winner);
            }
            if number <= winner.number {
                return Reply::Conflict {
                    earlier: self.find_submission(number, digest),
                    winner,
                };
            }
        }
        let accepted = AcceptedSheet {
            number,
            digest: *digest,
            version: self.state.view.version + 1,
            at: self.state.ledger.clock(),
        };
        if self.state.submissions.len() == MAX_SUBMISSIONS {
            self.state.submissions.pop_front();
        }
        self.state.submissions.push_back(accepted.clone());
        self.record(Change::Sheet(accepted.clone(), Some(Arc::clone(sheet))));
        Reply::Accepted(accepted)
    }

    fn find_submission(&self, number: u64, digest: &Digest) -> Option<AcceptedSheet> {
        self.state
            .submissions
            .iter()
            .find(|accepted| accepted.number == number && accepted.digest == *digest)
            .cloned()
    }

    fn record(&mut self, change: Change) -> Reply {
        match self.state.view.effect(&change) {
            view::Effect::None => Reply::Recorded(self.state.view.version),
            view::Effect::Full => Reply::Full,
            view::Effect::Change => {
                let change = self.state.view.record(change);
                let version = change.version;
                self.history.push(change);
                Reply::Recorded(version)
            }
        }
    }
}
