//! Estimates how long an engine needs to read the prompts that were sent to it.
//!
//! Generations arrive in bursts, and an engine takes a few hundred milliseconds to read a few
//! thousand tokens. A load report shows this only when it is over, so prompts are counted when they
//! are sent. The estimate treats them as read one after another. The host that placed a prompt
//! also gets a report when it was read. It thereby notices an engine that is stalled, for example
//! because its memory is full. For the prompts of other hosts a steady rate is assumed.

use {
    crate::targets::RunId,
    sardinerelay::bound,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Rate that is assumed until an engine's rate has been measured, in tokens per second.
const INITIAL_RATE: f64 = 7_000.0;
/// Lowest and highest plausible rate, in tokens per second.
const RATE_RANGE: [f64; 2] = [1_500.0, 20_000.0];
/// Weight of a new measurement in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.15;
/// Time after which a prompt counts as read although nobody reported it. It is checked when the
/// next prompt is sent.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest share of a prompt that is assumed to have been read before it is reported as read.
const MAX_UNREPORTED_SHARE: f64 = 0.9;

/// A prompt that an engine still has to read.
#[derive(Debug, Clone, Copy)]
struct UnreadPrompt {
    run: RunId,
    tokens: f64,
    sent: Instant,
}

/// Prompts that one engine still has to read.
#[derive(Debug, Clone)]
pub struct Backlog {
    /// Moving average of the rate, in tokens per second.
    rate: f64,
    /// Prompts whose reading will be reported, in the order in which they were sent.
    unread: VecDeque<UnreadPrompt>,
    /// When the last prompt was reported as read.
    last_read: Option<Instant>,
    /// Unread tokens of prompts that other hosts sent, as of `remote_updated`.
    remote_tokens: f64,
    remote_updated: Option<Instant>,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            rate: INITIAL_RATE,
            unread: VecDeque::new(),
            last_read: None,
            remote_tokens: 0.0,
            remote_updated: None,
        }
    }
}

impl Backlog {
    /// Adds a prompt for which [`Backlog::record_prompt_read`] will be called.
    pub fn record_sent(&mut self, run: RunId, prompt: u64, now: Instant) {
        let is_expired =
            |unread: &UnreadPrompt| now.saturating_duration_since(unread.sent) > UNREAD_TIMEOUT;
        self.unread.retain(|unread| !is_expired(unread));
        self.unread.push_back(UnreadPrompt {
            run,
            tokens: prompt as f64,
            sent: now,
        });
    }

    /// Adds a prompt that another host sent, for which no such call follows.
    pub fn record_remote_send(&mut self, prompt: u64, now: Instant) {
        self.remote_tokens = self.remote_tokens(now) + prompt as f64;
        self.remote_updated = Some(now);
    }

    /// Records that a prompt was read, and measures the rate. Engines read prompts in the order of
    /// arrival, except for more urgent requests.
    pub fn record_prompt_read(&mut self, run: RunId, now: Instant) {
        let Some(index) = self.unread.iter().position(|unread| unread.run == run) else {
            return;
        };
        let Some(unread) = self.unread.remove(index) else {
            return;
        };
        let began = self
            .last_read
            .map_or(unread.sent, |read| read.max(unread.sent));
        let took = now.saturating_duration_since(began).as_secs_f64();
        if took > 0.0 {
            let measured = (unread.tokens / took).clamp(RATE_RANGE[0], RATE_RANGE[1]);
            self.rate += RATE_WEIGHT * (measured - self.rate);
        }
        self.last_read = Some(now);
    }

    /// Whether a request's prompt is still to be read.
    pub fn contains(&self, run: RunId) -> bool {
        self.unread.iter().any(|unread| unread.run == run)
    }

    /// Removes the prompt of a request that has ended, whether or not it was read.
    pub fn remove(&mut self, run: RunId) {
        self.unread.retain(|unread| unread.run != run);
    }

    /// Estimates the time until a prompt of `prompt` tokens that is sent now is read.
    pub fn estimated_wait(&self, prompt: u64, now: Instant) -> Duration {
        let tokens = self.unread_tokens(now) + prompt as f64;
        bound::estimate(tokens / self.rate)
    }

    /// Tokens of all prompts that are probably still unread.
    fn unread_tokens(&self, now: Instant) -> f64 {
        let unread: f64 = self.unread.iter().map(|unread| unread.tokens).sum();
        let partly_read = self.unread.front().map_or(0.0, |first| {
            let began = self
                .last_read
                .map_or(first.sent, |read| read.max(first.sent));
            let read = self.rate * now.saturating_duration_since(began).as_secs_f64();
            read.min(MAX_UNREPORTED_SHARE * first.tokens)
        });
        unread - partly_read + self.remote_tokens(now)
    }

    /// Tokens of other hosts' prompts that are probably still unread.
    fn remote_tokens(&self, now: Instant) -> f64 {
        let elapsed = self.remote_updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        (self.remote_tokens - self.rate * elapsed.as_secs_f64()).max(0.0)
    }
}
