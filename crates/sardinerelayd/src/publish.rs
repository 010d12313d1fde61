//! Turns the state that the control thread publishes into the snapshot that traffic threads read.

use {
    crate::{
        control::PublishedView,
        schedule::Scheduler,
        snapshot::{SharedView, View},
    },
    log::info,
    sardinerelay::{
        fleet::{Entry, Listed},
        ledger::Owner,
        state::Subject,
    },
    std::{collections::BTreeSet, sync::Arc},
    tokio::sync::watch,
};

/// Stores a new view for each published state and each target restart, until the control thread
/// ends.
pub async fn run(
    mut published: watch::Receiver<Arc<PublishedView>>,
    view: SharedView,
    changes: watch::Sender<u64>,
    scheduler: Arc<Scheduler>,
) {
    let mut restarts = scheduler.restarts();
    loop {
        let current = published.borrow_and_update().clone();
        let before = view.load().sheet.as_ref().map(|sheet| sheet.number);
        let next = build_view(&current, &scheduler);
        let number = next.sheet.as_ref().map(|sheet| sheet.number);
        view.store(Arc::new(next));
        scheduler.merge_fleet_entries(&leave_entries(&current));
        changes.send_replace(current.version);
        if number != before
            && let Some(number) = number
        {
            info!("sheet {number} is in force at version {}", current.version);
        }
        tokio::select! {
            changed = published.changed() => if changed.is_err() {
                return;
            },
            // A planned stop of a target ends when the target restarts.
            _ = restarts.changed() => {}
        }
    }
}

/// Waits until an operator plans a stop of this process.
pub async fn await_planned_stop(mut published: watch::Receiver<Arc<PublishedView>>, owner: Owner) {
    let is_stop_planned = |published: &Arc<PublishedView>| {
        let planned = published.stops.get(&Subject::Host(owner.host));
        planned.is_some_and(|planned| planned.incarnation >= owner.incarnation)
    };
    if published.wait_for(is_stop_planned).await.is_err() {
        // The control thread has ended; `Handle::ended` reports that as a reason to stop.
        std::future::pending::<()>().await;
    }
}

/// Builds the view of a published state.
fn build_view(published: &PublishedView, scheduler: &Scheduler) -> View {
    let mut leaving = BTreeSet::new();
    for (subject, planned) in &published.stops {
        if let Subject::Target(target) = subject {
            // A stop applies to one incarnation of the target; a later one gets work again.
            let known = scheduler.incarnation(target).unwrap_or_default();
            if known <= planned.incarnation {
                leaving.insert(target.clone());
            }
        }
    }
    View::new(published.version, published.sheet.clone(), leaving)
}

/// Fleet entries for the replicated leave records and for planned stops, which also mean that the
/// stopped incarnation is leaving.
fn leave_entries(published: &PublishedView) -> Vec<Entry> {
    let leaves = published
        .leaves
        .targets
        .iter()
        .map(|(target, incarnation)| (target, *incarnation));
    let stops = published
        .stops
        .iter()
        .filter_map(|(subject, planned)| match subject {
            Subject::Target(target) => Some((target, planned.incarnation)),
            Subject::Host(_) => None,
        });
    let entries = leaves.chain(stops).map(|(target, incarnation)| Entry {
        target: target.clone(),
        incarnation,
        listed: Listed::Leaving,
    });
    entries.collect()
}
