//! Client of the replicated idempotency ledger, for calls of plain services with an idempotency
//! key.

use {
    crate::{
        control::{Error, Handle},
        refusal::{Code, Refusal},
        service::CALL_TIMEOUT,
    },
    compact_str::{CompactString, format_compact},
    log::warn,
    sardinerelay::{
        id::Organisation,
        ledger::{Answer, Begin, Completion, Finish, Intent, Key, Outcome, Owner},
        state::{Command, Reply},
    },
    sha2::{Digest, Sha256},
    std::time::{Duration, Instant, SystemTime},
    tokio::time::sleep,
    uuid::Uuid,
};

/// How long an intent may take to be committed. After that, the call is refused as not run.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the outcome of a call may take to be committed. The caller's response waits for it, so
/// that a resend finds the stored answer.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause between attempts to release a key.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the call's timeout until its outcome counts as unknown if none was recorded.
const OUTCOME_DEADLINE_MARGIN: Duration = Duration::from_secs(30);

/// Proposes ledger records through the control thread.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    control: Handle,
    owner: Owner,
}

/// A call whose intent is committed, so that it may run.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: Key,
    id: Uuid,
}

/// What to do with a call that has an idempotency key.
#[derive(Debug)]
pub enum Decision {
    /// Run the call; its intent is committed.
    Run(Attempt),
    /// Respond with the stored answer of an earlier run.
    Replay(Answer),
}

impl LedgerClient {
    /// Creates a client; `owner` is this process, which intents are recorded under.
    pub fn new(control: Handle, owner: Owner) -> Self {
        Self { control, owner }
    }

    /// Commits the intent to run a call. `parts` is what a resend must repeat exactly: the method,
    /// the path and the body.
    ///
    /// # Errors
    ///
    /// Refuses a call that must not run, and one whose intent could not be committed. This host
    /// never sends such a call, so it has not run.
    pub async fn begin(
        &self,
        organisation: &Organisation,
        key: &CompactString,
        parts: &[&[u8]],
    ) -> Result<Decision, Refusal> {
        let key = Key {
            organisation: organisation.clone(),
            key: key.clone(),
        };
        let attempt = Attempt {
            key: key.clone(),
            id: Uuid::new_v4(),
        };
        let intent = Intent {
            key,
            fingerprint: fingerprint(parts),
            owner: self.owner,
            attempt: attempt.id,
            deadline: SystemTime::now() + CALL_TIMEOUT + OUTCOME_DEADLINE_MARGIN,
        };
        match self
            .control
            .propose(Command::Begin(intent), BEGIN_TIMEOUT)
            .await
        {
            Ok(Reply::Begun(begin)) => decide(begin, attempt),
            Ok(reply) => {
                warn!("unexpected reply to the intent of a keyed call: {reply:?}");
                Err(Refusal::new(Code::NoQuorum, "the intent was not recorded"))
            }
            Err(error) => {
                self.release(&error, attempt);
                Err(Refusal::new(
                    Code::NoQuorum,
                    format_compact!("the intent could not be committed: {error}"),
                ))
            }
        }
    }

    /// Commits the outcome of a call. If that fails, it is only logged: later resends get "outcome
    /// unknown", which is then correct.
    pub async fn finish(&self, attempt: Attempt, outcome: Outcome) {
        if let Err(error) = self.record_outcome(&attempt, outcome).await {
            warn!("the outcome of a keyed call could not be committed: {error}");
        }
    }

    async fn record_outcome(&self, attempt: &Attempt, outcome: Outcome) -> Result<Reply, Error> {
        let completion = Completion {
            key: attempt.key.clone(),
            attempt: attempt.id,
            outcome,
        };
        self.control
            .propose(Command::Finish(completion), FINISH_TIMEOUT)
            .await
    }

    /// Releases the key of an intent that may have been committed although no reply arrived. The
    /// call was not sent, so a later call with the key may run. The intent may still be committed
    /// once a quorum is back, so this is retried until the record is found or its deadline has
    /// passed.
    fn release(&self, error: &Error, attempt: Attempt) {
        if error.is_not_committed() {
            return;
        }
        let ledger = self.clone();
        tokio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < CALL_TIMEOUT + OUTCOME_DEADLINE_MARGIN {
                let reply = ledger.record_outcome(&attempt, Outcome::NotRun).await;
                if let Ok(Reply::Finished(Finish::Recorded)) = reply {
                    return;
                }
                sleep(RELEASE_RETRY_INTERVAL).await;
            }
        });
    }
}

/// Turns the ledger's reply into a decision, or refuses a call that must not run.
fn decide(begin: Begin, attempt: Attempt) -> Result<Decision, Refusal> {
    match begin {
        Begin::New => Ok(Decision::Run(attempt)),
        Begin::Done(answer) => Ok(Decision::Replay(answer)),
        Begin::InProgress(_) => Err(Refusal::new(
            Code::KeyInProgress,
            "a call with this key is running",
        )
        .retry_after(Duration::from_secs(1))),
        Begin::Conflict => Err(Refusal::new(
            Code::KeyConflict,
            "another call was made with this key",
        )),
        Begin::Unknown => Err(Refusal::new(
            Code::OutcomeUnknown,
            "a call with this key was begun and nobody knows whether it ran",
        )),
        Begin::Expired => Err(Refusal::new(
            Code::KeyExpired,
            "the key is too old to tell whether its call ran",
        )),
        Begin::QuotaExceeded => Err(Refusal::new(
            Code::KeyQuota,
            "the organisation keeps too many keys; use UUIDv7 keys, which expire",
        )),
    }
}

/// SHA-256 over length-prefixed parts. Without the lengths, bytes could move from one part to the
/// next without changing the digest.
fn fingerprint(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
