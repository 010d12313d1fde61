//! Continues a stream that was cut between an entry host and its caller.
//!
//! The caller presents the `id` of the last event it got, on any entry host. The token inside is
//! sealed and names the engine and the generation, so no host keeps a table of streams.

use {
    crate::{
        engine::{Client, Reader, StreamError, reader::Timeouts},
        filter::{
            Answer, Endpoint, GenerationRequest,
            dispatch::CancelGuard,
            identify::{Caller, request_id},
        },
        refusal::{Code, Refusal},
    },
    bytes::Bytes,
    compact_str::format_compact,
    http::HeaderMap,
    log::info,
    sardinerelay::{
        resume::{Error, Position, Sealer},
        stream::Cursor,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
};

/// What resuming needs.
#[derive(Debug, Clone)]
pub struct Resumer {
    /// Opens the tokens.
    pub sealer: Arc<Sealer>,
    /// Connections to engines.
    pub client: Client,
    /// When an engine's generation is given up.
    pub timeouts: Timeouts,
}

impl Resumer {
    /// Attaches to the generation that the caller's last event names.
    ///
    /// # Errors
    ///
    /// Refuses a missing, foreign or expired token, and a generation that no longer exists.
    pub async fn resume(&self, caller: &Caller, headers: &HeaderMap) -> Result<Answer, Refusal> {
        let received = Instant::now();
        let position = self.position(caller, headers)?;
        let next = position.index + 1;
        let cursor = Cursor::new(position.claim.generation, next);
        let reader = Reader::resume(&self.client, position.claim.address, cursor, self.timeouts)
            .await
            .map_err(|lost| explain(&lost))?;
        let request = call(caller, headers, &position, received);
        info!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = position.claim.target.as_str(); "stream resumed at token {next}");
        let (address, generation) = (position.claim.address, position.claim.generation);
        Ok(Answer {
            request: Arc::new(request),
            target: position.claim.target,
            first: None,
            reader,
            resume: Some(token(headers)),
            on_end: Vec::new(),
            on_token: Box::new(|_| ()),
            cancel_guard: CancelGuard::new(self.client.clone(), address, generation),
        })
    }

    fn position(&self, caller: &Caller, headers: &HeaderMap) -> Result<Position, Refusal> {
        let id = headers
            .get("last-event-id")
            .and_then(|id| id.to_str().ok())
            .ok_or_else(|| {
                Refusal::new(
                    Code::ResumeRefused,
                    "send the id of the last event as Last-Event-ID",
                )
            })?;
        self.sealer
            .open(id, &caller.organisation, SystemTime::now())
            .map_err(|error| refuse(&error))
    }
}

/// The sealed part of the caller's event id. It was opened before, so it has an index.
fn token(headers: &HeaderMap) -> compact_str::CompactString {
    let id = headers
        .get("last-event-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    id.rsplit_once('.').map_or(id, |(token, _)| token).into()
}

fn call(
    caller: &Caller,
    headers: &HeaderMap,
    position: &Position,
    received: Instant,
) -> GenerationRequest {
    GenerationRequest {
        id: request_id(headers),
        organisation: caller.organisation.clone(),
        class: caller.classes.first().cloned().unwrap_or_default(),
        priority: 0,
        max_wait: Duration::ZERO,
        model: position.claim.model.clone(),
        endpoint: Endpoint::Text,
        prompt_tokens: 0,
        prefix_hashes: Vec::new(),
        max_tokens: None,
        stream: true,
        include_usage: true,
        resumable: true,
        body: Bytes::new(),
        received,
    }
}

fn refuse(error: &Error) -> Refusal {
    Refusal::new(Code::ResumeRefused, format_compact!("{error}"))
}

fn explain(lost: &StreamError) -> Refusal {
    Refusal::new(Code::GenerationLost, format_compact!("{lost}")).may_have_run()
}
