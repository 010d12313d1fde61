//! Sends this host's reports to the allocating host.

use {
    crate::{
        entry::EntryHost,
        group::{AllocationReport, LIMIT_METHOD, REPORT_METHOD, REQUEST_METHOD, RequestReport},
        limit::permit,
    },
    log::debug,
    sardinerelayd::peer::Packed,
    serde::Serialize,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Timeout for writing reports to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// A report to the allocating host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// What became of a request.
    Allocation(AllocationReport),
    /// A target has stated another rate limit.
    Limit(permit::Change),
    /// What is known of a request that may make targets crash.
    Request(RequestReport),
}

impl From<AllocationReport> for Report {
    fn from(report: AllocationReport) -> Self {
        Self::Allocation(report)
    }
}

impl From<permit::Change> for Report {
    fn from(change: permit::Change) -> Self {
        Self::Limit(change)
    }
}

impl From<RequestReport> for Report {
    fn from(report: RequestReport) -> Self {
        Self::Request(report)
    }
}

/// Sends reports to the allocating host until their sender is gone. All of one kind that are queued
/// go in one message. Reports are dropped while the allocating host can't be reached; what targets
/// say then shows the same, only later.
pub async fn run(entry: Arc<EntryHost>, mut outgoing: UnboundedReceiver<Report>) {
    while let Some(first) = outgoing.recv().await {
        let (mut allocations, mut limits, mut requests) = (Vec::new(), Vec::new(), Vec::new());
        let mut next = Some(first);
        while let Some(report) = next {
            match report {
                Report::Allocation(report) => allocations.push(report),
                Report::Limit(change) => limits.push(change),
                Report::Request(report) => requests.push(report),
            }
            // Fails when the queue is empty.
            next = outgoing.try_recv().ok();
        }
        send(&entry, REPORT_METHOD, allocations).await;
        send(&entry, LIMIT_METHOD, limits).await;
        send(&entry, REQUEST_METHOD, requests).await;
    }
}

/// Sends reports of one kind in one message, if there are any.
async fn send<Kind>(entry: &EntryHost, method: &'static str, reports: Vec<Kind>)
where
    Kind: Serialize,
{
    if reports.is_empty() {
        return;
    }
    let Some(client) = entry.remote.client() else {
        return;
    };
    let sent = client.notify(method, &Packed(reports), SEND_TIMEOUT).await;
    if let Err(error) = sent {
        debug!("reporting to {} failed: {error}", client.address());
    }
}
