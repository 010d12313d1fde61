//! What the allocating host learns of requests that make targets crash.

use {
    super::{Allocator, State},
    crate::{
        call::PartId,
        group::{RequestCrash, RequestReport},
        quarantine::{Crash, LateCrash, Refused, Subject},
    },
    log::{info, warn},
    sardinerelay::id::{Incarnation, Target},
    std::time::{Duration, Instant},
};

impl Allocator {
    /// Records that an engine crashed before it began to answer a request, and refuses the waiting
    /// requests that would crash others.
    pub fn record_crash(&self, crash: &Crash) {
        let now = Instant::now();
        let mut state = self.state();
        let refused = state.quarantine.record_crash(crash, now);
        state.log_blame(crash, None);
        if let Some(part) = refused {
            state.refuse_part(part);
        }
        self.decide(&mut state, now);
        drop(state);
        self.changed.notify_one();
    }

    /// Records that an engine crashed after it had begun to answer a request. Either a part of the prompt or the
    /// whole request may be the cause, or neither.
    pub fn record_late_crash(&self, late: &LateCrash) {
        let now = Instant::now();
        let mut state = self.state();
        state.quarantine.record_late_crash(late, now);
        state.log_blame(&late.crash, Some(late.lasted));
        let crash = &late.crash;
        if !state.quarantine.explains(&crash.target, crash.incarnation) {
            let late = LateCrash {
                crash: of_request(crash.request, &crash.target, crash.incarnation),
                ..late.clone()
            };
            state.requests.record_late_crash(&late, now);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Refuses what explains crashes after the first event, once that is known.
    pub(super) fn judge_crashes(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let part = state.quarantine.judge(now);
        if let Some(part) = part {
            state.refuse_part(part);
            self.decide(&mut state, now);
        }
        let request = state.requests.judge(now);
        if let Some(request) = request {
            log_refused_request(request, "");
        }
        drop(state);
        if part.is_some() || request.is_some() {
            self.changed.notify_one();
        }
    }

    /// Remembers the parts that were answered while another host allocated.
    pub fn adopt_answered_parts(&self, parts: &[PartId]) {
        self.state().quarantine.adopt_answered(parts);
    }

    /// Records what is known of a request that may make targets crash.
    pub fn record_request(&self, report: &RequestReport) {
        match report {
            RequestReport::Crashed(crash) => {
                self.state().record_request_crash(crash, Instant::now());
            }
            RequestReport::Answered(request) => self.state().requests.clear(*request),
            RequestReport::Refused(requests) => self.adopt_refused_requests(requests),
        }
        self.changed.notify_one();
    }

    /// Adopts the requests that another host or the group refuses.
    pub fn adopt_refused_requests(&self, requests: &[Refused]) {
        if self.state().requests.adopt(requests, Instant::now()) {
            info!(requests = requests.len(); "adopted requests that another host refuses");
            self.changed.notify_one();
        }
    }

    /// Adopts the parts that another host or the group refuses.
    pub fn adopt_refused_parts(&self, parts: &[Refused]) {
        let now = Instant::now();
        let mut state = self.state();
        if state.quarantine.adopt(parts, now) {
            info!(parts = parts.len(); "adopted parts of prompts that another host refuses");
            self.decide(&mut state, now);
            drop(state);
            self.changed.notify_one();
        }
    }
}

impl State {
    /// Records that a target crashed while it had a request, unless a part of some prompt is known to be the cause.
    fn record_request_crash(&mut self, crash: &RequestCrash, now: Instant) {
        if self.quarantine.explains(&crash.target, crash.incarnation) {
            return;
        }
        let blamed = of_request(crash.request, &crash.target, crash.incarnation);
        if let Some(request) = self.requests.record_crash(&blamed, now) {
            log_refused_request(request, &crash.target);
        }
    }

    /// Follows the refusal of a part: requests that were at the crashes that it explains are not suspect for them.
    fn refuse_part(&mut self, part: PartId) {
        warn!(
            part:% = format_args!("{part:x}");
            "requests with a part that makes engines crash are refused from now on"
        );
        let Self {
            quarantine,
            requests,
            ..
        } = self;
        requests.disregard(|target, incarnation| quarantine.explains(target, incarnation));
    }

    /// Logs what speaks against the parts of a prompt after a crash. `lasted` is the time since the first event.
    fn log_blame(&self, crash: &Crash, lasted: Option<Duration>) {
        for part in &crash.subjects {
            let (crashes, was_answered) = self.quarantine.evidence(*part);
            info!(
                part:% = format_args!("{part:x}"), content:% = format_args!("{:016x}", crash.request),
                target_id = crash.target.as_str(), crashes = crashes, answered = was_answered,
                lasted_ms = lasted.map(|lasted| lasted.as_millis() as u64);
                "a crash counts against a part"
            );
        }
    }
}

/// Returns a crash for which a whole request is blamed.
fn of_request(request: Subject, target: &Target, incarnation: Incarnation) -> Crash {
    Crash {
        request,
        target: target.clone(),
        incarnation,
        subjects: vec![request],
    }
}

fn log_refused_request(request: Subject, target: &str) {
    warn!(
        content:% = format_args!("{request:016x}"), target_id = target;
        "a request that makes targets crash is refused from now on"
    );
}
