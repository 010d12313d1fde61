//! Numbers the proposals of this process, so that each one is applied once however often it is
//! sent.

use {
    super::{Error, leader::LeaderClient},
    sardinerelay::{
        id::{Host, Incarnation},
        state::{Command, Entry, ProposalKey, Reply, SessionId},
    },
    std::{
        collections::BTreeSet,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::Semaphore,
        time::{self, Instant},
    },
    uuid::Uuid,
};

/// Proposals that may be open at once, far fewer than the answers that a session keeps.
const MAX_OPEN_PROPOSALS: usize = 256;

/// Proposes commands of this process within a session of the replicated state machine.
#[derive(Debug)]
pub(super) struct Proposer {
    host: Host,
    incarnation: Incarnation,
    /// Held while a proposal gets its number, so that only one task opens a session.
    numbering: tokio::sync::Mutex<()>,
    permits: Semaphore,
    state: Mutex<SessionState>,
}

/// The current session and its open proposals.
#[derive(Debug)]
struct SessionState {
    /// Random for each session. With the nonce of the previous one, the state machine would return
    /// that session again, which no longer remembers its sequence numbers.
    nonce: Uuid,
    session: Option<SessionId>,
    /// Sequence number of the last proposal.
    last_sequence: u64,
    /// Sequence numbers of the proposals that still await an answer.
    open: BTreeSet<u64>,
}

/// An open proposal. Dropping it acknowledges its number to the state machine with a later
/// proposal.
struct OpenProposal<'a> {
    proposer: &'a Proposer,
    proposal: ProposalKey,
}

impl Drop for OpenProposal<'_> {
    fn drop(&mut self) {
        let mut state = self.proposer.state();
        if state.session == Some(self.proposal.session) {
            state.open.remove(&self.proposal.sequence);
        }
    }
}

impl Proposer {
    pub(super) fn new(host: Host, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            numbering: tokio::sync::Mutex::new(()),
            permits: Semaphore::new(MAX_OPEN_PROPOSALS),
            state: Mutex::new(SessionState::new()),
        }
    }

    /// Proposes a command, which is applied at most once.
    ///
    /// # Errors
    ///
    /// As [`Handle::propose`](super::Handle::propose).
    pub(super) async fn propose(
        &self,
        leader: &LeaderClient,
        command: Command,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        let deadline = Instant::now() + timeout;
        let Ok(Ok(_permit)) = time::timeout(timeout, self.permits.acquire()).await else {
            return Err(Error::NotCommitted { timeout });
        };
        let mut entry = Entry {
            proposal: None,
            at: SystemTime::now(),
            shard: 0,
            command,
        };
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(open) = time::timeout(remaining, self.number_proposal(leader, remaining)).await
            else {
                return Err(Error::NotCommitted { timeout });
            };
            let open = open.map_err(|error| with_timeout(error, timeout))?;
            entry.proposal = Some(open.proposal);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let answer = leader
                .propose(&entry, remaining)
                .await
                .map_err(|error| with_timeout(error, timeout))?;
            match answer.value {
                // The only attempt that reached the log had no effect, so the command can be
                // proposed again in a new session.
                Reply::Forgotten if !answer.may_be_duplicate => {
                    self.discard_session(open.proposal.session)
                }
                Reply::Forgotten => {
                    self.discard_session(open.proposal.session);
                    return Err(Error::Unknown { timeout });
                }
                reply => return Ok(reply),
            }
        }
    }

    /// Assigns the next sequence number, and opens a session first if there is none.
    async fn number_proposal(
        &self,
        leader: &LeaderClient,
        remaining: Duration,
    ) -> Result<OpenProposal<'_>, Error> {
        let _guard = self.numbering.lock().await;
        let session = self.state().session;
        let session = match session {
            Some(session) => session,
            None => self.open_session(leader, remaining).await?,
        };
        let mut state = self.state();
        state.session = Some(session);
        state.last_sequence += 1;
        let sequence = state.last_sequence;
        state.open.insert(sequence);
        let acknowledged = state.open.first().map_or(0, |first| first - 1);
        drop(state);
        Ok(OpenProposal {
            proposer: self,
            proposal: ProposalKey {
                session,
                sequence,
                acknowledged,
            },
        })
    }

    async fn open_session(
        &self,
        leader: &LeaderClient,
        remaining: Duration,
    ) -> Result<SessionId, Error> {
        let entry = Entry {
            proposal: None,
            at: SystemTime::now(),
            shard: 0,
            command: Command::Open {
                host: self.host,
                incarnation: self.incarnation,
                nonce: self.state().nonce,
            },
        };
        let answer = leader.propose(&entry, remaining).await;
        // Whether or not the session was opened, the command itself was not sent.
        let timeout = remaining;
        match answer {
            Ok(answer) => match answer.value {
                Reply::Opened(session) => Ok(session),
                _ => Err(Error::NotCommitted { timeout }),
            },
            Err(_) => Err(Error::NotCommitted { timeout }),
        }
    }

    /// Forgets the session unless another task has replaced it already.
    fn discard_session(&self, session: SessionId) {
        let mut state = self.state();
        if state.session == Some(session) {
            *state = SessionState::new();
        }
    }

    fn state(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SessionState {
    fn new() -> Self {
        Self {
            nonce: Uuid::new_v4(),
            session: None,
            last_sequence: 0,
            open: BTreeSet::new(),
        }
    }
}

/// Replaces the remaining time in an error by the whole time that the caller allowed.
fn with_timeout(error: Error, timeout: Duration) -> Error {
    match error {
        Error::NotCommitted { .. } => Error::NotCommitted { timeout },
        Error::Unknown { .. } => Error::Unknown { timeout },
        other => other,
    }
}
