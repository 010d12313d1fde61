//! The platform's list of live and leaving targets.
//!
//! The list may be outdated. It can announce a leave that this host does not know yet, but it can't
//! revert one, because the scheduler compares incarnations.

use {
    crate::{engine::Client, schedule::Scheduler},
    compact_str::CompactString,
    http::Uri,
    log::{debug, warn},
    sardinerelay::fleet::{Entry, Listed},
    serde::Deserialize,
    serde_json::Value,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two requests for the list.
const TARGET_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failures after which a warning is logged.
const WARN_AFTER_FAILURES: u32 = 10;

/// The list as the platform sends it.
#[derive(Debug, Deserialize)]
pub struct TargetList {
    /// Parsed one by one, so that an odd entry hides no other.
    #[serde(default)]
    targets: BTreeMap<CompactString, Value>,
}

#[derive(Debug, Deserialize)]
struct ListedTarget {
    incarnation: CompactString,
    #[serde(default)]
    state: State,
}

#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    #[default]
    Live,
    Leaving,
}

/// Polls the list until the task is dropped.
pub async fn run(url: Uri, scheduler: Arc<Scheduler>, client: Client) {
    let mut failures = 0;
    loop {
        match client.json::<TargetList>(&url.to_string()).await {
            Ok(list) => {
                failures = 0;
                scheduler.merge_fleet_entries(&leaving_entries(list));
            }
            Err(error) => {
                failures += 1;
                debug!("can't get the platform's list of targets: {error}");
                if failures == WARN_AFTER_FAILURES {
                    warn!(
                        "can't get the platform's list of targets after {failures} attempts: {error}"
                    );
                }
            }
        }
        sleep(TARGET_LIST_POLL_INTERVAL).await;
    }
}

/// Returns the leaving targets in the list, without entries that can't be parsed. Live targets are left
/// out: their own reports are more recent than the list.
pub fn leaving_entries(list: TargetList) -> Vec<Entry> {
    let entries = list.targets.into_iter();
    entries
        .filter_map(|(name, entry)| leaving_entry(name, entry))
        .collect()
}

/// Returns the entry of a target that leaves.
fn leaving_entry(name: CompactString, entry: Value) -> Option<Entry> {
    let parsed = serde_json::from_value::<ListedTarget>(entry);
    let target = parsed
        .inspect_err(|error| debug!("can't read the list's entry of {name}: {error}"))
        .ok()?;
    let incarnation = target.incarnation.parse().ok()?;
    matches!(target.state, State::Leaving).then_some(Entry {
        target: name,
        incarnation,
        listed: Listed::Leaving,
    })
}
