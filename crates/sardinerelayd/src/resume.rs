//! Continues a stream whose connection between entry host and caller was lost.
//!
//! The caller sends the `id` of the last event that it received to any entry host. It contains a
//! sealed token that names the engine and the generation, so no host needs to keep a table of
//! streams.

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

/// Resumes streams from their tokens.
#[derive(Debug, Clone)]
pub struct Resumer {
    /// Opens the sealed tokens.
    pub sealer: Arc<Sealer>,
    /// Client for engines.
    pub client: Client,
    /// When an engine is probed and when its generation counts as lost.
    pub timeouts: Timeouts,
}

impl Resumer {
    /// Attaches to the generation that the caller's last event names.
    ///
    /// # Errors
    ///
    /// Refuses a token that is missing, expired or another organisation's, and a generation that no
    /// longer exists.
    pub async fn resume(&self, caller: &Caller, headers: &HeaderMap) -> Result<Answer, Refusal> {
        let received = Instant::now();
        let position = self.position(caller, headers)?;
        let next = position.index + 1;
        let cursor = Cursor::new(position.claim.generation, next);
        let reader = Reader::resume(&self.client, position.claim.address, cursor, self.timeouts)
            .await
            .map_err(|error| lost_refusal(&error))?;
        let request = resumed_request(caller, headers, &position, received);
        info!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = position.claim.target.as_str(); "stream resumed at token {next}");
        let (address, generation) = (position.claim.address, position.claim.generation);
        Ok(Answer {
            request: Arc::new(request),
            target: position.claim.target,
            first_event: None,
            reader,
            resume_token: Some(sealed_token(headers)),
            on_end: Vec::new(),
            on_token: Box::new(|_| ()),
            cancel_guard: CancelGuard::new(self.client.clone(), address, generation),
        })
    }

    /// Opens the token in `Last-Event-ID`.
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
            .map_err(|error| token_refusal(&error))
    }
}

/// The sealed token without the index. The event id was opened before, so it has both parts.
fn sealed_token(headers: &HeaderMap) -> compact_str::CompactString {
    let id = headers
        .get("last-event-id")
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    id.rsplit_once('.').map_or(id, |(token, _)| token).into()
}

/// A request for the parts of the chain that handle an answer. Fields that only matter before a
/// generation starts have neutral values.
fn resumed_request(
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

/// The refusal of a token that can't be opened.
fn token_refusal(error: &Error) -> Refusal {
    Refusal::new(Code::ResumeRefused, format_compact!("{error}"))
}

/// The refusal of a resumption whose generation can't be continued.
fn lost_refusal(error: &StreamError) -> Refusal {
    Refusal::new(Code::GenerationLost, format_compact!("{error}")).may_have_run()
}
