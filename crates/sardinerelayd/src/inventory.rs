//! Decides which engines get requests for which models, from the sheet and the loaded models.
//!
//! An engine that was never queried is assumed to serve the models that the sheet places on it.
//! That is safe, because it refuses requests for models that it has not loaded as "not run".

use {
    crate::engine::LoadedModel,
    sardinerelay::{
        id::{Model, Target},
        sheet::{Deployment, Sheet},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The models that each engine has loaded, for engines that were queried successfully.
pub type LoadedModels = BTreeMap<Target, Vec<LoadedModel>>;

/// The models for which each target gets requests.
pub type Routes = BTreeMap<Target, Vec<Model>>;

/// Routes each model to those of its engines in the sheet that have it ready. Any version counts,
/// so that the previous version serves until the new one is loaded. While none of them has it
/// ready, other engines that still have it stay in use. Targets for which `excluded` is true get
/// nothing.
pub fn routes<Excluded>(sheet: &Sheet, loaded_models: &LoadedModels, excluded: Excluded) -> Routes
where
    Excluded: Fn(&Target) -> bool,
{
    let mut routes = Routes::new();
    for model in &sheet.models {
        for target in usable_targets(sheet, model, loaded_models, &excluded) {
            routes.entry(target).or_default().push(model.name.clone());
        }
    }
    routes
}

/// Engines that get requests for a model that the sheet does not place on them.
pub fn surplus(sheet: &Sheet, routes: &Routes) -> BTreeSet<Target> {
    let is_in_sheet = |target: &Target, name: &Model| {
        let model = sheet.models.iter().find(|model| model.name == *name);
        model.is_some_and(|model| model.targets.contains(target))
    };
    routes
        .iter()
        .filter(|(target, models)| models.iter().any(|model| !is_in_sheet(target, model)))
        .map(|(target, _)| target.clone())
        .collect()
}

/// Whether all engines that could serve the model were queried and none has it ready.
pub fn has_no_ready_engine(sheet: &Sheet, loaded_models: &LoadedModels, name: &Model) -> bool {
    let Some(model) = sheet.models.iter().find(|model| model.name == *name) else {
        return false;
    };
    usable_targets(sheet, model, loaded_models, &|_| false).is_empty()
}

/// The targets that get requests for the model; see [`routes`].
fn usable_targets(
    sheet: &Sheet,
    model: &Deployment,
    loaded_models: &LoadedModels,
    excluded: &dyn Fn(&Target) -> bool,
) -> Vec<Target> {
    let readiness = |target: &Target| {
        loaded_models
            .get(target)
            .map(|loaded| is_ready(loaded, &model.name))
    };
    let candidates = || {
        sheet
            .targets
            .iter()
            .filter(|target| !excluded(&target.name))
    };
    let mut usable = Vec::new();
    let mut any_ready = false;
    for target in candidates().filter(|target| model.targets.contains(&target.name)) {
        let readiness = readiness(&target.name);
        any_ready |= readiness == Some(true);
        if readiness != Some(false) {
            usable.push(target.name.clone());
        }
    }
    if !any_ready {
        let others = candidates().filter(|target| !model.targets.contains(&target.name));
        let still_ready = others.filter(|target| readiness(&target.name) == Some(true));
        usable.extend(still_ready.map(|target| target.name.clone()));
    }
    usable
}

/// Whether the model itself, not only an adapter of it, is ready in any version.
fn is_ready(loaded: &[LoadedModel], model: &Model) -> bool {
    let serves = |loaded: &LoadedModel| loaded.ready && loaded.adapter.is_none();
    loaded
        .iter()
        .any(|loaded| serves(loaded) && loaded.model == *model)
}
