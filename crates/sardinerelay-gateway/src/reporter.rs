//! Tells the allocating host what becomes of places.

use {
    crate::{
        entry::EntryHost,
        group::{REPORT, Report},
    },
    log::debug,
    sardinerelayd::peer::Packed,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Deadline of handing reports to a connection.
const SEND: Duration = Duration::from_millis(300);

/// Sends reports to the allocating host, for ever. They are lost while no host allocates; load
/// reports of engines make up for them.
pub async fn run(entry: Arc<EntryHost>, mut outgoing: UnboundedReceiver<Report>) {
    while let Some(first) = outgoing.recv().await {
        let mut reports = vec![first];
        while let Ok(next) = outgoing.try_recv() {
            reports.push(next);
        }
        let Some(client) = entry.remote.client() else {
            continue;
        };
        if let Err(error) = client.notify(REPORT, &Packed(reports), SEND).await {
            debug!("reports to {} are lost: {error}", client.address());
        }
    }
}
