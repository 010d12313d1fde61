//! What the scheduler learns of targets, and what it tells others of them.

use {
    super::{Scheduler, inner::Inner},
    crate::{
        engine::{CacheAction, CacheEvent, LoadReport, LoadedModel},
        inventory,
        snapshot::View,
    },
    log::{info, warn},
    sardinerelay::{
        fleet::Entry,
        id::{Incarnation, Target},
        router,
        scheduler::Counters,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

impl Scheduler {
    /// Updates the targets from a new view.
    pub fn update_targets(&self, view: &View) {
        let mut inner = self.lock();
        inner.update_targets(view);
    }

    /// Records a load report, and with it the target's incarnation and whether it is leaving.
    pub fn record_load(&self, target: &Target, incarnation: Incarnation, load: LoadReport) {
        let now = Instant::now();
        let mut inner = self.lock();
        let fleet = inner.scheduler.fleet_mut();
        let known = fleet.incarnation(target);
        if load.leaving {
            fleet.leave(target, incarnation);
        } else {
            fleet.join(target, incarnation);
        }
        if known.is_some_and(|known| known < incarnation) {
            inner.scheduler.reset_target(target);
            self.restarts.send_modify(|restarts| *restarts += 1);
        }
        if inner.ejected.remove(target).is_some() {
            info!(target = target.as_str(); "target answers again; no longer ejected");
            let view = self.view.load();
            inner.update_targets(&view);
        }
        let report = router::LoadReport {
            used_tokens: load.used_tokens,
            running: load.running,
            waiting: load.waiting,
            preemptions: load.preemptions,
            age: Duration::from_millis(load.age_ms),
        };
        let earlier = inner
            .load_reports
            .insert(target.clone(), (load.clone(), now));
        let before = earlier.map_or(load.preemptions, |(earlier, _)| earlier.preemptions);
        self.metrics
            .preempted(target, load.preemptions.saturating_sub(before));
        let Inner {
            scheduler, random, ..
        } = &mut *inner;
        let decisions = scheduler.apply_report(target, report, random, now);
        inner.deliver(decisions);
        drop(inner);
        self.target_state_changed.notify_waiters();
    }

    /// Applies changes of a target's prefix cache.
    pub fn apply_cache_events(&self, target: &Target, events: &[CacheEvent]) {
        let now = Instant::now();
        let mut inner = self.lock();
        for event in events {
            let Ok(block) = u64::from_str_radix(&event.block, 16) else {
                continue;
            };
            let change = match event.action {
                CacheAction::Stored => router::CacheChange::Stored(block),
                CacheAction::Evicted => router::CacheChange::Removed(block),
            };
            // The library numbers events from 0, engines from 1.
            let sequence = event.sequence.saturating_sub(1);
            inner
                .scheduler
                .apply_cache_event(target, router::CacheEvent { sequence, change }, now);
        }
    }

    /// Merges entries from the platform's list or from the replicated leave records.
    pub fn merge_fleet_entries(&self, entries: &[Entry]) {
        self.lock().scheduler.fleet_mut().merge_list(entries);
    }

    /// Sends no new work to a target that does not answer, until its next load report.
    pub fn eject(&self, target: &Target) {
        let mut inner = self.lock();
        if inner
            .ejected
            .insert(target.clone(), Instant::now())
            .is_none()
        {
            warn!(target = target.as_str(); "target does not answer; ejected until its next load report");
            let view = self.view.load();
            inner.update_targets(&view);
        }
        drop(inner);
        self.target_state_changed.notify_waiters();
    }

    /// Records which models an engine has loaded.
    pub fn record_loaded(&self, target: &Target, loaded: Vec<LoadedModel>) {
        let mut inner = self.lock();
        if inner.loaded_models.get(target) != Some(&loaded) {
            inner.loaded_models.insert(target.clone(), loaded);
            let view = self.view.load();
            inner.update_targets(&view);
        }
    }

    /// The models that each engine has loaded, for engines that were queried successfully.
    pub fn loaded_models(&self) -> inventory::LoadedModels {
        self.lock().loaded_models.clone()
    }

    /// Engines that still get requests for a model that the sheet places on other engines.
    pub fn surplus(&self) -> BTreeSet<Target> {
        let view = self.view.load();
        let Some(sheet) = &view.sheet else {
            return BTreeSet::new();
        };
        inventory::surplus(sheet, &self.lock().routes(&view))
    }

    /// The last load report of each target, and the time since it was received.
    pub fn load_reports(&self) -> BTreeMap<Target, (LoadReport, Duration)> {
        let inner = self.lock();
        let reports = inner.load_reports.iter();
        reports
            .map(|(target, (load, received_at))| {
                (target.clone(), (load.clone(), received_at.elapsed()))
            })
            .collect()
    }

    /// Returns a receiver that is notified of each restart of a target.
    pub fn restarts(&self) -> watch::Receiver<u64> {
        self.restarts.subscribe()
    }

    /// The last known incarnation of the target, if any is known.
    pub fn incarnation(&self, target: &str) -> Option<Incarnation> {
        self.lock().scheduler.fleet().incarnation(target)
    }

    /// Whether the target gets no new work because it did not answer.
    pub fn is_ejected(&self, target: &str) -> bool {
        self.lock().ejected.contains_key(target)
    }

    /// The number of this host's requests in flight on each target that has any.
    pub fn in_flight(&self) -> BTreeMap<Target, u64> {
        let inner = self.lock();
        let mut in_flight = BTreeMap::new();
        for target in inner.reservations.values() {
            *in_flight.entry(target.clone()).or_default() += 1;
        }
        in_flight
    }

    /// Whether the target may get new work: it is neither leaving nor ejected.
    pub fn is_eligible(&self, target: &str) -> bool {
        let inner = self.lock();
        inner.scheduler.fleet().is_eligible(target) && !inner.ejected.contains_key(target)
    }

    /// The number of queued requests, the number in flight, and counters since the start.
    pub fn stats(&self) -> (usize, usize, Counters) {
        let inner = self.lock();
        (
            inner.scheduler.waiting(),
            inner.scheduler.in_flight(),
            inner.scheduler.counters(),
        )
    }
}
