//! A host's share of an organisation's limit, as a token bucket.

use {
    super::Rate,
    std::time::{Duration, Instant},
};

/// Units of one token or request: a rate per minute adds a whole number of units each millisecond.
const UNITS: i128 = 60_000;
/// Milliseconds of the rate that a bucket holds at most.
const BURST_MS: i128 = 10_000;
/// Retry time when no share is held, about one renewal of leases.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// A share as the host received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The share.
    pub rate: Rate,
    /// When the share ends, on the host's clock. It has to be derived from the time at which the
    /// host asked, not from the arrival of the answer, so that it ends before the allocator's.
    pub expires: Instant,
}

/// What a request was charged.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a charge has to be settled with the real length"]
pub struct Charge {
    tokens: u64,
}

/// The share is exhausted or has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the organisation's limit is exhausted on this host, retry after {} ms", retry_after.as_millis())]
pub struct Exhausted {
    /// When a retry makes sense.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    per_minute: u64,
    level: i128,
}

impl Bucket {
    /// At least one whole token or request, however small the share is.
    fn capacity(&self) -> i128 {
        if self.per_minute == 0 {
            return 0;
        }
        (i128::from(self.per_minute) * BURST_MS).max(UNITS)
    }

    fn fill(&mut self, elapsed: Duration) {
        let added = i128::from(self.per_minute) * elapsed.as_millis() as i128;
        self.level = (self.level + added).min(self.capacity());
    }

    /// Time until the level reaches `needed`.
    fn wait(&self, needed: i128) -> Duration {
        if self.per_minute == 0 {
            return NO_SHARE_RETRY;
        }
        let missing = (needed - self.level).max(0);
        let ms = missing / i128::from(self.per_minute) + 1;
        Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

/// One organisation's share on one host.
#[derive(Debug)]
pub struct Share {
    tokens: Bucket,
    requests: Bucket,
    filled: Instant,
    expires: Instant,
}

impl Share {
    /// A share that allows nothing until the first [`Share::renew`].
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: Bucket::default(),
            requests: Bucket::default(),
            filled: now,
            expires: now,
        }
    }

    /// Starts with a full bucket, as after ten seconds without requests. It keeps the first
    /// requests of an organisation with a small limit from being refused, at the price of one more
    /// burst for each start of a host.
    pub fn with_full_buckets(grant: Grant, now: Instant) -> Self {
        let mut share = Self::new(now);
        share.renew(grant, now);
        for bucket in [&mut share.tokens, &mut share.requests] {
            bucket.level = bucket.capacity();
        }
        share
    }

    /// Takes over a new grant. The level carries over, so that renewing creates no tokens.
    pub fn renew(&mut self, grant: Grant, now: Instant) {
        self.fill(now);
        self.tokens.per_minute = grant.rate.tokens;
        self.requests.per_minute = grant.rate.requests;
        self.expires = grant.expires;
        for bucket in [&mut self.tokens, &mut self.requests] {
            bucket.level = bucket.level.min(bucket.capacity());
        }
    }

    /// Charges one request with its estimated tokens. A request larger than the whole bucket is
    /// let through when the bucket is full, which leaves the bucket below zero; otherwise it
    /// could never run.
    pub fn try_take(&mut self, estimate: u64, now: Instant) -> Result<Charge, Exhausted> {
        self.fill(now);
        if now >= self.expires || self.tokens.per_minute == 0 {
            return Err(Exhausted {
                retry_after: NO_SHARE_RETRY,
            });
        }
        let charge = i128::from(estimate) * UNITS;
        let needed = charge.min(self.tokens.capacity());
        if self.tokens.level < needed || self.requests.level < UNITS {
            let retry_after = self.tokens.wait(needed).max(self.requests.wait(UNITS));
            return Err(Exhausted { retry_after });
        }
        self.tokens.level -= charge;
        self.requests.level -= UNITS;
        Ok(Charge { tokens: estimate })
    }

    /// Replaces the charge by the real number of tokens. A request that did not run settles with
    /// zero.
    pub fn settle(&mut self, charge: Charge, actual: u64) {
        let difference = i128::from(charge.tokens) - i128::from(actual);
        let level = self.tokens.level + difference * UNITS;
        self.tokens.level = level.min(self.tokens.capacity());
    }

    /// Whole tokens in the bucket; below zero after a request that was longer than its estimate.
    pub fn available_tokens(&self) -> i64 {
        i64::try_from(self.tokens.level.div_euclid(UNITS)).unwrap_or(i64::MAX)
    }

    /// Adds what accrued until now or until the expiry. The rest of a millisecond is kept for the
    /// next call.
    fn fill(&mut self, now: Instant) {
        let until = now.min(self.expires);
        let elapsed = until.saturating_duration_since(self.filled);
        let whole = Duration::from_millis(elapsed.as_millis() as u64);
        self.tokens.fill(whole);
        self.requests.fill(whole);
        self.filled += whole;
        if now >= self.expires {
            self.filled = self.filled.max(now);
        }
    }
}
