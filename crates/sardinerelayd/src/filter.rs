//! The filter chain that each generation request passes.
//!
//! `relay → identify → limit → admit → dispatch`: each filter is a `tower` layer that owns one
//! decision. A refusal travels back through the chain as a typed error, and only `relay` turns it
//! into an HTTP response.

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

/// A filter's future.
pub type AnswerFuture = BoxFuture<'static, Result<Answer, Refusal>>;

/// A request as the chain understands it.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Identifier for logs and for the engine's record.
    pub id: CompactString,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// The class that the request runs in.
    pub class: Class,
    /// The class's priority; 0 comes first.
    pub priority: u8,
    /// The longest wait before the request is refused.
    pub max_wait: Duration,
    /// The model, without its adapter.
    pub model: Model,
    /// Which of the two APIs was called.
    pub endpoint: Endpoint,
    /// Estimated prompt length in tokens.
    pub prompt_tokens: u64,
    /// The caller's bound on the output in tokens.
    pub max_tokens: Option<u64>,
    /// Hashes of the prompt's blocks, by which engines name what their caches hold.
    pub prefix_hashes: Vec<u64>,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants the usage chunk at the end of the stream.
    pub include_usage: bool,
    /// Whether the caller may come back with a resume token.
    pub resumable: bool,
    /// The body, passed on as it came.
    pub body: Bytes,
    /// When the request head was complete.
    pub received: Instant,
}

/// Which API a request came through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

impl Endpoint {
    /// The API's path, the same here and on engines.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }
}

/// A generation whose first event has arrived.
pub struct Answer {
    /// The request.
    pub request: Arc<GenerationRequest>,
    /// The target's name.
    pub target: CompactString,
    /// The event that has arrived.
    pub first: Option<crate::engine::Event>,
    /// Reads the rest.
    pub reader: Reader,
    /// The sealed resume token, if the caller asked for one.
    pub resume: Option<CompactString>,
    /// Run with the number of delivered tokens and whether the answer is whole.
    pub on_end: Vec<OnEnd>,
    /// Run for each token.
    pub on_token: OnToken,
    /// Cancels the generation if the answer is dropped before its end.
    pub cancel_guard: dispatch::CancelGuard,
}

/// Runs at the end of an answer.
pub type OnEnd = Box<dyn FnOnce(End) + Send>;

/// Runs for each token, with its index.
pub type OnToken = Box<dyn FnMut(u64) + Send>;

/// How an answer ended.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Tokens that were delivered.
    pub tokens: u64,
    /// Whether the answer is whole.
    pub is_complete: bool,
    /// Whether the target lost the generation.
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
    /// Settles what the filters reserved, and cancels the generation if it still runs.
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
        // A resumable generation is left to the engine's orphan window.
        if is_complete || self.request.resumable {
            self.cancel_guard.disarm();
        }
    }
}
