//! Measures how fast engines decode, from the events that pass through a host.

use {
    sardinerelay::id::{Incarnation, Target},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Smallest number of events in a measurement. Engines send several at once, which would look fast
/// in a shorter one.
const MIN_EVENTS: u64 = 6;
/// Time after which a running stream's pace is reported, so that a change of speed is known before
/// long generations end.
const MAX_WINDOW: Duration = Duration::from_secs(2);
/// Largest number of measurements that are kept until they are sent. Later ones are dropped.
const MAX_BATCH: usize = 256;
/// Interval at which measurements are sent. They change a placement little, so they may wait for each
/// other; a message of its own for each would cost the allocating host more.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// How fast an engine decoded one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The engine.
    pub target: Target,
    /// The incarnation that was measured.
    pub incarnation: Incarnation,
    /// Tokens of output per second of this generation.
    pub tokens_per_second: u32,
}

/// Measures one stream from one engine.
#[derive(Debug, Default)]
pub struct Meter {
    /// When the first and the last events of the measurement arrived.
    window: Option<(Instant, Instant)>,
    /// Events that arrived after the first ones.
    events: u64,
}

impl Meter {
    /// Records that events have arrived.
    pub fn record(&mut self, events: u64, now: Instant) {
        match &mut self.window {
            Some((_, last)) => {
                *last = now;
                self.events += events;
            }
            None => self.window = Some((now, now)),
        }
    }

    /// Starts anew, because the caller has held up the stream.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Whether the measurement is long enough to be reported while the stream goes on.
    pub fn is_due(&self) -> bool {
        self.window
            .is_some_and(|(first, last)| last.saturating_duration_since(first) >= MAX_WINDOW)
    }

    /// Ends the measurement and returns its events per second, or none if it is too short.
    pub fn take(&mut self) -> Option<f64> {
        let Self { window, events } = std::mem::take(self);
        let (first, last) = window?;
        // The next measurement begins with the last event of this one.
        self.window = Some((last, last));
        let took = last.saturating_duration_since(first).as_secs_f64();
        (events >= MIN_EVENTS && took > 0.0).then(|| events as f64 / took)
    }
}

/// Measurements that wait to be sent.
#[derive(Debug, Default)]
pub struct Batch {
    paces: Vec<Pace>,
    sent: Option<Instant>,
}

impl Batch {
    /// Adds a measurement, unless the batch is full.
    pub fn push(&mut self, pace: Pace) {
        if self.paces.len() < MAX_BATCH {
            self.paces.push(pace);
        }
    }

    /// Returns the measurements if they are due, else none.
    pub fn take_due(&mut self, now: Instant) -> Vec<Pace> {
        let is_due = |sent: Instant| now.saturating_duration_since(sent) >= SEND_INTERVAL;
        if self.paces.is_empty() || !self.sent.is_none_or(is_due) {
            return Vec::new();
        }
        self.sent = Some(now);
        std::mem::take(&mut self.paces)
    }
}
