//! This host's copy of the replicated view, for its own use and for hosts that pull from it.

use {
    sardinerelay::{
        id::Version,
        state::{ApplyError, Digest, History, Update, View},
    },
    std::sync::{Arc, Mutex, MutexGuard, PoisonError},
    tokio::sync::watch,
};

/// The view, its recent changes, and whether this host is cut off from the leader. Tasks subscribe
/// to changes of the version and of the cut-off state.
#[derive(Debug)]
pub(super) struct LocalView {
    state: Mutex<State>,
    version: watch::Sender<Version>,
    cut_off: watch::Sender<bool>,
}

#[derive(Debug)]
struct State {
    view: Arc<View>,
    history: History,
}

impl LocalView {
    /// Starts with the view from disk. The host counts as cut off until it is in contact with an
    /// upstream host or a leader.
    pub(super) fn new(view: View) -> Self {
        Self {
            version: watch::Sender::new(view.version),
            cut_off: watch::Sender::new(true),
            state: Mutex::new(State {
                history: History::new(&view),
                view: Arc::new(view),
            }),
        }
    }

    pub(super) fn view(&self) -> Arc<View> {
        Arc::clone(&self.lock().view)
    }

    /// Returns a receiver that is notified when the view changes.
    pub(super) fn subscribe_versions(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    pub(super) fn subscribe_cut_off(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    pub(super) fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    pub(super) fn set_cut_off(&self, cut_off: bool) {
        self.cut_off
            .send_if_modified(|current| std::mem::replace(current, cut_off) != cut_off);
    }

    /// Applies an update from the state machine or the upstream host. An older view is ignored. A
    /// view of the same version with a different digest replaces the current one, because the
    /// upstream host is closer to the leader.
    ///
    /// # Errors
    ///
    /// [`ApplyError`] if the changes don't follow from the current view, which then stays
    /// unchanged.
    pub(super) fn update(&self, update: Update) -> Result<(), ApplyError> {
        let mut state = self.lock();
        let before = (state.view.version, state.view.digest);
        let result = state.apply(update);
        let after = (state.view.version, state.view.digest);
        drop(state);
        if before != after {
            self.version.send_replace(after.0);
        }
        result
    }

    /// Returns the update that brings a view of this version and digest to the current one.
    pub(super) fn update_since(&self, version: Version, digest: &Digest) -> Update {
        let state = self.lock();
        state.history.update_since(&state.view, version, digest)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
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
                // Applied to a copy, because the published view must not contain half of an update:
                // a superseded sheet within an update has no content.
                let mut next = View::clone(&self.view);
                let new = changes
                    .into_iter()
                    .filter(|change| change.version > self.view.version);
                let new: Vec<_> = new.collect();
                for change in &new {
                    next.apply(change)?;
                }
                new.into_iter().for_each(|change| self.history.push(change));
                self.view = Arc::new(next);
                Ok(())
            }
        }
    }
}
