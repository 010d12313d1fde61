//! Starts the generation on its target and waits for the first token.
//!
//! Until the first token is read, a failed generation may be started again on another target, with
//! a new identifier and within the retry budget. After that it may only be resumed.

use {
    crate::{
        engine::{Client, Error, Event, Reader, StartRequest, StreamError, reader::Timeouts},
        filter::{Answer, AnswerFuture, GenerationRequest, admit::Admitted},
        refusal::{Code, Refusal},
        schedule::{Failure, Reservation, Scheduler},
    },
    compact_str::{CompactString, format_compact},
    http::{HeaderValue, StatusCode},
    log::{info, warn},
    sardinerelay::{
        id::Generation,
        resume::{Claim, Sealer},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        task::{Context, Poll},
        time::SystemTime,
    },
    tokio::runtime::Handle,
    tower::Service,
};

/// The last filter of the chain, which sends requests to engines.
#[derive(Debug, Clone)]
pub struct Dispatch {
    client: Client,
    scheduler: Arc<Scheduler>,
    timeouts: Timeouts,
    sealer: Arc<Sealer>,
}

impl Dispatch {
    /// Creates the filter. `sealer` seals the resume tokens.
    pub fn new(
        client: Client,
        scheduler: Arc<Scheduler>,
        timeouts: Timeouts,
        sealer: Arc<Sealer>,
    ) -> Self {
        Self {
            client,
            scheduler,
            timeouts,
            sealer,
        }
    }
}

impl Service<Admitted> for Dispatch {
    type Response = Answer;
    type Error = Refusal;
    type Future = AnswerFuture;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Refusal>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, admitted: Admitted) -> AnswerFuture {
        let dispatch = self.clone();
        Box::pin(async move { dispatch.run(admitted).await })
    }
}

impl Dispatch {
    /// Makes attempts until one starts or no further one is allowed.
    async fn run(
        self,
        Admitted {
            request,
            mut reservation,
        }: Admitted,
    ) -> Result<Answer, Refusal> {
        let mut may_have_run = false;
        loop {
            let guard = CancelGuard::new(
                self.client.clone(),
                reservation.address,
                reservation.generation,
            );
            match self.attempt(&request, &reservation, &guard).await {
                Ok((reader, first_event)) => {
                    return Ok(self.answer(request, reservation, guard, reader, first_event));
                }
                Err(error) => {
                    // The engine is told to stop before another one is waited for, since it may still work.
                    drop(guard);
                    if let Some(refusal) = invalid_refusal(&error) {
                        // This engine did not run the request, but an earlier one may have.
                        return Err(match may_have_run {
                            true => refusal.may_have_run(),
                            false => refusal,
                        });
                    }
                    let failure = classify_failure(&error);
                    may_have_run |= failure == Failure::Lost;
                    warn!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = reservation.target.as_str(); "generation did not start: {error}");
                    let refusal = self.attempt_refusal(&error, &reservation);
                    reservation = match self.scheduler.readmit(&request, reservation, failure).await
                    {
                        Ok(reservation) => reservation,
                        Err(_) if may_have_run => return Err(refusal.may_have_run()),
                        Err(last_refusal) => return Err(last_refusal.unwrap_or(refusal)),
                    };
                }
            }
        }
    }

    /// Makes one attempt on one target and reads the first event.
    async fn attempt(
        &self,
        request: &GenerationRequest,
        reservation: &Reservation,
        guard: &CancelGuard,
    ) -> Result<(Reader, Event), StreamError> {
        let start = StartRequest {
            address: reservation.address,
            path: request.endpoint.path(),
            generation: guard.generation,
            request_id: HeaderValue::from_str(&request.id).unwrap_or(HeaderValue::from_static("")),
            priority: request.priority,
            body: request.body.clone(),
        };
        let mut reader = Reader::start(&self.client, &start, self.timeouts).await?;
        let first_event = reader.next().await?;
        Ok((reader, first_event))
    }

    /// Builds the answer of a generation that has started.
    fn answer(
        &self,
        request: Arc<GenerationRequest>,
        reservation: Reservation,
        guard: CancelGuard,
        reader: Reader,
        first_event: Event,
    ) -> Answer {
        reservation.record_first_token();
        let target = reservation.target.clone();
        let resume_token = self.resume_token(&request, &reservation, guard.generation);
        info!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = target.as_str(); "generation started");
        let progress = reservation.progress();
        Answer {
            request,
            target,
            first_event: Some(first_event),
            reader,
            resume_token,
            on_end: vec![Box::new(move |end| reservation.finish(end))],
            on_token: Box::new(move |index| progress.record_token(index)),
            cancel_guard: guard,
        }
    }

    /// Seals the resume token of a resumable request. If that fails, the stream goes on without
    /// one.
    fn resume_token(
        &self,
        request: &GenerationRequest,
        reservation: &Reservation,
        generation: Generation,
    ) -> Option<CompactString> {
        if !request.resumable {
            return None;
        }
        let claim = Claim {
            organisation: request.organisation.clone(),
            target: reservation.target.clone(),
            address: reservation.address,
            generation,
            model: request.model.clone(),
            issued: SystemTime::now(),
        };
        match self.sealer.seal(&claim, &mut rand::rng()) {
            Ok(token) => Some(token.into()),
            Err(error) => {
                warn!(request = request.id.as_str(); "sealing the resume token failed: {error}");
                None
            }
        }
    }

    /// The refusal for a request whose last attempt failed with this error.
    fn attempt_refusal(&self, error: &StreamError, reservation: &Reservation) -> Refusal {
        let message = format_compact!("target '{}': {error}", reservation.target);
        match error {
            StreamError::NotRun(_) => Refusal::new(Code::EngineRefused, message),
            _ => Refusal::new(Code::GenerationLost, message),
        }
    }
}

/// The refusal for a request that the engine rejects as invalid, such as one that exceeds its
/// memory. Another engine would reject it too.
fn invalid_refusal(error: &StreamError) -> Option<Refusal> {
    match error {
        StreamError::NotRun(Error::Refused {
            status, message, ..
        }) if *status == StatusCode::BAD_REQUEST => {
            Some(Refusal::new(Code::InvalidRequest, message.as_str()))
        }
        _ => None,
    }
}

/// How an error before the first event counts for the target and for retries.
fn classify_failure(error: &StreamError) -> Failure {
    match error {
        StreamError::NotRun(Error::Refused { code, .. }) if code == "leaving" => Failure::Leaving,
        StreamError::NotRun(Error::Refused { .. }) => Failure::Refused,
        StreamError::NotRun(_) => Failure::Unreachable,
        StreamError::Gone | StreamError::Unreachable(_) | StreamError::Protocol => Failure::Lost,
    }
}

/// Cancels the generation on the engine when dropped, so that an abandoned attempt does not go on
/// using memory there.
#[derive(Debug)]
pub struct CancelGuard {
    client: Client,
    address: SocketAddr,
    /// The generation that is cancelled.
    pub generation: Generation,
    is_armed: bool,
}

impl CancelGuard {
    /// Creates an armed guard for a generation.
    pub fn new(client: Client, address: SocketAddr, generation: Generation) -> Self {
        Self {
            client,
            address,
            generation,
            is_armed: true,
        }
    }

    /// Lets the generation go on after the guard is dropped.
    pub fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let (client, address, generation) = (self.client.clone(), self.address, self.generation);
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            if let Err(error) = client.cancel(address, generation).await {
                warn!(generation = generation.to_string().as_str(); "cancelling the generation failed: {error}");
            }
        });
    }
}
