//! The filter chain that each generation request passes through.
//!
//! `relay → identify → limit → admit → dispatch`: each filter after `relay` is a `tower` service
//! that makes one decision. A refusal is returned through the chain as a typed error, and only
//! `relay` turns it into an HTTP response.

pub mod admit;
pub mod dispatch;
pub mod identify;
pub mod limit;
pub mod relay;

use {
    crate::{engine::Reader, refusal::Refusal},
    bytes::Bytes,
    compact_str::CompactString,
    futures::future::BoxFuture,
    sardinerelay::id::{Class, Model, Organisation},
    std::{fmt, sync::Arc, time::Duration, time::Instant},
};

/// The future that a filter returns.
pub type AnswerFuture = BoxFuture<'static, Result<Answer, Refusal>>;

/// An authenticated and parsed generation request.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Request identifier, for logs here and on the engine.
    pub id: CompactString,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// The class that the request runs in.
    pub class: Class,
    /// The class's priority; 0 is the highest.
    pub priority: u8,
    /// How long the request may wait in the admission queue before it is refused.
    pub max_wait: Duration,
    /// The model, without its adapter.
    pub model: Model,
    /// The endpoint that was called.
    pub endpoint: Endpoint,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u64,
    /// The request's limit on the output in tokens, if it has one.
    pub max_tokens: Option<u64>,
    /// Hashes of the prompt's blocks, by which engines identify the contents of their prefix
    /// caches.
    pub prefix_hashes: Vec<u64>,
    /// Whether the caller wants an event stream.
    pub stream: bool,
    /// Whether the caller wants the usage chunk at the end of the stream.
    pub include_usage: bool,
    /// Whether the caller wants a resume token, to continue the stream after a lost connection.
    pub resumable: bool,
    /// The body, passed on unchanged.
    pub body: Bytes,
    /// When the request's headers were complete.
    pub received: Instant,
}

/// A generation endpoint of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// The endpoint's path, which is the same here and on engines.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }
}

/// A running generation that is delivered to its caller.
pub struct Answer {
    /// The request, which on a resumed stream has neutral values in the fields that only matter
    /// before a generation starts.
    pub request: Arc<GenerationRequest>,
    /// Name of the target that runs the generation.
    pub target: CompactString,
    /// The first event, until it is delivered; `None` for a resumed stream.
    pub first_event: Option<crate::engine::Event>,
    /// Reads the remaining events.
    pub reader: Reader,
    /// The sealed resume token, if the caller asked for one.
    pub resume_token: Option<CompactString>,
    /// Called when the answer ends or is dropped.
    pub on_end: Vec<OnEnd>,
    /// Called for each token.
    pub on_token: OnToken,
    /// Cancels the generation on the engine if the answer is dropped before its end.
    pub cancel_guard: dispatch::CancelGuard,
}

/// Callback for the end of an answer.
pub type OnEnd = Box<dyn FnOnce(End) + Send>;

/// Callback for each token, with the token's index.
pub type OnToken = Box<dyn FnMut(u64) + Send>;

/// How an answer ended.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Number of tokens read from the engine, counted from the start of the generation.
    pub tokens: u64,
    /// Whether the answer was read to its end.
    pub is_complete: bool,
    /// Whether the generation could not be continued on its target.
    pub is_lost: bool,
}

impl fmt::Debug for Answer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Answer")
            .field("request", &self.request.id)
            .field("target", &self.target)
            .field("reader", &self.reader)
            .finish_non_exhaustive()
    }
}

impl Drop for Answer {
    /// Runs the end callbacks, and cancels the generation if it may still run on the engine.
    fn drop(&mut self) {
        let is_complete = self.reader.is_complete();
        let end = End {
            tokens: self.reader.next_index(),
            is_complete,
            is_lost: self.reader.is_lost(),
        };
        for on_end in self.on_end.drain(..) {
            on_end(end);
        }
        // A resumable generation is kept running: its caller may reconnect within the engine's
        // orphan window.
        if is_complete || self.request.resumable {
            self.cancel_guard.disarm();
        }
    }
}
