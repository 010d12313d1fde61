//! The ledger of keyed calls, as the service path uses it.

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

/// Time to commit an intent. A call is refused as not run when it takes longer.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Time to commit a conclusion. The caller waits for it, so that a resend finds the answer.
const FINISH_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before a key is released again.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// Time beyond the call's own bound after which nobody can know its outcome any more.
const DEADLINE_MARGIN: Duration = Duration::from_secs(30);

/// The way to the replicated ledger.
#[derive(Debug, Clone)]
pub struct LedgerClient {
    control: Handle,
    owner: Owner,
}

/// An attempt that may run.
#[derive(Debug, Clone)]
pub struct Attempt {
    key: Key,
    id: Uuid,
}

/// What to do with a keyed call.
#[derive(Debug)]
pub enum Decision {
    /// Run it; its intent is committed.
    Run(Attempt),
    /// Give the stored answer.
    Replay(Answer),
}

impl LedgerClient {
    /// Proposes as this process.
    pub fn new(control: Handle, owner: Owner) -> Self {
        Self { control, owner }
    }

    /// Commits the intent to run a call.
    ///
    /// # Errors
    ///
    /// Refuses a call that must not run, and one whose intent could not be committed: this host
    /// then never sends it, so it is not run.
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
            body: fingerprint(parts),
            owner: self.owner,
            attempt: attempt.id,
            deadline: SystemTime::now() + CALL_TIMEOUT + DEADLINE_MARGIN,
        };
        match self
            .control
            .propose(Command::Begin(intent), BEGIN_TIMEOUT)
            .await
        {
            Ok(Reply::Begun(begin)) => verdict(begin, attempt),
            Ok(reply) => {
                warn!("unexpected reply to an intent: {reply:?}");
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

    /// Commits the conclusion. A conclusion that can't be committed leaves the call as "outcome
    /// unknown" for later resends, which is true for them.
    pub async fn finish(&self, attempt: Attempt, outcome: Outcome) {
        if let Err(error) = self.conclude(&attempt, outcome).await {
            warn!("the conclusion of a keyed call could not be committed: {error}");
        }
    }

    async fn conclude(&self, attempt: &Attempt, outcome: Outcome) -> Result<Reply, Error> {
        let conclusion = Completion {
            key: attempt.key.clone(),
            attempt: attempt.id,
            outcome,
        };
        self.control
            .propose(Command::Finish(conclusion), FINISH_TIMEOUT)
            .await
    }

    /// Frees the key of an intent that may have been committed although no reply came. The call
    /// was not sent, so the key may run later. The intent may still be committed when the quorum
    /// is back, so this goes on until the record is found or its deadline has passed.
    fn release(&self, error: &Error, attempt: Attempt) {
        if error.is_not_committed() {
            return;
        }
        let ledger = self.clone();
        tokio::spawn(async move {
            let since = Instant::now();
            while since.elapsed() < CALL_TIMEOUT + DEADLINE_MARGIN {
                let reply = ledger.conclude(&attempt, Outcome::NotRun).await;
                if let Ok(Reply::Finished(Finish::Recorded)) = reply {
                    return;
                }
                sleep(RELEASE_PAUSE).await;
            }
        });
    }
}

fn verdict(begin: Begin, attempt: Attempt) -> Result<Decision, Refusal> {
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

/// SHA-256 over length-prefixed parts, so that no two calls share a digest by shifting bytes.
fn fingerprint(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
