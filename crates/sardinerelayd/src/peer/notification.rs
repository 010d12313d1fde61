//! Delivers notifications, which the RPC server alone would ignore.

use {
    jsonrpsee::{
        core::middleware::{Batch, Notification, RpcServiceT},
        types::Request,
    },
    std::{fmt, sync::Arc},
    tower::Layer,
};

type Callback = dyn Fn(&str, &str) + Send + Sync;

/// A function that gets the method and the JSON parameters of each notification. As a layer of the
/// RPC server, it adds the function to the server.
#[derive(Clone)]
pub struct NotificationHandler(Arc<Callback>);

impl NotificationHandler {
    /// Creates a handler that calls `receive` for each notification. `receive` must not block.
    pub fn new<Receive>(receive: Receive) -> Self
    where
        Receive: Fn(&str, &str) + Send + Sync + 'static,
    {
        Self(Arc::new(receive))
    }
}

impl fmt::Debug for NotificationHandler {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("NotificationHandler(..)")
    }
}

impl<Inner> Layer<Inner> for NotificationHandler {
    type Service = NotificationService<Inner>;

    fn layer(&self, inner: Inner) -> Self::Service {
        NotificationService {
            handler: self.clone(),
            inner,
        }
    }
}

/// An RPC service that passes notifications to a [`NotificationHandler`].
#[derive(Debug, Clone)]
pub struct NotificationService<Inner> {
    handler: NotificationHandler,
    inner: Inner,
}

impl<Inner> RpcServiceT for NotificationService<Inner>
where
    Inner: RpcServiceT,
{
    type MethodResponse = Inner::MethodResponse;
    type NotificationResponse = Inner::NotificationResponse;
    type BatchResponse = Inner::BatchResponse;

    fn call<'a>(
        &self,
        request: Request<'a>,
    ) -> impl Future<Output = Self::MethodResponse> + Send + 'a {
        self.inner.call(request)
    }

    fn batch<'a>(
        &self,
        requests: Batch<'a>,
    ) -> impl Future<Output = Self::BatchResponse> + Send + 'a {
        self.inner.batch(requests)
    }

    fn notification<'a>(
        &self,
        notification: Notification<'a>,
    ) -> impl Future<Output = Self::NotificationResponse> + Send + 'a {
        if let Some(parameters) = &notification.params {
            (self.handler.0)(&notification.method, parameters.get());
        }
        self.inner.notification(notification)
    }
}
