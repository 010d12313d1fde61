//! HTTP client of the load tool. It never retries a request.

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

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an unused connection is closed. A short time avoids requests on connections
/// that the server is about to close.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Receive buffer of slow readers. A small one makes the server notice them early.
const SLOW_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Client with separate connection pools for normal and for slow readers.
#[derive(Debug, Clone)]
pub struct Client {
    normal: Pool<HttpConnector, Full<Bytes>>,
    slow: Pool<HttpConnector, Full<Bytes>>,
}

/// Error of [`Client::get_json`].
#[derive(Debug, Error)]
pub enum ReadError {
    /// The request failed.
    #[error("the request failed")]
    Send(#[from] Error),
    /// The connection failed while the response was read.
    #[error("the connection failed while the response was read")]
    Body(#[from] hyper::Error),
    /// The response is not the expected JSON.
    #[error("the response is not the expected JSON")]
    Json(#[from] serde_json::Error),
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            normal: connection_pool(None),
            slow: connection_pool(Some(SLOW_RECEIVE_BUFFER_BYTES)),
        }
    }

    /// Sends a request and waits for the head of the response. `slow` selects the connections with
    /// a small receive buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting, sending or reading the head fails.
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

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails or if the response is not the expected JSON.
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
