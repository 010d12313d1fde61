//! Planned stops of hosts and targets, and their progress over all hosts.

use {
    super::{Answer, COMMIT, Context, not_ready, unexpected, unknown},
    crate::report::Report,
    log::info,
    sardinerelay::{
        id::{Incarnation, Version},
        operator::{Stage, StopProgress, StopRequest, StopWatch, Subject},
        state::{self, Command, Planned, Reply, Stop},
    },
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::{sleep, timeout},
};

/// Time that open work has to finish.
const GRACE: Duration = Duration::from_secs(600);

/// Interval in which a watched stop is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// The longest wait of one watch call.
const LONGEST_WATCH: Duration = Duration::from_secs(20);

/// Last progress told for each stop.
pub type ReportedStops = Mutex<BTreeMap<state::Subject, StopProgress>>;

impl Context {
    /// Commits a planned stop. Planning it twice has no further effect.
    pub(super) async fn plan(&self, request: StopRequest) -> Answer<StopProgress> {
        let subject = subject(&request.subject);
        let incarnation = self.incarnation(&request.subject).await?;
        let stop = Stop {
            subject,
            incarnation,
            at: SystemTime::now(),
            grace: GRACE,
        };
        match self.propose(Command::PlanStop(stop)).await? {
            Reply::Recorded(version) => {
                info!(
                    "planned stop of {} recorded at version {version}",
                    request.subject
                );
                self.await_version(version).await;
                Ok(self.progress(&request.subject, version).await)
            }
            reply => Err(unexpected(&reply)),
        }
    }

    /// Waits until this host has published the version, so that a watch through it tells of the
    /// same stop. The plan is committed either way.
    async fn await_version(&self, version: Version) {
        let mut published = self.control.published();
        let current = published.wait_for(|published| published.version >= version);
        if !matches!(timeout(COMMIT, current).await, Ok(Ok(_))) {
            info!("version {version} is not published here yet");
        }
    }

    /// Waits until the stop has moved on since the revision that the watcher saw.
    pub(super) async fn watch(&self, watch: StopWatch) -> Answer<StopProgress> {
        let wait = Duration::from_millis(watch.wait_ms).min(LONGEST_WATCH);
        let since = Instant::now();
        if self.planned(&watch.subject).is_none() {
            return Err(unknown(&format!("planned stop of {}", watch.subject)));
        }
        loop {
            let progress = self.progress(&watch.subject, 0).await;
            let moved = watch.seen.is_none_or(|seen| progress.revision > seen);
            if moved || since.elapsed() >= wait {
                return Ok(progress);
            }
            sleep(LOOK).await;
        }
    }

    /// The stop that is planned for the current run of the subject. The stop of an earlier run
    /// says nothing about work that a target receives now.
    fn planned(&self, name: &Subject) -> Option<Planned> {
        let published = self.control.published();
        let planned = published.borrow().stops.get(&subject(name)).cloned()?;
        let current = match name {
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

    /// The run of the host or target that a stop is for.
    async fn incarnation(&self, subject: &Subject) -> Answer<Incarnation> {
        match subject {
            Subject::Host(host) => {
                let reports = self.reports().await;
                let report = reports.iter().find(|report| report.host == *host);
                report
                    .map(|report| report.incarnation)
                    .ok_or_else(|| unknown(&format!("host {host} that answers")))
            }
            Subject::Target(target) => {
                let view = self.view.load();
                let server = view
                    .target(target)
                    .ok_or_else(|| unknown(&format!("target '{target}' in the sheet")))?;
                let reports = self.scheduler.load_reports();
                match reports.get(target) {
                    Some((load, _)) => Ok(load.incarnation()),
                    // Servers of plain services send no reports and have no runs.
                    None if server.memory_tokens == 0 => Ok(Incarnation::MIN),
                    // A stop of a guessed run would be confirmed without stopping the real one.
                    None => Err(not_ready(&format!(
                        "has no report of target '{target}' yet"
                    ))),
                }
            }
        }
    }

    async fn progress(&self, name: &Subject, version: u64) -> StopProgress {
        let reports = self.reports().await;
        let planned = self.planned(name);
        let version = version.max(self.control.published().borrow().version);
        let members = self.control.hosts().len() as u64;
        let confirmed = reports
            .iter()
            .filter(|report| report.version >= version)
            .count() as u64;
        let mut progress = StopProgress {
            subject: name.clone(),
            stage: Stage::Planned,
            revision: 0,
            unconfirmed_hosts: members.max(1).saturating_sub(confirmed),
            streams: 0,
            calls: 0,
            queued: 0,
            planned_at_ms: planned.map_or(0, |planned| unix_ms(planned.at)),
        };
        count(&mut progress, &reports);
        self.revise(subject(name), progress)
    }

    /// Numbers the progress, so that a watcher can tell it from what it saw.
    fn revise(&self, subject: state::Subject, mut progress: StopProgress) -> StopProgress {
        let mut seen = self.stops.lock().unwrap_or_else(PoisonError::into_inner);
        let before = seen.get(&subject).map_or(0, |before| before.revision);
        progress.revision = before;
        if seen.get(&subject) != Some(&progress) {
            progress.revision = before + 1;
            seen.insert(subject, progress.clone());
        }
        progress
    }
}

/// Counts what is left, and derives the stage.
fn count(progress: &mut StopProgress, reports: &[Report]) {
    match &progress.subject {
        Subject::Host(host) => {
            // A host that no longer answers has exited; the other hosts need not confirm its stop.
            let report = reports.iter().find(|report| report.host == *host);
            progress.unconfirmed_hosts =
                u64::from(report.is_some_and(|report| {
                    report.state != sardinerelay::operator::HostState::Stopping
                }));
            progress.streams = report.map_or(0, |report| report.streams);
            progress.queued = report.map_or(0, |report| report.queued);
            progress.stage = match report {
                None => Stage::Drained,
                Some(_) if progress.unconfirmed_hosts > 0 => Stage::Planned,
                Some(_) => Stage::Draining,
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
                (0, 0) => Stage::Drained,
                (0, _) => Stage::Draining,
                _ => Stage::Planned,
            };
        }
    }
}

fn subject(subject: &Subject) -> state::Subject {
    match subject {
        Subject::Host(host) => state::Subject::Host(*host),
        Subject::Target(target) => state::Subject::Target(target.clone()),
    }
}

/// Milliseconds since the Unix epoch.
pub(super) fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
