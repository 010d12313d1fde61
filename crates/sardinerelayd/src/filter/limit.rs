//! Charges each request's estimated tokens to its organisation's limit, and corrects the charge at
//! the end.

use {
    crate::{
        filter::{Answer, AnswerFuture, GenerationRequest},
        limits::Limits,
        refusal::Refusal,
        request_stats::RequestStats,
    },
    std::{
        mem,
        sync::Arc,
        task::{Context, Poll},
    },
    tower::Service,
};

/// The filter that enforces organisations' limits.
#[derive(Debug, Clone)]
pub struct Limit<S> {
    inner: S,
    limits: Arc<Limits>,
    request_stats: Arc<RequestStats>,
}

impl<S> Limit<S> {
    /// Puts the filter before `inner`.
    pub fn new(inner: S, limits: Arc<Limits>, request_stats: Arc<RequestStats>) -> Self {
        Self {
            inner,
            limits,
            request_stats,
        }
    }
}

impl<S> Service<GenerationRequest> for Limit<S>
where
    S: Service<GenerationRequest, Response = Answer, Error = Refusal, Future = AnswerFuture>
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
        let limits = self.limits.clone();
        let request_stats = self.request_stats.clone();
        Box::pin(async move {
            let organisation = request.organisation.clone();
            let charged = async {
                let charge = limits.charge(&request).await?;
                let mut answer = inner.call(request).await?;
                answer
                    .on_end
                    .push(Box::new(move |end| charge.settle(end.tokens)));
                Ok(answer)
            };
            let result = charged.await;
            if result.is_err() {
                request_stats.add_refusal(&organisation);
            }
            result
        })
    }
}
