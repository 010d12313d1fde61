//! Reports to the allocating host what became of the engines that were allocated.

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

/// Time to write reports to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends reports to the allocating host until the sender is gone. All that have arrived go in one
/// message. Reports are dropped while the allocating host can't be reached; the load reports of
/// engines make up for them.
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
