//! Starts the generation on its target and waits for the first token.
//!
//! Until the first token was read, a generation that failed may be started anew elsewhere, with
//! a new identifier and within the retry budget. Afterwards it may only be resumed.

use {
    crate::{
        engine::{Client, Error, Event, Lost, Reader, Start, reader::Patience},
        filter::{Answer, Call, Reply, admit::Admitted},
        refusal::{Code, Refusal},
        schedule::{Failure, Scheduler, Ticket},
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
    patience: Patience,
    sealer: Arc<Sealer>,
}

impl Dispatch {
    /// Sends to the targets that the scheduler's tickets name.
    pub fn new(
        client: Client,
        scheduler: Arc<Scheduler>,
        patience: Patience,
        sealer: Arc<Sealer>,
    ) -> Self {
        Self {
            client,
            scheduler,
            patience,
            sealer,
        }
    }
}

impl Service<Admitted> for Dispatch {
    type Response = Answer;
    type Error = Refusal;
    type Future = Reply;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Refusal>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, admitted: Admitted) -> Reply {
        let dispatch = self.clone();
        Box::pin(async move { dispatch.run(admitted).await })
    }
}

impl Dispatch {
    async fn run(self, Admitted { call, mut ticket }: Admitted) -> Result<Answer, Refusal> {
        let mut may_have_run = false;
        loop {
            let guard = Abandon::of(self.client.clone(), ticket.address, ticket.generation);
            match self.attempt(&call, &ticket, &guard).await {
                Ok((reader, first)) => return Ok(self.answer(call, ticket, guard, reader, first)),
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
                    warn!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = ticket.target.as_str(); "generation did not start: {lost}");
                    let refusal = self.explain(&lost, &ticket);
                    ticket = match self.scheduler.readmit(&call, ticket, failure).await {
                        Ok(ticket) => ticket,
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
        call: &Call,
        ticket: &Ticket,
        guard: &Abandon,
    ) -> Result<(Reader, Event), Lost> {
        let start = Start {
            address: ticket.address,
            path: call.shape.path(),
            generation: guard.generation,
            request: HeaderValue::from_str(&call.id).unwrap_or(HeaderValue::from_static("")),
            priority: call.priority,
            body: call.body.clone(),
        };
        let mut reader = Reader::start(&self.client, &start, self.patience).await?;
        let first = reader.next().await?;
        Ok((reader, first))
    }

    fn answer(
        &self,
        call: Arc<Call>,
        ticket: Ticket,
        guard: Abandon,
        reader: Reader,
        first: Event,
    ) -> Answer {
        ticket.first_token();
        let target = ticket.target.clone();
        let resume = self.seal(&call, &ticket, guard.generation);
        info!(request = call.id.as_str(), organisation = call.organisation.as_str(), target = target.as_str(); "generation started");
        let progress = ticket.progress();
        Answer {
            call,
            target,
            first: Some(first),
            reader,
            resume,
            on_end: vec![Box::new(move |end| ticket.finish(end))],
            on_token: Box::new(move |index| progress.token(index)),
            abandon: guard,
        }
    }

    /// The resume token of a resumable stream. A stream goes on without one if sealing fails.
    fn seal(&self, call: &Call, ticket: &Ticket, generation: Generation) -> Option<CompactString> {
        if !call.resumable {
            return None;
        }
        let claim = Claim {
            organisation: call.organisation.clone(),
            target: ticket.target.clone(),
            address: ticket.address,
            generation,
            model: call.model.clone(),
            issued: SystemTime::now(),
        };
        match self.sealer.seal(&claim, &mut rand::rng()) {
            Ok(token) => Some(token.into()),
            Err(error) => {
                warn!(request = call.id.as_str(); "sealing a resume token failed: {error}");
                None
            }
        }
    }

    fn explain(&self, lost: &Lost, ticket: &Ticket) -> Refusal {
        let message = format_compact!("target '{}': {lost}", ticket.target);
        match lost {
            Lost::NotRun(_) => Refusal::new(Code::EngineRefused, message),
            _ => Refusal::new(Code::GenerationLost, message),
        }
    }
}

/// The refusal of a request that no engine can run, for example one longer than its memory.
fn invalid(lost: &Lost) -> Option<Refusal> {
    match lost {
        Lost::NotRun(Error::Refused {
            status, message, ..
        }) if *status == StatusCode::BAD_REQUEST => {
            Some(Refusal::new(Code::InvalidRequest, message.as_str()))
        }
        _ => None,
    }
}

fn failure(lost: &Lost) -> Failure {
    match lost {
        Lost::NotRun(Error::Refused { code, .. }) if code == "leaving" => Failure::Leaving,
        Lost::NotRun(Error::Refused { .. }) => Failure::Refused,
        Lost::NotRun(_) => Failure::Unreachable,
        Lost::Gone | Lost::Unreachable(_) | Lost::Protocol => Failure::Lost,
    }
}

/// Cancels the generation on the engine when dropped, so that an attempt whose caller left, or
/// that was given up, doesn't go on holding memory there.
#[derive(Debug)]
pub struct Abandon {
    client: Client,
    address: SocketAddr,
    /// The attempt's generation.
    pub generation: Generation,
    armed: bool,
}

impl Abandon {
    /// Cancels this generation when dropped.
    pub fn of(client: Client, address: SocketAddr, generation: Generation) -> Self {
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

impl Drop for Abandon {
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
