//! Continues a generation on another engine.

use {
    super::{
        open::{self, Opened, Source, Start},
        pump::Stream,
        resumable,
        transfer::Moved,
    },
    crate::call::MemoryCopy,
    http::response,
    log::warn,
    sardinerelay::id::Target,
};

/// Continuations of one stream at most.
const MOST_CONTINUATIONS: u32 = 8;

impl Stream {
    /// Opens the stream elsewhere, after the last event that was delivered: from the copy if there
    /// is one, else as a new run if that is allowed.
    pub(super) async fn reopen(&mut self) -> Option<(response::Parts, Source)> {
        let broken = self.place.choice.target.clone();
        if self.continuations >= MOST_CONTINUATIONS {
            return None;
        }
        self.continuations += 1;
        if let Some(target) = self.place.usable_copy()
            && let Some(instance) = self.job.entry.instance(&target)
        {
            let copy = MemoryCopy {
                address: instance.address,
                name: self.job.call.id.clone(),
            };
            let source = self.reopen_from(copy, target, "copy").await;
            if source.is_some() {
                return source;
            }
        }
        let source = self.reopen_anew(&broken).await;
        let outcome = if source.is_some() { "anew" } else { "lost" };
        self.job.entry.metrics.record_continuation(outcome);
        source
    }

    /// Opens the stream where its generation was moved.
    pub(super) async fn reopen_moved(
        &mut self,
        moved: Moved,
        to: Target,
    ) -> Option<(response::Parts, Source)> {
        self.continuations += 1;
        match moved {
            Moved::There(copy) => self.reopen_from(copy, to, "moved").await,
            Moved::Here(copy) => {
                self.place.release_destination();
                let target = self.place.choice.target.clone();
                self.reopen_from(copy, target, "stopped").await
            }
        }
    }

    async fn reopen_from(
        &mut self,
        copy: MemoryCopy,
        target: Target,
        outcome: &'static str,
    ) -> Option<(response::Parts, Source)> {
        if !self.try_take_retry() {
            return None;
        }
        self.place.switch_to(target.clone());
        let start = Start {
            after: self.delivered,
            copy: Some(copy),
            reservation: None,
        };
        let opened = open::open(&self.job, &self.place, start).await;
        open::note(&self.job, &target, &opened);
        match opened {
            Opened::Stream(head, source) => {
                self.job.entry.metrics.record_continuation(outcome);
                Some((head, source))
            }
            _ => None,
        }
    }

    async fn reopen_anew(&mut self, broken: &Target) -> Option<(response::Parts, Source)> {
        let mut tried = vec![broken.clone()];
        while resumable(&self.job) && self.ran < self.job.route.max_attempts {
            if !self.try_take_retry() || !self.place.try_reassign(&tried) {
                return None;
            }
            let start = Start {
                after: self.delivered,
                ..Start::default()
            };
            let opened = open::open(&self.job, &self.place, start).await;
            let target = self.place.choice.target.clone();
            open::note(&self.job, &target, &opened);
            tried.push(target);
            match opened {
                Opened::Stream(head, source) => {
                    self.ran += 1;
                    return Some((head, source));
                }
                Opened::NotRun(_) => {}
                _ => self.ran += 1,
            }
        }
        None
    }

    fn try_take_retry(&self) -> bool {
        let allowed = self.job.entry.try_take_retry(&self.job.service);
        if !allowed {
            warn!(
                request = self.job.call.id.as_str(), service = self.job.service.as_str();
                "the retry budget is used up"
            );
        }
        allowed
    }
}
