//! Passes the events of an engine on to the caller, each of them once and in order.

use {
    super::pump::{ClientStream, StreamEnd},
    crate::sse::{Event, Splitter},
    bytes::{Bytes, BytesMut},
    hyper::body::Frame,
    std::time::Instant,
    tokio::time::{Instant as TokioInstant, sleep_until},
};

/// Number of events between updates of the memory that a stream's generation holds.
const EVENTS_PER_PROGRESS_UPDATE: u64 = 8;

impl ClientStream {
    /// Receives a part of the body and forwards the events that it completes. Returns how the
    /// stream ended, if it did.
    pub(super) async fn receive(
        &mut self,
        frame: Frame<Bytes>,
        splitter: &mut Splitter,
        deadline: TokioInstant,
    ) -> Option<StreamEnd> {
        // Trailers carry no events.
        let bytes = frame.into_data().ok()?;
        if splitter.push(&bytes).is_err() {
            return Some(StreamEnd::Broken("an event is too long"));
        }
        self.forward(splitter, deadline).await
    }

    /// Sends the complete events that have arrived to the caller, without those that it has
    /// already. Returns how the stream ended, if it did.
    async fn forward(
        &mut self,
        splitter: &mut Splitter,
        deadline: TokioInstant,
    ) -> Option<StreamEnd> {
        let mut bytes = BytesMut::new();
        let mut ended = None;
        let events_before = self.events;
        while let Some(event) = splitter.next_event() {
            self.correct_build();
            if self.engine_begun.is_none() {
                self.engine_begun = Some(Instant::now());
                self.allocation.record_started();
            }
            if !self.is_contiguous(&event) {
                // The events before it count as delivered and are still sent.
                ended = Some(StreamEnd::Broken("an event is missing"));
                break;
            }
            if self.is_new(&event) {
                bytes.extend_from_slice(&event.bytes);
                self.last_delivered = event.id.or(self.last_delivered);
                self.events += 1;
            }
        }
        if bytes.is_empty() {
            return ended;
        }
        let now = Instant::now();
        self.meter.record(self.events - events_before, now);
        if self.meter.is_due() {
            self.report_pace();
        }
        if let Some(last_sent) = self.last_sent.replace(now) {
            let pause = now.saturating_duration_since(last_sent);
            self.longest_pause = self.longest_pause.max(pause);
        }
        if !self.has_started {
            self.has_started = true;
            self.record_origin();
            let took = self.job.arrived.elapsed();
            self.job
                .entry
                .metrics
                .record_first_event(&self.job.route.name, took);
        }
        if self.events.is_multiple_of(EVENTS_PER_PROGRESS_UPDATE) {
            self.allocation
                .record_progress(self.events * self.tokens_per_event);
        }
        if self.chunks.capacity() == 0 {
            self.meter.reset();
        }
        tokio::select! {
            sent = self.chunks.send(bytes.freeze()) => {
                sent.err().map(|_| StreamEnd::CallerLeft).or(ended)
            }
            () = sleep_until(deadline) => Some(StreamEnd::TimedOut),
        }
    }

    /// Reports how fast the engine has decoded since the last report, if that was measured.
    pub(super) fn report_pace(&mut self) {
        if let Some(events_per_second) = self.meter.take() {
            let tokens_per_second = events_per_second * self.tokens_per_event as f64;
            self.allocation.record_pace(tokens_per_second);
        }
    }

    /// Whether no event is missing between the last delivered one and this one. Events that repeat
    /// an earlier one or have no number count as contiguous.
    fn is_contiguous(&self, event: &Event) -> bool {
        match (self.last_delivered, event.id) {
            (Some(last), Some(id)) => id <= last.saturating_add(1),
            _ => true,
        }
    }

    /// Whether the caller doesn't have the event yet.
    fn is_new(&self, event: &Event) -> bool {
        match (self.last_delivered, event.id) {
            (Some(last), Some(id)) => id > last,
            _ => true,
        }
    }
}
