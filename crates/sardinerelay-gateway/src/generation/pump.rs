//! Passes a stream on to its caller, and continues it elsewhere when its engine ends.

use {
    super::{
        answer,
        open::{self, Opened, Source},
        resumable,
    },
    crate::{
        answer::Refusal,
        call::{Copy, EventId},
        entry::Place,
        request::Job,
        sse::{Event, Splitter},
    },
    axum::body::Body,
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body_util::BodyExt as _,
    log::{info, warn},
    sardinerelay::id::Target,
    std::time::{Duration, Instant},
    thiserror::Error,
    tokio::{
        sync::mpsc::{Sender, channel},
        time::{Instant as Deadline, interval, sleep_until},
    },
    tokio_stream::wrappers::ReceiverStream,
};

/// Interval between looks at a silent stream's engine.
const LOOK: Duration = Duration::from_millis(150);
/// Silence after which a stream's engine is looked at.
const SILENT: Duration = Duration::from_millis(400);
/// Events after which the memory that a stream holds is brought up to date.
const PROGRESS_EVENTS: u64 = 8;
/// Continuations of one stream at most.
const MOST_CONTINUATIONS: u32 = 6;
/// Tokens in an event, if the service doesn't say.
const STRIDE: u64 = 1;

/// The caller's connection is closed in the middle of the stream, since what follows is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream was cut: {0}")]
pub(super) struct Cut(&'static str);

type Chunks = Sender<Result<Bytes, Cut>>;

/// Why a stream from one engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The engine ended it.
    Complete,
    /// The caller has left.
    Left,
    /// The caller's time, or the route's, is over.
    Late,
    /// The engine broke off.
    Broken(&'static str),
}

struct Stream {
    job: Job,
    place: Place,
    chunks: Chunks,
    delivered: Option<EventId>,
    events: u64,
    started: bool,
    continuations: u32,
    ran: u32,
    stride: u64,
}

/// Passes a stream on to its end.
pub(super) async fn run(job: Job, place: Place, source: Source, chunks: Chunks) {
    Stream::new(job, place, chunks).run(Some(source)).await;
}

/// Continues a generation whose engine broke off before it answered.
pub(super) async fn start_without_source(
    job: Job,
    place: Place,
) -> Result<Response<Body>, Refusal> {
    let (chunks, stream) = channel(super::CHUNKS);
    let mut pumped = Stream::new(job, place, chunks);
    let Some((head, source)) = pumped.reopen().await else {
        return Err(Refusal::Unknown("the engine broke off"));
    };
    tokio::spawn(async move { pumped.run(Some(source)).await });
    Ok(answer(head, Body::from_stream(ReceiverStream::new(stream))))
}

impl Stream {
    fn new(job: Job, place: Place, chunks: Chunks) -> Self {
        let table = job.entry.table.load();
        let spec = table.as_ref().and_then(|table| table.service(&job.service));
        let engine = spec.and_then(|spec| spec.engine);
        Self {
            stride: engine.map_or(STRIDE, |engine| engine.stride.max(1)),
            delivered: job.call.after,
            job,
            place,
            chunks,
            events: 0,
            started: false,
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
            }
        };
        let tokens = self.events * self.stride;
        if outcome == "complete" && self.job.call.after.is_none() {
            let mut state = self.job.entry.state();
            state.forecast.learn(&self.job.route.name, tokens);
        }
        let took = self.job.arrived.elapsed();
        self.job
            .entry
            .metrics
            .ended(&self.job.route.name, outcome, took);
        info!(
            request = self.job.call.id.as_str(), route = self.job.route.name.as_str(),
            target_id = self.place.choice.target.as_str(), outcome = outcome,
            events = self.events, continuations = self.continuations,
            took_ms = took.as_millis() as u64;
            "generation ended"
        );
    }

    /// Passes events on until the stream ends.
    async fn pass_on(&mut self, source: Source) -> Ended {
        let Source { exchange, mut body } = source;
        let mut splitter = Splitter::default();
        let mut heard = Instant::now();
        let end = Deadline::from_std(self.job.end());
        let mut look = interval(LOOK);
        let caller = self.chunks.clone();
        loop {
            let frame = tokio::select! {
                biased;
                () = caller.closed() => return Ended::Left,
                frame = body.frame() => frame,
                () = sleep_until(end) => return Ended::Late,
                _ = look.tick() => {
                    let silent = heard.elapsed() > SILENT;
                    let target = &self.place.choice.target;
                    if silent && open::is_dead(&self.job.entry, target) {
                        return Ended::Broken("the engine is silent");
                    }
                    continue;
                }
            };
            heard = Instant::now();
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    if splitter.push(&bytes).is_err() {
                        return Ended::Broken("an event is too long");
                    }
                    if let Some(ended) = self.forward(&mut splitter, end).await {
                        return ended;
                    }
                }
                Some(Err(_)) => return Ended::Broken("the engine's connection broke"),
                None if !splitter.is_empty() => {
                    return Ended::Broken("the engine ended in the middle of an event");
                }
                None => {
                    self.job.entry.pool.give_back(exchange);
                    return Ended::Complete;
                }
            }
        }
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
        if !self.started {
            self.started = true;
            let took = self.job.arrived.elapsed();
            self.job
                .entry
                .metrics
                .first_event(&self.job.route.name, took);
        }
        if self.events.is_multiple_of(PROGRESS_EVENTS) {
            self.place.progress(self.events * self.stride);
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

    /// Opens the stream elsewhere, after the last event that was delivered: from the copy if there
    /// is one, else as a new run if that is allowed.
    async fn reopen(&mut self) -> Option<(http::response::Parts, Source)> {
        let broken = self.place.choice.target.clone();
        if self.continuations >= MOST_CONTINUATIONS {
            return None;
        }
        self.continuations += 1;
        if let Some(source) = self.reopen_from_copy().await {
            self.job.entry.metrics.continued("copy");
            return Some(source);
        }
        let source = self.reopen_anew(&broken).await;
        let outcome = if source.is_some() { "anew" } else { "lost" };
        self.job.entry.metrics.continued(outcome);
        source
    }

    async fn reopen_from_copy(&mut self) -> Option<(http::response::Parts, Source)> {
        let target = self.place.choice.copy.clone()?;
        let instance = self.job.entry.instance(&target)?;
        if !self.job.entry.may_repeat(&self.job.service) {
            warn!(request = self.job.call.id.as_str(); "the retry budget is used up");
            return None;
        }
        self.place.move_to_copy();
        let copy = Copy {
            address: instance.address,
            name: self.job.call.id.clone(),
        };
        let opened = open::open(&self.job, &self.place, self.delivered, Some(copy)).await;
        open::note(&self.job, &target, &opened);
        match opened {
            Opened::Stream(head, source) => Some((head, source)),
            _ => None,
        }
    }

    async fn reopen_anew(&mut self, broken: &Target) -> Option<(http::response::Parts, Source)> {
        let mut tried = vec![broken.clone()];
        while resumable(&self.job) && self.ran < self.job.route.attempts {
            if !self.job.entry.may_repeat(&self.job.service) {
                warn!(request = self.job.call.id.as_str(); "the retry budget is used up");
                return None;
            }
            if !self.place.move_elsewhere(&tried) {
                return None;
            }
            let opened = open::open(&self.job, &self.place, self.delivered, None).await;
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
        let leaving = seen.as_ref().and_then(|seen| seen.leaving);
        if let Some(seen) = seen
            && leaving.is_none()
        {
            seen.health.failed(now);
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
