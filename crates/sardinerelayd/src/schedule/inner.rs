//! What the scheduler holds under its mutex.

use {
    super::Verdict,
    crate::{engine::LoadReport, inventory, snapshot::View},
    rand::rngs::StdRng,
    sardinerelay::{
        fleet::{Entry, Incarnation, Listed},
        id::{Generation, Target},
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

pub(super) struct Inner {
    pub(super) scheduler: scheduler::Scheduler,
    pub(super) random: StdRng,
    /// Retries that this host may still send.
    pub(super) budget: Budget,
    pub(super) waiters: HashMap<Generation, oneshot::Sender<Verdict>>,
    /// Targets that did not answer lately, until they answer again.
    pub(super) ejected: BTreeMap<Target, Instant>,
    pub(super) load_reports: BTreeMap<Target, (LoadReport, Instant)>,
    /// What engines read back as loaded, as far as it is known.
    pub(super) loaded_models: inventory::LoadedModels,
    /// Where the open reservations are.
    pub(super) reservations: HashMap<Generation, Target>,
}

impl Inner {
    /// Wakes the requests that were decided. A request whose caller left at the same moment gives
    /// its place back.
    pub(super) fn deliver(&mut self, decisions: Vec<Decision>) {
        let mut decisions = decisions;
        while let Some(decision) = decisions.pop() {
            let (generation, verdict) = match decision {
                Decision::Dispatch { generation, pick } => (generation, Ok(pick)),
                Decision::Refuse {
                    generation,
                    refusal,
                } => (generation, Err(refusal)),
            };
            let target = verdict.as_ref().ok().map(|pick| pick.target.clone());
            let waiter = self.waiters.remove(&generation);
            let woken = waiter.is_some_and(|waiter| waiter.send(verdict).is_ok());
            let Some(target) = target else { continue };
            if woken {
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

    /// Whether the target must get no new work.
    pub(super) fn barred(&self, view: &View, target: &Target) -> bool {
        view.leaving.contains(target) || self.ejected.contains_key(target)
    }

    pub(super) fn routes(&self, view: &View) -> inventory::Routes {
        match &view.sheet {
            Some(sheet) => inventory::routes(sheet, &self.loaded_models, |target| {
                self.barred(view, target)
            }),
            None => BTreeMap::new(),
        }
    }

    /// Describes each target of the sheet. A target that must get no new work runs no model.
    pub(super) fn describe(&mut self, view: &View) {
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
        let listed: Vec<Target> = self.load_reports.keys().cloned().collect();
        for name in listed
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
