//! Sends this host's [`AllocationReport`]s to the allocating host.

use {
    crate::{
        entry::EntryHost,
        group::{AllocationReport, REPORT_METHOD},
    },
    log::debug,
    sardinerelayd::peer::Packed,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Timeout for writing reports to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends reports to the allocating host until their sender is gone. All that are queued go in one
/// message. Reports are dropped while the allocating host can't be reached; the engines' load
/// reports then show the same, only later.
pub async fn run(entry: Arc<EntryHost>, mut outgoing: UnboundedReceiver<AllocationReport>) {
    while let Some(first) = outgoing.recv().await {
        let mut reports = vec![first];
        while let Ok(next) = outgoing.try_recv() {
            reports.push(next);
        }
        let Some(client) = entry.remote.client() else {
            continue;
        };
        if let Err(error) = client
            .notify(REPORT_METHOD, &Packed(reports), SEND_TIMEOUT)
            .await
        {
            debug!("reporting to {} failed: {error}", client.address());
        }
    }
}
