//! What the allocating host learns of requests that make targets crash.

use {
    super::{Allocator, State},
    crate::{
        call::PartId,
        group::{RequestCrash, RequestReport},
        quarantine::{Crash, Refused},
    },
    log::{info, warn},
    std::time::Instant,
};

impl Allocator {
    /// Records that an engine crashed before it began to answer a request, and refuses the waiting
    /// requests that would crash others.
    pub fn record_crash(&self, crash: &Crash) {
        let now = Instant::now();
        let mut state = self.state();
        let refused = state.quarantine.record_crash(crash, now);
        for part in &crash.subjects {
            let (crashes, was_answered) = state.quarantine.evidence(*part);
            info!(
                part:% = format_args!("{part:x}"), content:% = format_args!("{:016x}", crash.request),
                target_id = crash.target.as_str(), crashes = crashes, answered = was_answered;
                "a crash counts against a part"
            );
        }
        if let Some(part) = refused {
            warn!(
                part:% = format_args!("{part:x}"), content:% = format_args!("{:016x}", crash.request),
                target_id = crash.target.as_str();
                "requests with a part that makes engines crash are refused from now on"
            );
        }
        self.decide(&mut state, now);
        drop(state);
        self.changed.notify_one();
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
    /// Records that a target crashed while it had a request.
    fn record_request_crash(&mut self, crash: &RequestCrash, now: Instant) {
        let blamed = Crash {
            request: crash.request,
            target: crash.target.clone(),
            incarnation: crash.incarnation,
            subjects: vec![crash.request],
        };
        if self.requests.record_crash(&blamed, now).is_none() {
            return;
        }
        warn!(
            content:% = format_args!("{:016x}", crash.request), run = crash.run,
            target_id = crash.target.as_str();
            "a request that makes targets crash is refused from now on"
        );
    }
}
