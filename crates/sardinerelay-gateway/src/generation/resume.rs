//! Continues a generation on another engine.

use {
    super::{
        is_resumable,
        open::{self, EngineStream, OpenOutcome, StartPoint},
        pump::{ClientStream, MAX_STREAM_SILENCE},
        settle::{Settled, Unsettled},
        transfer::Moved,
    },
    crate::{call::MemoryCopy, observations::Instance},
    http::response,
    log::warn,
    sardinerelay::id::Target,
    std::time::Instant,
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

/// The generation can't go on elsewhere, because its engine works on it.
struct StillRuns;

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
        if !self.is_build_certain().await {
            return None;
        }
        let source = match self.reopen_from_backup(&failed).await {
            Ok(Some(reopened)) => return Some(reopened),
            Ok(None) => self.restart(&failed).await,
            Err(StillRuns) => None,
        };
        let outcome = if source.is_some() { "anew" } else { "lost" };
        self.job.entry.metrics.record_continuation(outcome);
        source
    }

    /// Continues the stream from the copy that was made while it ran. Returns none if there is no copy, or if the
    /// engine that has it doesn't continue.
    async fn reopen_from_backup(
        &mut self,
        failed: &Target,
    ) -> Result<Option<(response::Parts, EngineStream)>, StillRuns> {
        let Some(target) = self.allocation.usable_copy() else {
            return Ok(None);
        };
        let instance = self.job.entry.instance(&target);
        let instance = instance.filter(|instance| self.allocation.accepts(instance));
        let Some(instance) = instance else {
            return Ok(None);
        };
        match self.settle(failed, Some(instance.clone())).await {
            Settled::Running => Err(StillRuns),
            Settled::Moved(moved, to) => Ok(self.reopen_moved(moved, to).await),
            Settled::Ended(_) => {
                let copy = MemoryCopy {
                    address: instance.address,
                    name: self.job.call.id.clone(),
                };
                Ok(self.reopen_from_copy(copy, target, "copy").await)
            }
        }
    }

    /// Finds out whether `engine` works on the generation after its connection has closed, and tells it to stop and
    /// to send the memory to `destination`.
    async fn settle(&self, engine: &Target, destination: Option<Instance>) -> Settled {
        let silent_since = self.last_sent.unwrap_or(self.sent_at);
        let unsettled = Unsettled {
            job: &self.job,
            engine,
            sent: self.sent_at,
            has_begun: self.engine_begun.is_some(),
            destination,
            until: self.job.deadline().min(silent_since + MAX_STREAM_SILENCE),
        };
        unsettled.settle().await
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
        self.sent_at = Instant::now();
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

    /// Continues the stream as a new run on an engine other than `failed`, or there as the same run if `failed` still
    /// worked on it. A send that certainly did not run doesn't count as one of the route's attempts.
    async fn restart(&mut self, failed: &Target) -> Option<(response::Parts, EngineStream)> {
        let mut tried = vec![failed.clone()];
        let mut may_run_at = Some(failed.clone());
        while is_resumable(&self.job) && self.runs < self.job.route.max_attempts {
            if !self.try_take_retry() || !self.allocation.try_reassign(&tried) {
                return None;
            }
            if let Some(engine) = may_run_at.take() {
                let destination = self.job.entry.instance(&self.allocation.choice.target);
                match self.settle(&engine, destination).await {
                    Settled::Ended(_) => {}
                    Settled::Moved(Moved::AtDestination(copy), to) => {
                        return self.reopen_from_copy(copy, to, "moved").await;
                    }
                    Settled::Moved(Moved::AtSource(copy), _) => {
                        return self.reopen_from_copy(copy, engine, "stopped").await;
                    }
                    Settled::Running => return None,
                }
            }
            self.sent_at = Instant::now();
            self.engine_begun = None;
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
                _ => {
                    self.runs += 1;
                    may_run_at = tried.last().cloned();
                }
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
