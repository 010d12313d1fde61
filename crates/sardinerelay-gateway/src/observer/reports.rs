//! The newest load reports of the engines, and which engines close their connections.

use {
    crate::observations::{Instance, Load},
    sardinerelay::id::{Incarnation, Target},
    std::{
        collections::{HashMap, HashSet},
        time::Instant,
    },
};

/// Number of successive responses with `Connection: close` after which a target counts as closing
/// its connections. A single one may come by chance.
const MIN_CLOSING_RESPONSES: u32 = 2;

/// One incarnation of a target.
pub type Key = (Target, Incarnation);

/// Since when a target closes the connection after each of its responses.
#[derive(Debug)]
struct Closing {
    since: Instant,
    /// Number of responses since then. From [`MIN_CLOSING_RESPONSES`] on the target counts as
    /// closing.
    responses: u32,
}

impl Closing {
    /// Whether it is more than a response that closes the connection by chance.
    fn is_confirmed(&self) -> bool {
        self.responses >= MIN_CLOSING_RESPONSES
    }
}

/// What load reports showed last.
#[derive(Debug, Default)]
pub struct Reports {
    /// The newest load report of each target, and when it was read.
    loads: HashMap<Key, (Load, Instant)>,
    closing: HashMap<Key, Closing>,
}

impl Reports {
    /// Records a load report that this host read, and whether the response closes the connection. Returns
    /// whether it is the first response that does.
    pub fn record(&mut self, key: Key, load: Load, closes: bool, now: Instant) -> bool {
        self.loads.insert(key.clone(), (load, now));
        if !closes {
            self.closing.remove(&key);
            return false;
        }
        let closing = self.closing.entry(key).or_insert(Closing {
            since: now,
            responses: 0,
        });
        closing.responses += 1;
        closing.responses == 1
    }

    /// Merges a load report that another host read, unless one is known that was read later or at the same time.
    /// `closing` is since when the target closes its connections. Returns whether that is news.
    pub fn merge(
        &mut self,
        key: Key,
        (load, read): (Load, Instant),
        closing: Option<Instant>,
    ) -> bool {
        if self.load(&key).is_some_and(|(_, known)| known >= read) {
            return false;
        }
        self.loads.insert(key.clone(), (load, read));
        let Some(since) = closing else {
            self.closing.remove(&key);
            return false;
        };
        let is_news = self.closing_since(&key).is_none();
        let known = self.closing.entry(key).or_insert(Closing {
            since,
            responses: 0,
        });
        known.responses = known.responses.max(MIN_CLOSING_RESPONSES);
        is_news
    }

    /// Returns the newest load of a target and when it was read.
    pub fn load(&self, key: &Key) -> Option<(Load, Instant)> {
        self.loads.get(key).copied()
    }

    /// Since when a target closes its connections; none if it doesn't, or if a single response did.
    pub fn closing_since(&self, key: &Key) -> Option<Instant> {
        let closing = self.closing.get(key);
        let closing = closing.filter(|closing| closing.is_confirmed());
        closing.map(|closing| closing.since)
    }

    /// Iterates over all targets with their newest loads.
    pub fn all(&self) -> impl Iterator<Item = (&Key, &(Load, Instant))> {
        self.loads.iter()
    }

    /// Forgets what is known of targets that aren't among these.
    pub fn retain_listed(&mut self, instances: &[Instance]) {
        let listed: HashSet<Key> = instances
            .iter()
            .map(|instance| (instance.target.clone(), instance.incarnation))
            .collect();
        self.loads.retain(|key, _| listed.contains(key));
        self.closing.retain(|key, _| listed.contains(key));
    }
}
