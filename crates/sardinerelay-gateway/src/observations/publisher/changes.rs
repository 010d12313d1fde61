//! What a follower doesn't have yet of what was published.

use {
    super::{
        super::{
            Instance,
            update::{
                Changes, Entry, LimitEntry, LoadEntry, Loads, Number, Request, UNKNOWN_AGE_MS,
                Update,
            },
        },
        Item, Publisher,
    },
    crate::quarantine::{Refused, Subject},
    compact_str::CompactString,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

impl Publisher {
    /// Returns what a follower doesn't have as of `now`, none before the first publication.
    pub fn update_for(&self, request: &Request, now: Instant) -> Option<Update> {
        if self.stamp == 0 {
            return None;
        }
        let is_full = self.snapshot_reason(request).is_some();
        let base = match is_full {
            true => 0,
            false => request.position.stamp,
        };
        let loads_base = match request.held_loads == request.loads {
            true => base,
            false => 0,
        };
        let wants_loads = request.loads != Loads::None;
        let has_changed = is_full
            || self.urgent.max(self.added) > base
            || (wants_loads && self.loaded > loads_base);
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        Some(Update {
            source: self.source,
            base,
            stamp: self.stamp,
            list_age_ms: self.list_read.map_or(UNKNOWN_AGE_MS, age),
            doubt_ms: self.doubt.as_millis() as u64,
            loads: request.loads,
            changes: has_changed.then(|| Box::new(self.changes(request, (base, loads_base), now))),
        })
    }

    fn changes(&self, request: &Request, (base, loads_base): (u64, u64), now: Instant) -> Changes {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let mut changes = Changes {
            removed_limits: match base {
                0 => Vec::new(),
                base => self.removed_limits.since(base),
            },
            removed: match base {
                0 => Vec::new(),
                base => self.removed.since(base),
            },
            refused_parts: remaining(self.refused_parts.since(base), base, now),
            refused_requests: remaining(self.refused_requests.since(base), base, now),
            suspects: whole(self.suspects.since(base), base),
            readers: whole(self.readers.since(base), base),
            entry_hosts: self.entry_hosts,
            digest: self.digest.value(),
            ..Changes::default()
        };
        let mut names = Names::default();
        for (number, item) in &self.items {
            let number = *number;
            if item.changed > base {
                changes
                    .entries
                    .push(item.entry(number, |name| names.position(name), now));
            } else if item.left > base {
                changes.leaving.push(number);
            }
            if item.closing.changed > base {
                changes.closing.push((number, item.closing.value.map(age)));
            }
            if item.silent.changed > base {
                changes.silent.push((number, item.silent.value));
            }
            let is_wanted = match request.loads {
                Loads::None => false,
                Loads::Zone => item.instance.zone == request.zone,
                Loads::All => true,
            };
            if let Some((load, read)) = item.load
                && is_wanted
                && item.loaded > loads_base
            {
                changes.loads.push(LoadEntry {
                    number,
                    load,
                    age_ms: age(read),
                });
            }
        }
        changes.names = names.list;
        let limits = self.limits.iter();
        let limits = limits.filter(|(_, limit)| limit.changed > base);
        changes.limits = limits
            .map(|((target, incarnation), limit)| LimitEntry {
                target: target.clone(),
                incarnation: *incarnation,
                rate: limit.rate,
                age_ms: age(limit.told),
            })
            .collect();
        changes
    }
}

impl Item {
    fn entry<Position>(&self, number: Number, mut position: Position, now: Instant) -> Entry
    where
        Position: FnMut(&CompactString) -> u32,
    {
        let Instance {
            target,
            incarnation,
            service,
            address,
            zone,
            slots,
            leaving,
            build,
            ..
        } = &self.instance;
        let cold = self.cold_until;
        let cold = cold.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        Entry {
            number,
            target: target.clone(),
            incarnation: *incarnation,
            service: position(service),
            zone: position(zone),
            build: position(build),
            address: *address,
            slots: *slots,
            leaving: *leaving,
            cold_ms: cold.as_millis() as u64,
        }
    }
}

/// The names that an update refers to.
#[derive(Debug, Default)]
struct Names {
    list: Vec<CompactString>,
    positions: HashMap<CompactString, u32>,
}

impl Names {
    fn position(&mut self, name: &CompactString) -> u32 {
        if let Some(position) = self.positions.get(name) {
            return *position;
        }
        let position = self.list.len() as u32;
        self.list.push(name.clone());
        self.positions.insert(name.clone(), position);
        position
    }
}

/// Returns what is sent of a list: all of it if it changed, and always in a full snapshot.
fn whole<Value>(changed: Option<&Vec<Value>>, base: u64) -> Option<Vec<Value>>
where
    Value: Clone,
{
    let none = || (base == 0).then(Vec::new);
    changed.cloned().or_else(none)
}

/// Returns what is sent of refused subjects, as [`whole`] does.
fn remaining(
    changed: Option<&Vec<(Subject, Instant)>>,
    base: u64,
    now: Instant,
) -> Option<Vec<Refused>> {
    let refused = whole(changed, base)?.into_iter();
    let refused = refused.map(|(id, until)| Refused {
        id,
        remaining: until.saturating_duration_since(now),
    });
    Some(refused.collect())
}
