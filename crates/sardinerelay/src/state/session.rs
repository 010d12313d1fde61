//! Sessions: a proposal that is repeated after a lost answer is applied once.
//!
//! Each process opens a session, numbered by its index in the log, and numbers its proposals
//! within it. Answers are kept until the process has acknowledged them. The table is bounded by
//! dropping the lowest numbers and the least recently used sessions. That is safe: a proposal
//! with a closed session or a number below the session's floor is refused and never applied,
//! and session numbers are never reused.

use {
    super::Reply,
    crate::{
        id::{Host, Index},
        ledger::Begin,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    uuid::Uuid,
};

/// Sessions that stay open.
const SESSIONS: usize = 1024;

/// Answers that a session keeps. While one proposal is repeated, this many later ones can be
/// answered before it is forgotten.
const ANSWERS: usize = 2048;

/// A session's number: the log index of its opening.
pub type SessionId = Index;

/// Identifies a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// The session.
    pub session: SessionId,
    /// The number within the session; the first is 1.
    pub sequence: u64,
    /// All numbers up to this one are answered or given up, and will not be sent again.
    pub acknowledged: u64,
}

/// Open sessions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    open: BTreeMap<SessionId, Table>,
    hosts: BTreeMap<Host, SessionId>,
    uses: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Table {
    host: Host,
    nonce: Uuid,
    used: u64,
    floor: u64,
    answers: BTreeMap<u64, Remembered>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Remembered {
    Reply(Reply),
    /// The reply is large and the command changed nothing, so it is applied again.
    Again,
}

/// What is known of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Recall {
    New,
    Reply(Reply),
    Forgotten,
}

impl Sessions {
    /// Opens a session at `index` and closes the host's earlier one.
    pub fn open(&mut self, index: Index, host: Host, nonce: Uuid) -> SessionId {
        self.uses += 1;
        if let Some(&session) = self.hosts.get(&host) {
            match self.open.get_mut(&session) {
                Some(table) if table.nonce == nonce => {
                    table.used = self.uses;
                    return session;
                }
                _ => self.open.remove(&session),
            };
        }
        if self.open.len() == SESSIONS {
            self.evict();
        }
        let table = Table {
            host,
            nonce,
            used: self.uses,
            floor: 0,
            answers: BTreeMap::new(),
        };
        self.open.insert(index, table);
        self.hosts.insert(host, index);
        index
    }

    pub(super) fn recall(&mut self, proposal: &ProposalKey) -> Recall {
        let Some(table) = self.open.get_mut(&proposal.session) else {
            return Recall::Forgotten;
        };
        self.uses += 1;
        table.used = self.uses;
        table.raise(
            proposal
                .acknowledged
                .min(proposal.sequence.saturating_sub(1)),
        );
        if proposal.sequence <= table.floor {
            return Recall::Forgotten;
        }
        match table.answers.get(&proposal.sequence) {
            Some(Remembered::Reply(reply)) => Recall::Reply(reply.clone()),
            Some(Remembered::Again) | None => Recall::New,
        }
    }

    pub(super) fn remember(&mut self, proposal: &ProposalKey, reply: &Reply) {
        let Some(table) = self.open.get_mut(&proposal.session) else {
            return;
        };
        let remembered = match reply {
            Reply::Begun(Begin::Done(_)) => Remembered::Again,
            reply => Remembered::Reply(reply.clone()),
        };
        table.answers.insert(proposal.sequence, remembered);
        while table.answers.len() > ANSWERS {
            if let Some((sequence, _)) = table.answers.pop_first() {
                table.floor = table.floor.max(sequence);
            }
        }
    }

    /// The number of open sessions.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    fn evict(&mut self) {
        let oldest = self.open.iter().min_by_key(|(_, table)| table.used);
        let Some((&session, table)) = oldest else {
            return;
        };
        self.hosts.remove(&table.host);
        self.open.remove(&session);
    }
}

impl Table {
    fn raise(&mut self, floor: u64) {
        if floor > self.floor {
            self.floor = floor;
            self.answers = self.answers.split_off(&(floor + 1));
        }
    }
}
