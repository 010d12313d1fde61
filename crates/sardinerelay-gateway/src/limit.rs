//! Rate limits that targets state for all hosts together.
//!
//! A target in need states in its responses how many requests per second it takes. The limit holds
//! until a response states another one or none. [`permit`] says how hosts share it; the ways that
//! were weighed are in `docs/design/target-limits.md`.

pub mod permit;

use {
    sardinerelay::bound,
    serde::{Deserialize, Serialize},
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// Thousandths in one, the resolution of a [`Rate`].
const THOUSAND: f64 = 1000.0;
/// Rate that is used although a target states a lower one. Only a response shows that the limit has
/// ended.
const MIN_RATE: Rate = Rate(200);
/// Period whose requests may be sent at once after a pause.
const BURST: Duration = Duration::from_millis(500);
/// Time in which the rate doubles after a target has stopped stating a limit. The requests of all
/// hosts would otherwise return to it at the same moment.
const RAMP_DOUBLING_TIME: Duration = Duration::from_millis(500);
/// Time after the end of a limit from which the rate is no longer limited.
const RAMP_TIME: Duration = Duration::from_millis(1500);
/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Time for which the end of a limit is published, and for which hosts that still know the limit
/// don't bring it back.
const LIFTED_RETENTION: Duration = Duration::from_secs(10);

/// A rate in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Returns the rate of this many requests per second, or none if that is negative or not
    /// finite. A rate that is too large becomes the largest one.
    pub fn per_second(requests: f64) -> Option<Self> {
        // The conversion saturates.
        (requests.is_finite() && requests >= 0.0).then_some(Self((requests * THOUSAND) as u64))
    }

    /// Returns the number of requests per second.
    pub fn requests_per_second(self) -> f64 {
        self.0 as f64 / THOUSAND
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.requests_per_second())
    }
}

/// A limit or its absence, for the log.
#[derive(Debug, Clone, Copy)]
pub struct Described(pub Option<Rate>);

impl fmt::Display for Described {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(rate) => write!(formatter, "{rate}"),
            None => formatter.write_str("none"),
        }
    }
}

/// What a response states about its target's limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Statement {
    /// The target has no limit.
    #[default]
    Unlimited,
    /// The target takes this rate from all hosts together.
    Limited(Rate),
    /// The statement can't be parsed, so nothing is known from it.
    Invalid,
}

/// A target has reached its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reached {
    /// Time after which a caller should retry. It grows with the number of callers that were told
    /// to retry before.
    pub retry_after: Duration,
}

/// The limit of one incarnation of a target, as far as this host knows, and a token bucket for it.
///
/// The bucket is empty when a limit becomes known, because the requests before count as well. On
/// the allocating host it holds the whole limit, on others a share for the time in which they can't
/// reach that host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    rate: Option<Rate>,
    /// When a response last stated the present limit, or when another host told of it.
    stated: Option<Instant>,
    /// The last limit that has ended, and when.
    lifted: Option<(Rate, Instant)>,
    /// Requests that may be sent now. It is negative while requests are sent ahead of time.
    tokens: f64,
    /// When `tokens` was last brought up to date.
    refilled: Option<Instant>,
    /// When the last refused caller was asked to return.
    last_return: Option<Instant>,
    /// Until when this host doesn't ask for permits, because it was refused one.
    denied_until: Option<Instant>,
}

impl Limit {
    /// Returns the limit, none if the target has none.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Records what the response to a request states that was sent at `sent`. Returns whether the
    /// limit has changed.
    ///
    /// A lower limit applies at once. A response that was on its way while another one stated the
    /// present limit doesn't raise it.
    pub fn record(&mut self, statement: Statement, sent: Instant, now: Instant) -> bool {
        let rate = match statement {
            Statement::Limited(rate) => Some(rate),
            Statement::Unlimited => None,
            Statement::Invalid => return false,
        };
        if rate == self.rate {
            self.stated = rate.map(|_| now).or(self.stated);
            return false;
        }
        if !self.is_lowered_by(rate) && self.stated.is_some_and(|stated| sent <= stated) {
            return false;
        }
        self.set(rate, now);
        true
    }

    /// Applies a change that another host reports, which knew the limit `before`. A change that
    /// raises the limit is ignored if this host knows another one. Returns whether the limit has
    /// changed.
    pub fn apply(&mut self, rate: Option<Rate>, before: Option<Rate>, now: Instant) -> bool {
        let is_current = self.rate == before || self.is_lowered_by(rate);
        if rate == self.rate || !is_current {
            return false;
        }
        self.set(rate, now);
        true
    }

    /// Adopts what the allocating host publishes, which was told of it at `told`, unless a response
    /// to this host has stated something else since. Returns whether the two still differ.
    pub fn adopt(&mut self, published: Option<Rate>, told: Instant, now: Instant) -> bool {
        if published == self.rate {
            return false;
        }
        if self.stated.is_some_and(|stated| stated > told) {
            return true;
        }
        self.set(published, now);
        self.stated = Some(told);
        false
    }

    /// Time since a response stated the present limit, or since another host told of it.
    pub fn age(&self, now: Instant) -> Duration {
        self.stated.map_or(Duration::ZERO, |stated| {
            now.saturating_duration_since(stated)
        })
    }

    /// Adopts the limit that a host knows, if none is known here and none has ended recently. A host
    /// that has just begun to allocate thereby learns of limits.
    pub fn adopt_if_unknown(&mut self, rate: Rate, now: Instant) {
        if self.rate.is_none() && !self.has_ended_recently(now) {
            self.set(Some(rate), now);
        }
    }

    /// Whether a limit has ended within the last `LIFTED_RETENTION`.
    pub fn has_ended_recently(&self, now: Instant) -> bool {
        self.lifted
            .is_some_and(|(_, lifted)| now.saturating_duration_since(lifted) < LIFTED_RETENTION)
    }

    /// Whether requests need a permit: while the target states a limit, and for `RAMP_TIME` after.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.effective_rate(1.0, now).is_some()
    }

    /// Takes a permit for one request from a bucket with this share of the limit. The request must
    /// be sent after the returned time, which is at most `max_wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Reached`] if the limit allows no request before that.
    pub fn take(
        &mut self,
        share: f64,
        max_wait: Duration,
        now: Instant,
    ) -> Result<Duration, Reached> {
        let Some(rate) = self.effective_rate(share, now) else {
            return Ok(Duration::ZERO);
        };
        self.refill(rate, now);
        let wait = bound::estimate((1.0 - self.tokens).max(0.0) / rate);
        if wait <= max_wait {
            self.tokens -= 1.0;
            return Ok(wait);
        }
        let earliest = self.last_return.map_or(now, |last| last.max(now + wait));
        let next = earliest + bound::estimate(1.0 / rate);
        let next = next.min(now + MAX_RETRY_AFTER);
        self.last_return = Some(next);
        Err(Reached {
            retry_after: next.saturating_duration_since(now),
        })
    }

    /// Whether a permit for a request can be taken now.
    pub fn has_permit(&self, share: f64, now: Instant) -> bool {
        let mut current = *self;
        current.effective_rate(share, now).is_none_or(|rate| {
            current.refill(rate, now);
            current.tokens >= 1.0
        })
    }

    /// Counts a request that is sent in any case.
    pub fn charge(&mut self, share: f64, now: Instant) {
        if let Some(rate) = self.effective_rate(share, now) {
            self.refill(rate, now);
            self.tokens -= 1.0;
        }
    }

    /// Empties the bucket, because the allocating host gives the permits.
    pub fn drain(&mut self, now: Instant) {
        self.tokens = self.tokens.min(0.0);
        self.refilled = Some(now);
    }

    /// Records that the allocating host refused a permit, and that it has none for `duration`.
    pub fn record_denied(&mut self, duration: Duration, now: Instant) {
        self.denied_until = Some(now + duration);
    }

    /// Returns for how long this host doesn't ask for permits.
    pub fn denied_for(&self, now: Instant) -> Duration {
        self.denied_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn is_lowered_by(&self, rate: Option<Rate>) -> bool {
        rate.is_some_and(|rate| self.rate.is_none_or(|known| rate < known))
    }

    fn set(&mut self, rate: Option<Rate>, now: Instant) {
        *self = Self {
            rate,
            stated: Some(now),
            lifted: match (self.rate, rate) {
                (Some(ended), None) => Some((ended, now)),
                _ => self.lifted,
            },
            tokens: self.tokens.min(0.0),
            refilled: Some(now),
            ..Self::default()
        };
    }

    /// Returns the number of requests per second of a share of the limit, none without a limit.
    fn effective_rate(&self, share: f64, now: Instant) -> Option<f64> {
        let rate = match (self.rate, self.lifted) {
            (Some(rate), _) => rate.max(MIN_RATE).requests_per_second(),
            (None, Some((rate, lifted))) => {
                let elapsed = now.saturating_duration_since(lifted);
                if elapsed >= RAMP_TIME {
                    return None;
                }
                let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
                rate.max(MIN_RATE).requests_per_second() * doublings.exp2()
            }
            (None, None) => return None,
        };
        Some(rate * share)
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = self.refilled.map_or(Duration::ZERO, |refilled| {
            now.saturating_duration_since(refilled)
        });
        let capacity = 1.0 + rate * BURST.as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        self.refilled = Some(now);
    }
}
