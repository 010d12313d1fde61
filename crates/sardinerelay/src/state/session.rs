//! Client sessions: a proposal that is retried after a lost reply is applied once.
//!
//! Each process opens a session, whose id is the log index of its opening, and numbers its
//! proposals within it. Replies are kept until the process has acknowledged them. Memory is bounded
//! by dropping the replies with the lowest numbers and the least recently used sessions. That is
//! safe: a proposal of a closed session, or with a number up to the session's floor, is refused and
//! never applied, and session ids are never reused.

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

/// Maximum number of open sessions. Opening a further one closes the least recently used.
const MAX_SESSIONS: usize = 1024;

/// Maximum number of replies that a session keeps. While one proposal is retried, this many later
/// ones can be applied before it is forgotten.
const MAX_REPLIES: usize = 2048;

/// A session's id: the log index of its opening.
pub type SessionId = Index;

/// Identifies a proposal across retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// The session of the proposing process.
    pub session: SessionId,
    /// The proposal's number within the session, from 1.
    pub sequence: u64,
    /// All proposals up to this number are answered or abandoned, and will not be sent again.
    pub acknowledged: u64,
}

/// Open sessions and the replies that they keep.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    open: BTreeMap<SessionId, Session>,
    /// The last session of each host.
    hosts: BTreeMap<Host, SessionId>,
    /// Counts uses of all sessions, to find the least recently used one.
    uses: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    host: Host,
    nonce: Uuid,
    /// Value of [`Sessions::uses`] at the last use.
    used: u64,
    /// Proposals up to this number are forgotten: they are never applied any more.
    floor: u64,
    /// Stored replies by proposal number.
    #[serde(rename = "answers")]
    replies: BTreeMap<u64, StoredReply>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum StoredReply {
    Reply(Reply),
    /// The reply is large and the command changed nothing, so a retry applies it again.
    Again,
}

/// What is known about a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Lookup {
    /// It was not applied yet, or may be applied again.
    New,
    /// It was applied, with this reply.
    Reply(Reply),
    /// It must not be applied, since it may have been applied already.
    Forgotten,
}

impl Sessions {
    /// Opens a session at `index` and closes the host's earlier one. A retry with the nonce of the
    /// open session returns that session.
    pub fn open(&mut self, index: Index, host: Host, nonce: Uuid) -> SessionId {
        self.uses += 1;
        if let Some(&id) = self.hosts.get(&host) {
            match self.open.get_mut(&id) {
                Some(session) if session.nonce == nonce => {
                    session.used = self.uses;
                    return id;
                }
                _ => self.open.remove(&id),
            };
        }
        if self.open.len() == MAX_SESSIONS {
            self.close_least_recently_used();
        }
        let session = Session {
            host,
            nonce,
            used: self.uses,
            floor: 0,
            replies: BTreeMap::new(),
        };
        self.open.insert(index, session);
        self.hosts.insert(host, index);
        index
    }

    /// Looks up whether a proposal was applied, and drops the replies that it acknowledges.
    pub(super) fn lookup(&mut self, proposal: &ProposalKey) -> Lookup {
        let Some(session) = self.open.get_mut(&proposal.session) else {
            return Lookup::Forgotten;
        };
        self.uses += 1;
        session.used = self.uses;
        session.raise_floor(
            proposal
                .acknowledged
                .min(proposal.sequence.saturating_sub(1)),
        );
        if proposal.sequence <= session.floor {
            return Lookup::Forgotten;
        }
        match session.replies.get(&proposal.sequence) {
            Some(StoredReply::Reply(reply)) => Lookup::Reply(reply.clone()),
            Some(StoredReply::Again) | None => Lookup::New,
        }
    }

    /// Stores the reply to a proposal that was just applied.
    pub(super) fn store(&mut self, proposal: &ProposalKey, reply: &Reply) {
        let Some(session) = self.open.get_mut(&proposal.session) else {
            return;
        };
        let stored = match reply {
            Reply::Begun(Begin::Done(_)) => StoredReply::Again,
            reply => StoredReply::Reply(reply.clone()),
        };
        session.replies.insert(proposal.sequence, stored);
        while session.replies.len() > MAX_REPLIES {
            if let Some((sequence, _)) = session.replies.pop_first() {
                session.floor = session.floor.max(sequence);
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

    fn close_least_recently_used(&mut self) {
        let least_recent = self.open.iter().min_by_key(|(_, session)| session.used);
        let Some((&id, session)) = least_recent else {
            return;
        };
        self.hosts.remove(&session.host);
        self.open.remove(&id);
    }
}

impl Session {
    /// Forgets all proposals up to `floor`.
    fn raise_floor(&mut self, floor: u64) {
        if floor > self.floor {
            self.floor = floor;
            self.replies = self.replies.split_off(&(floor + 1));
        }
    }
}
