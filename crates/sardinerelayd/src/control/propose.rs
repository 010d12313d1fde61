//! Numbers this process's proposals, so that each one is applied once however often it is sent.

use {
    super::{Error, leader::Leader},
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
        time::{Instant, timeout},
    },
    uuid::Uuid,
};

/// Open proposals. It is far below the number of answers that a session keeps.
const OPEN: usize = 256;

/// This process's session and open proposals.
#[derive(Debug)]
pub(super) struct Proposer {
    host: Host,
    incarnation: Incarnation,
    opening: tokio::sync::Mutex<()>,
    places: Semaphore,
    numbers: Mutex<Numbers>,
}

#[derive(Debug)]
struct Numbers {
    /// Drawn anew for each session. Opening a closed one again would yield numbers that are no
    /// longer remembered.
    nonce: Uuid,
    session: Option<SessionId>,
    last: u64,
    open: BTreeSet<u64>,
}

/// An open proposal. It is given up when it is dropped.
struct Open<'a> {
    proposer: &'a Proposer,
    proposal: ProposalKey,
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let mut numbers = self.proposer.numbers();
        if numbers.session == Some(self.proposal.session) {
            numbers.open.remove(&self.proposal.sequence);
        }
    }
}

impl Proposer {
    pub(super) fn new(host: Host, incarnation: Incarnation) -> Self {
        Self {
            host,
            incarnation,
            opening: tokio::sync::Mutex::new(()),
            places: Semaphore::new(OPEN),
            numbers: Mutex::new(Numbers::new()),
        }
    }

    /// Has the command applied once.
    pub(super) async fn propose(
        &self,
        leader: &Leader,
        command: Command,
        deadline: Duration,
    ) -> Result<Reply, Error> {
        let end = Instant::now() + deadline;
        let Ok(Ok(_place)) = timeout(deadline, self.places.acquire()).await else {
            return Err(Error::NotCommitted { deadline });
        };
        let mut entry = Entry {
            proposal: None,
            at: SystemTime::now(),
            shard: 0,
            command,
        };
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let Ok(open) = timeout(left, self.open(leader, left)).await else {
                return Err(Error::NotCommitted { deadline });
            };
            let open = open.map_err(|error| within(error, deadline))?;
            entry.proposal = Some(open.proposal);
            let left = end.saturating_duration_since(Instant::now());
            let answer = leader
                .propose(&entry, left)
                .await
                .map_err(|error| within(error, deadline))?;
            match answer.value {
                // The only copy that reached the log changed nothing, so the command may be sent
                // again under a new number.
                Reply::Forgotten if !answer.repeated => self.close(open.proposal.session),
                Reply::Forgotten => {
                    self.close(open.proposal.session);
                    return Err(Error::Unknown { deadline });
                }
                reply => return Ok(reply),
            }
        }
    }

    async fn open(&self, leader: &Leader, left: Duration) -> Result<Open<'_>, Error> {
        let _opening = self.opening.lock().await;
        let session = self.numbers().session;
        let session = match session {
            Some(session) => session,
            None => self.open_session(leader, left).await?,
        };
        let mut numbers = self.numbers();
        numbers.session = Some(session);
        numbers.last += 1;
        let sequence = numbers.last;
        numbers.open.insert(sequence);
        let acknowledged = numbers.open.first().map_or(0, |first| first - 1);
        drop(numbers);
        Ok(Open {
            proposer: self,
            proposal: ProposalKey {
                session,
                sequence,
                acknowledged,
            },
        })
    }

    async fn open_session(&self, leader: &Leader, left: Duration) -> Result<SessionId, Error> {
        let entry = Entry {
            proposal: None,
            at: SystemTime::now(),
            shard: 0,
            command: Command::Open {
                host: self.host,
                incarnation: self.incarnation,
                nonce: self.numbers().nonce,
            },
        };
        let answer = leader.propose(&entry, left).await;
        // Whatever became of the opening, the command itself was not sent.
        let deadline = left;
        match answer {
            Ok(answer) => match answer.value {
                Reply::Opened(session) => Ok(session),
                _ => Err(Error::NotCommitted { deadline }),
            },
            Err(_) => Err(Error::NotCommitted { deadline }),
        }
    }

    fn close(&self, session: SessionId) {
        let mut numbers = self.numbers();
        if numbers.session == Some(session) {
            *numbers = Numbers::new();
        }
    }

    fn numbers(&self) -> MutexGuard<'_, Numbers> {
        self.numbers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Numbers {
    fn new() -> Self {
        Self {
            nonce: Uuid::new_v4(),
            session: None,
            last: 0,
            open: BTreeSet::new(),
        }
    }
}

/// The error with the whole deadline and not only what was left of it.
fn within(error: Error, deadline: Duration) -> Error {
    match error {
        Error::NotCommitted { .. } => Error::NotCommitted { deadline },
        Error::Unknown { .. } => Error::Unknown { deadline },
        other => other,
    }
}
