//! Idempotency records: which call with a key was begun, and how it ended.
//!
//! The intent of a call is recorded before its first byte goes to a target, so a crash in between
//! leaves an open record and never a second run (guarantee G4, "Key expiry" in `docs/design.md`).
//! Records are found by a 16-byte digest of organisation and key, so two organisations that use
//! the same key never meet, and a tombstone needs no more than that digest.

use {
    crate::id::{Host, Incarnation, Organisation},
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

/// How long a record lives: from a key's own time if it carries one, else from the begin.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(24 * 60 * 60);

/// A key whose time is further ahead than this is treated as one that carries no time. Otherwise a
/// caller could keep a record for as long as it likes.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(5 * 60);

/// The longest body of an answer that is stored for a resend.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Bytes of the digest under which a record or tombstone is found.
pub const DIGEST_BYTES: usize = 16;

type Digest = [u8; DIGEST_BYTES];

/// What one organisation may keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Records younger than [`RECORD_LIFETIME`].
    pub records: usize,
    /// Keys without a time, as live records and tombstones together: each such record becomes a
    /// tombstone, so both are counted when a key is new.
    #[serde(rename = "timeless")]
    pub untimed: usize,
    /// Bytes of stored answers. Beyond it, an answer is recorded without its body.
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

/// The process that runs a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The host.
    pub host: Host,
    /// The host's process.
    pub incarnation: Incarnation,
}

/// A call's identity: the organisation and its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The organisation that sent the call.
    pub organisation: Organisation,
    /// The idempotency key as the caller sent it.
    pub key: CompactString,
}

/// The intent to run a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// The call's identity.
    pub key: Key,
    /// SHA-256 of method, path and body, by which another call under the same key is recognised.
    pub body: [u8; 32],
    /// The process that will run the call.
    pub owner: Owner,
    /// The attempt, which [`Completion`] names again.
    pub attempt: Uuid,
    /// The time after which the call counts as "outcome unknown".
    pub deadline: SystemTime,
}

/// The end of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    /// The call's identity.
    pub key: Key,
    /// The attempt that ended.
    pub attempt: Uuid,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Done(Answer),
    /// The target may or may not have run the call.
    Unknown,
    /// The target certainly did not run the call. The key becomes free again.
    NotRun,
}

/// A target's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body's content type.
    pub content_type: CompactString,
    /// The body, or `None` if it was longer than [`MAX_ANSWER_BYTES`] or beyond the quota.
    pub body: Option<Vec<u8>>,
}

/// The verdict on an intent. Only [`Begin::New`] permits the call to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Begin {
    /// The call was not seen before; the intent is recorded.
    New,
    /// The call is running.
    InProgress(Owner),
    /// The call ended with this answer.
    Done(Answer),
    /// Another call was begun under the same key.
    Conflict,
    /// The call was begun, and nobody knows how it ended.
    Unknown,
    /// The key is older than its lifetime, so that whether the call ran is no longer known.
    Expired,
    /// The organisation keeps too many records. Nothing is recorded.
    QuotaExceeded,
}

/// The verdict on a conclusion.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The outcome is recorded.
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
    body: Digest,
    attempt: Uuid,
    expires_ms: u64,
    /// Whether the key carries its own time. Such a record leaves no tombstone.
    timed: bool,
    status: Status,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Book {
    records: BTreeMap<Digest, Record>,
    expiries: BTreeSet<(u64, Digest)>,
    tombstones: BTreeSet<Digest>,
    /// Live records whose key carries no time.
    #[serde(rename = "timeless")]
    untimed: usize,
    answer_bytes: usize,
}

/// Sizes, for metrics and capacity planning.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Live records.
    pub records: usize,
    /// Tombstones.
    pub tombstones: usize,
    /// Bytes of stored answers.
    pub answer_bytes: usize,
}

/// All records of one group of replicas.
///
/// Its clock is the highest time any command carried, so all replicas decide alike, and a time
/// that went backwards revives nothing. A copy shares the records with its original until one of
/// them changes, so that a snapshot can be encoded while commands are applied.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    quota: Quota,
    clock_ms: u64,
    /// No record expires before this time.
    next_ms: u64,
    books: BTreeMap<Organisation, Arc<Book>>,
}

impl Ledger {
    /// Bytes that a live record takes beside its answer, without the allocator's overhead.
    pub const RECORD_BYTES: usize =
        size_of::<Digest>() + size_of::<Record>() + size_of::<(u64, Digest)>();

    /// An empty ledger.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            ..Self::default()
        }
    }

    /// Records an intent, or says why the call must not run.
    ///
    /// `gone` tells whether an owner is known to have ended.
    pub fn begin<Gone>(&mut self, intent: &Intent, now: SystemTime, gone: Gone) -> Begin
    where
        Gone: Fn(Owner) -> bool,
    {
        self.expire(now);
        let digest = digest(&intent.key);
        let body = shorten(&intent.body);
        let clock_ms = self.clock_ms;
        let quota = self.quota;
        let book = self.books.get(&intent.key.organisation);
        if let Some(record) = book.and_then(|book| book.records.get(&digest)) {
            return record.verdict(body, clock_ms, gone);
        }
        if book.is_some_and(|book| book.tombstones.contains(&digest)) {
            return Begin::Expired;
        }
        let time_ms = time_of(&intent.key.key)
            .filter(|&time| time <= clock_ms.saturating_add(whole_ms(MAX_KEY_SKEW)));
        let expires_ms = time_ms
            .unwrap_or(clock_ms)
            .saturating_add(whole_ms(RECORD_LIFETIME));
        if expires_ms <= clock_ms {
            return Begin::Expired;
        }
        let timed = time_ms.is_some();
        if book.is_some_and(|book| book.is_full(quota, timed)) {
            return Begin::QuotaExceeded;
        }
        self.next_ms = self.next_ms.min(expires_ms);
        let organisation = intent.key.organisation.clone();
        let book = Arc::make_mut(self.books.entry(organisation).or_default());
        let status = Status::Started {
            owner: intent.owner,
            deadline_ms: millis(intent.deadline),
        };
        let record = Record {
            body,
            attempt: intent.attempt,
            expires_ms,
            timed,
            status,
        };
        book.insert(digest, record);
        Begin::New
    }

    /// Records how a call ended.
    ///
    /// A late conclusion of the same attempt is accepted after its deadline too, since an answer
    /// tells a resend more than "outcome unknown".
    pub fn finish(&mut self, conclusion: Completion, now: SystemTime) -> Finish {
        self.expire(now);
        let digest = digest(&conclusion.key);
        let limit = self.quota.answer_bytes;
        let Some(book) = self.books.get_mut(&conclusion.key.organisation) else {
            return Finish::Absent;
        };
        match book.records.get(&digest) {
            Some(record) if record.attempt == conclusion.attempt => {}
            _ => return Finish::Absent,
        }
        Arc::make_mut(book).conclude(digest, conclusion.outcome, limit);
        Finish::Recorded
    }

    /// Moves the clock to `now` unless it is already later, and expires records.
    pub fn expire(&mut self, now: SystemTime) {
        self.clock_ms = self.clock_ms.max(millis(now));
        if self.clock_ms < self.next_ms {
            return;
        }
        self.next_ms = u64::MAX;
        for book in self.books.values_mut() {
            if book.next_ms() <= self.clock_ms {
                Arc::make_mut(book).expire(self.clock_ms);
            }
            self.next_ms = self.next_ms.min(book.next_ms());
        }
    }

    /// The highest time seen.
    pub fn clock(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(self.clock_ms)
    }

    /// What an organisation keeps.
    pub fn usage(&self, organisation: &str) -> Usage {
        self.books
            .get(organisation)
            .map(|book| Usage {
                records: book.records.len(),
                tombstones: book.tombstones.len(),
                answer_bytes: book.answer_bytes,
            })
            .unwrap_or_default()
    }
}

impl Book {
    fn is_full(&self, quota: Quota, timed: bool) -> bool {
        let untimed = self.untimed + self.tombstones.len();
        self.records.len() >= quota.records || (!timed && untimed >= quota.untimed)
    }

    fn insert(&mut self, digest: Digest, record: Record) {
        self.untimed += usize::from(!record.timed);
        self.expiries.insert((record.expires_ms, digest));
        self.records.insert(digest, record);
    }

    fn conclude(&mut self, digest: Digest, outcome: Outcome, limit: usize) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        if matches!(record.status, Status::Done(_)) {
            return;
        }
        match outcome {
            Outcome::Done(answer) => {
                let answer = answer.bounded(limit.saturating_sub(self.answer_bytes));
                self.answer_bytes += answer.len();
                record.status = Status::Done(Box::new(answer));
            }
            Outcome::Unknown => record.status = Status::Unknown,
            Outcome::NotRun => {
                self.remove(digest);
            }
        }
    }

    fn next_ms(&self) -> u64 {
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
    fn verdict<Gone>(&self, body: Digest, clock_ms: u64, gone: Gone) -> Begin
    where
        Gone: Fn(Owner) -> bool,
    {
        if self.body != body {
            return Begin::Conflict;
        }
        match &self.status {
            Status::Done(answer) => Begin::Done(Answer::clone(answer)),
            Status::Unknown => Begin::Unknown,
            Status::Started { owner, deadline_ms } if clock_ms >= *deadline_ms || gone(*owner) => {
                Begin::Unknown
            }
            Status::Started { owner, .. } => Begin::InProgress(*owner),
        }
    }
}

impl Answer {
    /// Bytes that the answer takes.
    pub fn len(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Whether there is neither a content type nor a body.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn bounded(mut self, left: usize) -> Self {
        self.content_type
            .truncate(floor_boundary(&self.content_type, 128));
        if self.len() > MAX_ANSWER_BYTES.min(left) {
            self.body = None;
        }
        self
    }
}

/// The shard that keeps a call's record, so that commands can carry it before there are several.
pub fn shard(key: &Key, shards: u16) -> u16 {
    let digest = digest(key);
    u16::from_be_bytes([digest[0], digest[1]]) % shards.max(1)
}

/// The organisation's length comes first, so that no two pairs of texts hash alike.
fn digest(key: &Key) -> Digest {
    let hash = Sha256::new()
        .chain_update((key.organisation.len() as u64).to_be_bytes())
        .chain_update(key.organisation.as_bytes())
        .chain_update(key.key.as_bytes())
        .finalize();
    shorten(&hash.into())
}

fn shorten(hash: &[u8; 32]) -> Digest {
    let mut digest = Digest::default();
    digest.copy_from_slice(&hash[..DIGEST_BYTES]);
    digest
}

/// The time that a UUIDv7 key carries, in milliseconds since 1970.
fn time_of(key: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(key).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos / 1_000_000))
}

fn floor_boundary(text: &str, limit: usize) -> usize {
    (0..=limit.min(text.len()))
        .rev()
        .find(|&position| text.is_char_boundary(position))
        .unwrap_or(0)
}

fn millis(time: SystemTime) -> u64 {
    whole_ms(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
