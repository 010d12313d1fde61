//! Passes on what entry hosts sent to engines, so that all of them see it within milliseconds.
//!
//! Load reports are several hundred milliseconds old. Several entry hosts that choose by the same
//! reports choose the same engine, unless they hear of each other's choices sooner.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Notes that are kept for followers.
const KEPT: usize = 4096;
/// Time for which a note is kept.
const LIFETIME: Duration = Duration::from_secs(2);
/// Time in which further notes are collected into one answer.
const BATCH: Duration = Duration::from_millis(30);

/// A generation that was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Names the entry host, so that it recognises its own notes.
    pub from: u64,
    /// The engine.
    pub target: sardinerelay::id::Target,
    /// Tokens of the prompt that the engine has to read; 0 if it has a copy.
    pub prompt: u32,
    /// Tokens of memory that the generation is expected to take.
    pub memory: u32,
    /// The host that allocated it, which knows of it already; 0 if the entry host did itself.
    pub by: u32,
}

/// What became of a request that this host gave a place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An engine has no room for it.
    Full(sardinerelay::id::Target),
    /// Its prompt was read.
    Started(crate::targets::RunId),
    /// It has ended, or takes another place.
    Ended(crate::targets::RunId),
    /// It arrived at the engine to which it was to move, or it can't be moved there.
    Moved(crate::targets::RunId, bool),
}

/// Notes with the number after the last one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// What to ask for next.
    pub next: u64,
    /// The notes.
    pub notes: Vec<Note>,
}

#[derive(Debug, Default)]
struct Kept {
    notes: VecDeque<(Instant, Note)>,
    next: u64,
}

/// The notes of all entry hosts that reach this host.
#[derive(Debug)]
pub struct Hub {
    kept: Mutex<Kept>,
    next: watch::Sender<u64>,
}

impl Default for Hub {
    fn default() -> Self {
        Self {
            kept: Mutex::default(),
            next: watch::Sender::new(0),
        }
    }
}

impl Hub {
    /// Adds notes.
    pub fn add(&self, notes: Vec<Note>) {
        let now = Instant::now();
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        for note in notes {
            kept.notes.push_back((now, note));
            kept.next += 1;
        }
        let old = |(at, _): &(Instant, Note)| now.saturating_duration_since(*at) > LIFETIME;
        while kept.notes.len() > KEPT || kept.notes.front().is_some_and(old) {
            kept.notes.pop_front();
        }
        self.next.send_replace(kept.next);
    }

    /// Waits for notes from number `since` on.
    pub async fn follow(&self, since: u64, wait: Duration) -> News {
        let mut next = self.next.subscribe();
        let newer = next.wait_for(|next| *next != since);
        if timeout(wait, newer).await.is_ok() {
            sleep(BATCH).await;
        }
        self.since(since)
    }

    fn since(&self, since: u64) -> News {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let first = kept.next - kept.notes.len() as u64;
        // After a restart of this host the follower's number is meaningless, and old notes are
        // of no use.
        let skip = match since > kept.next {
            true => kept.notes.len(),
            false => since.saturating_sub(first) as usize,
        };
        let notes = kept.notes.iter().skip(skip);
        News {
            next: kept.next,
            notes: notes.map(|(_, note)| note.clone()).collect(),
        }
    }
}
