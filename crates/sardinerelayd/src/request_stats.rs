//! Counts of this host's waiting and running requests and of its refusals, for operators.

use {
    crate::filter::GenerationRequest,
    sardinerelay::id::{Class, Model, Organisation},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
};

/// Period over which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(60);

/// Refusals that are kept for each organisation. Further ones within a minute are not counted.
const MAX_KEPT_REFUSALS: usize = 100_000;

/// This host's open requests and recent refusals.
#[derive(Debug, Default)]
pub struct RequestStats {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Number of the last request that was added, which is its key in `open`.
    last_number: u64,
    open: HashMap<u64, Entry>,
    /// When requests were refused, oldest first.
    refused: BTreeMap<Organisation, VecDeque<Instant>>,
}

/// One open request.
#[derive(Debug, Clone)]
struct Entry {
    organisation: Organisation,
    class: Class,
    model: Model,
    since: Instant,
    is_running: bool,
    /// Tokens reserved on the target; 0 while the request waits.
    reserved_tokens: u64,
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
pub struct Guard {
    request_stats: Arc<RequestStats>,
    number: u64,
}

/// Requests of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OrganisationLoad {
    /// Requests that run on a target.
    pub running: u64,
    /// Requests that wait for a target.
    pub queued: u64,
    /// Requests refused within the last minute.
    pub refused: u64,
}

/// Requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassLoad {
    /// Requests that run on a target.
    pub running: u64,
    /// Tokens of target memory that are reserved for them.
    pub reserved_tokens: u64,
    /// Requests that wait for a target.
    pub queued: u64,
    /// How long the oldest queued request has waited; zero if none is queued.
    pub oldest_wait: Duration,
}

impl RequestStats {
    /// Counts a request as waiting, until the guard is updated or dropped.
    pub fn add_waiting(self: &Arc<Self>, request: &GenerationRequest) -> Guard {
        let entry = Entry {
            organisation: request.organisation.clone(),
            class: request.class.clone(),
            model: request.model.clone(),
            since: Instant::now(),
            is_running: false,
            reserved_tokens: 0,
        };
        let mut inner = self.lock();
        inner.last_number += 1;
        let number = inner.last_number;
        inner.open.insert(number, entry);
        Guard {
            request_stats: self.clone(),
            number,
        }
    }

    /// Counts a refused request for the length of the window.
    pub fn add_refusal(&self, organisation: &Organisation) {
        let now = Instant::now();
        let mut inner = self.lock();
        let refused = inner.refused.entry(organisation.clone()).or_default();
        drop_expired(refused, now);
        if refused.len() < MAX_KEPT_REFUSALS {
            refused.push_back(now);
        }
    }

    /// The requests of each organisation that has open or recently refused ones.
    pub fn by_organisation(&self) -> BTreeMap<Organisation, OrganisationLoad> {
        let now = Instant::now();
        let mut inner = self.lock();
        let mut loads: BTreeMap<Organisation, OrganisationLoad> = BTreeMap::new();
        for (organisation, refused) in &mut inner.refused {
            drop_expired(refused, now);
            loads.entry(organisation.clone()).or_default().refused = refused.len() as u64;
        }
        for entry in inner.open.values() {
            let load = loads.entry(entry.organisation.clone()).or_default();
            match entry.is_running {
                true => load.running += 1,
                false => load.queued += 1,
            }
        }
        loads
    }

    /// The open requests of each class that has any.
    pub fn by_class(&self) -> BTreeMap<Class, ClassLoad> {
        let mut classes: BTreeMap<Class, ClassLoad> = BTreeMap::new();
        for entry in self.lock().open.values() {
            let load = classes.entry(entry.class.clone()).or_default();
            if entry.is_running {
                load.running += 1;
                load.reserved_tokens += entry.reserved_tokens;
            } else {
                load.queued += 1;
                load.oldest_wait = load.oldest_wait.max(entry.since.elapsed());
            }
        }
        classes
    }

    /// The number of queued requests for each model that has any.
    pub fn waiting_by_model(&self) -> BTreeMap<Model, u64> {
        let mut waiting = BTreeMap::new();
        for entry in self.lock().open.values().filter(|entry| !entry.is_running) {
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
    /// Counts the request as running, which holds `reserved_tokens` of target memory.
    pub fn set_running(&self, reserved_tokens: u64) {
        if let Some(entry) = self.request_stats.lock().open.get_mut(&self.number) {
            entry.is_running = true;
            entry.reserved_tokens = reserved_tokens;
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.request_stats.lock().open.remove(&self.number);
    }
}

/// Removes refusals that are older than the window.
fn drop_expired(refused: &mut VecDeque<Instant>, now: Instant) {
    while refused
        .front()
        .is_some_and(|at| now.duration_since(*at) > REFUSAL_WINDOW)
    {
        refused.pop_front();
    }
}
