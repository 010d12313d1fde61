//! Passes a stream on to its caller, and continues it elsewhere when its engine ends.

use {
    super::{
        answer,
        moving::Mover,
        open::{self, Source},
        resumable,
        transfer::Moved,
    },
    crate::{
        call::EventId,
        entry::Allocation,
        refusal::Refusal,
        request::Job,
        sse::{Event, Splitter},
    },
    axum::body::Body,
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body_util::BodyExt as _,
    hyper::body::Frame,
    log::info,
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    thiserror::Error,
    tokio::{
        sync::mpsc::{Sender, channel},
        time::{Instant as Deadline, interval, sleep_until},
    },
    tokio_stream::wrappers::ReceiverStream,
};

/// Interval between looks at a stream's engine.
const LOOK: Duration = Duration::from_millis(100);
/// Silence after which a stream's engine may count as dead.
const SILENT: Duration = Duration::from_millis(400);
/// Silence after which a stream is given up. Callers wait about as long.
const LOST: Duration = Duration::from_secs(7);
/// Events after which the memory that a stream holds is brought up to date.
const PROGRESS_EVENTS: u64 = 8;
/// Time in which the rest of a stream arrives after its generation was moved.
const REST: Duration = Duration::from_millis(150);
/// Tokens in an event, if the service doesn't say.
const STRIDE: u64 = 1;

/// The caller's connection is closed in the middle of the stream, since what follows is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream was cut: {0}")]
pub(super) struct Cut(&'static str);

type Chunks = Sender<Result<Bytes, Cut>>;

/// Why a stream from one engine ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Ended {
    /// The engine ended it.
    Complete,
    /// The caller has left.
    Left,
    /// The caller's time, or the route's, is over.
    Late,
    /// The engine broke off.
    Broken(&'static str),
    /// The generation was moved to this engine, or stopped for it.
    Moved(Moved, Target),
}

/// A stream to a caller.
pub(super) struct Stream {
    pub(super) job: Job,
    pub(super) place: Allocation,
    chunks: Chunks,
    pub(super) delivered: Option<EventId>,
    events: u64,
    started: bool,
    /// When events were last passed on, and the longest time between two such times.
    passed: Option<Instant>,
    longest_pause: Duration,
    pub(super) continuations: u32,
    pub(super) ran: u32,
    stride: u64,
}

/// Passes a stream on to its end.
pub(super) async fn run(job: Job, place: Allocation, source: Source, chunks: Chunks) {
    Stream::new(job, place, chunks).run(Some(source)).await;
}

/// Continues a generation whose engine broke off before it answered.
pub(super) async fn start_without_source(
    job: Job,
    place: Allocation,
) -> Result<Response<Body>, Refusal> {
    let (chunks, stream) = channel(super::CHUNKS);
    let mut pumped = Stream::new(job, place, chunks);
    let Some((head, source)) = pumped.reopen().await else {
        return Err(Refusal::OutcomeUnknown("the engine broke off"));
    };
    tokio::spawn(async move { pumped.run(Some(source)).await });
    Ok(answer(head, Body::from_stream(ReceiverStream::new(stream))))
}

impl Stream {
    fn new(job: Job, place: Allocation, chunks: Chunks) -> Self {
        let engine = job.engine();
        Self {
            stride: engine.map_or(STRIDE, |engine| engine.tokens_per_event.max(1)),
            delivered: job.call.last_event,
            job,
            place,
            chunks,
            events: 0,
            started: false,
            passed: None,
            longest_pause: Duration::ZERO,
            continuations: 0,
            ran: 1,
        }
    }

    async fn run(mut self, mut source: Option<Source>) {
        let outcome = loop {
            let Some(current) = source.take() else {
                break "broken";
            };
            match self.pass_on(current).await {
                Ended::Complete => break "complete",
                Ended::Left => break "left",
                Ended::Late => {
                    self.cut("its time is over").await;
                    break "late";
                }
                Ended::Broken(reason) => {
                    self.note_broken(reason);
                    source = self.reopen().await.map(|(_, source)| source);
                    if source.is_none() {
                        self.cut(reason).await;
                    }
                }
                Ended::Moved(moved, to) => {
                    source = self.reopen_moved(moved, to).await.map(|(_, source)| source);
                    if source.is_none() {
                        self.cut("the engine that it was moved to did not go on")
                            .await;
                    }
                }
            }
        };
        let tokens = self.events * self.stride;
        if outcome == "complete" && self.job.call.last_event.is_none() {
            let mut forecast = self.job.entry.forecast();
            forecast.record_length(&self.job.route.name, tokens);
        }
        let took = self.job.arrived.elapsed();
        self.job
            .entry
            .metrics
            .record_request(&self.job.route.name, outcome, took);
        info!(
            request = self.job.call.id.as_str(), route = self.job.route.name.as_str(),
            target_id = self.place.choice.target.as_str(), outcome = outcome,
            events = self.events, continuations = self.continuations,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            took_ms = took.as_millis() as u64;
            "generation ended"
        );
    }

    /// Passes events on until the stream ends.
    async fn pass_on(&mut self, source: Source) -> Ended {
        let Source {
            exchange,
            mut body,
            framed,
        } = source;
        let mut splitter = Splitter::default();
        let mut heard = Instant::now();
        let mut end = Deadline::from_std(self.job.deadline());
        let mut look = interval(LOOK);
        let caller = self.chunks.clone();
        let mut mover = Mover::new();
        let mut open = true;
        loop {
            let frame = tokio::select! {
                biased;
                () = caller.closed() => return Ended::Left,
                frame = body.frame(), if open => frame,
                () = mover.step(&self.job, &mut self.place) => {
                    if !open {
                        return ended(&mut mover, "the engine's connection broke");
                    }
                    if mover.is_done() {
                        // What the engine made before it stopped is still on its way.
                        end = end.min(Deadline::now() + REST);
                    }
                    continue;
                }
                () = sleep_until(end) => {
                    return mover.take().map_or(Ended::Late, |(moved, to)| Ended::Moved(moved, to));
                }
                _ = look.tick() => {
                    if mover.is_done() || mover.is_under_way() {
                        continue;
                    }
                    if self.gives_up(heard.elapsed()) {
                        return Ended::Broken("the engine is silent");
                    }
                    mover.ask_if_due(&self.job, &self.place);
                    continue;
                }
            };
            heard = Instant::now();
            let moving = mover.is_done() || mover.is_under_way();
            match frame {
                Some(Ok(frame)) => {
                    if let Some(ended) = self.take_in(frame, &mut splitter, end).await {
                        return ended;
                    }
                }
                None if splitter.is_empty() && (framed || !moving) => {
                    self.job.entry.pool.put_back(exchange);
                    return Ended::Complete;
                }
                // An engine closes the stream of a generation that it has stopped for a move.
                _ if mover.is_under_way() => open = false,
                Some(Err(_)) => return ended(&mut mover, "the engine's connection broke"),
                None => return ended(&mut mover, "the engine ended in the middle of an event"),
            }
        }
    }

    /// Takes in a part of the body. Returns why the stream ends, if it does.
    async fn take_in(
        &mut self,
        frame: Frame<Bytes>,
        splitter: &mut Splitter,
        end: Deadline,
    ) -> Option<Ended> {
        // Trailers say nothing about a stream.
        let bytes = frame.into_data().ok()?;
        if splitter.push(&bytes).is_err() {
            return Some(Ended::Broken("an event is too long"));
        }
        self.forward(splitter, end).await
    }

    /// Whether to leave an engine that has been silent for a while. Without another one to go on
    /// at, the engine may still come back before the caller gives up.
    fn gives_up(&self, silent: Duration) -> bool {
        let entry = &self.job.entry;
        if silent < SILENT || !open::is_dead(entry, &self.place.choice.target) {
            return false;
        }
        let copy = self.place.usable_copy();
        let elsewhere = copy.is_some_and(|copy| !open::is_dead(entry, &copy));
        elsewhere || resumable(&self.job) || silent > LOST
    }

    /// Sends the whole events that have arrived. Returns why the stream ends, if it does.
    async fn forward(&mut self, splitter: &mut Splitter, end: Deadline) -> Option<Ended> {
        let mut bytes = BytesMut::new();
        while let Some(event) = splitter.next_event() {
            if !self.accept(&event) {
                return Some(Ended::Broken("an event is missing"));
            }
            if self.is_new(&event) {
                bytes.extend_from_slice(&event.bytes);
                self.delivered = event.id.or(self.delivered);
                self.events += 1;
            }
        }
        if bytes.is_empty() {
            return None;
        }
        let now = Instant::now();
        if let Some(passed) = self.passed.replace(now) {
            let pause = now.saturating_duration_since(passed);
            self.longest_pause = self.longest_pause.max(pause);
        }
        if !self.started {
            self.started = true;
            let took = self.job.arrived.elapsed();
            self.job
                .entry
                .metrics
                .record_first_event(&self.job.route.name, took);
        }
        if self.events.is_multiple_of(PROGRESS_EVENTS) {
            self.place.record_progress(self.events * self.stride);
        }
        tokio::select! {
            sent = self.chunks.send(Ok(bytes.freeze())) => {
                sent.err().map(|_| Ended::Left)
            }
            () = sleep_until(end) => Some(Ended::Late),
        }
    }

    /// Whether the event follows the last one, or repeats one.
    fn accept(&self, event: &Event) -> bool {
        match (self.delivered, event.id) {
            (Some(delivered), Some(id)) => id <= delivered + 1,
            _ => true,
        }
    }

    fn is_new(&self, event: &Event) -> bool {
        match (self.delivered, event.id) {
            (Some(delivered), Some(id)) => id > delivered,
            _ => true,
        }
    }

    /// Ends the caller's connection, so that the answer doesn't look complete.
    async fn cut(&self, reason: &'static str) {
        // A caller that has left needs no end.
        let _ = self.chunks.send(Err(Cut(reason))).await;
    }

    fn note_broken(&self, reason: &'static str) {
        let now = Instant::now();
        let target = &self.place.choice.target;
        let mut state = self.job.entry.state();
        let seen = state.targets.get_mut(target);
        let leaving = seen.as_ref().and_then(|seen| seen.leaving_since(now));
        if let Some(seen) = seen
            && leaving.is_none()
        {
            seen.health.record_failure(now);
        }
        drop(state);
        let known = leaving.map_or(0, |since| now.saturating_duration_since(since).as_millis());
        info!(
            request = self.job.call.id.as_str(), target_id = target.as_str(), reason = reason,
            delivered = self.delivered.unwrap_or_default(), leaving_known_ms = known as u64,
            copy_id = self.place.choice.copy.as_ref().map_or("", |copy| copy.as_str());
            "generation broke off"
        );
    }
}

fn ended(mover: &mut Mover, reason: &'static str) -> Ended {
    match mover.take() {
        Some((done, to)) => Ended::Moved(done, to),
        None => Ended::Broken(reason),
    }
}
