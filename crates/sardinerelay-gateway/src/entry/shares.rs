//! The running requests of an entry host, for a host that begins to allocate.
//!
//! Shares of organisations are known only to the host that allocates. See
//! `docs/design/fair-shares.md`.

use {
    super::EntryHost,
    crate::{group::RunningRequest, placement::Need, targets::RunId},
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
        time::Instant,
    },
};

/// Largest number of running requests that are remembered. Others are not reported.
const MAX_RUNNING: usize = 4_096;

/// Running requests, with the time of their placement.
#[derive(Debug, Default)]
pub(crate) struct Running(Mutex<HashMap<RunId, (Instant, RunningRequest)>>);

impl Running {
    /// Records that a request was placed.
    pub(crate) fn insert(&self, run: RunId, need: &Need) {
        let report = RunningRequest {
            run,
            service: need.service.clone(),
            organisation: need.organisation.clone(),
            priority: need.priority,
            prompt_tokens: need.prompt_tokens,
            output_tokens: need.output_tokens,
            age_ms: 0,
        };
        let mut running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if running.len() < MAX_RUNNING {
            running.insert(run, (Instant::now(), report));
        }
    }

    /// Records that a request has ended.
    pub(crate) fn remove(&self, run: RunId) {
        let mut running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        running.remove(&run);
    }

    /// Returns all, with the time for which each has run.
    fn all(&self) -> Vec<RunningRequest> {
        let running = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let reports = running.values().map(|(since, report)| RunningRequest {
            age_ms: since.elapsed().as_millis() as u64,
            ..report.clone()
        });
        reports.collect()
    }
}

impl EntryHost {
    /// Reports the running requests to a host that begins to allocate, and takes them over in this
    /// host's own allocator, which decides while no other does.
    pub fn report_running(&self) {
        let running = self.running.all();
        self.allocator.adopt_running(&running);
        for report in running {
            self.report(report);
        }
    }
}
