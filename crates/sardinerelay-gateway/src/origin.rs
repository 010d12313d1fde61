//! Which build began a stream that its caller may take up again at another host.
//!
//! The host that passes on a stream's first event tells it to the voters that it follows, so that it is
//! known when entry hosts end. See `docs/design/builds.md`.

use {
    compact_str::CompactString,
    sardinerelay::id::{Build, Service},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
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

/// The streams that began recently.
#[derive(Debug, Default)]
pub struct Origins {
    /// The build that began each stream, and when the record expires.
    records: HashMap<StreamId, (Build, Instant)>,
    last_sweep: Option<Instant>,
}

impl Origins {
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
            self.records.insert(began.stream.clone(), record);
        }
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
