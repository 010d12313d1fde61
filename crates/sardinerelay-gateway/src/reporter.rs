//! Sends this host's reports to the allocating host.

use {
    crate::{
        call::PartId,
        entry::EntryHost,
        group::{
            ANSWERED_METHOD, AllocationReport, COMPLETED_METHOD, LATE_CRASH_METHOD, LIMIT_METHOD,
            MISDIRECTED_METHOD, PACE_METHOD, REPORT_METHOD, REQUEST_METHOD, RUNNING_METHOD,
            RequestReport, RunningRequest,
        },
        limit::permit,
        pace::{Batch, Pace},
        quarantine::LateCrash,
        targets::{Misdirected, RunId},
    },
    log::debug,
    sardinerelayd::peer::Packed,
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
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
    /// A request was answered to the end.
    Completed(RunId),
    /// An engine crashed that had begun to answer a request.
    LateCrash(LateCrash),
    /// What is known of a request that may make targets crash.
    Request(RequestReport),
    /// A target didn't get a request that was counted for it.
    Misdirected(Misdirected),
    /// A request runs, which a host that begins to allocate doesn't know.
    Running(RunningRequest),
    /// The parts of prompts that were answered last, which a host that begins to allocate doesn't know.
    AnsweredParts(Vec<PartId>),
    /// How fast an engine decoded a generation.
    Pace(Pace),
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

impl From<Misdirected> for Report {
    fn from(misdirected: Misdirected) -> Self {
        Self::Misdirected(misdirected)
    }
}

impl From<LateCrash> for Report {
    fn from(late: LateCrash) -> Self {
        Self::LateCrash(late)
    }
}

impl From<Pace> for Report {
    fn from(pace: Pace) -> Self {
        Self::Pace(pace)
    }
}

impl From<RunningRequest> for Report {
    fn from(report: RunningRequest) -> Self {
        Self::Running(report)
    }
}

impl From<RequestReport> for Report {
    fn from(report: RequestReport) -> Self {
        Self::Request(report)
    }
}

/// Sends reports to the allocating host until their sender is gone. All of one kind that are queued go in
/// one message. Reports are dropped while the host can't be reached; what targets say then shows the same,
/// only later.
pub async fn run(entry: Arc<EntryHost>, mut outgoing: UnboundedReceiver<Report>) {
    let mut paces = Batch::default();
    while let Some(first) = outgoing.recv().await {
        let (mut allocations, mut limits) = (Vec::new(), Vec::new());
        let (mut requests, mut running) = (Vec::new(), Vec::new());
        let (mut completed, mut late_crashes) = (Vec::new(), Vec::new());
        let (mut misdirected, mut answered) = (Vec::new(), Vec::new());
        let mut next = Some(first);
        while let Some(report) = next {
            match report {
                Report::Allocation(report) => allocations.push(report),
                Report::Limit(change) => limits.push(change),
                Report::Request(report) => requests.push(report),
                Report::Misdirected(target) => misdirected.push(target),
                Report::Running(report) => running.push(report),
                Report::AnsweredParts(parts) => answered.extend(parts),
                Report::Completed(run) => completed.push(run),
                Report::LateCrash(late) => late_crashes.push(late),
                Report::Pace(pace) => paces.push(pace),
            }
            // Fails when the queue is empty.
            next = outgoing.try_recv().ok();
        }
        // Before the crashes that they help to judge.
        send(&entry, ANSWERED_METHOD, answered).await;
        // Before the ends of the same requests.
        send(&entry, COMPLETED_METHOD, completed).await;
        send(&entry, REPORT_METHOD, allocations).await;
        send(&entry, LATE_CRASH_METHOD, late_crashes).await;
        send(&entry, LIMIT_METHOD, limits).await;
        send(&entry, RUNNING_METHOD, running).await;
        send(&entry, REQUEST_METHOD, requests).await;
        send(&entry, PACE_METHOD, paces.take_due(Instant::now())).await;
        send(&entry, MISDIRECTED_METHOD, misdirected).await;
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
