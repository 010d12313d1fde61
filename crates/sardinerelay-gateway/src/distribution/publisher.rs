//! Publishes the newest configuration to the entry hosts that ask for it.

use {
    super::{Fetch, History, Piece, Stamp},
    crate::group::Document,
    sardinerelay::id::Version,
    std::{
        io,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// What a host with a replica publishes.
#[derive(Debug)]
pub struct Publisher {
    history: Mutex<History>,
    /// What entry hosts may know of; none until the replica has caught up with the leader.
    offered: watch::Sender<Option<Stamp>>,
}

impl Default for Publisher {
    fn default() -> Self {
        Self {
            history: Mutex::default(),
            offered: watch::Sender::new(None),
        }
    }
}

impl Publisher {
    /// Records an accepted configuration, which may not be the newest one.
    pub fn record(&self, document: &Document) {
        self.lock().push(document);
    }

    /// Offers the newest recorded configuration. The replica must be as new as the leader's was.
    pub fn offer(&self) {
        let newest = self.lock().newest();
        self.offered.send_replace(newest);
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
        self.lock().piece(fetch)
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
