//! When the pages of the platform's list are read, and which pages are kept after a failure.
//!
//! Every page counts against the platform's rate limit, so a long list is read less often. See
//! `docs/design/load-reports.md`.

use {
    crate::{
        codec::{ListPage, ParseError},
        observations::Instance,
    },
    sardinerelay::bound,
    std::time::{Duration, Instant},
};

/// Shortest time between the beginnings of two reads of the list, and before a page that failed is read
/// again.
pub const MIN_LIST_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of hosts that read the list at the same time without a leader.
pub const MAX_LEADERLESS_READERS: f64 = 8.0;
/// Share of the allowed rate that the leader uses, and that all hosts without a leader use together. A leader
/// that doesn't know yet that there is another one reads too.
pub const RATE_SHARE: f64 = 0.3;
/// Largest number of pages that are read. A longer list counts as unreadable.
pub const MAX_PAGES: usize = 200;
/// Time after the first refusal for too many calls before the next call. It doubles with each further one.
pub const LIMITED_PAUSE: Duration = Duration::from_secs(1);
/// Largest number of times that it doubles.
const MAX_DOUBLINGS: u32 = 2;
/// Time since the last page after which the pages of an interrupted read are dropped. The list may have
/// changed so much that targets would be missing between old and new pages.
const MAX_INTERRUPTION: Duration = Duration::from_secs(2);

/// Why a page could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The platform refused the call because there were too many.
    Limited,
    /// The platform refused the call for another reason, perhaps because of the token.
    Refused,
    /// There was no usable response.
    NoResponse,
}

impl Failure {
    /// Returns the failure's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Limited => "limited",
            Self::Refused => "refused",
            Self::NoResponse => "no_response",
        }
    }
}

/// A list that was read to its end.
#[derive(Debug, PartialEq, Eq)]
pub struct List {
    pub instances: Vec<Instance>,
    /// Errors of entries that could not be parsed.
    pub skipped: Vec<ParseError>,
    /// When the read of its first page began.
    pub began: Instant,
}

/// The pages read so far, and when the next is due.
#[derive(Debug)]
pub struct Paging {
    /// Calls per second that all hosts together may make.
    max_rate: f64,
    /// Pages of the present read.
    pages: Vec<ListPage>,
    began: Instant,
    last_page: Instant,
    next_call: Instant,
    /// Number of refusals for too many calls since the last page.
    limited: u32,
}

impl Paging {
    /// Creates a reader of a list that all hosts together may call at `max_rate` per second.
    pub fn new(max_rate: f64, now: Instant) -> Self {
        Self {
            max_rate,
            pages: Vec::new(),
            began: now,
            last_page: now,
            next_call: now,
            limited: 0,
        }
    }

    /// Returns the time until the next call.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next_call.saturating_duration_since(now)
    }

    /// Records that a page is read now. Returns its token, none for the first page.
    pub fn begin(&mut self, is_leader: bool, now: Instant) -> Option<&str> {
        let readers = if is_leader {
            1.0
        } else {
            MAX_LEADERLESS_READERS
        };
        let rate = (self.max_rate * RATE_SHARE / readers).max(0.1);
        self.next_call = now + bound::estimate(1.0 / rate);
        if now.saturating_duration_since(self.last_page) > MAX_INTERRUPTION {
            self.pages.clear();
        }
        if self.pages.is_empty() {
            self.began = now;
        }
        self.pages.last().and_then(|page| page.next.as_deref())
    }

    /// Records the page that was asked for. Returns the list if it was the last page.
    ///
    /// # Errors
    ///
    /// Returns a text for the log if there are too many pages.
    pub fn record(&mut self, page: ListPage, now: Instant) -> Result<Option<List>, String> {
        (self.last_page, self.limited) = (now, 0);
        let is_last = page.next.is_none();
        self.pages.push(page);
        if !is_last && self.pages.len() < MAX_PAGES {
            return Ok(None);
        }
        self.next_call = self.next_call.max(self.began + MIN_LIST_INTERVAL);
        let mut list = List {
            instances: Vec::new(),
            skipped: Vec::new(),
            began: self.began,
        };
        for page in self.pages.drain(..) {
            list.instances.extend(page.instances);
            list.skipped.extend(page.skipped);
        }
        match is_last {
            true => Ok(Some(list)),
            false => Err(format!("more than {MAX_PAGES} pages")),
        }
    }

    /// Records that the page could not be read. The pages before it are kept, unless the platform may have
    /// refused the token that they led to.
    pub fn record_failure(&mut self, failure: Failure, now: Instant) {
        let pause = match failure {
            Failure::Limited => {
                let doublings = self.limited.min(MAX_DOUBLINGS);
                self.limited += 1;
                LIMITED_PAUSE * 2_u32.pow(doublings)
            }
            Failure::Refused => {
                self.pages.clear();
                MIN_LIST_INTERVAL
            }
            Failure::NoResponse => MIN_LIST_INTERVAL,
        };
        self.next_call = self.next_call.max(now + pause);
    }
}
