//! Queues a request until a target has memory for it, or refuses it as not run.

use {
    crate::{
        filter::{Answer, AnswerFuture, GenerationRequest},
        refusal::Refusal,
        schedule::{Reservation, Scheduler},
    },
    std::{
        mem,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::Service,
};

/// A request with its reservation on a target.
#[derive(Debug)]
pub struct Admitted {
    pub request: Arc<GenerationRequest>,
    /// The reservation, which names the target.
    pub reservation: Reservation,
}

/// The admission filter.
#[derive(Debug, Clone)]
pub struct Admit<S> {
    inner: S,
    scheduler: Arc<Scheduler>,
}

impl<S> Admit<S> {
    /// Puts the filter before `inner`.
    pub fn new(inner: S, scheduler: Arc<Scheduler>) -> Self {
        Self { inner, scheduler }
    }
}

impl<S> Service<GenerationRequest> for Admit<S>
where
    S: Service<Admitted, Response = Answer, Error = Refusal, Future = AnswerFuture>
        + Clone
        + Send
        + 'static,
{
    type Response = Answer;
    type Error = Refusal;
    type Future = AnswerFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Refusal>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: GenerationRequest) -> AnswerFuture {
        // The request goes to the service that was polled for readiness; the clone was not polled.
        let clone = self.inner.clone();
        let mut inner = mem::replace(&mut self.inner, clone);
        let scheduler = self.scheduler.clone();
        Box::pin(async move {
            let request = Arc::new(request);
            let reservation = scheduler.admit(&request).await?;
            inner
                .call(Admitted {
                    request,
                    reservation,
                })
                .await
        })
    }
}
