//! Which build began a stream that its caller may take up again at another host.
//!
//! The host that passes on a stream's first event tells it to the voters that it follows, so that it is
//! known when entry hosts end. A record in memory lasts only as long as its process, so it is told again: by
//! the host itself ([`announcer`]) and by the other voters ([`crate::group::origins`]) to a voter that starts
//! anew. Voters keep it on disk too ([`file`]). See `docs/design/builds.md`.

pub mod announcer;
pub mod file;

use {
    compact_str::CompactString,
    sardinerelay::id::{Build, Service},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        ops::Bound,
        time::{Duration, Instant},
    },
};

/// ID of the attempt that brought a stream's first event to its caller.
pub type StreamId = CompactString;

/// Largest number of streams that are remembered.
const MAX_RECORDS: usize = 1 << 20;
/// Interval at which records that have expired are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Tells that a build has begun a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Began {
    pub stream: StreamId,
    pub build: Build,
    /// Time for which the stream's caller may still take it up.
    pub lifetime: Duration,
}

/// Asks which build began a stream. The result is a [`Build`], or `null` if it isn't known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The stream, empty if its caller doesn't name it.
    pub stream: StreamId,
    pub service: Service,
    /// Time in which the stream must have begun, in milliseconds.
    pub window_ms: u64,
}

/// Number that a record gets when it is created empty, so that others notice that it was lost.
pub type Incarnation = u64;

/// The streams that began recently.
///
/// What it holds is true for as long as it is kept. That it doesn't hold a stream says something only once
/// [`Self::is_complete`]: until then those who know of earlier streams may not have told them yet.
#[derive(Debug)]
pub struct Origins {
    incarnation: Incarnation,
    /// The build that began each stream, and when the record expires.
    records: BTreeMap<StreamId, (Build, Instant)>,
    is_complete: bool,
    /// Streams that are to be written to disk; none if this host doesn't keep them there.
    unsaved: Option<Vec<Began>>,
    last_sweep: Option<Instant>,
}

impl Default for Origins {
    fn default() -> Self {
        Self {
            incarnation: rand::random(),
            records: BTreeMap::new(),
            is_complete: false,
            unsaved: None,
            last_sweep: None,
        }
    }
}

impl Origins {
    /// Returns the number that tells this record from the one of an earlier process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether all streams of before this process were told, as far as anybody knows them.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that all who may know of earlier streams have told them, or had the time for it.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns up to `max` streams that follow `after` in the order of their IDs, from the first one on if that
    /// is none, each with the time for which it may still be taken up.
    pub fn page(&self, after: Option<&StreamId>, max: usize, now: Instant) -> Vec<Began> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let following = self.records.range::<StreamId, _>((from, Bound::Unbounded));
        let lasting = following.filter(|(_, (_, expires))| *expires > now);
        let page = lasting.take(max).map(|(stream, (build, expires))| Began {
            stream: stream.clone(),
            build: build.clone(),
            lifetime: expires.saturating_duration_since(now),
        });
        page.collect()
    }

    /// Remembers a stream. None is remembered beyond [`MAX_RECORDS`]; such a stream can be taken up
    /// only while all targets have one build.
    pub fn record(&mut self, began: &Began, now: Instant) {
        let age = |sweep: Instant| now.saturating_duration_since(sweep);
        if self
            .last_sweep
            .is_none_or(|sweep| age(sweep) >= SWEEP_INTERVAL)
        {
            self.last_sweep = Some(now);
            self.records.retain(|_, (_, expires)| *expires > now);
        }
        if self.records.len() < MAX_RECORDS {
            let record = (began.build.clone(), now + began.lifetime);
            let known = self.records.insert(began.stream.clone(), record);
            let is_new = known.is_none_or(|(build, _)| build != began.build);
            if let Some(unsaved) = self.unsaved.as_mut().filter(|_| is_new) {
                unsaved.push(began.clone());
            }
        }
    }

    /// Keeps the streams that are recorded from now on until [`Self::take_unsaved`] returns them.
    pub fn keep_unsaved(&mut self) {
        self.unsaved.get_or_insert_default();
    }

    /// Returns the streams that were recorded since the last call.
    pub fn take_unsaved(&mut self) -> Vec<Began> {
        self.unsaved
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Returns the build that began a stream, none if it isn't remembered.
    pub fn find(&self, stream: &StreamId, now: Instant) -> Option<Build> {
        let (build, expires) = self.records.get(stream)?;
        (*expires > now).then(|| build.clone())
    }

    /// Returns the number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
