//! Generations as their readers see them: one connection at a time, from any index.

use {
    crate::{
        decoder::{Core, Shared},
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

/// Which of the two published endpoints the answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shape {
    Chat,
    Text,
}

/// A generation that can be read.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) shape: Shape,
    pub(crate) model: CompactString,
    /// Text of each token is derived from this, so that a reader can check its own answer.
    pub(crate) fingerprint: u32,
    /// Whether the text also names the generation.
    pub(crate) marked: bool,
    pub(crate) prompt_tokens: u64,
    /// Prompt tokens that the prefix cache held.
    pub(crate) cached: u64,
    /// Hashes of the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    pub(crate) target: u64,
    pub(crate) generated: watch::Sender<u64>,
    /// The newest reader; an older one ends as soon as it notices.
    pub(crate) reader: u64,
    pub(crate) unread_since: Option<Instant>,
    /// When the last token was generated.
    pub(crate) ended: Option<Instant>,
}

/// One connection that reads a generation.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    id: Uuid,
    number: u64,
    next: u64,
    target: u64,
    generated: watch::Receiver<u64>,
    ended: bool,
}

impl Reader {
    /// Takes over the generation from any earlier reader.
    pub(crate) fn attach(
        shared: &Arc<Shared>,
        core: &mut Core,
        id: Uuid,
        next: u64,
    ) -> Option<Self> {
        let live = core.live.get_mut(&id)?;
        live.reader = core.readers;
        live.unread_since = None;
        core.readers += 1;
        Some(Self {
            shared: shared.clone(),
            id,
            number: live.reader,
            next,
            target: live.target,
            generated: live.generated.subscribe(),
            ended: false,
        })
    }

    /// Answers with the generation's events.
    pub(crate) fn respond(self) -> Response {
        Response::builder()
            .header(header::CONTENT_TYPE, "text/event-stream")
            .header("x-generation", self.id.to_string())
            .body(Body::from_stream(self.events()))
            .expect("the headers are valid")
    }

    fn events(self) -> impl Stream<Item = Result<Bytes, Infallible>> {
        stream::unfold(self, |mut reader| async move {
            let bytes = reader.read().await?;
            Some((Ok(bytes), reader))
        })
    }

    /// The next bytes of the stream, or nothing at its end.
    async fn read(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        // A reader that has every token still gets the last events.
        let next = self.next.min(self.target - 1);
        // The wait fails once the generation is gone; the stream then ends without its last events.
        let _ = self.generated.wait_for(|generated| *generated > next).await;
        if self.is_silent() {
            return pending().await;
        }
        self.take()
    }

    fn is_silent(&self) -> bool {
        self.number < self.shared.lock().silent_before
    }

    fn take(&mut self) -> Option<Bytes> {
        self.ended = true;
        let core = self.shared.lock();
        let live = core.live.get(&self.id)?;
        if live.reader != self.number {
            return None;
        }
        let generated = *self.generated.borrow();
        let mut events = String::new();
        for index in self.next..generated {
            live.write_token(&mut events, self.id, index);
        }
        if generated >= live.target {
            live.write_end(&mut events, self.id, core.book.preemptions(self.id));
        } else {
            self.ended = false;
        }
        self.next = generated;
        Some(Bytes::from(events))
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut core = self.shared.lock();
        if let Some(live) = core.live.get_mut(&self.id)
            && live.reader == self.number
        {
            live.unread_since = Some(Instant::now());
        }
    }
}

impl Live {
    /// Whether nobody has read it for too long.
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
        let text = match self.marked {
            true => format!("{:08x}.{index}.{} ", self.fingerprint, id.simple()),
            false => format!("{:08x}.{index} ", self.fingerprint),
        };
        let last = index + 1 == self.target;
        let finish = if last { json!("stop") } else { Value::Null };
        let choice = match self.shape {
            Shape::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
            }
            Shape::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let chunk = json!({
            "id": self.answer_id(id),
            "object": self.object(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
        });
        let _ = write!(events, "id: {id}.{index}\ndata: {chunk}\n\n");
    }

    fn write_end(&self, events: &mut String, id: Uuid, preemptions: u64) {
        let usage = json!({
            "id": self.answer_id(id),
            "object": self.object(),
            "created": unix_ms() / 1000,
            "model": self.model,
            "choices": [],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.target,
                "total_tokens": self.prompt_tokens + self.target,
                "prompt_tokens_details": { "cached_tokens": self.cached },
            },
            "preemptions": preemptions,
        });
        let _ = write!(events, "event: usage\ndata: {usage}\n\ndata: [DONE]\n\n");
    }

    fn answer_id(&self, id: Uuid) -> String {
        match self.shape {
            Shape::Chat => format!("chatcmpl-{}", id.simple()),
            Shape::Text => format!("cmpl-{}", id.simple()),
        }
    }

    fn object(&self) -> &'static str {
        match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        }
    }
}
