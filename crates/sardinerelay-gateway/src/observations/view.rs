//! A follower's view of a publisher's observations.

use {
    super::{
        Instance, Liveness, Load, LoadReport, Observations,
        list::Digest,
        update::{Changes, Entry, Loads, Number, Position, Update},
    },
    crate::{
        limit::{Rate, permit},
        quarantine::{Refused, Subject},
        targets::instant_before,
    },
    sardinerelay::id::{Incarnation, Target},
    std::{
        collections::{BTreeMap, HashSet, VecDeque},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
    thiserror::Error,
};

/// Number of sources whose last stamp is remembered. A host switches between the voters that it
/// follows, and each of them may have restarted.
const MAX_SOURCES: usize = 16;
/// Largest number of incarnations that are remembered as leaving. At 150 a second it takes 50 s to
/// reach it; no list is older.
const MAX_LEFT: usize = 8192;

/// Why an update can't be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Gap {
    /// The update is older than the view, which stays as it is.
    #[error("the update is older than the view")]
    Older,
    /// The update builds on observations that the view doesn't have.
    #[error("the update builds on unknown observations")]
    Base,
    /// The list after the update isn't the publisher's.
    #[error("the list differs from the publisher's")]
    Digest,
}

/// The observations that a host has received from publishers.
#[derive(Debug, Default)]
pub struct View {
    position: Position,
    /// Whether the view needs a full snapshot because of a gap.
    is_broken: bool,
    held_loads: Loads,
    digest: Digest,
    list_read: Option<Instant>,
    items: BTreeMap<Number, Item>,
    limits: BTreeMap<(Target, Incarnation), (Option<Rate>, Instant)>,
    refused_parts: Vec<(Subject, Instant)>,
    refused_requests: Vec<(Subject, Instant)>,
    suspects: Vec<Subject>,
    readers: Vec<Ipv4Addr>,
    entry_hosts: u32,
    left: Left,
    /// The last positions in the updates of other sources, the oldest first.
    others: VecDeque<Position>,
}

#[derive(Debug)]
struct Item {
    instance: Instance,
    cold_until: Option<Instant>,
    load: Option<(Load, Instant)>,
    /// Since when it closes its connections.
    closing: Option<Instant>,
    is_silent: bool,
    /// Whether it was ever closing or silent. Then followers are told if it no longer is.
    has_liveness: bool,
}

/// The incarnations that were shown as leaving, in the order in which they began to.
#[derive(Debug, Default)]
struct Left {
    known: HashSet<(Target, Incarnation)>,
    order: VecDeque<(Target, Incarnation)>,
}

impl Left {
    fn record(&mut self, instance: &Instance) {
        let key = (instance.target.clone(), instance.incarnation);
        if !self.known.insert(key.clone()) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_LEFT
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }
}

impl View {
    /// Returns the position from which the next update is to be requested.
    pub fn position(&self) -> Position {
        match self.is_broken {
            true => Position {
                stamp: 0,
                ..self.position
            },
            false => self.position,
        }
    }

    /// Returns the load reports that the view has as of its position.
    pub fn held_loads(&self) -> Loads {
        self.held_loads
    }

    /// Applies an update that was requested at `asked` and received at `now`. Returns the observations
    /// after it.
    ///
    /// # Errors
    ///
    /// Returns a [`Gap`] if there is nothing newer to show. Except for an older update, the next
    /// update has to be a full snapshot.
    pub fn apply(
        &mut self,
        update: Update,
        asked: Instant,
        now: Instant,
    ) -> Result<Observations, Gap> {
        let is_same = update.source == self.position.source;
        if update.stamp < self.last_stamp(update.source) {
            return Err(Gap::Older);
        }
        if update.base != 0 {
            if !is_same || self.is_broken || update.base > self.position.stamp {
                self.is_broken |= is_same;
                return Err(Gap::Base);
            }
        } else if update.changes.is_none() {
            return Err(Gap::Base);
        } else {
            self.clear();
        }
        if !is_same {
            self.remember_position();
            self.list_read = None;
        }
        self.position = Position {
            source: update.source,
            stamp: update.stamp,
        };
        self.held_loads = update.loads;
        if let Some(changes) = update.changes {
            let digest = changes.digest;
            self.change(*changes, now);
            self.is_broken = self.digest.value() != digest;
            if self.is_broken {
                return Err(Gap::Digest);
            }
        }
        let read = instant_before(now, update.list_age_ms);
        self.list_read = Some(self.list_read.map_or(read, |known| known.max(read)));
        Ok(Observations {
            asked: asked.checked_sub(Duration::from_millis(update.doubt_ms)),
            ..self.show(now)
        })
    }

    /// Returns the newest stamp that was received of a source, 0 if there is none.
    fn last_stamp(&self, source: u64) -> u64 {
        let positions = self.others.iter().chain([&self.position]);
        let of_source = positions.filter(|position| position.source == source);
        let stamps = of_source.map(|position| position.stamp);
        stamps.max().unwrap_or(0)
    }

    fn remember_position(&mut self) {
        let left = self.position;
        self.others.retain(|other| other.source != left.source);
        self.others.push_back(left);
        if self.others.len() > MAX_SOURCES {
            self.others.pop_front();
        }
    }

    fn clear(&mut self) {
        self.items.clear();
        self.limits.clear();
        self.digest = Digest::default();
    }

    fn change(&mut self, changes: Changes, now: Instant) {
        for number in &changes.removed {
            if let Some(item) = self.items.remove(number) {
                self.digest.remove(&item.instance);
            }
        }
        for entry in changes.entries {
            self.set_entry(entry, &changes.names, now);
        }
        for number in changes.leaving {
            if let Some(item) = self.items.get_mut(&number) {
                self.digest.remove(&item.instance);
                item.instance.leaving = true;
                self.digest.add(&item.instance);
                self.left.record(&item.instance);
            }
        }
        for (number, closing_ms) in changes.closing {
            if let Some(item) = self.items.get_mut(&number) {
                item.closing = closing_ms.map(|age| instant_before(now, age));
                item.has_liveness = true;
            }
        }
        for (number, is_silent) in changes.silent {
            if let Some(item) = self.items.get_mut(&number) {
                item.is_silent = is_silent;
                item.has_liveness = true;
            }
        }
        // A limit that ended may have been stated again.
        for key in &changes.removed_limits {
            self.limits.remove(key);
        }
        for limit in changes.limits {
            let told = instant_before(now, limit.age_ms);
            let key = (limit.target, limit.incarnation);
            self.limits.insert(key, (limit.rate, told));
        }
        for load in changes.loads {
            if let Some(item) = self.items.get_mut(&load.number) {
                item.load = Some((load.load, instant_before(now, load.age_ms)));
            }
        }
        let until = |refused: Vec<Refused>| {
            let refused = refused.into_iter();
            refused
                .map(|refused| (refused.id, now + refused.remaining))
                .collect()
        };
        replace(&mut self.refused_parts, changes.refused_parts.map(until));
        replace(
            &mut self.refused_requests,
            changes.refused_requests.map(until),
        );
        replace(&mut self.suspects, changes.suspects);
        replace(&mut self.readers, changes.readers);
        self.entry_hosts = changes.entry_hosts;
    }

    fn set_entry(&mut self, entry: Entry, names: &[compact_str::CompactString], now: Instant) {
        // A name that is missing makes the digest differ.
        let name = |position: u32| names.get(position as usize).cloned().unwrap_or_default();
        let instance = Instance {
            service: name(entry.service),
            zone: name(entry.zone),
            build: name(entry.build),
            target: entry.target,
            incarnation: entry.incarnation,
            address: entry.address,
            slots: entry.slots,
            leaving: entry.leaving,
            cold_ms: 0,
        };
        let cold = Duration::from_millis(entry.cold_ms);
        let cold_until = (!cold.is_zero()).then(|| now.checked_add(cold)).flatten();
        if instance.leaving {
            self.left.record(&instance);
        }
        self.digest.add(&instance);
        match self.items.get_mut(&entry.number) {
            Some(item) => {
                self.digest.remove(&item.instance);
                item.instance = instance;
                item.cold_until = cold_until;
            }
            None => {
                let item = Item {
                    instance,
                    cold_until,
                    load: None,
                    closing: None,
                    is_silent: false,
                    has_liveness: false,
                };
                self.items.insert(entry.number, item);
            }
        }
    }

    fn show(&self, now: Instant) -> Observations {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let left = |until: Instant| until.saturating_duration_since(now);
        let instances = self.items.values().map(|item| {
            let mut instance = item.instance.clone();
            let key = (instance.target.clone(), instance.incarnation);
            instance.leaving |= self.left.known.contains(&key);
            instance.cold_ms = item
                .cold_until
                .map_or(0, |until| left(until).as_millis() as u64);
            instance
        });
        let loads = self.items.values().filter_map(|item| {
            let (load, read) = item.load?;
            Some(LoadReport {
                target: item.instance.target.clone(),
                incarnation: item.instance.incarnation,
                load,
                age_ms: age(read),
                closing_ms: item.closing.map(age),
            })
        });
        let liveness = self.items.values().filter(|item| item.has_liveness);
        let liveness = liveness.map(|item| Liveness {
            target: item.instance.target.clone(),
            incarnation: item.instance.incarnation,
            closing_ms: item.closing.map(age),
            is_silent: item.is_silent,
        });
        let limits = self.limits.iter().map(|(key, (rate, told))| {
            let known = permit::Known {
                target: key.0.clone(),
                incarnation: key.1,
                rate: *rate,
            };
            let age = now.saturating_duration_since(*told);
            permit::Published { known, age }
        });
        let refused = |refused: &[(Subject, Instant)]| -> Vec<Refused> {
            let remaining = refused.iter().map(|(id, until)| Refused {
                id: *id,
                remaining: left(*until),
            });
            remaining.collect()
        };
        let instances: Vec<_> = instances.collect();
        Observations {
            stamp: self.position.stamp,
            builds: super::Builds::of(&instances),
            instances,
            list_age_ms: self.list_read.map_or(super::update::UNKNOWN_AGE_MS, age),
            loads: match self.held_loads {
                Loads::None => Vec::new(),
                Loads::Zone | Loads::All => loads.collect(),
            },
            liveness: Some(liveness.collect()),
            entry_hosts: self.entry_hosts,
            refused_parts: refused(&self.refused_parts),
            refused_requests: refused(&self.refused_requests),
            suspect_requests: self.suspects.clone(),
            limits: limits.collect(),
            readers: self.readers.clone(),
            ages_updated: Some(now),
            ..Observations::default()
        }
    }
}

fn replace<Field>(field: &mut Field, new: Option<Field>) {
    if let Some(new) = new {
        *field = new;
    }
}
