//! RPC client for one other host.

use {
    super::{
        ConnectError, Error, MAX_REQUEST_BYTES, MAX_RESPONSE_BYTES, Secrets, SharedCounters,
        Timeouts, io,
    },
    jsonrpsee::{
        core::{
            client::{ClientT as _, Error as RpcError},
            traits::ToRpcParams,
        },
        ws_client::{PingConfig, WsClient, WsClientBuilder},
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::value::{RawValue, to_raw_value},
    std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, sync::Mutex, time},
};

/// An RPC client for one other host. It opens a connection when a call needs one, and keeps it for
/// later calls.
pub struct Client {
    address: SocketAddr,
    secrets: Option<Secrets>,
    timeouts: Timeouts,
    counters: SharedCounters,
    connection: Mutex<Option<Arc<WsClient>>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Client")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client for the host at `address`. Without secrets, it can only use servers that
    /// require none.
    pub fn new<Given>(
        address: SocketAddr,
        secrets: Given,
        timeouts: Timeouts,
        counters: SharedCounters,
    ) -> Self
    where
        Given: Into<Option<Secrets>>,
    {
        Self {
            address,
            secrets: secrets.into(),
            timeouts,
            counters,
            connection: Mutex::new(None),
        }
    }

    /// Returns the address of the other host.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a method with one parameter.
    ///
    /// # Errors
    ///
    /// Returns why there is no result. Unless the other host answered with an error, the connection
    /// is dropped, and the next call opens a new one.
    pub async fn call<P, R>(
        &self,
        method: &'static str,
        parameter: &P,
        timeout: Duration,
    ) -> Result<R, Error>
    where
        P: Serialize,
        R: DeserializeOwned,
    {
        let parameters = Parameters::new(parameter)?;
        let connection = self.connection(timeout).await?;
        self.counters.count_sent();
        let answer = time::timeout(timeout, connection.request(method, parameters)).await;
        match answer {
            Ok(Ok(result)) => {
                self.counters.count_received();
                Ok(result)
            }
            Ok(Err(error)) => Err(self.fail(&connection, error).await),
            Err(_) => {
                self.drop_connection(&connection).await;
                Err(Error::Timeout {
                    address: self.address,
                    timeout,
                })
            }
        }
    }

    /// Sends a notification, which has no answer and may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection doesn't take the notification within the timeout.
    pub async fn notify<P>(
        &self,
        method: &'static str,
        parameter: &P,
        timeout: Duration,
    ) -> Result<(), Error>
    where
        P: Serialize,
    {
        let parameters = Parameters::new(parameter)?;
        let connection = self.connection(timeout).await?;
        self.counters.count_sent();
        match time::timeout(timeout, connection.notification(method, parameters)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(self.fail(&connection, error).await),
            Err(_) => {
                self.drop_connection(&connection).await;
                Err(Error::Timeout {
                    address: self.address,
                    timeout,
                })
            }
        }
    }

    /// Returns the open connection, or opens one.
    async fn connection(&self, timeout: Duration) -> Result<Arc<WsClient>, Error> {
        let limit = timeout.min(self.timeouts.connect);
        let opened = time::timeout(limit, async {
            let mut current = self.connection.lock().await;
            match &*current {
                Some(connection) if connection.is_connected() => Ok(Arc::clone(connection)),
                _ => Ok(Arc::clone(current.insert(Arc::new(self.open().await?)))),
            }
        });
        opened
            .await
            .unwrap_or(Err(ConnectError::Timeout))
            .map_err(|reason| Error::Connect {
                address: self.address,
                reason,
            })
    }

    async fn open(&self) -> Result<WsClient, ConnectError> {
        let stream = TcpStream::connect(self.address).await?;
        let stream = io::CountingStream::new(stream, Arc::clone(&self.counters))?;
        let ping = PingConfig::new()
            .ping_interval(self.timeouts.silence / 3)
            .inactive_limit(self.timeouts.silence)
            .max_failures(1);
        let headers = self.secrets.as_ref().map(Secrets::headers);
        let headers = headers.unwrap_or_default();
        let client = WsClientBuilder::new()
            .set_headers(headers)
            .max_request_size(MAX_REQUEST_BYTES)
            .max_response_size(MAX_RESPONSE_BYTES)
            .enable_ws_ping(ping)
            // Every call has its own timeout, which is always shorter.
            .request_timeout(Duration::from_secs(3600))
            .build_with_stream(format!("ws://{}", self.address), stream)
            .await?;
        Ok(client)
    }

    /// Drops the connection unless the other host answered with the error.
    async fn fail(&self, connection: &Arc<WsClient>, source: RpcError) -> Error {
        let address = self.address;
        if let RpcError::Call(error) = source {
            self.counters.count_received();
            return Error::Remote {
                address,
                code: error.code(),
                message: error.message().to_owned(),
            };
        }
        self.drop_connection(connection).await;
        Error::Broken { address, source }
    }

    /// Drops the connection unless another call has replaced it already.
    async fn drop_connection(&self, connection: &Arc<WsClient>) {
        let mut current = self.connection.lock().await;
        if current
            .as_ref()
            .is_some_and(|other| Arc::ptr_eq(other, connection))
        {
            *current = None;
        }
    }
}

/// One method parameter, encoded as a JSON array of one element.
struct Parameters(Box<RawValue>);

impl Parameters {
    fn new<P>(parameter: &P) -> Result<Self, serde_json::Error>
    where
        P: Serialize,
    {
        to_raw_value(&(parameter,)).map(Self)
    }
}

impl ToRpcParams for Parameters {
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        Ok(Some(self.0))
    }
}
