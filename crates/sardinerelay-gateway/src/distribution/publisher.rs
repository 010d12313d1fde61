//! Publishes the newest configuration to the entry hosts that ask for it.

use {
    super::{Change, Fetch, History, Piece, Stamp},
    crate::group::Document,
    log::warn,
    sardinerelay::id::Version,
    sardinerelayd::panics,
    std::{
        io,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            mpsc::{Receiver, Sender, channel},
        },
        thread,
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// What a host with a replica publishes.
///
/// A thread of its own makes the patches. They take longer the longer the text is, and the replica has
/// to answer within its election timeout meanwhile.
#[derive(Debug)]
pub struct Publisher {
    history: Arc<Mutex<History>>,
    /// What entry hosts may know of; none until the replica has caught up with the leader.
    offered: watch::Sender<Option<Stamp>>,
    tasks: Sender<Task>,
}

/// A task for the thread. Tasks are done in order.
#[derive(Debug)]
enum Task {
    Record(Document),
    Offer,
}

impl Publisher {
    /// Creates a publisher without a configuration and starts its thread, which ends when the publisher is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns the error if the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let history = Arc::new(Mutex::new(History::default()));
        let offered = watch::Sender::new(None);
        let (tasks, queue) = channel();
        let shared = (Arc::clone(&history), offered.clone());
        thread::Builder::new()
            .name("patches".to_owned())
            .spawn(move || panics::run_essential("make patches", || run(&queue, &shared)))?;
        Ok(Self {
            history,
            offered,
            tasks,
        })
    }

    /// Records an accepted configuration, which may not be the newest one.
    pub fn record(&self, document: &Document) {
        self.enqueue(Task::Record(document.clone()));
    }

    /// Offers the newest recorded configuration. The replica must be as new as the leader's was.
    pub fn offer(&self) {
        self.enqueue(Task::Offer);
    }

    fn enqueue(&self, task: Task) {
        if self.tasks.send(task).is_err() {
            warn!(
                "the thread that makes patches has ended, so entry hosts get no newer configuration"
            );
        }
    }

    /// Returns the stamp of the newest configuration once it is newer than `version`, or none if it
    /// isn't after `wait`.
    pub async fn wait_for_newer(&self, version: Version, wait: Duration) -> Option<Stamp> {
        let mut offered = self.offered.subscribe();
        let is_newer = |stamp: &Option<Stamp>| stamp.is_some_and(|stamp| stamp.version > version);
        let found = timeout(wait, offered.wait_for(is_newer)).await;
        *found.ok()?.ok()?
    }

    /// Returns a piece of a transfer, none if there is no newer configuration.
    ///
    /// # Errors
    ///
    /// Returns the error if the transfer can't be encoded.
    pub fn piece(&self, fetch: &Fetch) -> io::Result<Option<Piece>> {
        if self.offered.borrow().is_none() {
            return Ok(None);
        }
        lock(&self.history).piece(fetch)
    }
}

/// Adds a configuration. The history is locked only for a moment, since hosts are answered from it.
fn record(history: &Mutex<History>, document: &Document) {
    let previous = lock(history).newest_text();
    if let Some(change) = Change::new(previous, document) {
        lock(history).add(change);
    }
}

fn lock(history: &Mutex<History>) -> MutexGuard<'_, History> {
    history.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Carries out tasks until all senders are gone.
fn run(
    queue: &Receiver<Task>,
    (history, offered): &(Arc<Mutex<History>>, watch::Sender<Option<Stamp>>),
) {
    for task in queue {
        match task {
            Task::Record(document) => record(history, &document),
            Task::Offer => {
                let newest = lock(history).newest();
                offered.send_replace(newest);
            }
        }
    }
}
