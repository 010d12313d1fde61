//! The platform's list of live and leaving targets.
//!
//! The list lags. It can announce a leave that this host has not seen itself, but it never
//! reverts one: the scheduler's membership decides by incarnation.

use {
    crate::{engine::Client, schedule::Scheduler},
    compact_str::CompactString,
    http::Uri,
    log::{debug, warn},
    sardinerelay::fleet::{Entry, Listed},
    serde::Deserialize,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two readings.
const INTERVAL: Duration = Duration::from_millis(500);

/// Failed readings in a row after which a warning is logged.
const WARN_AFTER: u32 = 10;

#[derive(Debug, Deserialize)]
struct List {
    #[serde(default)]
    targets: BTreeMap<CompactString, Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    incarnation: CompactString,
    #[serde(default)]
    state: Phase,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Phase {
    #[default]
    Live,
    Leaving,
}

/// Reads the list until the task is aborted.
pub async fn run(url: Uri, scheduler: Arc<Scheduler>, client: Client) {
    let mut failures = 0;
    loop {
        match client.json::<List>(&url.to_string()).await {
            Ok(list) => {
                failures = 0;
                scheduler.observe(&entries(&list));
            }
            Err(error) => {
                failures += 1;
                debug!("the platform's list can't be read: {error}");
                if failures == WARN_AFTER {
                    warn!("the platform's list could not be read {failures} times: {error}");
                }
            }
        }
        sleep(INTERVAL).await;
    }
}

/// The leaves in the list. An entry that is live there adds nothing to what the target reports
/// itself, and may be out of date.
fn entries(list: &List) -> Vec<Entry> {
    let leaving = list
        .targets
        .iter()
        .filter(|(_, member)| matches!(member.state, Phase::Leaving));
    let entries = leaving.filter_map(|(name, member)| {
        Some(Entry {
            target: name.clone(),
            incarnation: member.incarnation.parse().ok()?,
            listed: Listed::Leaving,
        })
    });
    entries.collect()
}
