//! Which build an engine has that sends a stream.
//!
//! The list lags. An engine may have started anew under its ID, with another build, and a stream that is sent there
//! before the list shows it is the new build's. The build is believed from the list at the time of the send, and
//! becomes certain once a list that is newer by more than the lag shows the same incarnation. An event that arrives
//! after the list has shown another incarnation is that one's, since the former one has ended.

use {
    super::{is_resumable, pump::ClientStream},
    crate::origin::Began,
    log::{info, warn},
    sardinerelay::id::{Build, Incarnation},
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Time by which the platform's list may lag, with the time until a host has it.
const LIST_LAG: Duration = Duration::from_millis(1200);
/// Interval at which a newer list is looked for.
const LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which it is remembered which build began a stream, beyond the caller's deadline.
const ORIGIN_MARGIN: Duration = Duration::from_secs(5);

/// An engine's process and its build.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Process {
    pub(super) incarnation: Incarnation,
    pub(super) build: Build,
}

impl ClientStream {
    /// Looks whether the list shows another incarnation of the present engine than the one that it showed when the
    /// generation was sent. Only to be called when all events that have arrived were read.
    pub(super) fn notice_restart(&mut self) {
        let listed = self.job.entry.instance(&self.allocation.choice.target);
        let listed = listed.map(|instance| Process {
            incarnation: instance.incarnation,
            build: instance.build,
        });
        self.listed_anew = listed.filter(|listed| listed.incarnation != self.process.incarnation);
    }

    /// Corrects the build of the present engine after an event has arrived from it.
    pub(super) fn correct_build(&mut self) {
        let Some(listed) = self.listed_anew.take() else {
            return;
        };
        let believed = std::mem::replace(&mut self.process, listed);
        if believed.build == self.process.build {
            return;
        }
        warn!(
            request = self.job.call.id.as_str(), target_id = self.allocation.choice.target.as_str(),
            believed = believed.build.as_str(), build = self.process.build.as_str();
            "the engine had started anew with another build before it got the generation"
        );
        if self.has_started {
            self.record_origin();
        }
    }

    /// Records the build whose first event goes to the caller. Only that build may continue the
    /// stream, here or at another host.
    pub(super) fn record_origin(&mut self) {
        let build = self.process.build.clone();
        self.allocation.require_build(build.clone());
        if is_resumable(&self.job) && self.job.call.last_event.is_none() {
            self.job.entry.record_origin(Began {
                stream: self.job.call.id.clone(),
                build,
                lifetime: self.job.remaining_or_timeout() + ORIGIN_MARGIN,
            });
        }
    }

    /// Waits until it is certain which build began the stream, if several builds serve and events were passed on.
    /// Returns false if that won't be known.
    pub(super) async fn is_build_certain(&self) -> bool {
        if !self.has_started || !self.serves_several_builds() {
            return true;
        }
        let began = Instant::now();
        while began.elapsed() < LIST_LAG {
            let now = Instant::now();
            let age = self.job.entry.state().targets.list_age(now);
            let listed = age.and_then(|age| now.checked_sub(age));
            if listed.is_some_and(|listed| listed >= self.sent_at + LIST_LAG) {
                break;
            }
            sleep(LIST_INTERVAL).await;
        }
        let listed = self.job.entry.instance(&self.allocation.choice.target);
        let is_same = listed.is_none_or(|listed| listed.incarnation == self.process.incarnation);
        if !is_same {
            info!(
                request = self.job.call.id.as_str(), target_id = self.allocation.choice.target.as_str();
                "it isn't known which build of the engine began the stream"
            );
        }
        is_same
    }

    fn serves_several_builds(&self) -> bool {
        let state = self.job.entry.state();
        let mut listed = state.targets.of_service(&self.job.service);
        listed.any(|known| known.instance.build != self.process.build)
    }
}
