//! A host's share of an organisation's limit, as a token bucket.

use {
    super::Rate,
    std::time::{Duration, Instant},
};

/// Bucket units of one token or request. With one unit for each millisecond of a minute, a rate
/// per minute adds a whole number of units each millisecond.
const UNITS_PER_ITEM: i128 = 60_000;
/// Time in which an empty bucket fills up, in milliseconds. It bounds a burst.
const MAX_BURST_MS: i128 = 10_000;
/// Suggested retry delay when the host holds no share: about one renewal of leases.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A share that was granted to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The rate that this host may use.
    pub rate: Rate,
    /// When the share expires, on the host's clock. It has to be derived from the time at which
    /// the host asked for the share, not from the arrival of the grant, so that the share expires
    /// on the host before it does so on the allocator.
    pub expires: Instant,
}

/// The tokens that a request was charged.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a charge has to be settled with the real length"]
pub struct Charge {
    tokens: u64,
}

/// The share is exhausted or has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the organisation's limit is exhausted on this host, retry after {} ms", retry_after.as_millis())]
pub struct Exhausted {
    /// Time after which a retry can succeed.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    per_minute: u64,
    /// Content in units of [`UNITS_PER_ITEM`]. Below zero after a request that was longer than its
    /// estimate or than the whole bucket.
    level: i128,
}

impl Bucket {
    /// Returns the capacity in units: at least one token or request, however small the share is.
    fn capacity(&self) -> i128 {
        if self.per_minute == 0 {
            return 0;
        }
        (i128::from(self.per_minute) * MAX_BURST_MS).max(UNITS_PER_ITEM)
    }

    fn refill(&mut self, elapsed: Duration) {
        let added = i128::from(self.per_minute) * elapsed.as_millis() as i128;
        self.level = (self.level + added).min(self.capacity());
    }

    /// Returns the time until the level reaches `needed`.
    fn time_until(&self, needed: i128) -> Duration {
        if self.per_minute == 0 {
            return NO_SHARE_RETRY_AFTER;
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
    refilled_until: Instant,
    expires: Instant,
}

impl Share {
    /// Creates a share that admits no request until the first [`Share::renew`].
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: Bucket::default(),
            requests: Bucket::default(),
            refilled_until: now,
            expires: now,
        }
    }

    /// Creates a share with full buckets, as after ten seconds without requests. This keeps the
    /// first requests of an organisation with a small limit from being refused, but allows one more
    /// burst for each start of a host.
    pub fn with_full_buckets(grant: Grant, now: Instant) -> Self {
        let mut share = Self::new(now);
        share.renew(grant, now);
        for bucket in [&mut share.tokens, &mut share.requests] {
            bucket.level = bucket.capacity();
        }
        share
    }

    /// Applies a new grant. The buckets keep their content, so that a renewal creates no tokens.
    pub fn renew(&mut self, grant: Grant, now: Instant) {
        self.refill(now);
        self.tokens.per_minute = grant.rate.tokens;
        self.requests.per_minute = grant.rate.requests;
        self.expires = grant.expires;
        for bucket in [&mut self.tokens, &mut self.requests] {
            bucket.level = bucket.level.min(bucket.capacity());
        }
    }

    /// Charges one request its estimated tokens, or returns an error if the share is exhausted. A
    /// request larger than the whole bucket is admitted when the bucket is full and leaves it below
    /// zero; otherwise it could never run.
    pub fn try_take(&mut self, estimate: u64, now: Instant) -> Result<Charge, Exhausted> {
        self.refill(now);
        if now >= self.expires || self.tokens.per_minute == 0 {
            return Err(Exhausted {
                retry_after: NO_SHARE_RETRY_AFTER,
            });
        }
        let charge = i128::from(estimate) * UNITS_PER_ITEM;
        let needed = charge.min(self.tokens.capacity());
        if self.tokens.level < needed || self.requests.level < UNITS_PER_ITEM {
            let retry_after = self
                .tokens
                .time_until(needed)
                .max(self.requests.time_until(UNITS_PER_ITEM));
            return Err(Exhausted { retry_after });
        }
        self.tokens.level -= charge;
        self.requests.level -= UNITS_PER_ITEM;
        Ok(Charge { tokens: estimate })
    }

    /// Replaces the charge by the `actual` number of tokens, which is zero for a request that did
    /// not run.
    pub fn settle(&mut self, charge: Charge, actual: u64) {
        let difference = i128::from(charge.tokens) - i128::from(actual);
        let level = self.tokens.level + difference * UNITS_PER_ITEM;
        self.tokens.level = level.min(self.tokens.capacity());
    }

    /// Returns the whole tokens in the bucket, which are below zero after a request that was longer
    /// than its estimate.
    pub fn available_tokens(&self) -> i64 {
        i64::try_from(self.tokens.level.div_euclid(UNITS_PER_ITEM)).unwrap_or(i64::MAX)
    }

    /// Refills the buckets up to `now` or the expiry. A fraction of a millisecond is kept for the
    /// next call.
    fn refill(&mut self, now: Instant) {
        let until = now.min(self.expires);
        let elapsed = until.saturating_duration_since(self.refilled_until);
        let whole = Duration::from_millis(elapsed.as_millis() as u64);
        self.tokens.refill(whole);
        self.requests.refill(whole);
        self.refilled_until += whole;
        if now >= self.expires {
            self.refilled_until = self.refilled_until.max(now);
        }
    }
}
