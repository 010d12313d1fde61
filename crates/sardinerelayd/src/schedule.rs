//! Finds a target for each request.

use {
    crate::{
        filter::{Call, End},
        refusal::{Code, Refusal},
        snapshot::Shared,
    },
    compact_str::{CompactString, format_compact},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Attempts that one request gets.
const MAX_ATTEMPTS: usize = 3;

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The target certainly did not run it.
    NotRun,
    /// The target may have run it, but no token was delivered.
    Lost,
}

/// Chooses targets.
pub struct Scheduler {
    view: Shared,
    in_flight: Mutex<BTreeMap<CompactString, usize>>,
}

impl fmt::Debug for Scheduler {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Scheduler").finish_non_exhaustive()
    }
}

/// A place on a target.
#[derive(Debug)]
pub struct Ticket {
    scheduler: Arc<Scheduler>,
    /// The target's name.
    pub target: CompactString,
    /// The target's address.
    pub address: SocketAddr,
    tried: BTreeSet<CompactString>,
}

/// Reports the progress of one generation.
#[derive(Debug)]
pub struct Progress;

impl Scheduler {
    /// Starts without knowledge of load.
    pub fn new(view: Shared) -> Self {
        Self {
            view,
            in_flight: Mutex::new(BTreeMap::new()),
        }
    }

    /// Waits until a target has room for the request.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if no target can take it.
    pub async fn admit(self: &Arc<Self>, call: &Call) -> Result<Ticket, Refusal> {
        self.pick(call, BTreeSet::new()).ok_or_else(|| {
            Refusal::new(
                Code::NoTarget,
                format_compact!("no target runs the model '{}'", call.model),
            )
        })
    }

    /// Finds another target after a failed attempt, or nothing if none is left.
    pub async fn readmit(
        self: &Arc<Self>,
        call: &Call,
        mut ticket: Ticket,
        _: Failure,
    ) -> Option<Ticket> {
        let mut tried = std::mem::take(&mut ticket.tried);
        tried.insert(ticket.target.clone());
        drop(ticket);
        if tried.len() >= MAX_ATTEMPTS {
            return None;
        }
        self.pick(call, tried)
    }

    fn pick(self: &Arc<Self>, call: &Call, tried: BTreeSet<CompactString>) -> Option<Ticket> {
        let view = self.view.load();
        let deployment = view.model(&call.model)?;
        let mut in_flight = self.lock();
        let target = deployment
            .targets
            .iter()
            .filter(|target| !tried.contains(*target) && !view.leaving.contains(*target))
            .min_by_key(|target| in_flight.get(*target).copied().unwrap_or(0))?;
        let address = view.target(target)?.address;
        *in_flight.entry(target.clone()).or_default() += 1;
        Some(Ticket {
            scheduler: self.clone(),
            target: target.clone(),
            address,
            tried,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CompactString, usize>> {
        self.in_flight
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Ticket {
    /// Reports the first token.
    pub fn first_token(&self) {}

    /// A reporter of further tokens.
    pub fn progress(&self) -> Progress {
        Progress
    }

    /// Reports the end.
    pub fn finish(self, _: End) {}
}

impl Progress {
    /// Reports a token.
    pub fn token(&self, _: u64) {}
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let Some(count) = self.scheduler.lock().get_mut(&self.target) {
            *count -= 1;
        }
    }
}
