//! HTTP client of the load tool, without any retry of its own.

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client as Pool, Error, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
};

/// Time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Age at which an unused connection is closed. A short one keeps requests off connections that
/// the server is about to close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of slow readers, so that the server feels them early.
const SLOW_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Client with a pool of connections for normal readers and another for slow ones.
#[derive(Debug, Clone)]
pub struct Client {
    normal: Pool<HttpConnector, Full<Bytes>>,
    slow: Pool<HttpConnector, Full<Bytes>>,
}

/// Why a document could not be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The request failed.
    #[error("the request failed")]
    Send(#[from] Error),
    /// The answer broke off.
    #[error("the answer broke off")]
    Body(#[from] hyper::Error),
    /// The answer is not the expected JSON.
    #[error("the answer can't be read")]
    Json(#[from] serde_json::Error),
}

impl Client {
    /// A client without open connections.
    pub fn new() -> Self {
        Self {
            normal: connection_pool(None),
            slow: connection_pool(Some(SLOW_RECEIVE_BUFFER_BYTES)),
        }
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns the error of connecting, sending or reading the head.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        slow: bool,
    ) -> Result<Response<Incoming>, Error> {
        match slow {
            true => self.slow.request(request).await,
            false => self.normal.request(request).await,
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// Returns what failed.
    pub async fn get_json<T>(&self, server: SocketAddr, path: &str) -> Result<T, ReadError>
    where
        T: DeserializeOwned,
    {
        let uri = format!("http://{server}{path}");
        let request = Request::get(uri)
            .body(Full::default())
            .expect("the address and path form a URI");
        let response = self.send(request, false).await?;
        let body = response.into_body().collect().await?.to_bytes();
        Ok(serde_json::from_slice(&body)?)
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

fn connection_pool(receive_buffer: Option<usize>) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_recv_buffer_size(receive_buffer);
    Pool::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}
