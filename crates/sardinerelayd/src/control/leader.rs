//! Finds the leader and asks it until a deadline.

use {
    super::{
        Error,
        message::{CONFIRM, Confirm, Input, Outcome, PROPOSE, Propose},
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

/// Pause after a refusal, doubled up to [`PAUSE_MAX`].
const PAUSE: Duration = Duration::from_millis(10);
const PAUSE_MAX: Duration = Duration::from_millis(200);

/// Time for an answer to travel back, on top of the time that the leader has for it.
const FLIGHT: Duration = Duration::from_millis(250);

/// A request's answer, and whether an earlier attempt of it may have been accepted.
pub(super) struct Answer<T> {
    pub(super) value: T,
    pub(super) repeated: bool,
}

/// Asks the leader, here or on another host.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) host: Host,
    pub(super) local: Option<mpsc::Sender<Input>>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    pub(super) voters: Vec<Host>,
    pub(super) attempt: Duration,
    pub(super) known: Mutex<Option<Host>>,
}

impl Leader {
    /// Proposes an entry, and repeats it as it is until the deadline.
    pub(super) async fn propose(
        &self,
        entry: &Entry,
        deadline: Duration,
    ) -> Result<Answer<Reply>, Error> {
        let attempt = |to, wait| self.propose_once(to, entry, wait);
        self.seek(deadline, attempt).await
    }

    /// The version that a leader has shown to be the latest one.
    pub(super) async fn confirm(&self, deadline: Duration) -> Result<Version, Error> {
        let answer = self
            .seek(deadline, |to, wait| self.confirm_once(to, wait))
            .await;
        answer
            .map(|answer| answer.value)
            .map_err(|_| Error::Unconfirmed { deadline })
    }

    async fn seek<T, Attempt, Asked>(
        &self,
        deadline: Duration,
        attempt: Attempt,
    ) -> Result<Answer<T>, Error>
    where
        Attempt: Fn(Host, Duration) -> Asked,
        Asked: Future<Output = Outcome<T>>,
    {
        let end = Instant::now() + deadline;
        let mut repeated = false;
        let mut pause = PAUSE;
        let mut turn = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(match repeated {
                    true => Error::Unknown { deadline },
                    false => Error::NotCommitted { deadline },
                });
            }
            let to = self.next(turn);
            let outcome = attempt(to, left.min(self.attempt)).await;
            let leader = match outcome {
                Outcome::Done(value) => {
                    self.set_known(Some(to));
                    return Ok(Answer { value, repeated });
                }
                Outcome::TooLarge { bytes, most } => {
                    return Err(Error::TooLarge { bytes, limit: most });
                }
                Outcome::NotLeader(leader) => leader.filter(|&leader| leader != to),
                Outcome::Busy => Some(to),
                Outcome::Lost | Outcome::Unsent => None,
                Outcome::Unknown => {
                    repeated = true;
                    None
                }
            };
            let followed = leader.is_some() && leader != Some(to);
            self.set_known(leader);
            turn += usize::from(leader.is_none());
            if !(followed && pause == PAUSE) {
                let left = end.saturating_duration_since(Instant::now());
                sleep(pause.min(left)).await;
            }
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// The known leader if there is one, else this host's own replica, else one voter after the
    /// other.
    fn next(&self, turn: usize) -> Host {
        let known = *self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(leader) = known.filter(|leader| self.reaches(*leader)) {
            return leader;
        }
        if turn == 0 && self.local.is_some() {
            return self.host;
        }
        // Hosts start at different voters, so that not all of them ask the same one.
        let start = usize::try_from(self.host).unwrap_or_default();
        self.voters[start.wrapping_add(turn) % self.voters.len()]
    }

    fn reaches(&self, host: Host) -> bool {
        match host == self.host {
            true => self.local.is_some(),
            false => self.clients.contains_key(&host),
        }
    }

    fn set_known(&self, leader: Option<Host>) {
        *self.known.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }

    async fn propose_once(&self, to: Host, entry: &Entry, wait: Duration) -> Outcome<Reply> {
        if to == self.host {
            return propose_here(self.local.as_ref(), entry.clone(), wait).await;
        }
        let call = Propose {
            entry: Packed(entry.clone()),
            wait_ms: millis(wait),
        };
        self.call(to, PROPOSE, &call, wait).await
    }

    async fn confirm_once(&self, to: Host, wait: Duration) -> Outcome<Version> {
        if to == self.host {
            return confirm_here(self.local.as_ref(), wait).await;
        }
        let call = Confirm {
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
        match client.call(method, parameter, wait + FLIGHT).await {
            Ok(Packed(outcome)) => outcome,
            Err(error) if error.is_unsent() => Outcome::Unsent,
            Err(_) => Outcome::Unknown,
        }
    }
}

/// Proposes to this host's replica.
pub(super) async fn propose_here(
    local: Option<&mpsc::Sender<Input>>,
    entry: Entry,
    wait: Duration,
) -> Outcome<Reply> {
    ask(local, wait, |reply| Input::Propose(Box::new(entry), reply)).await
}

/// Confirms by this host's replica.
pub(super) async fn confirm_here(
    local: Option<&mpsc::Sender<Input>>,
    wait: Duration,
) -> Outcome<Version> {
    ask(local, wait, Input::Confirm).await
}

async fn ask<T, Make>(local: Option<&mpsc::Sender<Input>>, wait: Duration, make: Make) -> Outcome<T>
where
    Make: FnOnce(oneshot::Sender<Outcome<T>>) -> Input,
{
    let Some(local) = local else {
        return Outcome::NotLeader(None);
    };
    let end = Instant::now() + wait;
    let Ok(Ok(place)) = timeout(wait, local.reserve()).await else {
        return Outcome::Unsent;
    };
    let (reply, answer) = oneshot::channel();
    place.send(make(reply));
    let left = end.saturating_duration_since(Instant::now());
    match timeout(left, answer).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) | Err(_) => Outcome::Unknown,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
