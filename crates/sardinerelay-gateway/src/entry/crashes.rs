//! Requests that make targets crash, as an entry host deals with them.
//!
//! The allocating host decides which requests are refused. It is told of crashes, and of answers to
//! requests that it suspects. See `docs/design/admission.md`.

use {
    super::{EntryHost, MIN_REPORTED_REFUSAL},
    crate::{
        call::PartId,
        group::{AllocationReport, RequestCrash, RequestReport},
        observations::Instance,
        quarantine::{Crash, LateCrash, Subject},
        reporter::Report,
        request::Job,
        targets::RunId,
    },
    log::{info, warn},
    sardinerelay::id::Target,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time that a target's process has to end after its connection broke, before it is checked.
const END_TIME: Duration = Duration::from_millis(30);
/// Time for which crashes are reported again to a host that begins to allocate.
const REPORT_LIFETIME: Duration = Duration::from_secs(120);
/// Largest number of answered parts that are reported to a host that begins to allocate. All hosts report at
/// the same time then.
const MAX_ANSWERED_PARTS: usize = 512;
/// Largest number of crashes that are reported again. The oldest makes room for another.
const MAX_REPORTS: usize = 64;

/// A crash that was confirmed: the target's process had ended.
#[derive(Debug, Clone)]
struct Confirmed {
    crash: RequestCrash,
    /// The parts of the request's prompt that other requests may share.
    parts: Vec<PartId>,
    /// Time from the first event of the answer to the crash; none if there was no event.
    lasted: Option<Duration>,
}

impl Confirmed {
    /// Returns the report of a crash that came after the first event and was seen at `at`, with the parts that may
    /// be the cause; none if it came before.
    fn late(&self, parts: Vec<PartId>, at: Instant) -> Option<LateCrash> {
        let crash = Crash {
            request: self.crash.request,
            target: self.crash.target.clone(),
            incarnation: self.crash.incarnation,
            subjects: parts,
        };
        self.lasted.map(|lasted| LateCrash {
            crash,
            run: self.crash.run,
            lasted,
            age: at.elapsed(),
        })
    }
}

/// Crashes that this host has reported, for a host that begins to allocate.
#[derive(Debug, Default)]
pub(crate) struct Recent(Mutex<VecDeque<(Instant, Confirmed)>>);

impl Recent {
    fn push(&self, at: Instant, crash: Confirmed) {
        let mut crashes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if crashes.len() >= MAX_REPORTS {
            crashes.pop_front();
        }
        crashes.push_back((at, crash));
    }

    /// Returns the crashes within `REPORT_LIFETIME`, and when they were seen.
    fn all(&self) -> Vec<(Instant, Confirmed)> {
        let mut crashes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.retain(|(at, _)| at.elapsed() < REPORT_LIFETIME);
        crashes.iter().cloned().collect()
    }
}

impl EntryHost {
    /// Returns for how long a request is refused because it makes targets crash, none if it isn't.
    /// Reports this, because the host that allocates may have taken over from the one that found
    /// out.
    pub fn refuse_request(&self, job: &Job) -> Option<Duration> {
        let request = self.watched(job)?;
        let now = Instant::now();
        let refused = self.state().requests.refused_among(&[request], now);
        let remaining = refused.first()?.remaining;
        if remaining > MIN_REPORTED_REFUSAL {
            self.report(RequestReport::Refused(refused));
        }
        Some(remaining)
    }

    /// Whether a request was at a target that crashed, and was not answered since.
    pub fn is_suspect(&self, job: &Job) -> bool {
        let request = self.watched(job);
        request.is_some_and(|request| self.state().requests.is_suspect(request))
    }

    /// Records that a target has answered a request to the end, so that it didn't crash.
    pub fn record_answered(&self, job: &Job) {
        let Some(request) = self.watched(job) else {
            return;
        };
        let mut state = self.state();
        if state.requests.is_suspect(request) {
            state.requests.clear(request);
            drop(state);
            self.report(RequestReport::Answered(request));
        }
    }

    /// Returns a request's fingerprint, none while no request at all is suspect or refused.
    fn watched(&self, job: &Job) -> Option<Subject> {
        let is_empty = self.state().requests.is_empty(Instant::now());
        (!is_empty).then(|| job.fingerprint())
    }

    /// Records that a target's connection broke before it had answered a request to the end, `lasted` after the first
    /// event if there was one. If the target has ended, the request may be the cause. One that was about to stop isn't
    /// taken to have crashed. Returns the request's fingerprint.
    pub fn record_lost(
        self: &Arc<Self>,
        job: &Job,
        target: &Target,
        (run, parts): (RunId, &[PartId]),
        lasted: Option<Duration>,
    ) -> Subject {
        let request = job.fingerprint();
        let organisation = job.organisation.as_ref();
        info!(
            request = job.call.id.as_str(), content:% = format_args!("{request:016x}"),
            path = job.head.uri.path(), organisation = organisation.map_or("", |name| name.as_str()),
            target_id = target.as_str();
            "a request was lost at its target"
        );
        let now = Instant::now();
        let state = self.state();
        let known = state.targets.get(target);
        let staying = known.filter(|known| known.leaving_since(now).is_none());
        let instance = staying.map(|known| known.instance.clone());
        drop(state);
        if let Some(instance) = instance {
            let (entry, parts) = (Arc::clone(self), parts.to_vec());
            let blamed = (request, parts, lasted);
            tokio::spawn(async move { entry.check_crash(blamed, run, instance, now).await });
        }
        request
    }

    /// Reports a crash if the target's process has ended.
    async fn check_crash(
        &self,
        (request, parts, lasted): (Subject, Vec<PartId>, Option<Duration>),
        run: RunId,
        target: Instance,
        at: Instant,
    ) {
        sleep(END_TIME).await;
        if !self.pool.refuses_connections(&target).await {
            return;
        }
        let crash = RequestCrash {
            request,
            run,
            target: target.target,
            incarnation: target.incarnation,
        };
        warn!(
            content:% = format_args!("{request:016x}"), run = run, target_id = crash.target.as_str(),
            lasted_ms = lasted.map(|lasted| lasted.as_millis() as u64);
            "a target crashed while it had a request"
        );
        let confirmed = Confirmed {
            crash: crash.clone(),
            parts,
            lasted,
        };
        let late = confirmed.late(confirmed.parts.clone(), at);
        self.crashes.push(at, confirmed);
        if let Some(late) = late {
            self.allocator.record_late_crash(&late);
            self.report(late);
            return;
        }
        let report = RequestReport::Crashed(crash);
        self.allocator.record_request(&report);
        self.report(report);
    }

    /// Reports the parts of prompts that were answered last to a host that begins to allocate. It would otherwise
    /// blame a part that all share for the crashes of another one.
    pub fn report_answered_parts(&self) {
        let parts = self
            .allocator
            .state()
            .quarantine
            .lately_answered(MAX_ANSWERED_PARTS);
        if !parts.is_empty() {
            self.report(Report::AnsweredParts(parts));
        }
    }

    /// Reports the crashes of the last minutes to a host that begins to allocate.
    pub fn report_crashes(&self) {
        for (at, confirmed) in self.crashes.all() {
            let state = self.allocator.state();
            // Parts that were answered since are not to blame.
            let is_suspect = |part: &PartId| state.quarantine.is_suspect(*part);
            let parts = confirmed.parts.iter().copied();
            let subjects: Vec<PartId> = parts.filter(is_suspect).collect();
            drop(state);
            if let Some(late) = confirmed.late(subjects.clone(), at) {
                self.report(late);
                continue;
            }
            let crash = confirmed.crash;
            if !subjects.is_empty() {
                self.report(AllocationReport::Crashed(Crash {
                    request: crash.request,
                    target: crash.target.clone(),
                    incarnation: crash.incarnation,
                    subjects,
                }));
            }
            self.report(RequestReport::Crashed(crash));
        }
    }
}
