//! Values and removals with the stamps at which they last changed.

use std::collections::VecDeque;

/// Largest number of removals that are remembered. At 150 a second they cover 27 s; a follower that
/// was away for longer gets a full snapshot.
const MAX_REMOVALS: usize = 4096;

/// A value and the stamp at which it last changed.
#[derive(Debug, Default)]
pub(super) struct Stamped<Value> {
    pub(super) value: Value,
    pub(super) changed: u64,
}

impl<Value> Stamped<Value> {
    pub(super) fn since(&self, base: u64) -> Option<&Value> {
        (self.changed > base).then_some(&self.value)
    }

    /// Sets the value. Returns whether it differs by `is_same`.
    pub(super) fn set<Same>(&mut self, value: Value, stamp: u64, is_same: Same) -> bool
    where
        Same: FnOnce(&Value, &Value) -> bool,
    {
        let has_changed = !is_same(&self.value, &value);
        if has_changed {
            self.changed = stamp;
            self.value = value;
        }
        has_changed
    }
}

/// The keys that were last removed, with the stamps at which they were.
#[derive(Debug)]
pub(super) struct Removals<Key> {
    keys: VecDeque<(u64, Key)>,
    /// Stamp of the newest removal that isn't remembered.
    pub(super) forgotten: u64,
}

impl<Key> Default for Removals<Key> {
    fn default() -> Self {
        Self {
            keys: VecDeque::new(),
            forgotten: 0,
        }
    }
}

impl<Key> Removals<Key>
where
    Key: Clone,
{
    pub(super) fn record(&mut self, stamp: u64, key: Key) {
        self.keys.push_back((stamp, key));
        if self.keys.len() > MAX_REMOVALS
            && let Some((forgotten, _)) = self.keys.pop_front()
        {
            self.forgotten = forgotten;
        }
    }

    pub(super) fn since(&self, base: u64) -> Vec<Key> {
        let newest = self.keys.iter().rev();
        let recent = newest.take_while(|(stamp, _)| *stamp > base);
        recent.map(|(_, key)| key.clone()).collect()
    }
}
