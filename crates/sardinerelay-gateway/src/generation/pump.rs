//! Forwards an engine's stream to the caller, and continues it on another engine when this one
//! stops or fails.

use {
    super::{
        build::Process,
        chunks, client_response, is_resumable,
        moving::Mover,
        open::{self, EngineStream},
        transfer::Moved,
    },
    crate::{
        allocation::Allocation,
        call::EventId,
        pace::Meter,
        refusal::Refusal,
        request::Job,
        sse::Splitter,
        stop_order::{self, End},
    },
    axum::body::Body,
    http::Response,
    http_body_util::BodyExt as _,
    log::info,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    tokio::time::{Instant as TokioInstant, interval, sleep_until},
};

/// Interval between checks whether a stream's engine is silent or leaving.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without data after which a stream is continued elsewhere if its engine counts as dead.
const DEAD_ENGINE_SILENCE: Duration = Duration::from_millis(400);
/// Time without data after which a dead engine's stream is given up even if no other engine can
/// continue it. Callers wait about as long.
pub(super) const MAX_STREAM_SILENCE: Duration = Duration::from_secs(7);
/// Time for which events are still read after a completed transfer. The old engine may have
/// produced them before it stopped the generation.
const MOVED_STREAM_DRAIN_TIMEOUT: Duration = Duration::from_millis(150);
/// Tokens in one event if the configuration doesn't describe the service's engines.
const DEFAULT_TOKENS_PER_EVENT: u64 = 1;

/// How forwarding from one engine ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The engine ended the stream after a whole event.
    Complete,
    /// The caller has closed its connection.
    CallerLeft,
    /// The request's deadline has passed.
    TimedOut,
    /// The engine failed, for this reason.
    Broken(&'static str),
    /// A move to this engine has ended: the memory is there, or it is still on the engine that
    /// stopped the generation.
    Moved(Moved, Target),
}

/// A stream to a caller, which may come from several engines one after another.
pub(super) struct ClientStream {
    pub(super) job: Job,
    pub(super) allocation: Allocation,
    pub(super) chunks: chunks::Sender,
    /// The last event that was sent to the caller.
    pub(super) last_delivered: Option<EventId>,
    /// Number of events that were sent to the caller.
    pub(super) events: u64,
    /// Whether events were sent to the caller.
    pub(super) has_started: bool,
    /// The present engine's process and build, as far as they are known.
    pub(super) process: Process,
    /// Another process of the present engine, which the list shows since the last event.
    pub(super) listed_anew: Option<Process>,
    /// When the generation was sent to the present engine, or a little later.
    pub(super) sent_at: Instant,
    /// When the present engine sent its first event.
    pub(super) engine_begun: Option<Instant>,
    /// Number of engines that failed before they sent an event.
    pub(super) engines_without_begin: u32,
    /// Number of engines that failed although they weren't known to leave.
    pub(super) engines_failed: u32,
    /// When events were last sent to the caller.
    pub(super) last_sent: Option<Instant>,
    pub(super) longest_pause: Duration,
    /// Number of attempts to continue the stream, including moves.
    pub(super) continuations: u32,
    /// Number of runs of the generation that may have started. No new run starts once it reaches
    /// the route's attempts.
    pub(super) runs: u32,
    pub(super) tokens_per_event: u64,
    /// Orders to stop the generation that engines may still carry out.
    pub(super) stops: stop_order::Ledger,
    /// Measures the present engine.
    pub(super) meter: Meter,
}

/// Forwards a stream until it ends.
pub(super) async fn run(
    job: Job,
    allocation: Allocation,
    source: EngineStream,
    chunks: chunks::Sender,
) {
    ClientStream::new(job, allocation, chunks)
        .run(Some(source))
        .await;
}

/// Responds with the stream of another engine that continues a generation, after the first engine
/// failed before it responded.
pub(super) async fn resume_unanswered(
    job: Job,
    allocation: Allocation,
) -> Result<Response<Body>, Refusal> {
    let (chunks, body) = chunks::channel(super::MAX_QUEUED_CHUNKS);
    let mut client = ClientStream::new(job, allocation, chunks);
    let Some((head, source)) = Box::pin(client.reopen()).await else {
        return Err(Refusal::OutcomeUnknown("the engine broke off"));
    };
    tokio::spawn(async move { client.run(Some(source)).await });
    Ok(client_response(head, body))
}

impl ClientStream {
    fn new(job: Job, allocation: Allocation, chunks: chunks::Sender) -> Self {
        let engine = job.engine();
        Self {
            tokens_per_event: engine.map_or(DEFAULT_TOKENS_PER_EVENT, |engine| {
                engine.tokens_per_event.max(1)
            }),
            last_delivered: job.call.last_event,
            job,
            allocation,
            chunks,
            events: 0,
            has_started: false,
            process: Process::default(),
            listed_anew: None,
            sent_at: Instant::now(),
            engine_begun: None,
            engines_without_begin: 0,
            engines_failed: 0,
            last_sent: None,
            longest_pause: Duration::ZERO,
            continuations: 0,
            runs: 1,
            stops: stop_order::Ledger::default(),
            meter: Meter::default(),
        }
    }

    /// Forwards from one engine after another until the stream ends, and records the outcome.
    async fn run(mut self, mut source: Option<EngineStream>) {
        let outcome = loop {
            let Some(current) = source.take() else {
                break "broken";
            };
            self.meter.reset();
            let ended = self.forward_from(current).await;
            self.report_pace();
            match ended {
                StreamEnd::Complete => {
                    self.chunks.complete();
                    break "complete";
                }
                StreamEnd::CallerLeft => break "left",
                StreamEnd::TimedOut => break "late",
                StreamEnd::Broken(reason) => {
                    self.record_failure(reason);
                    let caller = self.chunks.clone();
                    source = tokio::select! {
                        () = caller.closed() => break "left",
                        // Rare, and much larger than forwarding, whose memory each stream takes.
                        reopened = Box::pin(self.reopen()) => reopened.map(|(_, source)| source),
                    };
                }
                StreamEnd::Moved(moved, to) => {
                    let caller = self.chunks.clone();
                    source = tokio::select! {
                        () = caller.closed() => break "left",
                        reopened = Box::pin(self.reopen_moved(moved, to)) => {
                            reopened.map(|(_, source)| source)
                        }
                    };
                }
            }
        };
        let tokens = self.events * self.tokens_per_event;
        if outcome == "complete" && self.job.call.last_event.is_none() {
            let mut forecast = self.job.entry.forecast();
            forecast.record_length(&self.job.route.name, tokens);
            forecast.record_duration(&self.job.route.name, self.job.arrived.elapsed());
        }
        let took = self.job.arrived.elapsed();
        self.job
            .entry
            .metrics
            .record_request(&self.job.route.name, outcome, took);
        info!(
            request = self.job.call.id.as_str(), route = self.job.route.name.as_str(),
            target_id = self.allocation.choice.target.as_str(), outcome = outcome,
            events = self.events, continuations = self.continuations,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            took_ms = took.as_millis() as u64;
            "generation ended"
        );
    }

    /// Forwards the events of one engine until its stream ends or another engine has to continue
    /// it.
    async fn forward_from(&mut self, source: EngineStream) -> StreamEnd {
        let EngineStream {
            exchange,
            mut body,
            process,
            is_framed,
        } = source;
        let mut splitter = Splitter::new(&self.job.entry.pool.memory);
        let mut last_received = Instant::now();
        let mut deadline = TokioInstant::from_std(self.job.deadline());
        let mut check = interval(CHECK_INTERVAL);
        let caller = self.chunks.clone();
        let mut mover = Mover::new();
        let mut closed: Option<End> = None;
        self.engine_begun = None;
        self.process = process;
        self.listed_anew = None;
        loop {
            let frame = tokio::select! {
                biased;
                () = caller.closed() => return StreamEnd::CallerLeft,
                frame = body.frame(), if closed.is_none() => frame,
                () = mover.step(&self.job, &mut self.allocation, &mut self.stops) => {
                    if let Some(end) = closed {
                        if mover.is_transferring() {
                            continue;
                        }
                        return self.end_of(end, &mut mover);
                    }
                    if mover.is_done() {
                        // Events from before the engine stopped the generation may still arrive.
                        deadline = deadline.min(TokioInstant::now() + MOVED_STREAM_DRAIN_TIMEOUT);
                    }
                    continue;
                }
                () = sleep_until(deadline) => {
                    return mover
                        .take_result()
                        .map_or(StreamEnd::TimedOut, |(moved, to)| StreamEnd::Moved(moved, to));
                }
                _ = check.tick() => {
                    self.notice_restart();
                    if mover.is_done() || mover.is_transferring() {
                        continue;
                    }
                    if self.should_abandon(last_received.elapsed()) {
                        return StreamEnd::Broken("the engine is silent");
                    }
                    mover.request_if_due(&self.job, &self.allocation);
                    continue;
                }
            };
            last_received = Instant::now();
            let is_clean = match frame {
                Some(Ok(frame)) => {
                    if let Some(ended) = self.receive(frame, &mut splitter, deadline).await {
                        return ended;
                    }
                    continue;
                }
                Some(Err(_)) => false,
                None => true,
            };
            let end = End {
                is_clean,
                is_framed,
                is_between_events: splitter.is_empty(),
                has_begun: self.engine_begun.is_some(),
                may_be_stopped: self.may_be_stopped(&mover),
            };
            if end.is_complete() {
                self.record_completed(end);
                self.job.entry.pool.put_back(exchange);
                return StreamEnd::Complete;
            }
            if !mover.is_transferring() {
                return self.end_of(end, &mut mover);
            }
            // An engine closes the stream of a generation that it has stopped for a move. The outcome of the
            // transfer tells whether it did.
            closed = Some(end);
        }
    }

    /// Whether the present engine may have stopped the generation for a move.
    fn may_be_stopped(&self, mover: &Mover) -> bool {
        mover.is_done() || self.stops.may_stop(&self.allocation.choice.target)
    }

    /// Returns how the present engine's stream ended, whose body has ended and of which no transfer is running.
    fn end_of(&self, end: End, mover: &mut Mover) -> StreamEnd {
        let may_be_stopped = self.may_be_stopped(mover);
        if let Some((moved, to)) = mover.take_result() {
            return StreamEnd::Moved(moved, to);
        }
        let end = End {
            may_be_stopped,
            ..end
        };
        if end.is_complete() {
            self.record_completed(end);
            return StreamEnd::Complete;
        }
        self.record_break();
        StreamEnd::Broken(match end {
            End {
                is_clean: false, ..
            } => "the engine's connection broke",
            End {
                is_between_events: false,
                ..
            } => "the engine ended in the middle of an event",
            End {
                has_begun: false, ..
            } => "the engine ended before the first event",
            _ => "the engine may have stopped it for a move",
        })
    }

    /// Records that the generation was answered to the end, which shows that it makes no engine crash. Without
    /// framing, a stream whose engine crashed between two events looks as complete, and shows nothing.
    fn record_completed(&self, end: End) {
        if end.is_framed {
            self.allocation.record_completed();
            self.job.entry.record_answered(&self.job);
        }
    }

    /// Records that the engine's connection broke, which may be because the engine crashed.
    fn record_break(&self) {
        match self.engine_begun {
            Some(begun) => self
                .allocation
                .record_late_break(&self.job, begun.elapsed()),
            None => self.allocation.record_crash(&self.job),
        }
    }

    /// Whether to stop waiting for an engine that has sent no data for this long. Without another
    /// engine that can continue, this one may still recover before the caller gives up.
    fn should_abandon(&self, silence: Duration) -> bool {
        let entry = &self.job.entry;
        if silence < DEAD_ENGINE_SILENCE || !open::is_dead(entry, &self.allocation.choice.target) {
            return false;
        }
        let copy = self.allocation.usable_copy();
        let copy_is_alive = copy.is_some_and(|copy| !open::is_dead(entry, &copy));
        copy_is_alive || is_resumable(&self.job) || silence > MAX_STREAM_SILENCE
    }

    /// Logs that the engine failed. Unless it was leaving, this counts against its health.
    fn record_failure(&mut self, reason: &'static str) {
        let now = Instant::now();
        let target = &self.allocation.choice.target;
        let mut state = self.job.entry.state();
        let target_state = state.targets.get_mut(target);
        let leaving_since = target_state
            .as_ref()
            .and_then(|target_state| target_state.leaving_since(now));
        if let Some(target_state) = target_state
            && leaving_since.is_none()
        {
            target_state.health.record_failure(now);
        }
        drop(state);
        if leaving_since.is_none() {
            self.engines_failed += 1;
        }
        let leaving_known =
            leaving_since.map_or(0, |since| now.saturating_duration_since(since).as_millis());
        info!(
            request = self.job.call.id.as_str(), target_id = target.as_str(), reason = reason,
            delivered = self.last_delivered.unwrap_or_default(), leaving_known_ms = leaving_known as u64,
            copy_id = self.allocation.choice.copy.as_ref().map_or("", |copy| copy.as_str());
            "the engine's stream broke"
        );
    }
}
