//! How long an engine is busy with reading prompts that were sent to it.
//!
//! Load pattern that it answers: generations arrive in clumps, and an engine reads prompts one
//! after another, a few thousand tokens in a few hundred milliseconds. A load report shows this
//! only when it is over. Prompts are therefore counted when they are sent. The host that allocates
//! also hears when a prompt was read, so that an engine that is held up, for example because its
//! memory is full, is seen to be; for other hosts' prompts a steady rate is assumed.

use {
    crate::targets::RunId,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Tokens that an engine reads in a second before that was measured.
const FIRST_RATE: f64 = 7_000.0;
/// Least and highest rate that is believed.
const RATES: [f64; 2] = [1_500.0, 20_000.0];
/// Weight of a new measurement.
const WEIGHT: f64 = 0.15;
/// Time after which a prompt counts as read although nobody said so.
const FORGOTTEN: Duration = Duration::from_secs(8);
/// Most of a prompt that is assumed to be read before somebody says so.
const READ_SHARE: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct Unread {
    run: RunId,
    tokens: f64,
    sent: Instant,
}

/// Tokens that wait to be read by one engine.
#[derive(Debug, Clone)]
pub struct Backlog {
    rate: f64,
    /// Prompts of which the end of reading will be heard.
    unread: VecDeque<Unread>,
    /// When the prompt before the first unread one was read.
    read: Option<Instant>,
    /// Tokens of other prompts, as of a time.
    hearsay: f64,
    heard: Option<Instant>,
}

impl Default for Backlog {
    fn default() -> Self {
        Self {
            rate: FIRST_RATE,
            unread: VecDeque::new(),
            read: None,
            hearsay: 0.0,
            heard: None,
        }
    }
}

impl Backlog {
    /// Adds a prompt of a request of which [`Backlog::record_prompt_read`] will be told.
    pub fn record_sent(&mut self, run: RunId, prompt: u64, now: Instant) {
        let forgotten = |unread: &Unread| now.saturating_duration_since(unread.sent) > FORGOTTEN;
        self.unread.retain(|unread| !forgotten(unread));
        self.unread.push_back(Unread {
            run,
            tokens: prompt as f64,
            sent: now,
        });
    }

    /// Adds a prompt of which nothing more will be heard.
    pub fn record_remote_send(&mut self, prompt: u64, now: Instant) {
        self.hearsay = self.hearsay(now) + prompt as f64;
        self.heard = Some(now);
    }

    /// Records that a prompt was read. Engines read in the order of arrival, except for more
    /// urgent requests.
    pub fn record_prompt_read(&mut self, run: RunId, now: Instant) {
        let Some(at) = self.unread.iter().position(|unread| unread.run == run) else {
            return;
        };
        let Some(unread) = self.unread.remove(at) else {
            return;
        };
        let began = self.read.map_or(unread.sent, |read| read.max(unread.sent));
        let took = now.saturating_duration_since(began).as_secs_f64();
        if took > 0.0 {
            let measured = (unread.tokens / took).clamp(RATES[0], RATES[1]);
            self.rate += WEIGHT * (measured - self.rate);
        }
        self.read = Some(now);
    }

    /// Records that a request ended, whether its prompt was read or not.
    pub fn remove(&mut self, run: RunId) {
        self.unread.retain(|unread| unread.run != run);
    }

    /// Time until a prompt that is sent now is read.
    pub fn estimated_wait(&self, prompt: u64, now: Instant) -> Duration {
        let tokens = self.tokens(now) + prompt as f64;
        Duration::from_secs_f64(tokens / self.rate)
    }

    fn tokens(&self, now: Instant) -> f64 {
        let unread: f64 = self.unread.iter().map(|unread| unread.tokens).sum();
        let done = self.unread.front().map_or(0.0, |first| {
            let began = self.read.map_or(first.sent, |read| read.max(first.sent));
            let read = self.rate * now.saturating_duration_since(began).as_secs_f64();
            read.min(READ_SHARE * first.tokens)
        });
        unread - done + self.hearsay(now)
    }

    fn hearsay(&self, now: Instant) -> f64 {
        let since = self
            .heard
            .map_or(Duration::ZERO, |heard| now.saturating_duration_since(heard));
        (self.hearsay - self.rate * since.as_secs_f64()).max(0.0)
    }
}
