//! This host's share of each organisation's limit.

use {
    crate::{
        filter::Call,
        refusal::{Code, Refusal},
        snapshot::Shared,
    },
    compact_str::{CompactString, format_compact},
    std::{
        collections::HashMap,
        fmt,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Output tokens charged before the real length is known.
const ESTIMATED_OUTPUT: u64 = 256;

/// Charges requests to organisations.
pub struct Limits {
    view: Shared,
    buckets: Mutex<HashMap<CompactString, Bucket>>,
}

impl fmt::Debug for Limits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Limits").finish_non_exhaustive()
    }
}

/// Tokens and requests that an organisation may still use, refilled over a minute.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    requests: f64,
    refilled: Instant,
}

/// What an organisation used of a minute's limit on this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// Tokens.
    pub tokens: u64,
    /// Requests.
    pub requests: u64,
}

/// What one request was charged.
#[derive(Debug)]
pub struct Charge {
    limits: Arc<Limits>,
    organisation: CompactString,
    prompt: u64,
    charged: u64,
    settled: bool,
}

impl Limits {
    /// Starts with full buckets.
    pub fn new(view: Shared) -> Self {
        Self {
            view,
            buckets: Mutex::new(HashMap::new()),
        }
    }

    /// Charges a request on the estimate.
    ///
    /// # Errors
    ///
    /// Refuses it as not run if the organisation has used up its limit.
    pub fn charge(self: &Arc<Self>, call: &Call) -> Result<Charge, Refusal> {
        let view = self.view.load();
        let account = view
            .sheet
            .as_ref()
            .and_then(|sheet| {
                sheet
                    .organisations
                    .iter()
                    .find(|account| account.name == call.organisation)
            })
            .ok_or_else(|| {
                Refusal::new(Code::Unauthorized, "the organisation is no longer in force")
            })?;
        let output = call
            .max_tokens
            .unwrap_or(ESTIMATED_OUTPUT)
            .min(ESTIMATED_OUTPUT);
        let charged = call.prompt_tokens + output;
        let mut buckets = self.lock();
        let now = Instant::now();
        let (tokens, requests) = (
            account.tokens_per_minute as f64,
            account.requests_per_minute as f64,
        );
        let bucket = buckets.entry(call.organisation.clone()).or_insert(Bucket {
            tokens,
            requests,
            refilled: now,
        });
        bucket.refill(tokens, requests, now);
        let wait = bucket.take(charged, tokens, requests);
        match wait {
            None => Ok(Charge {
                limits: self.clone(),
                organisation: call.organisation.clone(),
                prompt: call.prompt_tokens,
                charged,
                settled: false,
            }),
            Some(wait) => {
                let message = format_compact!(
                    "the limit of organisation '{}' is used up",
                    call.organisation
                );
                Err(Refusal::new(Code::RateLimited, message).retry_after(wait))
            }
        }
    }

    /// What an organisation used and that has not been refilled yet.
    pub fn used(&self, organisation: &str) -> Used {
        let view = self.view.load();
        let accounts = view.sheet.iter().flat_map(|sheet| &sheet.organisations);
        let Some(account) = accounts
            .into_iter()
            .find(|account| account.name == organisation)
        else {
            return Used::default();
        };
        let (tokens, requests) = (
            account.tokens_per_minute as f64,
            account.requests_per_minute as f64,
        );
        let mut buckets = self.lock();
        let Some(bucket) = buckets.get_mut(organisation) else {
            return Used::default();
        };
        bucket.refill(tokens, requests, Instant::now());
        Used {
            tokens: (tokens - bucket.tokens).max(0.0).round() as u64,
            requests: (requests - bucket.requests).max(0.0).round() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CompactString, Bucket>> {
        self.buckets
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Bucket {
    fn refill(&mut self, tokens: f64, requests: f64, now: Instant) {
        let minutes = now.duration_since(self.refilled).as_secs_f64() / 60.0;
        self.tokens = (self.tokens + tokens * minutes).min(tokens);
        self.requests = (self.requests + requests * minutes).min(requests);
        self.refilled = now;
    }

    /// Takes a request and its tokens, or returns how long that will take.
    fn take(
        &mut self,
        tokens: u64,
        tokens_per_minute: f64,
        requests_per_minute: f64,
    ) -> Option<Duration> {
        // A request larger than a whole minute's limit is let through by a full bucket.
        let need = (tokens as f64).min(tokens_per_minute);
        let minutes = ((need - self.tokens) / tokens_per_minute)
            .max((1.0 - self.requests) / requests_per_minute);
        if minutes > 0.0 {
            return Some(Duration::from_secs_f64((minutes * 60.0).min(3600.0)));
        }
        self.tokens -= tokens as f64;
        self.requests -= 1.0;
        None
    }
}

impl Charge {
    /// Replaces the estimate by the tokens that were generated.
    pub fn settle(mut self, generated: u64) {
        self.correct(self.prompt + generated);
    }

    fn correct(&mut self, used: u64) {
        self.settled = true;
        if let Some(bucket) = self.limits.lock().get_mut(&self.organisation) {
            bucket.tokens += self.charged as f64 - used as f64;
        }
    }
}

impl Drop for Charge {
    /// Gives the tokens back if the request was refused after it was charged.
    fn drop(&mut self) {
        if !self.settled {
            self.correct(0);
        }
    }
}
