//! What a host publishes of its observations, with the stamp at which each item last changed.

mod changes;
mod stamped;

use {
    self::stamped::{Removals, Stamped},
    super::{
        Instance, Load, LoadReport, Observations,
        list::Digest,
        update::{Loads, Number, Request},
    },
    crate::{
        limit::{Rate, permit},
        observer::readers::{count_engines, engines_per_reader},
        quarantine::{Refused, Subject},
        targets::{ReportAges, instant_before},
    },
    sardinerelay::id::{Incarnation, Target},
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        net::Ipv4Addr,
        time::{Duration, Instant},
    },
};

/// Number of publications whose time is remembered. At 8 a second they cover 8 s.
const MAX_TIMES: usize = 64;
/// Time between two updates to a follower while targets are only added or changed.
const ADDITION_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two updates to a follower while only load reports change.
const LOAD_INTERVAL: Duration = Duration::from_millis(350);
/// Difference from which another remaining time of a cold target is published. The list states the
/// time in milliseconds at each read, and the reads take a varying time.
const COLD_TOLERANCE: Duration = Duration::from_millis(300);
/// Difference from which another remaining time of a refusal is published.
const REFUSAL_TOLERANCE: Duration = Duration::from_secs(1);
/// Difference below which two times are the same, since ages are rounded to milliseconds.
const ROUNDING: Duration = Duration::from_millis(2);

/// When a follower is to get an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    Now,
    /// At this time, unless a change that is more urgent comes before.
    At(Instant),
    /// At the end of its wait, unless a change comes before.
    Later,
}

/// Why a follower gets a full snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotReason {
    /// It has followed no publisher yet.
    Start,
    /// It followed another publisher, or this one before a restart.
    Source,
    /// It couldn't apply an update.
    Gap,
    /// The removals since its stamp are no longer known.
    Bound,
}

impl SnapshotReason {
    /// Returns the reason's label in metrics and the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Source => "source",
            Self::Gap => "gap",
            Self::Bound => "bound",
        }
    }
}

/// What a host publishes of its observations.
#[derive(Debug)]
pub struct Publisher {
    source: u64,
    stamp: u64,
    /// Stamps of the last publications and their times.
    times: VecDeque<(u64, Instant)>,
    list_read: Option<Instant>,
    /// Time by which the list may be older than `list_read` says.
    doubt: Duration,
    digest: Digest,
    numbers: HashMap<(Target, Incarnation), Number>,
    next_number: Number,
    items: BTreeMap<Number, Item>,
    removed: Removals<Number>,
    limits: BTreeMap<(Target, Incarnation), Stated>,
    removed_limits: Removals<(Target, Incarnation)>,
    refused_parts: Stamped<Vec<(Subject, Instant)>>,
    refused_requests: Stamped<Vec<(Subject, Instant)>>,
    suspects: Stamped<Vec<Subject>>,
    readers: Stamped<Vec<Ipv4Addr>>,
    entry_hosts: u32,
    /// Stamp of the last change that followers get at once.
    urgent: u64,
    /// Stamp of the last addition or other change of a target.
    added: u64,
    /// Stamp of the last load report.
    loaded: u64,
}

#[derive(Debug)]
struct Item {
    instance: Instance,
    cold_until: Option<Instant>,
    changed: u64,
    left: u64,
    closing: Stamped<Option<Instant>>,
    silent: Stamped<bool>,
    load: Option<(Load, Instant)>,
    loaded: u64,
}

/// A limit that a target states.
#[derive(Debug)]
struct Stated {
    rate: Option<Rate>,
    told: Instant,
    changed: u64,
}

impl Publisher {
    /// Creates a publisher that has published nothing. `source` is a random number other than 0.
    pub fn new(source: u64) -> Self {
        Self {
            source,
            stamp: 0,
            times: VecDeque::new(),
            list_read: None,
            doubt: Duration::ZERO,
            digest: Digest::default(),
            numbers: HashMap::new(),
            next_number: 0,
            items: BTreeMap::new(),
            removed: Removals::default(),
            limits: BTreeMap::new(),
            removed_limits: Removals::default(),
            refused_parts: Stamped::default(),
            refused_requests: Stamped::default(),
            suspects: Stamped::default(),
            readers: Stamped::default(),
            entry_hosts: 0,
            urgent: 0,
            added: 0,
            loaded: 0,
        }
    }

    /// Publishes observations at `now`. A list that is older than the published one is ignored, and a
    /// target that was leaving stays leaving.
    pub fn publish(&mut self, observations: &Observations, now: Instant) {
        self.stamp += 1;
        self.times.push_back((self.stamp, now));
        if self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
        let updated = observations.ages_updated.unwrap_or(now);
        let read = instant_before(updated, observations.list_age_ms);
        let is_older = self.list_read.is_some_and(|known| read + ROUNDING < known);
        if !is_older && !observations.instances.is_empty() {
            self.list_read = Some(self.list_read.map_or(read, |known| known.max(read)));
            self.doubt = observations.asked.map_or(Duration::ZERO, |asked| {
                updated.saturating_duration_since(asked)
            });
            self.publish_list(&observations.instances, read);
        }
        for report in &observations.loads {
            self.publish_load(report, updated);
        }
        self.publish_silence(observations, now);
        self.publish_limits(&observations.limits, updated);
        self.publish_whole_lists(observations, updated);
        if std::mem::replace(&mut self.entry_hosts, observations.entry_hosts)
            != observations.entry_hosts
        {
            self.added = self.stamp;
        }
    }

    fn publish_list(&mut self, instances: &[Instance], read: Instant) {
        let mut listed = HashSet::with_capacity(instances.len());
        for instance in instances {
            let key = (instance.target.clone(), instance.incarnation);
            let number = *self.numbers.entry(key).or_insert_with(|| {
                self.next_number = self.next_number.wrapping_add(1);
                self.next_number
            });
            listed.insert(number);
            self.publish_instance(number, instance, read);
        }
        if listed.len() == self.items.len() {
            return;
        }
        let numbers = self.items.keys();
        let removed = numbers.filter(|number| !listed.contains(number));
        let removed: Vec<Number> = removed.copied().collect();
        for number in removed {
            if let Some(item) = self.items.remove(&number) {
                self.digest.remove(&item.instance);
                let instance = item.instance;
                self.numbers
                    .remove(&(instance.target, instance.incarnation));
            }
            self.removed.record(self.stamp, number);
            self.urgent = self.stamp;
        }
    }

    fn publish_instance(&mut self, number: Number, instance: &Instance, read: Instant) {
        let cold = Duration::from_millis(instance.cold_ms);
        let cold_until = read.checked_add(cold).filter(|_| !cold.is_zero());
        let Some(item) = self.items.get_mut(&number) else {
            self.digest.add(instance);
            let item = Item {
                instance: instance.clone(),
                cold_until,
                changed: self.stamp,
                left: 0,
                closing: Stamped::default(),
                silent: Stamped::default(),
                load: None,
                loaded: 0,
            };
            self.items.insert(number, item);
            self.added = self.stamp;
            return;
        };
        let known = &item.instance;
        let is_same = known.service == instance.service
            && known.zone == instance.zone
            && known.address == instance.address
            && known.slots == instance.slots
            && known.build == instance.build;
        let is_same_cold = is_same_time(item.cold_until, cold_until, read);
        let begins_to_leave = instance.leaving && !known.leaving;
        if !is_same || begins_to_leave {
            self.digest.remove(&item.instance);
            let leaving = known.leaving || instance.leaving;
            item.instance = instance.clone();
            item.instance.leaving = leaving;
            self.digest.add(&item.instance);
        }
        if begins_to_leave {
            item.left = self.stamp;
            self.urgent = self.stamp;
        }
        if !is_same_cold {
            item.cold_until = cold_until;
        }
        if !is_same || !is_same_cold {
            item.changed = self.stamp;
            self.added = self.stamp;
        }
    }

    fn publish_load(&mut self, report: &LoadReport, updated: Instant) {
        let key = (report.target.clone(), report.incarnation);
        let item = self.numbers.get(&key);
        let Some(item) = item.and_then(|number| self.items.get_mut(number)) else {
            return;
        };
        let read = instant_before(updated, report.age_ms);
        if item.load.is_some_and(|(_, known)| read <= known + ROUNDING) {
            return;
        }
        item.load = Some((report.load, read));
        item.loaded = self.stamp;
        self.loaded = self.stamp;
        let closing = report.closing_ms.map(|age| instant_before(updated, age));
        let is_same = |known: &Option<_>, new: &Option<_>| known.is_some() == new.is_some();
        if item.closing.set(closing, self.stamp, is_same) {
            self.urgent = self.stamp;
        }
        if report.load.leaving && !item.instance.leaving {
            self.digest.remove(&item.instance);
            item.instance.leaving = true;
            self.digest.add(&item.instance);
            item.left = self.stamp;
            self.urgent = self.stamp;
        }
    }

    /// Publishes which targets are silent: those that the host says from which the observations were
    /// received, or else by the load reports, as [`crate::targets::Targets::is_silent`] does.
    fn publish_silence(&mut self, observations: &Observations, now: Instant) {
        let age = |read: Instant| now.saturating_duration_since(read);
        let items = self.items.values();
        let targets = items.map(|item| (&item.instance.service, item.load.is_some()));
        let readers = observations.readers.len().max(1);
        let ages = ReportAges::new(engines_per_reader(count_engines(targets), readers));
        let mut loads = self.items.values().filter_map(|item| item.load);
        let do_reports_arrive = loads.any(|(_, read)| age(read) < ages.fresh);
        let told = observations.liveness.as_ref();
        let told: Option<HashSet<_>> = told.map(|liveness| {
            let silent = liveness.iter().filter(|shown| shown.is_silent);
            let keys = silent.map(|shown| (shown.target.as_str(), shown.incarnation));
            keys.collect()
        });
        for item in self.items.values_mut() {
            let is_silent = match &told {
                Some(told) => told.contains(&(&item.instance.target, item.instance.incarnation)),
                None => {
                    let is_old = |(_, read)| age(read) > ages.silent;
                    do_reports_arrive && item.load.is_some_and(is_old)
                }
            };
            if item.silent.set(is_silent, self.stamp, bool::eq) {
                self.urgent = self.stamp;
            }
        }
    }

    fn publish_limits(&mut self, limits: &[permit::Published], updated: Instant) {
        let mut stated = HashSet::with_capacity(limits.len());
        for permit::Published { known, age } in limits {
            let key = (known.target.clone(), known.incarnation);
            let told = updated.checked_sub(*age).unwrap_or(updated);
            stated.insert(key.clone());
            let is_new = self
                .limits
                .get(&key)
                .is_none_or(|limit| limit.rate != known.rate);
            if is_new {
                self.urgent = self.stamp;
            }
            let limit = self.limits.entry(key).or_insert(Stated {
                rate: known.rate,
                told,
                changed: self.stamp,
            });
            limit.told = told;
            if is_new {
                limit.rate = known.rate;
                limit.changed = self.stamp;
            }
        }
        let (removed, stamp) = (&mut self.removed_limits, self.stamp);
        let added = &mut self.added;
        self.limits.retain(|key, _| {
            let is_stated = stated.contains(key);
            if !is_stated {
                removed.record(stamp, key.clone());
                *added = stamp;
            }
            is_stated
        });
    }

    fn publish_whole_lists(&mut self, observations: &Observations, updated: Instant) {
        let stamp = self.stamp;
        let until = |refused: &[Refused]| -> Vec<(Subject, Instant)> {
            let until = refused
                .iter()
                .map(|refused| (refused.id, updated + refused.remaining));
            until.collect()
        };
        let is_same = |known: &Vec<(Subject, Instant)>, new: &Vec<(Subject, Instant)>| {
            let mut pairs = known.iter().zip(new);
            known.len() == new.len()
                && pairs.all(|(known, new)| {
                    known.0 == new.0 && difference(known.1, new.1) < REFUSAL_TOLERANCE
                })
        };
        let has_changed = [
            self.refused_parts
                .set(until(&observations.refused_parts), stamp, is_same),
            self.refused_requests
                .set(until(&observations.refused_requests), stamp, is_same),
            self.suspects
                .set(observations.suspect_requests.clone(), stamp, Vec::eq),
            self.readers
                .set(observations.readers.clone(), stamp, Vec::eq),
        ];
        if has_changed.contains(&true) {
            self.urgent = stamp;
        }
    }

    /// Returns when a follower is to get an update.
    pub fn due(&self, request: &Request) -> Due {
        if self.stamp == 0 {
            return Due::Later;
        }
        let base = request.position.stamp;
        let wants_loads = request.loads != Loads::None;
        let lacks_loads = wants_loads && request.held_loads != request.loads;
        if self.snapshot_reason(request).is_some() || self.urgent > base || lacks_loads {
            return Due::Now;
        }
        let interval = match (self.added > base, wants_loads && self.loaded > base) {
            (true, _) => ADDITION_INTERVAL,
            (false, true) => LOAD_INTERVAL,
            (false, false) => return Due::Later,
        };
        let published = self.times.iter().find(|(stamp, _)| *stamp == base);
        published.map_or(Due::Now, |(_, at)| Due::At(*at + interval))
    }

    /// Why a follower needs a full snapshot, if it does.
    pub fn snapshot_reason(&self, request: &Request) -> Option<SnapshotReason> {
        let position = request.position;
        if position.source == 0 {
            Some(SnapshotReason::Start)
        } else if position.source != self.source {
            Some(SnapshotReason::Source)
        } else if position.stamp == 0 || position.stamp > self.stamp {
            Some(SnapshotReason::Gap)
        } else if position.stamp < self.removed.forgotten.max(self.removed_limits.forgotten) {
            Some(SnapshotReason::Bound)
        } else {
            None
        }
    }
}

/// Whether two ends of the time for which a target is slow are the same as of `now`. Those that have
/// passed are.
fn is_same_time(known: Option<Instant>, new: Option<Instant>, now: Instant) -> bool {
    let pending = |until: Option<Instant>| until.filter(|until| *until > now).unwrap_or(now);
    difference(pending(known), pending(new)) <= COLD_TOLERANCE
}

fn difference(one: Instant, other: Instant) -> Duration {
    let later = one.saturating_duration_since(other);
    later.max(other.saturating_duration_since(one))
}
