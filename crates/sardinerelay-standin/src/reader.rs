//! Generations and the connections that read them, one at a time and from any token index.

use {
    crate::{
        decoder::{EngineState, Shared},
        engine::Config,
        server::unix_ms,
    },
    axum::{body::Body, http::header, response::Response},
    bytes::Bytes,
    compact_str::CompactString,
    futures::{Stream, stream},
    serde_json::{Value, json},
    std::{convert::Infallible, fmt::Write as _, future::pending, sync::Arc, time::Instant},
    tokio::sync::watch,
    uuid::Uuid,
};

/// Endpoint through which a generation was requested; determines the format of its events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Chat,
    Text,
}

/// A generation whose output can be read.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) endpoint: Endpoint,
    pub(crate) model: CompactString,
    /// Fingerprint of the prompt, from which the text of each token is derived, so that a reader
    /// can check that the answer is its own.
    pub(crate) fingerprint: u32,
    /// Whether the text of each token also contains the id of the generation.
    pub(crate) is_marked: bool,
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: u64,
    /// Hashes of the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    pub(crate) output_tokens: u64,
    pub(crate) generated: watch::Sender<u64>,
    /// Number of the newest reader. Older ones end at their next event.
    pub(crate) reader: u64,
    pub(crate) unread_since: Option<Instant>,
    /// When the last token was generated; `None` while running.
    pub(crate) ended: Option<Instant>,
}

/// A connection that reads a generation.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    id: Uuid,
    number: u64,
    next: u64,
    output_tokens: u64,
    generated: watch::Receiver<u64>,
    has_ended: bool,
}

impl Reader {
    /// Attaches a new reader, which replaces any earlier one, starting at token `next`. Returns
    /// `None` if the generation does not exist.
    pub(crate) fn attach(
        shared: &Arc<Shared>,
        state: &mut EngineState,
        id: Uuid,
        next: u64,
    ) -> Option<Self> {
        let generation = state.generations.get_mut(&id)?;
        generation.reader = state.next_reader;
        generation.unread_since = None;
        state.next_reader += 1;
        Some(Self {
            shared: shared.clone(),
            id,
            number: generation.reader,
            next,
            output_tokens: generation.output_tokens,
            generated: generation.generated.subscribe(),
            has_ended: false,
        })
    }

    /// Returns a response that streams the generation's events.
    pub(crate) fn respond(self) -> Response {
        Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .header("x-generation", self.id.to_string())
            .body(Body::from_stream(self.events()))
            .expect("the headers are valid")
    }

    fn events(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        stream::unfold(self, |mut reader| async move {
            let bytes = reader.next_bytes().await?;
            Some((Ok(bytes), reader))
        })
    }

    /// Returns the next bytes of the stream, or `None` at its end.
    async fn next_bytes(&mut self) -> Option<Bytes> {
        if self.has_ended {
            return None;
        }
        // A reader that has received all tokens still gets the final events.
        let next = self.next.min(self.output_tokens - 1);
        // The wait fails if the generation is dropped. The stream then ends without its final
        // events.
        let _ = self.generated.wait_for(|generated| *generated > next).await;
        if self.is_silent() {
            return pending().await;
        }
        self.take_events()
    }

    fn is_silent(&self) -> bool {
        self.number < self.shared.lock().silent_before
    }

    fn take_events(&mut self) -> Option<Bytes> {
        self.has_ended = true;
        let state = self.shared.lock();
        let generation = state.generations.get(&self.id)?;
        if generation.reader != self.number {
            return None;
        }
        let generated = *self.generated.borrow();
        let mut events = String::new();
        for index in self.next..generated {
            generation.write_token(&mut events, self.id, index);
        }
        if generated >= generation.output_tokens {
            generation.write_end(&mut events, self.id, state.records.preemptions(self.id));
        } else {
            self.has_ended = false;
        }
        self.next = generated;
        Some(Bytes::from(events))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        if let Some(generation) = state.generations.get_mut(&self.id)
            && generation.reader == self.number
        {
            generation.unread_since = Some(Instant::now());
        }
    }
}

impl Generation {
    /// Whether the generation has been without a reader for longer than allowed.
    pub(crate) fn is_expired(&self, config: &Config, now: Instant) -> bool {
        let Some(unread) = self.unread_since else {
            return false;
        };
        match self.ended {
            Some(ended) => now.duration_since(unread.max(ended)) >= config.retention,
            None => now.duration_since(unread) >= config.orphan_window,
        }
    }

    fn write_token(&self, events: &mut String, id: Uuid, index: u64) {
        let text = match self.is_marked {
            true => format!("{:08x}.{index}.{} ", self.fingerprint, id.simple()),
            false => format!("{:08x}.{index} ", self.fingerprint),
        };
        let is_last = index + 1 == self.output_tokens;
        let finish = if is_last { json!("stop") } else { Value::Null };
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
            }
            Endpoint::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let chunk = json!({
            "id": self.completion_id(id),
            "object": self.object_type(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
        });
        let _ = write!(events, "id: {id}.{index}\ndata: {chunk}\n\n");
    }

    fn write_end(&self, events: &mut String, id: Uuid, preemptions: u64) {
        let usage = json!({
            "id": self.completion_id(id),
            "object": self.object_type(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.output_tokens,
                "total_tokens": self.prompt_tokens + self.output_tokens,
                "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
            },
            "preemptions": preemptions,
        });
        let _ = write!(events, "event: usage\ndata: {usage}\n\ndata: [DONE]\n\n");
    }

    fn completion_id(&self, id: Uuid) -> String {
        match self.endpoint {
            Endpoint::Chat => format!("chatcmpl-{}", id.simple()),
            Endpoint::Text => format!("cmpl-{}", id.simple()),
        }
    }

    fn object_type(&self) -> &'static str {
        match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        }
    }
}
