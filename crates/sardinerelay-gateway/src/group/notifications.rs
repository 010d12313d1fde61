//! Notifications from other hosts, which get no response.

use {
    super::{
        Handle,
        channels::Input,
        method::{
            ANSWERED_METHOD, BEGAN_METHOD, COMPLETED_METHOD, LATE_CRASH_METHOD, LIMIT_METHOD,
            LOADS_METHOD, MISDIRECTED_METHOD, PACE_METHOD, REPORT_METHOD, REQUEST_METHOD,
            RUNNING_METHOD,
        },
        origins,
        report::{AllocationReport, RequestReport, RunningRequest},
    },
    crate::{
        allocator::Allocator,
        call::PartId,
        limit::permit,
        observer::division::LoadsReport,
        origin::Began,
        pace::Pace,
        quarantine::LateCrash,
        targets::{Misdirected, RunId},
    },
    log::{debug, warn},
    sardinerelay::id::Host,
    sardinerelayd::peer::{NotificationHandler, Packed, STEP, SharedCounters, Step},
    serde::de::DeserializeOwned,
    std::{sync::Arc, time::Instant},
    tokio::sync::mpsc,
};

/// What the notifications of other hosts act on.
pub(super) struct NotificationContext {
    pub(super) own_id: Host,
    pub(super) handle: Handle,
    pub(super) allocator: Arc<Allocator>,
    pub(super) loads: mpsc::Sender<LoadsReport>,
}

/// Returns a handler that applies notifications to `context`.
pub(super) fn notification_handler(
    context: NotificationContext,
    counters: SharedCounters,
) -> NotificationHandler {
    NotificationHandler::new(move |method, parameters| {
        counters.count_received();
        let handled = match method {
            STEP => context.step(parameters),
            REPORT_METHOD => context.apply_reports(parameters),
            LIMIT_METHOD => context.apply_limits(parameters),
            RUNNING_METHOD => context.apply_running(parameters),
            REQUEST_METHOD => context.apply_request_reports(parameters),
            COMPLETED_METHOD => context.apply_completions(parameters),
            LATE_CRASH_METHOD => context.apply_late_crashes(parameters),
            ANSWERED_METHOD => context.adopt_answered_parts(parameters),
            MISDIRECTED_METHOD => context.give_back(parameters),
            BEGAN_METHOD => context.apply_began(parameters),
            PACE_METHOD => context.apply_paces(parameters),
            LOADS_METHOD => context.pass_loads(parameters),
            _ => Ok(()),
        };
        if let Err(error) = handled {
            warn!(method = method, reason:% = error; "received an invalid notification");
        }
    })
}

/// Parses the packed parameter of a notification.
fn parse<Parameter>(parameters: &str) -> Result<Parameter, serde_json::Error>
where
    Parameter: DeserializeOwned,
{
    let (Packed(parameter),): (Packed<Parameter>,) = serde_json::from_str(parameters)?;
    Ok(parameter)
}

impl NotificationContext {
    /// Hands messages to the replica. They are dropped while its queue is full: the consensus
    /// tolerates the loss.
    fn step(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let (step,): (Step,) = serde_json::from_str(parameters)?;
        let Step { from, to, messages } = step;
        if to != self.own_id {
            debug!("dropped messages from replica {from} to replica {to}, which ran here before");
            return Ok(());
        }
        if let Err(error) = self.handle.inputs.try_send(Input::Step(from, messages.0)) {
            debug!("dropped messages from replica {from}: {error}");
        }
        Ok(())
    }

    /// Applies changes of rate limits.
    fn apply_limits(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let changes: Vec<permit::Change> = parse(parameters)?;
        for change in &changes {
            self.allocator.apply_limit(change);
        }
        Ok(())
    }

    /// Takes over running requests from the host that allocated before.
    fn apply_running(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let reports: Vec<RunningRequest> = parse(parameters)?;
        self.allocator.adopt_running(&reports);
        Ok(())
    }

    /// Applies reports of requests that may make targets crash.
    fn apply_request_reports(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let reports: Vec<RequestReport> = parse(parameters)?;
        for report in &reports {
            self.allocator.record_request(report);
        }
        Ok(())
    }

    /// Records that requests were answered to the end.
    fn apply_completions(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let runs: Vec<RunId> = parse(parameters)?;
        runs.into_iter()
            .for_each(|run| self.allocator.record_completed(run));
        Ok(())
    }

    /// Records crashes of engines that had begun to answer requests.
    fn apply_late_crashes(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let crashes: Vec<LateCrash> = parse(parameters)?;
        for late in &crashes {
            self.allocator.record_late_crash(late);
        }
        Ok(())
    }

    /// Remembers the parts that were answered while another host allocated.
    fn adopt_answered_parts(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let parts: Vec<PartId> = parse(parameters)?;
        self.allocator.adopt_answered_parts(&parts);
        Ok(())
    }

    /// Records how fast engines decode.
    fn apply_paces(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let paces: Vec<Pace> = parse(parameters)?;
        let now = Instant::now();
        let mut state = self.allocator.state();
        paces
            .iter()
            .for_each(|pace| state.targets.record_pace(pace, now));
        Ok(())
    }

    /// Gives back requests that targets didn't get.
    fn give_back(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let misdirected: Vec<Misdirected> = parse(parameters)?;
        let mut state = self.allocator.state();
        for target in &misdirected {
            state.targets.give_back(target, Instant::now());
        }
        Ok(())
    }

    /// Passes load reports on to the observer. They are dropped while its queue is full, since newer ones follow.
    fn pass_loads(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let report: LoadsReport = parse(parameters)?;
        if let Err(error) = self.loads.try_send(report) {
            debug!("dropped load reports that another voter read: {error}");
        }
        Ok(())
    }

    /// Remembers which builds began streams.
    fn apply_began(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let began: Vec<Began> = parse(parameters)?;
        origins::record(&self.allocator, &began);
        Ok(())
    }

    /// Applies reports to the allocator.
    fn apply_reports(&self, parameters: &str) -> Result<(), serde_json::Error> {
        let reports: Vec<AllocationReport> = parse(parameters)?;
        for report in reports {
            match report {
                AllocationReport::Sent(sent) => {
                    let mut state = self.allocator.state();
                    state.targets.record_remote_send(&sent, Instant::now());
                }
                AllocationReport::Full(target) => {
                    // The engine refused the memory, so the generation wasn't sent there.
                    let mut state = self.allocator.state();
                    state.targets.give_back_any(&target, Instant::now());
                    drop(state);
                    self.allocator.record_no_room(&target);
                }
                AllocationReport::Started(run) => self.allocator.record_started(run),
                AllocationReport::Ended(run) => self.allocator.release(run),
                AllocationReport::Moved(run, succeeded) => {
                    self.allocator.finish_move(run, succeeded)
                }
                AllocationReport::Crashed(crash) => self.allocator.record_crash(&crash),
                AllocationReport::Refused(parts) => self.allocator.adopt_refused_parts(&parts),
            }
        }
        Ok(())
    }
}
