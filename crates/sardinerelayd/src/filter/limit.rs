//! Charges each request to its organisation's limit, on the estimate, and settles it at the end.

use {
    crate::{
        filter::{Answer, Call, Reply},
        limits::Limits,
        refusal::Refusal,
        tally::Tally,
    },
    std::{
        mem,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::Service,
};

/// The filter.
#[derive(Debug, Clone)]
pub struct Limit<S> {
    inner: S,
    limits: Arc<Limits>,
    tally: Arc<Tally>,
}

impl<S> Limit<S> {
    /// Puts the filter before `inner`.
    pub fn new(inner: S, limits: Arc<Limits>, tally: Arc<Tally>) -> Self {
        Self {
            inner,
            limits,
            tally,
        }
    }
}

impl<S> Service<Call> for Limit<S>
where
    S: Service<Call, Response = Answer, Error = Refusal, Future = Reply> + Clone + Send + 'static,
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
        let limits = self.limits.clone();
        let tally = self.tally.clone();
        Box::pin(async move {
            let organisation = call.organisation.clone();
            let charged = async {
                let charge = limits.charge(&call).await?;
                let mut answer = inner.call(call).await?;
                answer
                    .on_end
                    .push(Box::new(move |end| charge.settle(end.tokens)));
                Ok(answer)
            };
            let result = charged.await;
            if result.is_err() {
                tally.refuse(&organisation);
            }
            result
        })
    }
}
