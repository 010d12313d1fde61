//! The replicated state machine.
//!
//! All replicas apply the same entries in the same order and so hold the same state. The part that
//! every host needs is the [`View`]: each accepted change to it bumps a version, and hosts without
//! a replica pull the changes. Ledger and limit leases stay within the group; their answers go
//! to whoever proposed the command.

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

/// The snapshot's format. Other formats are refused.
pub const SNAPSHOT_FORMAT: u16 = 1;

/// Accepted submissions that are remembered beside the last one. Older ones are refused as a
/// conflict all the same; only the note that they were accepted is lost.
const SUBMISSIONS: usize = 256;

/// Why bytes could not be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The snapshot has a format that this version can't read.
    #[error("the snapshot has format {found}, this version reads format {SNAPSHOT_FORMAT}")]
    Format {
        /// The format found.
        found: u16,
    },
    /// The bytes can't be encoded or decoded.
    #[error("state can't be encoded or decoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// A command as it stands in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the proposal, so that a repeated one is applied once. `None` for commands that
    /// are harmless to repeat, such as [`Command::Open`].
    pub proposal: Option<ProposalKey>,
    /// The proposer's time. The machine goes by the highest one seen.
    pub at: SystemTime,
    /// The ledger shard that the command belongs to; 0 while there is one group.
    pub shard: u16,
    /// The command.
    pub command: Command,
}

/// A change to the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Opens a session for a host's proposals. Everything that older processes of the host began
    /// counts as ended.
    Open {
        /// The host.
        host: Host,
        /// The host's process.
        incarnation: Incarnation,
        /// Random; a repeated opening with the same number gets the same session.
        nonce: Uuid,
    },
    /// Submits a sheet.
    Submit {
        /// The sheet's canonical digest.
        digest: Digest,
        /// The sheet, which carries its number.
        sheet: Arc<Sheet>,
    },
    /// Begins an idempotent call.
    Begin(ledger::Intent),
    /// Ends an idempotent call.
    Finish(ledger::Conclusion),
    /// Marks a target's run as leaving. Only a higher incarnation is eligible again.
    LeaveTarget {
        /// The target.
        target: Target,
        /// The run that leaves.
        incarnation: Incarnation,
    },
    /// Marks a host's process as gone or leaving.
    LeaveHost {
        /// The host.
        host: Host,
        /// The process that leaves.
        incarnation: Incarnation,
    },
    /// Records a planned stop.
    PlanStop(Stop),
    /// Asks for shares of organisations' limits.
    Grant(Vec<LeaseRequest>),
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The session is open.
    Opened(SessionId),
    /// The sheet is accepted, now or by an earlier submission of the same sheet.
    Accepted(AcceptedSheet),
    /// The sheet's number is taken by another sheet or lower than the last accepted one.
    Conflict {
        /// The sheet that is accepted.
        winner: AcceptedSheet,
        /// The same sheet's own acceptance, if it was accepted before the winner.
        earlier: Option<AcceptedSheet>,
    },
    /// The verdict on a begin.
    Begun(Begin),
    /// The verdict on a finish.
    Finished(Finish),
    /// The leave or the planned stop is recorded, now or earlier, as of this version.
    Recorded(Version),
    /// There is no room for another leave or planned stop.
    Full,
    /// The leases that were granted, which may be lower than asked.
    Granted(Vec<Lease>),
    /// The proposal's session or number is no longer remembered. This entry changed nothing; an
    /// earlier copy of the same proposal may have been applied.
    Forgotten,
}

/// The state that all replicas of a group share.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    core: Core,
    history: History,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Core {
    applied: Index,
    view: View,
    submissions: VecDeque<AcceptedSheet>,
    sessions: Sessions,
    ledger: Ledger,
    leases: Leases,
}

impl Machine {
    /// An empty machine.
    pub fn new(quota: Quota) -> Self {
        let core = Core {
            ledger: Ledger::new(quota),
            ..Core::default()
        };
        Self {
            history: History::new(&core.view),
            core,
        }
    }

    /// Applies the entry at `index` of the log.
    pub fn apply(&mut self, index: Index, entry: &Entry) -> Reply {
        self.core.applied = index;
        self.core.ledger.expire(entry.at);
        let Some(proposal) = entry.proposal else {
            return self.execute(index, &entry.command);
        };
        match self.core.sessions.recall(&proposal) {
            session::Recall::New => {}
            session::Recall::Reply(reply) => return reply,
            session::Recall::Forgotten => return Reply::Forgotten,
        }
        let reply = self.execute(index, &entry.command);
        self.core.sessions.remember(&proposal, &reply);
        reply
    }

    /// The last index that was applied.
    pub fn applied(&self) -> Index {
        self.core.applied
    }

    /// What hosts pull.
    pub fn view(&self) -> &View {
        &self.core.view
    }

    /// The idempotency records.
    pub fn ledger(&self) -> &Ledger {
        &self.core.ledger
    }

    /// What a host at this version and digest lacks.
    pub fn update_since(&self, version: Version, digest: &Digest) -> Update {
        self.history.update_since(&self.core.view, version, digest)
    }

    /// The whole state as bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Encoding`] if the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        let bytes = SNAPSHOT_FORMAT.to_le_bytes().to_vec();
        Ok(postcard::to_extend(&self.core, bytes)?)
    }

    /// The machine that a snapshot was taken of. The change history starts anew, so hosts at
    /// any other version pull a whole view.
    ///
    /// # Errors
    ///
    /// [`Error::Format`] for another format and [`Error::Encoding`] for damaged bytes.
    pub fn restore(bytes: &[u8]) -> Result<Self, Error> {
        let (format, body) = bytes
            .split_first_chunk()
            .ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
        let found = u16::from_le_bytes(*format);
        if found != SNAPSHOT_FORMAT {
            return Err(Error::Format { found });
        }
        let core: Core = postcard::from_bytes(body)?;
        Ok(Self {
            history: History::new(&core.view),
            core,
        })
    }

    fn execute(&mut self, index: Index, command: &Command) -> Reply {
        match command {
            Command::Open {
                host,
                incarnation,
                nonce,
            } => self.open(index, *host, *incarnation, *nonce),
            Command::Submit { digest, sheet } => self.submit(digest, sheet),
            Command::Begin(intent) => Reply::Begun(self.begin(intent)),
            Command::Finish(conclusion) => {
                let now = self.core.ledger.clock();
                Reply::Finished(self.core.ledger.finish(conclusion.clone(), now))
            }
            Command::LeaveTarget {
                target,
                incarnation,
            } => self.change(Change::LeaveTarget(target.clone(), *incarnation)),
            Command::LeaveHost { host, incarnation } => {
                self.change(Change::LeaveHost(*host, *incarnation))
            }
            Command::PlanStop(stop) => self.change(Change::PlanStop(stop.clone())),
            Command::Grant(claims) => {
                let now = self.core.ledger.clock();
                let sheet = self.core.view.sheet.as_deref();
                Reply::Granted(self.core.leases.grant(claims, sheet, now))
            }
        }
    }

    fn open(&mut self, index: Index, host: Host, incarnation: Incarnation, nonce: Uuid) -> Reply {
        if let Some(before) = incarnation.checked_sub(1) {
            self.change(Change::LeaveHost(host, before));
        }
        Reply::Opened(self.core.sessions.open(index, host, nonce))
    }

    fn begin(&mut self, intent: &ledger::Intent) -> Begin {
        let leaves = &self.core.view.leaves;
        let gone = |owner: Owner| leaves.has_host_left(owner.host, owner.incarnation);
        let now = self.core.ledger.clock();
        self.core.ledger.begin(intent, now, gone)
    }

    fn submit(&mut self, digest: &Digest, sheet: &Arc<Sheet>) -> Reply {
        let number = sheet.number;
        if let Some(winner) = self.core.view.accepted.clone() {
            if number == winner.number && *digest == winner.digest {
                return Reply::Accepted(winner);
            }
            if number <= winner.number {
                return Reply::Conflict {
                    earlier: self.earlier(number, digest),
                    winner,
                };
            }
        }
        let accepted = AcceptedSheet {
            number,
            digest: *digest,
            version: self.core.view.version + 1,
            at: self.core.ledger.clock(),
        };
        if self.core.submissions.len() == SUBMISSIONS {
            self.core.submissions.pop_front();
        }
        self.core.submissions.push_back(accepted.clone());
        self.change(Change::Sheet(accepted.clone(), Some(Arc::clone(sheet))));
        Reply::Accepted(accepted)
    }

    fn earlier(&self, number: u64, digest: &Digest) -> Option<AcceptedSheet> {
        self.core
            .submissions
            .iter()
            .find(|accepted| accepted.number == number && accepted.digest == *digest)
            .cloned()
    }

    fn change(&mut self, change: Change) -> Reply {
        match self.core.view.effect(&change) {
            view::Effect::None => Reply::Recorded(self.core.view.version),
            view::Effect::Full => Reply::Full,
            view::Effect::Change => {
                let recorded = self.core.view.record(change);
                let version = recorded.version;
                self.history.push(recorded);
                Reply::Recorded(version)
            }
        }
    }
}
