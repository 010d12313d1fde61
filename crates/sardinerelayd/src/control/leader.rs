//! Sends requests to the leader, with retries until a deadline.

use {
    super::{
        Error,
        message::{CONFIRM, ConfirmRequest, Input, Outcome, PROPOSE, ProposeRequest},
    },
    crate::peer::{Client, Packed},
    sardinerelay::{
        id::{Host, Version},
        state::{Entry, Reply},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep, timeout},
    },
};

/// Pause after the first failed attempt. It doubles with each attempt up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(10);

/// Longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Time for an answer to travel back, on top of the time that the leader gets for it.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// The leader's answer to a request.
pub(super) struct Answer<T> {
    pub(super) value: T,
    /// Whether an earlier attempt of the same request may have been accepted as well.
    pub(super) may_be_duplicate: bool,
}

/// Sends requests to the leader, on this host or another one.
#[derive(Debug)]
pub(super) struct LeaderClient {
    pub(super) host: Host,
    /// Input channel of this host's replica, if it has one.
    pub(super) replica: Option<mpsc::Sender<Input>>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    pub(super) voters: Vec<Host>,
    /// Time that one attempt may take.
    pub(super) attempt_timeout: Duration,
    pub(super) known_leader: Mutex<Option<Host>>,
}

impl LeaderClient {
    /// Proposes an entry, and retries with the same entry until the deadline.
    pub(super) async fn propose(
        &self,
        entry: &Entry,
        timeout: Duration,
    ) -> Result<Answer<Reply>, Error> {
        let attempt = |to, wait| self.propose_once(to, entry, wait);
        self.retry_until(timeout, attempt).await
    }

    /// Returns a version that includes all changes committed before the call, as confirmed by the
    /// leader.
    pub(super) async fn confirm(&self, timeout: Duration) -> Result<Version, Error> {
        let answer = self
            .retry_until(timeout, |to, wait| self.confirm_once(to, wait))
            .await;
        answer
            .map(|answer| answer.value)
            .map_err(|_| Error::Unconfirmed { timeout })
    }

    /// Makes attempts until one succeeds or can never succeed, or until the deadline.
    async fn retry_until<T, Attempt, AttemptFuture>(
        &self,
        timeout: Duration,
        attempt: Attempt,
    ) -> Result<Answer<T>, Error>
    where
        Attempt: Fn(Host, Duration) -> AttemptFuture,
        AttemptFuture: Future<Output = Outcome<T>>,
    {
        let deadline = Instant::now() + timeout;
        let mut may_be_duplicate = false;
        let mut backoff = MIN_BACKOFF;
        let mut voter_offset = 0;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(match may_be_duplicate {
                    true => Error::Unknown { timeout },
                    false => Error::NotCommitted { timeout },
                });
            }
            let to = self.next_host(voter_offset);
            let outcome = attempt(to, remaining.min(self.attempt_timeout)).await;
            let leader = match outcome {
                Outcome::Done(value) => {
                    self.set_known_leader(Some(to));
                    return Ok(Answer {
                        value,
                        may_be_duplicate,
                    });
                }
                Outcome::TooLarge { bytes, most } => {
                    return Err(Error::TooLarge { bytes, limit: most });
                }
                Outcome::NotLeader(leader) => leader.filter(|&leader| leader != to),
                Outcome::Busy => Some(to),
                Outcome::Lost | Outcome::Unsent => None,
                Outcome::Unknown => {
                    may_be_duplicate = true;
                    None
                }
            };
            let is_redirected = leader.is_some() && leader != Some(to);
            self.set_known_leader(leader);
            voter_offset += usize::from(leader.is_none());
            if !(is_redirected && backoff == MIN_BACKOFF) {
                let remaining = deadline.saturating_duration_since(Instant::now());
                sleep(backoff.min(remaining)).await;
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Chooses the known leader if there is one, else this host's own replica, else the voters in
    /// turn.
    fn next_host(&self, voter_offset: usize) -> Host {
        let known = *self
            .known_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(leader) = known.filter(|leader| self.can_reach(*leader)) {
            return leader;
        }
        if voter_offset == 0 && self.replica.is_some() {
            return self.host;
        }
        // Hosts start at different voters, so that they don't all ask the same one.
        let start = usize::try_from(self.host).unwrap_or_default();
        self.voters[start.wrapping_add(voter_offset) % self.voters.len()]
    }

    fn can_reach(&self, host: Host) -> bool {
        match host == self.host {
            true => self.replica.is_some(),
            false => self.clients.contains_key(&host),
        }
    }

    fn set_known_leader(&self, leader: Option<Host>) {
        *self
            .known_leader
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = leader;
    }

    async fn propose_once(&self, to: Host, entry: &Entry, wait: Duration) -> Outcome<Reply> {
        if to == self.host {
            return propose_locally(self.replica.as_ref(), entry.clone(), wait).await;
        }
        let call = ProposeRequest {
            entry: Packed(entry.clone()),
            wait_ms: millis(wait),
        };
        self.call(to, PROPOSE, &call, wait).await
    }

    async fn confirm_once(&self, to: Host, wait: Duration) -> Outcome<Version> {
        if to == self.host {
            return confirm_locally(self.replica.as_ref(), wait).await;
        }
        let call = ConfirmRequest {
            wait_ms: millis(wait),
        };
        self.call(to, CONFIRM, &call, wait).await
    }

    async fn call<P, T>(
        &self,
        to: Host,
        method: &'static str,
        parameter: &P,
        wait: Duration,
    ) -> Outcome<T>
    where
        P: serde::Serialize,
        T: serde::de::DeserializeOwned,
    {
        let Some(client) = self.clients.get(&to) else {
            return Outcome::Unsent;
        };
        match client.call(method, parameter, wait + ANSWER_MARGIN).await {
            Ok(Packed(outcome)) => outcome,
            Err(error) if error.is_unsent() => Outcome::Unsent,
            Err(_) => Outcome::Unknown,
        }
    }
}

/// Proposes an entry to this host's replica.
pub(super) async fn propose_locally(
    replica: Option<&mpsc::Sender<Input>>,
    entry: Entry,
    wait: Duration,
) -> Outcome<Reply> {
    ask_locally(replica, wait, |reply| {
        Input::Propose(Box::new(entry), reply)
    })
    .await
}

/// Confirms the current version through this host's replica.
pub(super) async fn confirm_locally(
    replica: Option<&mpsc::Sender<Input>>,
    wait: Duration,
) -> Outcome<Version> {
    ask_locally(replica, wait, Input::Confirm).await
}

async fn ask_locally<T, Make>(
    replica: Option<&mpsc::Sender<Input>>,
    wait: Duration,
    make: Make,
) -> Outcome<T>
where
    Make: FnOnce(oneshot::Sender<Outcome<T>>) -> Input,
{
    let Some(replica) = replica else {
        return Outcome::NotLeader(None);
    };
    let deadline = Instant::now() + wait;
    let Ok(Ok(permit)) = timeout(wait, replica.reserve()).await else {
        return Outcome::Unsent;
    };
    let (reply, answer) = oneshot::channel();
    permit.send(make(reply));
    let remaining = deadline.saturating_duration_since(Instant::now());
    match timeout(remaining, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Outcome::Unknown,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
