//! Rate limits that targets state for all hosts together.
//!
//! A target in need states in its responses how many requests per second it takes. The limit holds
//! until a response states another one or none. See `docs/design/target-limits.md`.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Instant},
};

/// Thousandths in one, the resolution of a [`Rate`].
const THOUSAND: f64 = 1000.0;

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
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Statement {
    /// The target has no limit.
    #[default]
    Unlimited,
    /// The target takes this rate from all hosts together.
    Limited(Rate),
    /// The statement can't be parsed, so nothing is known from it.
    Invalid,
}

/// The limit of one incarnation of a target, as far as this host knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Limit {
    rate: Option<Rate>,
    /// When a response last stated the present limit.
    stated: Option<Instant>,
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
            self.stated = rate.map(|_| now);
            return false;
        }
        let is_lower = match (rate, self.rate) {
            (Some(rate), Some(known)) => rate < known,
            (rate, _) => rate.is_some(),
        };
        if !is_lower && self.stated.is_some_and(|stated| sent <= stated) {
            return false;
        }
        self.rate = rate;
        self.stated = Some(now);
        true
    }
}
