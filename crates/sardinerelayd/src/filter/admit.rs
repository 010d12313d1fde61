//! Holds a request until a target has memory for it, or refuses it as not run.

use {
    crate::{
        filter::{Answer, Call, Reply},
        refusal::Refusal,
        schedule::{Scheduler, Ticket},
    },
    std::{
        mem,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::Service,
};

/// A request with the place that was found for it.
#[derive(Debug)]
pub struct Admitted {
    /// The request.
    pub call: Arc<Call>,
    /// Its target and reservation.
    pub ticket: Ticket,
}

/// The filter.
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

impl<S> Service<Call> for Admit<S>
where
    S: Service<Admitted, Response = Answer, Error = Refusal, Future = Reply>
        + Clone
        + Send
        + 'static,
{
    type Response = Answer;
    type Error = Refusal;
    type Future = Reply;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Refusal>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, call: Call) -> Reply {
        let ready = self.inner.clone();
        let mut inner = mem::replace(&mut self.inner, ready);
        let scheduler = self.scheduler.clone();
        Box::pin(async move {
            let call = Arc::new(call);
            let ticket = scheduler.admit(&call).await?;
            inner.call(Admitted { call, ticket }).await
        })
    }
}
