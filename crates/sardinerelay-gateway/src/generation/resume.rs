//! Continues a generation on another engine.

use {
    super::{
        is_resumable,
        open::{self, EngineStream, OpenOutcome, StartPoint},
        pump::ClientStream,
        transfer::Moved,
    },
    crate::call::MemoryCopy,
    http::response,
    log::warn,
    sardinerelay::id::Target,
};

/// Largest number of attempts to continue one stream after failures. Moves count too, but are not
/// limited by it.
const MAX_CONTINUATIONS: u32 = 8;

/// Number of engines that may fail before they begin to answer a generation. The generation is then
/// ended, because its prompt may be what makes them fail.
const MAX_ENGINES_WITHOUT_BEGIN: u32 = 2;

/// Number of engines that may fail, without being known to leave, whether they had begun or not. The prompt may
/// make them fail at any event.
const MAX_FAILED_ENGINES: u32 = 3;

impl ClientStream {
    /// Continues the stream on another engine after the last delivered event: from the copy if it
    /// is usable, otherwise as a new run if the route allows that. Returns none if neither
    /// succeeds.
    pub(super) async fn reopen(&mut self) -> Option<(response::Parts, EngineStream)> {
        let failed = self.allocation.choice.target.clone();
        let has_begun = self.engine_begun.is_some();
        if !has_begun {
            self.engines_without_begin += 1;
        }
        let may_crash_engines = self.engines_without_begin >= MAX_ENGINES_WITHOUT_BEGIN
            || self.engines_failed >= MAX_FAILED_ENGINES
            || self.allocation.is_refused()
            || (!has_begun && self.job.entry.is_suspect(&self.job));
        if self.continuations >= MAX_CONTINUATIONS || may_crash_engines {
            return None;
        }
        self.continuations += 1;
        if let Some(target) = self.allocation.usable_copy()
            && let Some(instance) = self.job.entry.instance(&target)
            && self.allocation.accepts(&instance)
        {
            let copy = MemoryCopy {
                address: instance.address,
                name: self.job.call.id.clone(),
            };
            let source = self.reopen_from_copy(copy, target, "copy").await;
            if source.is_some() {
                return source;
            }
        }
        let source = self.restart(&failed).await;
        let outcome = if source.is_some() { "anew" } else { "lost" };
        self.job.entry.metrics.record_continuation(outcome);
        source
    }

    /// Continues the stream on the engine that has the generation's memory after a move.
    pub(super) async fn reopen_moved(
        &mut self,
        moved: Moved,
        to: Target,
    ) -> Option<(response::Parts, EngineStream)> {
        self.continuations += 1;
        match moved {
            Moved::AtDestination(copy) => self.reopen_from_copy(copy, to, "moved").await,
            Moved::AtSource(copy) => {
                self.allocation.release_destination();
                let target = self.allocation.choice.target.clone();
                self.reopen_from_copy(copy, target, "stopped").await
            }
        }
    }

    /// Continues the stream on `target` from a copy of the generation's memory.
    async fn reopen_from_copy(
        &mut self,
        copy: MemoryCopy,
        target: Target,
        outcome: &'static str,
    ) -> Option<(response::Parts, EngineStream)> {
        if !self.try_take_retry() {
            return None;
        }
        self.allocation.switch_to(target.clone());
        let start = StartPoint {
            last_event: self.last_delivered,
            copy_from: Some(copy),
            reservation: None,
        };
        let opened = open::open(&self.job, &self.allocation, start).await;
        open::record(&self.job, &target, &opened);
        match opened {
            OpenOutcome::Stream(head, source) => {
                self.job.entry.metrics.record_continuation(outcome);
                Some((head, source))
            }
            _ => None,
        }
    }

    /// Continues the stream as a new run on an engine other than `failed`. A send that certainly
    /// did not run doesn't count as one of the route's attempts.
    async fn restart(&mut self, failed: &Target) -> Option<(response::Parts, EngineStream)> {
        let mut tried = vec![failed.clone()];
        while is_resumable(&self.job) && self.runs < self.job.route.max_attempts {
            if !self.try_take_retry() || !self.allocation.try_reassign(&tried) {
                return None;
            }
            let start = StartPoint {
                last_event: self.last_delivered,
                ..StartPoint::default()
            };
            let opened = open::open(&self.job, &self.allocation, start).await;
            let target = self.allocation.choice.target.clone();
            open::record(&self.job, &target, &opened);
            tried.push(target);
            match opened {
                OpenOutcome::Stream(head, source) => {
                    self.runs += 1;
                    return Some((head, source));
                }
                OpenOutcome::NotRun(_) => {}
                _ => self.runs += 1,
            }
        }
        None
    }

    /// Takes a retry from the service's budget, and logs if none is left.
    fn try_take_retry(&self) -> bool {
        let is_allowed = self.job.entry.try_take_retry(&self.job.service);
        if !is_allowed {
            warn!(
                request = self.job.call.id.as_str(), service = self.job.service.as_str();
                "the retry budget is used up"
            );
        }
        is_allowed
    }
}
