//! Which engines get requests for which models, from the sheet and what engines read back.
//!
//! An engine that was never read counts as serving what the sheet places there: it refuses as
//! "not run" what it has not loaded.

use {
    crate::engine::LoadedModel,
    sardinerelay::{
        id::{Model, Target},
        sheet::{Deployment, Sheet},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// What each engine has loaded, as far as it is known.
pub type LoadedModels = BTreeMap<Target, Vec<LoadedModel>>;

/// The models for which each target gets requests.
pub type Routes = BTreeMap<Target, Vec<Model>>;

/// Routes each model to the engines of the sheet that have it ready, in any version, so that the
/// earlier version serves until the new one is loaded. While no engine that the sheet names for
/// a model has it ready, other engines that still have it stay in use.
pub fn routes<Barred>(sheet: &Sheet, known: &LoadedModels, barred: Barred) -> Routes
where
    Barred: Fn(&Target) -> bool,
{
    let mut routes = Routes::new();
    for model in &sheet.models {
        for target in usable(sheet, model, known, &barred) {
            routes.entry(target).or_default().push(model.name.clone());
        }
    }
    routes
}

/// Engines with a route that the sheet does not state.
pub fn surplus(sheet: &Sheet, routes: &Routes) -> BTreeSet<Target> {
    let stated = |target: &Target, name: &Model| {
        let model = sheet.models.iter().find(|model| model.name == *name);
        model.is_some_and(|model| model.targets.contains(target))
    };
    routes
        .iter()
        .filter(|(target, models)| models.iter().any(|model| !stated(target, model)))
        .map(|(target, _)| target.clone())
        .collect()
}

/// Whether the read-backs of all engines that could serve the model show it as not ready.
pub fn has_no_ready_engine(sheet: &Sheet, known: &LoadedModels, name: &Model) -> bool {
    let Some(model) = sheet.models.iter().find(|model| model.name == *name) else {
        return false;
    };
    usable(sheet, model, known, &|_| false).is_empty()
}

fn usable(
    sheet: &Sheet,
    model: &Deployment,
    known: &LoadedModels,
    barred: &dyn Fn(&Target) -> bool,
) -> Vec<Target> {
    let ready = |target: &Target| {
        known
            .get(target)
            .map(|loaded| is_ready(loaded, &model.name))
    };
    let open = || sheet.targets.iter().filter(|target| !barred(&target.name));
    let mut usable = Vec::new();
    let mut seen_ready = false;
    for target in open().filter(|target| model.targets.contains(&target.name)) {
        let state = ready(&target.name);
        seen_ready |= state == Some(true);
        if state != Some(false) {
            usable.push(target.name.clone());
        }
    }
    if !seen_ready {
        let others = open().filter(|target| !model.targets.contains(&target.name));
        let still = others.filter(|target| ready(&target.name) == Some(true));
        usable.extend(still.map(|target| target.name.clone()));
    }
    usable
}

fn is_ready(loaded: &[LoadedModel], model: &Model) -> bool {
    let serves = |loaded: &LoadedModel| loaded.ready && loaded.adapter.is_none();
    loaded
        .iter()
        .any(|loaded| serves(loaded) && loaded.model == *model)
}
