//! Planned stops of hosts and targets, and their progress on all hosts.

use {
    super::{CHANGE_COMMIT_TIMEOUT, Context, RpcResult, not_ready, unexpected_reply, unknown_name},
    crate::report::Report,
    log::info,
    sardinerelay::{
        id::{Incarnation, Version},
        operator::{StopProgress, StopRequest, StopStage, StopWatchRequest, Subject},
        state::{self, Command, PlannedStop, Reply, Stop},
        unix_time::unix_ms,
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant, SystemTime},
    },
    tokio::time::{sleep, timeout},
};

/// Time that a planned stop gives open requests to finish.
const STOP_GRACE: Duration = Duration::from_secs(600);

/// Interval of the checks of a watched stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Longest time that one watch call waits for progress.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Last reported progress of each stop.
pub type ReportedStops = Mutex<BTreeMap<state::Subject, StopProgress>>;

impl Context {
    /// Commits a planned stop. The operation is idempotent.
    pub(super) async fn plan(&self, request: StopRequest) -> RpcResult<StopProgress> {
        let subject = state_subject(&request.subject);
        let incarnation = self.incarnation(&request.subject).await?;
        let stop = Stop {
            subject,
            incarnation,
            at: SystemTime::now(),
            grace: STOP_GRACE,
        };
        match self.propose(Command::PlanStop(stop)).await? {
            Reply::Recorded(version) => {
                info!(
                    "recorded the planned stop of {} at version {version}",
                    request.subject
                );
                self.await_version(version).await;
                Ok(self.progress(&request.subject, version).await)
            }
            reply => Err(unexpected_reply(&reply)),
        }
    }

    /// Waits until this host has published the version, so that a watch through this host reports
    /// the same stop. The stop is committed whether or not this succeeds.
    async fn await_version(&self, version: Version) {
        let mut published = self.control.published();
        let current = published.wait_for(|published| published.version >= version);
        if !matches!(timeout(CHANGE_COMMIT_TIMEOUT, current).await, Ok(Ok(_))) {
            info!("version {version} is not published on this host yet");
        }
    }

    /// Waits until the progress of the stop is newer than the revision that the watcher has seen.
    pub(super) async fn watch(&self, watch: StopWatchRequest) -> RpcResult<StopProgress> {
        let wait = Duration::from_millis(watch.wait_ms).min(MAX_WATCH_WAIT);
        let since = Instant::now();
        if self.current_stop(&watch.subject).is_none() {
            return Err(unknown_name(&format!("planned stop of {}", watch.subject)));
        }
        loop {
            let progress = self.progress(&watch.subject, 0).await;
            let is_new = watch.seen.is_none_or(|seen| progress.revision > seen);
            if is_new || since.elapsed() >= wait {
                return Ok(progress);
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Returns the stop that is planned for the current incarnation of the subject, if any. A stop
    /// of an earlier incarnation doesn't apply to requests that the subject gets now.
    fn current_stop(&self, subject: &Subject) -> Option<PlannedStop> {
        let published = self.control.published();
        let planned = published
            .borrow()
            .stops
            .get(&state_subject(subject))
            .cloned()?;
        let current = match subject {
            Subject::Host(_) => planned.incarnation,
            Subject::Target(target) => {
                let reports = self.scheduler.load_reports();
                reports
                    .get(target)
                    .map_or(planned.incarnation, |(load, _)| load.incarnation())
            }
        };
        (planned.incarnation >= current).then_some(planned)
    }

    /// Returns the current incarnation of the host or target that is to stop.
    async fn incarnation(&self, subject: &Subject) -> RpcResult<Incarnation> {
        match subject {
            Subject::Host(host) => {
                let reports = self.reports().await;
                let report = reports.iter().find(|report| report.host == *host);
                report
                    .map(|report| report.incarnation)
                    .ok_or_else(|| unknown_name(&format!("host {host} that answers")))
            }
            Subject::Target(target) => {
                let view = self.view.load();
                let server = view
                    .target(target)
                    .ok_or_else(|| unknown_name(&format!("target '{target}' in the sheet")))?;
                let reports = self.scheduler.load_reports();
                match reports.get(target) {
                    Some((load, _)) => Ok(load.incarnation()),
                    // Servers of plain services send no reports and have no incarnation.
                    None if server.memory_tokens == 0 => Ok(Incarnation::MIN),
                    // A stop of a guessed incarnation would be confirmed without any effect on the
                    // real one.
                    None => Err(not_ready(&format!(
                        "has no report of target '{target}' yet"
                    ))),
                }
            }
        }
    }

    /// Gathers the progress of a stop from all hosts. Hosts count as unconfirmed while their
    /// version is older than `version` or than this host's.
    async fn progress(&self, subject: &Subject, version: u64) -> StopProgress {
        let reports = self.reports().await;
        let planned = self.current_stop(subject);
        let version = version.max(self.control.published().borrow().version);
        let hosts = self.control.hosts().len() as u64;
        let confirmed = reports
            .iter()
            .filter(|report| report.version >= version)
            .count() as u64;
        let mut progress = StopProgress {
            subject: subject.clone(),
            stage: StopStage::Planned,
            revision: 0,
            unconfirmed_hosts: hosts.max(1).saturating_sub(confirmed),
            streams: 0,
            calls: 0,
            queued: 0,
            planned_at_ms: planned.map_or(0, |planned| unix_ms(planned.at)),
        };
        count_remaining(&mut progress, &reports);
        self.with_revision(state_subject(subject), progress)
    }

    /// Sets the revision, which is one higher than the last reported one if the progress has
    /// changed.
    fn with_revision(&self, subject: state::Subject, mut progress: StopProgress) -> StopProgress {
        let mut reported = self
            .reported_stops
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let before = reported.get(&subject).map_or(0, |before| before.revision);
        progress.revision = before;
        if reported.get(&subject) != Some(&progress) {
            progress.revision = before + 1;
            reported.insert(subject, progress.clone());
        }
        progress
    }
}

/// Counts open requests and calls, and derives the stage of the stop.
fn count_remaining(progress: &mut StopProgress, reports: &[Report]) {
    match &progress.subject {
        Subject::Host(host) => {
            // A host that doesn't answer counts as exited. The other hosts don't have to confirm
            // the stop of a host.
            let report = reports.iter().find(|report| report.host == *host);
            progress.unconfirmed_hosts =
                u64::from(report.is_some_and(|report| {
                    report.state != sardinerelay::operator::HostState::Stopping
                }));
            progress.streams = report.map_or(0, |report| report.streams);
            progress.queued = report.map_or(0, |report| report.queued);
            progress.stage = match report {
                None => StopStage::Drained,
                Some(_) if progress.unconfirmed_hosts > 0 => StopStage::Planned,
                Some(_) => StopStage::Draining,
            };
        }
        Subject::Target(target) => {
            let calls = reports.iter().filter_map(|report| report.calls.get(target));
            progress.calls = calls.sum();
            let in_flight = reports
                .iter()
                .filter_map(|report| report.in_flight.get(target));
            progress.streams = in_flight.sum();
            progress.stage = match (
                progress.unconfirmed_hosts,
                progress.streams + progress.calls,
            ) {
                (0, 0) => StopStage::Drained,
                (0, _) => StopStage::Draining,
                _ => StopStage::Planned,
            };
        }
    }
}

fn state_subject(subject: &Subject) -> state::Subject {
    match subject {
        Subject::Host(host) => state::Subject::Host(*host),
        Subject::Target(target) => state::Subject::Target(target.clone()),
    }
}
