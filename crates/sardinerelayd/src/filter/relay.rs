//! Delivers an answer to the caller, as an event stream or whole.
//!
//! One task reads the engine and fills a bounded channel; the caller's connection drains it. A
//! caller that disconnects closes the channel, which cancels the generation at once. A caller
//! that does not read stops the reading of the engine, and after a while the generation.

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

/// Chunks that wait for a caller that reads slowly.
const UNREAD_CHUNKS: usize = 64;

/// What the relay needs beside the answer.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Time a caller may leave its stream unread.
    pub slow_reader: Duration,
    /// Where observations go.
    pub metrics: Arc<Metrics>,
}

impl Relay {
    /// Turns the chain's result into a response.
    pub async fn respond(&self, result: Result<Answer, Refusal>) -> Response<Body> {
        match result {
            Ok(answer) if answer.request.stream => self.stream(answer),
            Ok(answer) => match self.whole(answer).await {
                Ok(response) => response,
                Err(refusal) => self.refuse(&refusal),
            },
            Err(refusal) => self.refuse(&refusal),
        }
    }

    fn refuse(&self, refusal: &Refusal) -> Response<Body> {
        self.metrics.refused(refusal.code);
        refusal.to_response()
    }

    fn stream(&self, answer: Answer) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(UNREAD_CHUNKS);
        let request = answer.request.id.clone();
        let slow_reader = self.slow_reader;
        let watch = Watch::new(&answer, self.metrics.clone());
        tokio::spawn(pump(answer, sender, slow_reader, watch));
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

    async fn whole(&self, mut answer: Answer) -> Result<Response<Body>, Refusal> {
        let mut watch = Watch::new(&answer, self.metrics.clone());
        let mut whole = Whole::default();
        loop {
            match next(&mut answer).await {
                Ok(Event::Token { index, data }) => {
                    watch.token();
                    (answer.on_token)(index);
                    whole.add(&data)?;
                }
                Ok(Event::Usage(data)) => whole.usage(&data)?,
                Ok(Event::Done) => break,
                Err(lost) => return Err(lost_refusal(&lost, &answer)),
            }
        }
        watch.end("whole");
        let body = whole.object(&answer).to_string();
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

async fn next(answer: &mut Answer) -> Result<Event, StreamError> {
    match answer.first.take() {
        Some(event) => Ok(event),
        None => answer.reader.next().await,
    }
}

/// How the reading of one stream ended.
enum Stop {
    Whole,
    CallerLeft,
    SlowReader,
    Lost(StreamError),
}

async fn pump(
    mut answer: Answer,
    sender: mpsc::Sender<Bytes>,
    slow_reader: Duration,
    mut watch: Watch,
) {
    let stop = drive(&mut answer, &sender, slow_reader, &mut watch).await;
    let (request, organisation) = (
        answer.request.id.clone(),
        answer.request.organisation.clone(),
    );
    let tokens = answer.reader.next_index();
    let outcome = match &stop {
        Stop::Whole => "whole",
        Stop::CallerLeft => "caller_left",
        Stop::SlowReader => "slow_reader",
        Stop::Lost(_) => "lost",
    };
    watch.end(outcome);
    if let Stop::Lost(lost) = stop {
        warn!(request = request.as_str(), organisation = organisation.as_str(), target = answer.target.as_str(); "generation lost after {tokens} tokens: {lost}");
        let error = lost_refusal(&lost, &answer).to_json();
        let _ = timeout(
            slow_reader,
            sender.send(Bytes::from(format!("data: {error}\n\n"))),
        )
        .await;
    } else {
        info!(request = request.as_str(), organisation = organisation.as_str(), target = answer.target.as_str(); "stream ended: {outcome}, {tokens} tokens");
    }
}

async fn drive(
    answer: &mut Answer,
    sender: &mpsc::Sender<Bytes>,
    slow_reader: Duration,
    watch: &mut Watch,
) -> Stop {
    loop {
        let event = tokio::select! {
            event = next(answer) => event,
            () = sender.closed() => return Stop::CallerLeft,
        };
        let chunk = match event {
            Ok(Event::Token { index, data }) => {
                watch.token();
                (answer.on_token)(index);
                frame(answer, index, &data)
            }
            Ok(Event::Usage(_)) if !answer.request.include_usage => continue,
            Ok(Event::Usage(data)) => data_frame(&data),
            Ok(Event::Done) => data_frame(b"[DONE]"),
            Err(lost) => return Stop::Lost(lost),
        };
        match timeout(slow_reader, sender.send(chunk)).await {
            Ok(Ok(())) if answer.reader.is_complete() => return Stop::Whole,
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Stop::CallerLeft,
            Err(_) => return Stop::SlowReader,
        }
    }
}

/// A token's event, with the resume token in its `id` if the caller asked for one.
fn frame(answer: &Answer, index: u64, data: &[u8]) -> Bytes {
    let Some(resume) = &answer.resume else {
        return data_frame(data);
    };
    let id = format_compact!("id: {resume}.{index}\n");
    let mut frame = BytesMut::with_capacity(id.len() + data.len() + 8);
    frame.put_slice(id.as_bytes());
    put_data(&mut frame, data);
    frame.freeze()
}

fn data_frame(data: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(data.len() + 8);
    put_data(&mut frame, data);
    frame.freeze()
}

fn put_data(frame: &mut BytesMut, data: &[u8]) {
    frame.put_slice(b"data: ");
    frame.put_slice(data);
    frame.put_slice(b"\n\n");
}

fn lost_refusal(lost: &StreamError, answer: &Answer) -> Refusal {
    let tokens = answer.reader.next_index();
    let message = format_compact!("the answer ended after {tokens} tokens: {lost}");
    Refusal::new(Code::GenerationLost, message).may_have_run()
}

/// Gathers chunks into one answer.
#[derive(Debug, Default)]
struct Whole {
    id: CompactString,
    created: u64,
    model: CompactString,
    text: String,
    finish_reason: Option<CompactString>,
    usage: Value,
}

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

impl Whole {
    fn add(&mut self, data: &[u8]) -> Result<(), Refusal> {
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

    fn usage(&mut self, data: &[u8]) -> Result<(), Refusal> {
        self.usage = parse(data)?.usage;
        Ok(())
    }

    fn object(&self, answer: &Answer) -> Value {
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

/// Observes the timing of one stream.
struct Watch {
    metrics: Arc<Metrics>,
    labels: Labels,
    received: Instant,
    last: Option<Instant>,
    tokens: u64,
}

impl Watch {
    fn new(answer: &Answer, metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            labels: labels(&answer.request.organisation, &answer.request.class),
            received: answer.request.received,
            last: None,
            tokens: 0,
        }
    }

    fn token(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.metrics.first_token(&self.labels, now - self.received),
            Some(last) => self.metrics.between_tokens(&self.labels, now - last),
        }
        self.tokens += 1;
    }

    fn end(&self, outcome: &'static str) {
        self.metrics.ended(&self.labels, self.tokens, outcome);
    }
}
