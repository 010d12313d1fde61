//! The scheduler's state behind its mutex.

use {
    super::Placement,
    crate::{engine::LoadReport, inventory, snapshot::View},
    rand::rngs::StdRng,
    sardinerelay::{
        fleet::{Entry, Listed},
        id::{Generation, Incarnation, Target},
        retry::Budget,
        router::Description,
        scheduler::{self, Decision, Outcome},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Instant,
    },
    tokio::sync::oneshot,
};

/// The library's scheduler and what this host knows of targets and open requests.
pub(super) struct Inner {
    pub(super) scheduler: scheduler::Scheduler,
    pub(super) random: StdRng,
    /// Limits the retries of this host.
    pub(super) retry_budget: Budget,
    /// Queued attempts; each sender gets the scheduler's decision.
    pub(super) waiters: HashMap<Generation, oneshot::Sender<Placement>>,
    /// Targets that did not answer, with the time of the failure, until their next load report.
    pub(super) ejected: BTreeMap<Target, Instant>,
    /// The last load report of each target, with the time it was received.
    pub(super) load_reports: BTreeMap<Target, (LoadReport, Instant)>,
    /// The models that each engine has loaded, for engines that were queried successfully.
    pub(super) loaded_models: inventory::LoadedModels,
    /// The target of each attempt that holds a reservation.
    pub(super) reservations: HashMap<Generation, Target>,
}

impl Inner {
    /// Passes decisions on to the waiting requests. If the caller of a dispatched request has just
    /// disconnected, its memory on the target is freed, which may allow further dispatches.
    pub(super) fn deliver(&mut self, decisions: Vec<Decision>) {
        let mut decisions = decisions;
        while let Some(decision) = decisions.pop() {
            let (generation, placement) = match decision {
                Decision::Dispatch { generation, pick } => (generation, Ok(pick)),
                Decision::Refuse {
                    generation,
                    refusal,
                } => (generation, Err(refusal)),
            };
            let target = placement.as_ref().ok().map(|pick| pick.target.clone());
            let waiter = self.waiters.remove(&generation);
            let is_delivered = waiter.is_some_and(|waiter| waiter.send(placement).is_ok());
            let Some(target) = target else { continue };
            if is_delivered {
                self.reservations.insert(generation, target);
            } else {
                let now = Instant::now();
                decisions.extend(self.scheduler.record_finish(
                    generation,
                    Outcome::Cancelled,
                    &mut self.random,
                    now,
                ));
            }
        }
    }

    /// Whether the target must not get new work.
    pub(super) fn is_excluded(&self, view: &View, target: &Target) -> bool {
        view.leaving.contains(target) || self.ejected.contains_key(target)
    }

    /// Which models each target gets requests for, under the view's sheet.
    pub(super) fn routes(&self, view: &View) -> inventory::Routes {
        match &view.sheet {
            Some(sheet) => inventory::routes(sheet, &self.loaded_models, |target| {
                self.is_excluded(view, target)
            }),
            None => BTreeMap::new(),
        }
    }

    /// Passes each target of the sheet to the library's scheduler, and forgets targets that the
    /// sheet no longer names. An excluded target is passed on without models.
    pub(super) fn update_targets(&mut self, view: &View) {
        let Some(sheet) = &view.sheet else { return };
        let now = Instant::now();
        let mut routes = self.routes(view);
        for target in &sheet.targets {
            let description = Description {
                name: target.name.clone(),
                zone: target.zone.clone(),
                memory_tokens: target.memory_tokens,
                models: routes.remove(&target.name).unwrap_or_default(),
            };
            self.scheduler.upsert_target(description, now);
        }
        let reported: Vec<Target> = self.load_reports.keys().cloned().collect();
        for name in reported
            .into_iter()
            .filter(|name| view.target(name).is_none())
        {
            self.load_reports.remove(&name);
            self.ejected.remove(&name);
            self.loaded_models.remove(&name);
            self.scheduler.fleet_mut().merge_list(&[Entry {
                target: name,
                incarnation: Incarnation::MIN,
                listed: Listed::Leaving,
            }]);
        }
    }
}
