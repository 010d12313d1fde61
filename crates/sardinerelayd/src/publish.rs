//! Turns what the control thread publishes into the snapshot that traffic reads.

use {
    crate::{
        control::Published,
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

/// Follows the control thread until it ends.
pub async fn run(
    mut published: watch::Receiver<Arc<Published>>,
    view: SharedView,
    changes: watch::Sender<u64>,
    scheduler: Arc<Scheduler>,
) {
    let mut restarts = scheduler.restarts();
    loop {
        let current = published.borrow_and_update().clone();
        let before = view.load().sheet.as_ref().map(|sheet| sheet.number);
        let next = snapshot(&current, &scheduler);
        let number = next.sheet.as_ref().map(|sheet| sheet.number);
        view.store(Arc::new(next));
        scheduler.observe(&leaves(&current));
        changes.send_replace(current.version);
        if number != before
            && let Some(number) = number
        {
            info!("sheet {number} is in force, version {}", current.version);
        }
        tokio::select! {
            changed = published.changed() => if changed.is_err() {
                return;
            },
            // A new run of a target ends the stop of the run before.
            _ = restarts.changed() => {}
        }
    }
}

/// Waits until a stop of this process is planned.
pub async fn stop_planned(mut published: watch::Receiver<Arc<Published>>, owner: Owner) {
    let stops = |published: &Arc<Published>| {
        let planned = published.stops.get(&Subject::Host(owner.host));
        planned.is_some_and(|planned| planned.incarnation >= owner.incarnation)
    };
    if published.wait_for(stops).await.is_err() {
        // The end of the control thread is another reason to stop, told elsewhere.
        std::future::pending::<()>().await;
    }
}

fn snapshot(published: &Published, scheduler: &Scheduler) -> View {
    let mut leaving = BTreeSet::new();
    for (subject, planned) in &published.stops {
        if let Subject::Target(target) = subject {
            // A stop is for one run of the target; a later run is wanted again.
            let known = scheduler.incarnation(target).unwrap_or_default();
            if known <= planned.incarnation {
                leaving.insert(target.clone());
            }
        }
    }
    View::new(published.version, published.sheet.clone(), leaving)
}

/// Replicated leaves, and planned stops, which are leaves of that run too.
fn leaves(published: &Published) -> Vec<Entry> {
    let left = published
        .leaves
        .targets
        .iter()
        .map(|(target, run)| (target, *run));
    let stops = published
        .stops
        .iter()
        .filter_map(|(subject, planned)| match subject {
            Subject::Target(target) => Some((target, planned.incarnation)),
            Subject::Host(_) => None,
        });
    let entries = left.chain(stops).map(|(target, incarnation)| Entry {
        target: target.clone(),
        incarnation,
        listed: Listed::Leaving,
    });
    entries.collect()
}
