//! Starts the generation on its target and waits for the first token.
//!
//! Until the first token was read, a generation that failed may be started anew elsewhere, with
//! a new identifier and within the retry budget. Afterwards it may only be resumed.

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

/// The end of the chain.
#[derive(Debug, Clone)]
pub struct Dispatch {
    client: Client,
    scheduler: Arc<Scheduler>,
    timeouts: Timeouts,
    sealer: Arc<Sealer>,
}

impl Dispatch {
    /// Sends to the targets that the scheduler's reservations name.
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
                Ok((reader, first)) => {
                    return Ok(self.answer(request, reservation, guard, reader, first));
                }
                Err(lost) => {
                    if let Some(refusal) = invalid(&lost) {
                        // This engine did not run it, but an earlier one may have.
                        return Err(match may_have_run {
                            true => refusal.may_have_run(),
                            false => refusal,
                        });
                    }
                    let failure = failure(&lost);
                    may_have_run |= failure == Failure::Lost;
                    warn!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = reservation.target.as_str(); "generation did not start: {lost}");
                    let refusal = self.explain(&lost, &reservation);
                    reservation = match self.scheduler.readmit(&request, reservation, failure).await
                    {
                        Ok(reservation) => reservation,
                        Err(_) if may_have_run => return Err(refusal.may_have_run()),
                        Err(last) => return Err(last.unwrap_or(refusal)),
                    };
                }
            }
        }
    }

    /// One attempt on one target, up to the first event.
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
        let first = reader.next().await?;
        Ok((reader, first))
    }

    fn answer(
        &self,
        request: Arc<GenerationRequest>,
        reservation: Reservation,
        guard: CancelGuard,
        reader: Reader,
        first: Event,
    ) -> Answer {
        reservation.first_token();
        let target = reservation.target.clone();
        let resume = self.seal(&request, &reservation, guard.generation);
        info!(request = request.id.as_str(), organisation = request.organisation.as_str(), target = target.as_str(); "generation started");
        let progress = reservation.progress();
        Answer {
            request,
            target,
            first: Some(first),
            reader,
            resume,
            on_end: vec![Box::new(move |end| reservation.finish(end))],
            on_token: Box::new(move |index| progress.token(index)),
            cancel_guard: guard,
        }
    }

    /// The resume token of a resumable stream. A stream goes on without one if sealing fails.
    fn seal(
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
                warn!(request = request.id.as_str(); "sealing a resume token failed: {error}");
                None
            }
        }
    }

    fn explain(&self, lost: &StreamError, reservation: &Reservation) -> Refusal {
        let message = format_compact!("target '{}': {lost}", reservation.target);
        match lost {
            StreamError::NotRun(_) => Refusal::new(Code::EngineRefused, message),
            _ => Refusal::new(Code::GenerationLost, message),
        }
    }
}

/// The refusal of a request that no engine can run, for example one longer than its memory.
fn invalid(lost: &StreamError) -> Option<Refusal> {
    match lost {
        StreamError::NotRun(Error::Refused {
            status, message, ..
        }) if *status == StatusCode::BAD_REQUEST => {
            Some(Refusal::new(Code::InvalidRequest, message.as_str()))
        }
        _ => None,
    }
}

fn failure(lost: &StreamError) -> Failure {
    match lost {
        StreamError::NotRun(Error::Refused { code, .. }) if code == "leaving" => Failure::Leaving,
        StreamError::NotRun(Error::Refused { .. }) => Failure::Refused,
        StreamError::NotRun(_) => Failure::Unreachable,
        StreamError::Gone | StreamError::Unreachable(_) | StreamError::Protocol => Failure::Lost,
    }
}

/// Cancels the generation on the engine when dropped, so that an attempt whose caller left, or
/// that was given up, doesn't go on holding memory there.
#[derive(Debug)]
pub struct CancelGuard {
    client: Client,
    address: SocketAddr,
    /// The attempt's generation.
    pub generation: Generation,
    armed: bool,
}

impl CancelGuard {
    /// Cancels this generation when dropped.
    pub fn new(client: Client, address: SocketAddr, generation: Generation) -> Self {
        Self {
            client,
            address,
            generation,
            armed: true,
        }
    }

    /// Leaves the generation alone.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (client, address, generation) = (self.client.clone(), self.address, self.generation);
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            if let Err(error) = client.cancel(address, generation).await {
                warn!(generation = generation.to_string().as_str(); "cancelling failed: {error}");
            }
        });
    }
}
