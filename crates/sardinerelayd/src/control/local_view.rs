//! The view that this host has, for its own use and for hosts that pull from it.

use {
    sardinerelay::{
        id::Version,
        state::{Digest, History, Mismatch, Update, View},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

#[derive(Debug)]
pub(super) struct Board {
    current: Mutex<Current>,
    version: watch::Sender<Version>,
    cut_off: watch::Sender<bool>,
}

#[derive(Debug)]
struct Current {
    view: Arc<View>,
    history: History,
}

impl Board {
    /// Starts with a view, cut off until an upstream host or a leader is heard.
    pub(super) fn new(view: View) -> Self {
        Self {
            version: watch::Sender::new(view.version),
            cut_off: watch::Sender::new(true),
            current: Mutex::new(Current {
                history: History::new(&view),
                view: Arc::new(view),
            }),
        }
    }

    pub(super) fn view(&self) -> Arc<View> {
        Arc::clone(&self.lock().view)
    }

    /// Wakes whoever waits for a change of the view.
    pub(super) fn versions(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    pub(super) fn cut_offs(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    pub(super) fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    pub(super) fn set_cut_off(&self, cut_off: bool) {
        self.cut_off
            .send_if_modified(|current| std::mem::replace(current, cut_off) != cut_off);
    }

    /// Applies an update. A view older than the present one is ignored. One of the same version
    /// and another digest replaces it, because the upstream host is closer to the leader.
    pub(super) fn update(&self, update: Update) -> Result<(), Mismatch> {
        let mut current = self.lock();
        let before = (current.view.version, current.view.digest);
        let followed = current.apply(update);
        let after = (current.view.version, current.view.digest);
        drop(current);
        if before != after {
            self.version.send_replace(after.0);
        }
        followed
    }

    pub(super) fn delta(&self, version: Version, digest: &Digest) -> Update {
        let current = self.lock();
        current.history.delta(&current.view, version, digest)
    }

    fn lock(&self) -> MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Current {
    fn apply(&mut self, update: Update) -> Result<(), Mismatch> {
        match update {
            Update::Current => Ok(()),
            Update::Whole(view) => {
                if view.version >= self.view.version && view.digest != self.view.digest {
                    self.history = History::new(&view);
                    self.view = Arc::from(view);
                }
                Ok(())
            }
            Update::Changes(changes) => {
                // The published view must not show half of an update, for a superseded sheet in
                // it has no content.
                let mut next = View::clone(&self.view);
                let new = changes
                    .into_iter()
                    .filter(|change| change.version > self.view.version);
                let new: Vec<_> = new.collect();
                for change in &new {
                    next.follow(change)?;
                }
                new.into_iter().for_each(|change| self.history.push(change));
                self.view = Arc::new(next);
                Ok(())
            }
        }
    }
}
