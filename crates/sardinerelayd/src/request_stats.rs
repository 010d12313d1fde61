//! What waits and runs on this host, for operators.

use {
    crate::filter::GenerationRequest,
    sardinerelay::id::{Class, Model, Organisation},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Span over which refusals are counted.
const MINUTE: Duration = Duration::from_secs(60);

/// Refusals kept for each organisation; more within a minute count as this many.
const MAX_REFUSALS: usize = 100_000;

/// Requests of this host, by organisation and class.
#[derive(Debug, Default)]
pub struct RequestStats {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    open: HashMap<u64, Entry>,
    refused: BTreeMap<Organisation, VecDeque<Instant>>,
}

#[derive(Debug, Clone)]
struct Entry {
    organisation: Organisation,
    class: Class,
    model: Model,
    since: Instant,
    running: bool,
    reserved: u64,
}

/// One request; it leaves the tally when this is dropped.
#[derive(Debug)]
pub struct Guard {
    request_stats: Arc<RequestStats>,
    number: u64,
}

/// Figures of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrganisationLoad {
    /// Open streams.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Requests refused within the last minute.
    pub refused: u64,
}

/// Figures of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Open streams.
    pub running: u64,
    /// Tokens of memory reserved for them.
    pub reserved: u64,
    /// Requests that wait.
    pub queued: u64,
    /// The longest wait among them.
    pub oldest_wait: Duration,
}

impl RequestStats {
    /// Counts a request as waiting.
    pub fn add_waiting(self: &Arc<Self>, request: &GenerationRequest) -> Guard {
        let entry = Entry {
            organisation: request.organisation.clone(),
            class: request.class.clone(),
            model: request.model.clone(),
            since: Instant::now(),
            running: false,
            reserved: 0,
        };
        let mut inner = self.lock();
        inner.next += 1;
        let number = inner.next;
        inner.open.insert(number, entry);
        Guard {
            request_stats: self.clone(),
            number,
        }
    }

    /// Counts a refusal.
    pub fn add_refusal(&self, organisation: &Organisation) {
        let now = Instant::now();
        let mut inner = self.lock();
        let refused = inner.refused.entry(organisation.clone()).or_default();
        expire(refused, now);
        if refused.len() < MAX_REFUSALS {
            refused.push_back(now);
        }
    }

    /// Figures by organisation.
    pub fn by_organisation(&self) -> BTreeMap<Organisation, OrganisationLoad> {
        let now = Instant::now();
        let mut inner = self.lock();
        let mut usage: BTreeMap<Organisation, OrganisationLoad> = BTreeMap::new();
        for (organisation, refused) in &mut inner.refused {
            expire(refused, now);
            usage.entry(organisation.clone()).or_default().refused = refused.len() as u64;
        }
        for entry in inner.open.values() {
            let usage = usage.entry(entry.organisation.clone()).or_default();
            match entry.running {
                true => usage.running += 1,
                false => usage.queued += 1,
            }
        }
        usage
    }

    /// Figures by class.
    pub fn by_class(&self) -> BTreeMap<Class, ClassLoad> {
        let mut classes: BTreeMap<Class, ClassLoad> = BTreeMap::new();
        for entry in self.lock().open.values() {
            let load = classes.entry(entry.class.clone()).or_default();
            if entry.running {
                load.running += 1;
                load.reserved += entry.reserved;
            } else {
                load.queued += 1;
                load.oldest_wait = load.oldest_wait.max(entry.since.elapsed());
            }
        }
        classes
    }

    /// Requests that wait, by model.
    pub fn waiting_by_model(&self) -> BTreeMap<Model, u64> {
        let mut waiting = BTreeMap::new();
        for entry in self.lock().open.values().filter(|entry| !entry.running) {
            *waiting.entry(entry.model.clone()).or_default() += 1;
        }
        waiting
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Guard {
    /// Counts the request as running with this reservation.
    pub fn set_running(&self, reserved: u64) {
        if let Some(entry) = self.request_stats.lock().open.get_mut(&self.number) {
            entry.running = true;
            entry.reserved = reserved;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.request_stats.lock().open.remove(&self.number);
    }
}

fn expire(refused: &mut VecDeque<Instant>, now: Instant) {
    while refused
        .front()
        .is_some_and(|at| now.duration_since(*at) > MINUTE)
    {
        refused.pop_front();
    }
}
