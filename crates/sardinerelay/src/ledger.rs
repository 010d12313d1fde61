//! Idempotency records: which calls with an idempotency key were begun, and how they ended.
//!
//! The intent of a call is recorded before its first byte is sent to a target, so that a crash in
//! between leaves an open record and never leads to a second run (guarantee G4, "Key expiry" in
//! `docs/design.md`). Records are found by a 16-byte digest of organisation and key. The same key
//! of two organisations therefore has two records, and a tombstone consists of the digest alone.

use {
    crate::{
        id::{Host, Incarnation, Organisation},
        unix_time::{unix_ms, whole_ms},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    sha2::{Digest as _, Sha256},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem::size_of,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    uuid::Uuid,
};

/// How long a record is kept, counted from the time in the key if it carries one, and otherwise
/// from the start of the call.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A key whose time is further in the future than this is treated as one without a time. Otherwise
/// a caller could have a record kept for any length of time.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(5 * 60);

/// Longest answer that is stored with its body to be replayed, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Length of the digest by which a record or tombstone is found, in bytes.
pub const DIGEST_BYTES: usize = 16;

type Digest = [u8; DIGEST_BYTES];

/// Limits on what is stored for one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Live records, which are those that have not expired.
    pub records: usize,
    /// Keys without a time: live records and tombstones together, because each such record becomes
    /// a tombstone when it expires.
    #[serde(rename = "timeless")]
    pub untimed: usize,
    /// Bytes of stored answers. An answer that would exceed it is recorded without its body.
    pub answer_bytes: usize,
}

impl Default for Quota {
    fn default() -> Self {
        Self {
            records: 50_000,
            untimed: 200_000,
            answer_bytes: 8 * 1024 * 1024,
        }
    }
}

/// The daemon process that runs a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Number of the host that the process runs on.
    pub host: Host,
    /// The run of the host's daemon.
    pub incarnation: Incarnation,
}

/// The identity of a call: the organisation and its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The organisation that sent the call.
    pub organisation: Organisation,
    /// The idempotency key as the caller sent it.
    pub key: CompactString,
}

/// The intent to run a call, which is recorded before the call is sent to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Organisation and idempotency key of the call.
    pub key: Key,
    /// SHA-256 of method, path and body, by which a different call with the same key is detected.
    #[serde(rename = "body")]
    pub fingerprint: [u8; 32],
    /// The process that will run the call.
    pub owner: Owner,
    /// The attempt's identifier, which has to match in the [`Completion`].
    pub attempt: Uuid,
    /// The time after which the outcome counts as unknown if the call has not ended.
    pub deadline: SystemTime,
}

/// Reports how a call that was begun with an [`Intent`] ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The key of the [`Intent`].
    pub key: Key,
    /// The attempt of the [`Intent`]. The completion of any other attempt is not recorded.
    pub attempt: Uuid,
    /// How the call ended.
    pub outcome: Outcome,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Done(Answer),
    /// The target may or may not have run the call.
    Unknown,
    /// The target certainly did not run the call. The key can be used again.
    NotRun,
}

/// A target's answer, stored to answer repeats of the call with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status with which the target answered.
    pub status: u16,
    /// Value of the `content-type` header, cut to 128 bytes when it is stored. Empty if absent.
    pub content_type: CompactString,
    /// The body, or `None` if the answer is longer than [`MAX_ANSWER_BYTES`] or exceeds the quota.
    pub body: Option<Vec<u8>>,
}

/// Result of [`Ledger::begin`]. The call may run only after [`Begin::New`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// The key is new, and the intent was recorded.
    New,
    /// The call was begun by this process and has not ended yet.
    InProgress(Owner),
    /// The call ended with this answer.
    Done(Answer),
    /// A different call was begun with the same key.
    Conflict,
    /// The call was begun, and its outcome is unknown.
    Unknown,
    /// The key has expired, so it is no longer known whether the call ran.
    Expired,
    /// The organisation's quota is used up. Nothing was recorded.
    QuotaExceeded,
}

/// Result of [`Ledger::finish`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The outcome was recorded. A record that holds an answer already keeps that answer.
    Recorded,
    /// The record has expired or belongs to another attempt.
    Absent,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Status {
    Started { owner: Owner, deadline_ms: u64 },
    Done(Box<Answer>),
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// [`Intent::fingerprint`], truncated.
    #[serde(rename = "body")]
    fingerprint: Digest,
    attempt: Uuid,
    expires_ms: u64,
    /// Whether the key carries its own time. Such a record leaves no tombstone.
    timed: bool,
    status: Status,
}

/// Live records and tombstones of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct OrganisationState {
    records: BTreeMap<Digest, Record>,
    /// Live records by the time at which they expire.
    expiries: BTreeSet<(u64, Digest)>,
    /// Expired keys that carry no time. Such a key could be resent at any time.
    tombstones: BTreeSet<Digest>,
    /// Number of live records whose key carries no time.
    #[serde(rename = "timeless")]
    untimed: usize,
    answer_bytes: usize,
}

/// What is stored for one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of live records.
    pub records: usize,
    /// Number of expired keys that are kept because they carry no time.
    pub tombstones: usize,
    /// Bytes of the answers in live records, content types included.
    pub answer_bytes: usize,
}

/// The idempotency records of all organisations, replicated in one group of voters.
///
/// Its clock is the highest time that any command carried. All replicas therefore decide alike,
/// and a clock that goes backwards on a host revives no expired key. A clone shares the records
/// with its original until one of them changes, so that a snapshot can be encoded while commands
/// are applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    quota: Quota,
    clock_ms: u64,
    /// No record expires before this time.
    #[serde(rename = "next_ms")]
    next_expiry_ms: u64,
    #[serde(rename = "books")]
    by_organisation: BTreeMap<Organisation, Arc<OrganisationState>>,
}

impl Ledger {
    /// Memory of a live record without its answer and the allocator's overhead, in bytes.
    pub const RECORD_BYTES: usize =
        size_of::<Digest>() + size_of::<Record>() + size_of::<(u64, Digest)>();

    /// Creates an empty ledger.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            ..Self::default()
        }
    }

    /// Records an intent, or returns why the call must not run.
    ///
    /// `has_ended` returns whether an owner is known to have ended. The outcome of its open calls
    /// is then unknown.
    pub fn begin<HasEnded>(
        &mut self,
        intent: &Intent,
        now: SystemTime,
        has_ended: HasEnded,
    ) -> Begin
    where
        HasEnded: Fn(Owner) -> bool,
    {
        self.expire(now);
        let digest = digest(&intent.key);
        let fingerprint = truncate_hash(&intent.fingerprint);
        let clock_ms = self.clock_ms;
        let quota = self.quota;
        let state = self.by_organisation.get(&intent.key.organisation);
        if let Some(record) = state.and_then(|state| state.records.get(&digest)) {
            return record.begin_result(fingerprint, clock_ms, has_ended);
        }
        if state.is_some_and(|state| state.tombstones.contains(&digest)) {
            return Begin::Expired;
        }
        let time_ms = key_time_ms(&intent.key.key)
            .filter(|&time| time <= clock_ms.saturating_add(whole_ms(MAX_KEY_SKEW)));
        let expires_ms = time_ms
            .unwrap_or(clock_ms)
            .saturating_add(whole_ms(RECORD_LIFETIME));
        if expires_ms <= clock_ms {
            return Begin::Expired;
        }
        let timed = time_ms.is_some();
        if state.is_some_and(|state| state.is_full(quota, timed)) {
            return Begin::QuotaExceeded;
        }
        self.next_expiry_ms = self.next_expiry_ms.min(expires_ms);
        let organisation = intent.key.organisation.clone();
        let state = Arc::make_mut(self.by_organisation.entry(organisation).or_default());
        let status = Status::Started {
            owner: intent.owner,
            deadline_ms: unix_ms(intent.deadline),
        };
        let record = Record {
            fingerprint,
            attempt: intent.attempt,
            expires_ms,
            timed,
            status,
        };
        state.insert(digest, record);
        Begin::New
    }

    /// Records how a call ended.
    ///
    /// A completion of the same attempt is accepted even after its deadline, because an answer is
    /// more useful to a resend than an unknown outcome.
    pub fn finish(&mut self, completion: Completion, now: SystemTime) -> Finish {
        self.expire(now);
        let digest = digest(&completion.key);
        let answer_quota = self.quota.answer_bytes;
        let Some(state) = self.by_organisation.get_mut(&completion.key.organisation) else {
            return Finish::Absent;
        };
        match state.records.get(&digest) {
            Some(record) if record.attempt == completion.attempt => {}
            _ => return Finish::Absent,
        }
        Arc::make_mut(state).finish(digest, completion.outcome, answer_quota);
        Finish::Recorded
    }

    /// Advances the clock to `now`, unless it is already later, and expires records.
    pub fn expire(&mut self, now: SystemTime) {
        self.clock_ms = self.clock_ms.max(unix_ms(now));
        if self.clock_ms < self.next_expiry_ms {
            return;
        }
        self.next_expiry_ms = u64::MAX;
        for state in self.by_organisation.values_mut() {
            if state.next_expiry_ms() <= self.clock_ms {
                Arc::make_mut(state).expire(self.clock_ms);
            }
            self.next_expiry_ms = self.next_expiry_ms.min(state.next_expiry_ms());
        }
    }

    /// Returns the clock: the highest time that any command carried.
    pub fn clock(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.clock_ms)
    }

    /// Returns what is stored for an organisation.
    pub fn usage(&self, organisation: &str) -> Usage {
        self.by_organisation
            .get(organisation)
            .map(|state| Usage {
                records: state.records.len(),
                tombstones: state.tombstones.len(),
                answer_bytes: state.answer_bytes,
            })
            .unwrap_or_default()
    }
}

impl OrganisationState {
    fn is_full(&self, quota: Quota, timed: bool) -> bool {
        let untimed = self.untimed + self.tombstones.len();
        self.records.len() >= quota.records || (!timed && untimed >= quota.untimed)
    }

    fn insert(&mut self, digest: Digest, record: Record) {
        self.untimed += usize::from(!record.timed);
        self.expiries.insert((record.expires_ms, digest));
        self.records.insert(digest, record);
    }

    fn finish(&mut self, digest: Digest, outcome: Outcome, answer_quota: usize) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        if matches!(record.status, Status::Done(_)) {
            return;
        }
        match outcome {
            Outcome::Done(answer) => {
                let answer = answer.fit_within(answer_quota.saturating_sub(self.answer_bytes));
                self.answer_bytes += answer.len();
                record.status = Status::Done(Box::new(answer));
            }
            Outcome::Unknown => record.status = Status::Unknown,
            Outcome::NotRun => {
                self.remove(digest);
            }
        }
    }

    fn next_expiry_ms(&self) -> u64 {
        self.expiries.first().map_or(u64::MAX, |expiry| expiry.0)
    }

    fn expire(&mut self, clock_ms: u64) {
        while let Some(&(expires_ms, digest)) = self.expiries.first() {
            if expires_ms > clock_ms {
                return;
            }
            let removed = self.remove(digest);
            if removed.is_some_and(|record| !record.timed) {
                self.tombstones.insert(digest);
            }
        }
    }

    fn remove(&mut self, digest: Digest) -> Option<Record> {
        let record = self.records.remove(&digest)?;
        self.expiries.remove(&(record.expires_ms, digest));
        self.untimed -= usize::from(!record.timed);
        if let Status::Done(answer) = &record.status {
            self.answer_bytes -= answer.len();
        }
        Some(record)
    }
}

impl Record {
    fn begin_result<HasEnded>(
        &self,
        fingerprint: Digest,
        clock_ms: u64,
        has_ended: HasEnded,
    ) -> Begin
    where
        HasEnded: Fn(Owner) -> bool,
    {
        if self.fingerprint != fingerprint {
            return Begin::Conflict;
        }
        match &self.status {
            Status::Done(answer) => Begin::Done(Answer::clone(answer)),
            Status::Unknown => Begin::Unknown,
            Status::Started { owner, deadline_ms }
                if clock_ms >= *deadline_ms || has_ended(*owner) =>
            {
                Begin::Unknown
            }
            Status::Started { owner, .. } => Begin::InProgress(*owner),
        }
    }
}

impl Answer {
    /// Returns the size of the answer in bytes.
    pub fn len(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Whether the answer has neither a content type nor a body.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fit_within(mut self, available_bytes: usize) -> Self {
        self.content_type
            .truncate(floor_char_boundary(&self.content_type, 128));
        if self.len() > MAX_ANSWER_BYTES.min(available_bytes) {
            self.body = None;
        }
        self
    }
}

/// Returns the shard, out of `shards`, that a call's record belongs to. Commands carry a shard so
/// that there can be several.
pub fn shard(key: &Key, shards: u16) -> u16 {
    let digest = digest(key);
    u16::from_be_bytes([digest[0], digest[1]]) % shards.max(1)
}

/// Returns the digest of a call's identity. The length of the organisation's name comes first, so
/// that no two pairs of name and key give the same input.
fn digest(key: &Key) -> Digest {
    let hash = Sha256::new()
        .chain_update((key.organisation.len() as u64).to_be_bytes())
        .chain_update(key.organisation.as_bytes())
        .chain_update(key.key.as_bytes())
        .finalize();
    truncate_hash(&hash.into())
}

fn truncate_hash(hash: &[u8; 32]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    digest
}

/// Returns the time in a UUIDv7 key, in milliseconds since 1970.
fn key_time_ms(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}

fn floor_char_boundary(text: &str, limit: usize) -> usize {
    (0..=limit.min(text.len()))
        .rev()
        .find(|&position| text.is_char_boundary(position))
        .unwrap_or(0)
}
