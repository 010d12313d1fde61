//! Delivers an answer to the caller, as an event stream or as one JSON object.
//!
//! For a stream, one task reads events from the engine into a bounded channel, and the caller's
//! connection drains it. A caller that disconnects closes the channel, which cancels the generation
//! at once. A caller that does not read fills the channel, which pauses reading from the engine and
//! after a timeout cancels the generation.

use {
    crate::{
        engine::{Event, StreamError},
        filter::{Answer, Endpoint},
        metrics::{Labels, Metrics, labels},
        refusal::{Code, Refusal},
    },
    axum::body::Body,
    bytes::{BufMut, Bytes, BytesMut},
    compact_str::{CompactString, format_compact},
    futures::stream,
    http::{HeaderValue, Response, header},
    log::{info, warn},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        convert::Infallible,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::mpsc, time::timeout},
};

/// Chunks that are buffered for a caller that reads slowly.
const MAX_UNREAD_CHUNKS: usize = 64;

/// Turns answers and refusals into HTTP responses.
#[derive(Debug, Clone)]
pub struct Relay {
    /// How long a caller may leave its stream unread before the generation is cancelled.
    pub slow_reader_timeout: Duration,
    /// Records token timing, refusals and outcomes.
    pub metrics: Arc<Metrics>,
}

impl Relay {
    /// Turns the result of the filter chain into a response.
    pub async fn respond(&self, result: Result<Answer, Refusal>) -> Response<Body> {
        match result {
            Ok(answer) if answer.request.stream => self.stream(answer),
            Ok(answer) => match self.complete(answer).await {
                Ok(response) => response,
                Err(refusal) => self.refuse(&refusal),
            },
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Counts a refusal and turns it into a response.
    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.metrics.refused(refusal.code);
        refusal.to_response()
    }

    /// Responds with an event stream, which a task of its own fills.
    fn stream(&self, answer: Answer) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(MAX_UNREAD_CHUNKS);
        let request = answer.request.id.clone();
        let slow_reader_timeout = self.slow_reader_timeout;
        let metrics = AnswerMetrics::new(&answer, self.metrics.clone());
        tokio::spawn(forward(answer, sender, slow_reader_timeout, metrics));
        let chunks = stream::unfold(receiver, |mut receiver| async move {
            let chunk = receiver.recv().await?;
            Some((Ok::<Bytes, Infallible>(chunk), receiver))
        });
        let mut response = Response::new(Body::from_stream(chunks));
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        insert_request_id(&mut response, &request);
        response
    }

    /// Reads the answer to its end and responds with it as one JSON object.
    async fn complete(&self, mut answer: Answer) -> Result<Response<Body>, Refusal> {
        let mut metrics = AnswerMetrics::new(&answer, self.metrics.clone());
        let mut builder = AnswerBuilder::default();
        loop {
            match next(&mut answer).await {
                Ok(Event::Token { index, data }) => {
                    metrics.record_token();
                    (answer.on_token)(index);
                    builder.add_chunk(&data)?;
                }
                Ok(Event::Usage(data)) => builder.set_usage(&data)?,
                Ok(Event::Done) => break,
                Err(error) => return Err(lost_refusal(&error, &answer)),
            }
        }
        metrics.record_end("whole");
        let body = builder.to_json(&answer).to_string();
        let mut response = Response::new(Body::from(body));
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        insert_request_id(&mut response, &answer.request.id);
        Ok(response)
    }
}

fn insert_request_id(response: &mut Response<Body>, request: &str) {
    if let Ok(value) = HeaderValue::from_str(request) {
        response.headers_mut().insert("x-request-id", value);
    }
}

/// The next event, which is the first one at the start.
async fn next(answer: &mut Answer) -> Result<Event, StreamError> {
    match answer.first_event.take() {
        Some(event) => Ok(event),
        None => answer.reader.next().await,
    }
}

/// How forwarding one stream ended.
enum StreamEnd {
    Complete,
    CallerLeft,
    SlowReader,
    Lost(StreamError),
}

/// Forwards a stream to the caller, and records and logs how it ended. If the generation is lost,
/// the last event is the error object.
async fn forward(
    mut answer: Answer,
    sender: mpsc::Sender<Bytes>,
    slow_reader_timeout: Duration,
    mut metrics: AnswerMetrics,
) {
    let end = forward_events(&mut answer, &sender, slow_reader_timeout, &mut metrics).await;
    let (request, organisation) = (
        answer.request.id.clone(),
        answer.request.organisation.clone(),
    );
    let tokens = answer.reader.next_index();
    let outcome = match &end {
        StreamEnd::Complete => "whole",
        StreamEnd::CallerLeft => "caller_left",
        StreamEnd::SlowReader => "slow_reader",
        StreamEnd::Lost(_) => "lost",
    };
    metrics.record_end(outcome);
    if let StreamEnd::Lost(error) = end {
        warn!(request = request.as_str(), organisation = organisation.as_str(), target = answer.target.as_str(); "generation lost after {tokens} tokens: {error}");
        let object = lost_refusal(&error, &answer).to_json();
        let _ = timeout(
            slow_reader_timeout,
            sender.send(Bytes::from(format!("data: {object}\n\n"))),
        )
        .await;
    } else {
        info!(request = request.as_str(), organisation = organisation.as_str(), target = answer.target.as_str(); "stream ended: {outcome}, {tokens} tokens");
    }
}

/// Forwards events until the stream ends, the caller disconnects or stops reading, or the
/// generation is lost.
async fn forward_events(
    answer: &mut Answer,
    sender: &mpsc::Sender<Bytes>,
    slow_reader_timeout: Duration,
    metrics: &mut AnswerMetrics,
) -> StreamEnd {
    loop {
        let event = tokio::select! {
            event = next(answer) => event,
            () = sender.closed() => return StreamEnd::CallerLeft,
        };
        let chunk = match event {
            Ok(Event::Token { index, data }) => {
                metrics.record_token();
                (answer.on_token)(index);
                token_event(answer, index, &data)
            }
            Ok(Event::Usage(_)) if !answer.request.include_usage => continue,
            Ok(Event::Usage(data)) => data_event(&data),
            Ok(Event::Done) => data_event(b"[DONE]"),
            Err(error) => return StreamEnd::Lost(error),
        };
        match timeout(slow_reader_timeout, sender.send(chunk)).await {
            Ok(Ok(())) if answer.reader.is_complete() => return StreamEnd::Complete,
            Ok(Ok(())) => {}
            Ok(Err(_)) => return StreamEnd::CallerLeft,
            Err(_) => return StreamEnd::SlowReader,
        }
    }
}

/// Encodes a token's event, with the resume token and index as its `id` if the caller asked for a
/// resume token.
fn token_event(answer: &Answer, index: u64, data: &[u8]) -> Bytes {
    let Some(token) = &answer.resume_token else {
        return data_event(data);
    };
    let id = format_compact!("id: {token}.{index}\n");
    let mut event = BytesMut::with_capacity(id.len() + data.len() + 8);
    event.put_slice(id.as_bytes());
    put_data(&mut event, data);
    event.freeze()
}

fn data_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    put_data(&mut event, data);
    event.freeze()
}

fn put_data(event: &mut BytesMut, data: &[u8]) {
    event.put_slice(b"data: ");
    event.put_slice(data);
    event.put_slice(b"\n\n");
}

/// The refusal of a generation that was lost after its first token.
fn lost_refusal(error: &StreamError, answer: &Answer) -> Refusal {
    let tokens = answer.reader.next_index();
    let message = format_compact!("the answer ended after {tokens} tokens: {error}");
    Refusal::new(Code::GenerationLost, message).may_have_run()
}

/// Assembles the chunks of a stream into one completion object.
#[derive(Debug, Default)]
struct AnswerBuilder {
    id: CompactString,
    created: u64,
    model: CompactString,
    text: String,
    finish_reason: Option<CompactString>,
    usage: Value,
}

/// The fields of an engine's chunk that a completion object is assembled from.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: CompactString,
    #[serde(default)]
    created: u64,
    #[serde(default)]
    model: CompactString,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Value,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<CompactString>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

impl AnswerBuilder {
    fn add_chunk(&mut self, data: &[u8]) -> Result<(), Refusal> {
        let chunk = parse(data)?;
        for choice in chunk.choices {
            self.text.push_str(&choice.text);
            self.text
                .push_str(&choice.delta.content.unwrap_or_default());
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        (self.id, self.created, self.model) = (chunk.id, chunk.created, chunk.model);
        Ok(())
    }

    fn set_usage(&mut self, data: &[u8]) -> Result<(), Refusal> {
        self.usage = parse(data)?.usage;
        Ok(())
    }

    /// The completion object of the endpoint that was called.
    fn to_json(&self, answer: &Answer) -> Value {
        let reason = &self.finish_reason;
        let (object, choice) = match answer.request.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({ "index": 0, "message": { "role": "assistant", "content": self.text }, "finish_reason": reason }),
            ),
            Endpoint::Text => (
                "text_completion",
                json!({ "index": 0, "text": self.text, "finish_reason": reason, "logprobs": null }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}

fn parse(data: &[u8]) -> Result<Chunk, Refusal> {
    serde_json::from_slice(data).map_err(|error| {
        let message = format_compact!("the engine's chunk can't be read: {error}");
        Refusal::new(Code::GenerationLost, message).may_have_run()
    })
}

/// Records the token timing and the outcome of one answer.
struct AnswerMetrics {
    metrics: Arc<Metrics>,
    labels: Labels,
    received: Instant,
    last_token_at: Option<Instant>,
    tokens: u64,
}

impl AnswerMetrics {
    fn new(answer: &Answer, metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            labels: labels(&answer.request.organisation, &answer.request.class),
            received: answer.request.received,
            last_token_at: None,
            tokens: 0,
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            None => self.metrics.first_token(&self.labels, now - self.received),
            Some(last) => self.metrics.between_tokens(&self.labels, now - last),
        }
        self.tokens += 1;
    }

    fn record_end(&self, outcome: &'static str) {
        self.metrics.ended(&self.labels, self.tokens, outcome);
    }
}
