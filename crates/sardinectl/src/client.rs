//! JSON-RPC client that calls the first server that answers.

use {
    crate::{
        config::ClientConfig,
        error::{Attempt, AttemptError, Error, Refusal},
    },
    jsonrpsee::{
        client_transport::ws::WsHandshakeError,
        core::{client::ClientT, client::Error as RpcError, traits::ToRpcParams},
        types::{
            ErrorObjectOwned,
            error::{
                INVALID_PARAMS_CODE, INVALID_REQUEST_CODE, METHOD_NOT_FOUND_CODE,
                OVERSIZED_REQUEST_CODE, PARSE_ERROR_CODE, SERVER_IS_BUSY_CODE,
            },
        },
        ws_client::{HeaderMap, WsClient, WsClientBuilder},
    },
    sardinerelay::{
        operator::{ErrorCode, ErrorData, ProposalId},
        refusal_code::Run,
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::time::Duration,
    tokio::{net, time},
};

/// HTTP status codes with which a server rejects the shared secret.
const UNAUTHORIZED_STATUSES: [u16; 2] = [401, 403];

/// Allows no redirection: the client library counts the first connection attempt as one, so that 0
/// would never connect.
const MAX_REDIRECTIONS: usize = 1;

/// JSON-RPC errors that a server returns before a method runs.
const REJECTED_BY_PROTOCOL: [i32; 6] = [
    PARSE_ERROR_CODE,
    INVALID_REQUEST_CODE,
    METHOD_NOT_FOUND_CODE,
    INVALID_PARAMS_CODE,
    OVERSIZED_REQUEST_CODE,
    SERVER_IS_BUSY_CODE,
];

/// Serializes a request type as by-name parameters.
struct Params<'request, Request>(&'request Request);

impl<Request> ToRpcParams for Params<'_, Request>
where
    Request: Serialize,
{
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(self.0).map(Some)
    }
}

/// The request type of methods without parameters.
#[derive(Debug, Serialize)]
pub struct NoParams {}

/// A call of one JSON-RPC method, which may be tried on several servers.
#[derive(Debug)]
pub struct Call<'request, Request> {
    /// Name of the JSON-RPC method.
    pub method: &'static str,
    /// Parameters, which are sent by name.
    pub request: &'request Request,
    /// How long the server may hold back its answer, in addition to the timeout.
    pub long_poll: Duration,
    /// The id under which a change can be resent. Absent for calls that change nothing.
    pub proposal: Option<ProposalId>,
}

/// An open connection to one of the servers.
#[derive(Debug)]
struct Connection {
    /// Index of the server in [`ClientConfig::servers`].
    server: usize,
    client: WsClient,
}

/// A client of several servers that is connected to one of them at a time.
#[derive(Debug)]
pub struct Client {
    config: ClientConfig,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client. The first call opens a connection.
    pub fn new(config: ClientConfig) -> Self {
        Self {
            config,
            connection: None,
        }
    }

    /// Calls a method without parameters that changes nothing.
    ///
    /// # Errors
    ///
    /// Like [`Client::call`].
    pub async fn read<Response>(&mut self, method: &'static str) -> Result<Response, Error>
    where
        Response: DeserializeOwned,
    {
        self.call(Call {
            method,
            request: &NoParams {},
            long_poll: Duration::ZERO,
            proposal: None,
        })
        .await
    }

    /// Calls the servers in order, starting with the connected one, until one answers. A change may
    /// reach several servers, which give the same answer because of its proposal id.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if a server refuses the call for a reason that holds for the other
    /// servers too. If no server answers, [`Error::OutcomeUnknown`] for a change that may have been
    /// made and otherwise [`Error::NoAnswer`].
    pub async fn call<Request, Response>(
        &mut self,
        call: Call<'_, Request>,
    ) -> Result<Response, Error>
    where
        Request: Serialize + Sync,
        Response: DeserializeOwned,
    {
        let first = self.connection.as_ref().map_or(0, |open| open.server);
        let count = self.config.servers.len();
        let mut attempts = Vec::new();
        for server in (first..count).chain(0..first) {
            let error = match self.attempt(server, &call).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let address = self.config.servers[server].clone();
            match error {
                AttemptError::Refused(refusal) if !should_try_next(&refusal) => {
                    return Err(refused_error(call.method, address, refusal));
                }
                error => {
                    log::info!("{address}: {error}");
                    attempts.push(Attempt {
                        server: address,
                        error,
                    });
                }
            }
        }
        Err(no_answer_error(call.method, call.proposal, attempts))
    }

    async fn attempt<Request, Response>(
        &mut self,
        server: usize,
        call: &Call<'_, Request>,
    ) -> Result<Response, AttemptError>
    where
        Request: Serialize + Sync,
        Response: DeserializeOwned,
    {
        let deadline = time::Instant::now() + self.config.timeout;
        let connection = match self.connection.take() {
            Some(open) if open.server == server && open.client.is_connected() => open,
            _ => time::timeout_at(deadline, connect(&self.config, server, call.long_poll))
                .await
                .map_err(|_| AttemptError::ConnectTimeout(self.config.timeout))??,
        };
        let request = connection.client.request(call.method, Params(call.request));
        let answer = time::timeout_at(deadline + call.long_poll, request)
            .await
            .map_err(|_| AttemptError::Timeout(self.config.timeout + call.long_poll))?;
        let answer = answer.map_err(|error| self.call_error(error));
        if !matches!(
            answer,
            Err(AttemptError::Lost(_) | AttemptError::Timeout(_))
        ) {
            self.connection = Some(connection);
        }
        answer
    }

    fn call_error(&self, error: RpcError) -> AttemptError {
        match error {
            RpcError::Call(object) => AttemptError::Refused(refusal(&object)),
            RpcError::RequestTimeout => AttemptError::Timeout(self.config.timeout),
            other => AttemptError::Lost(other.to_string()),
        }
    }
}

async fn connect(
    config: &ClientConfig,
    server: usize,
    long_poll: Duration,
) -> Result<Connection, AttemptError> {
    let mut headers = HeaderMap::new();
    if let Some(authorization) = &config.authorization {
        headers.insert("authorization", authorization.clone());
    }
    let name = &config.servers[server];
    let addresses = net::lookup_host(name)
        .await
        .map_err(|error| AttemptError::Connect(error.to_string()))?;
    let mut error = AttemptError::Connect("the host name has no address".to_owned());
    for address in addresses {
        log::info!("{name}: connecting to {address}");
        let client = WsClientBuilder::default()
            .set_headers(headers.clone())
            .connection_timeout(config.timeout)
            .request_timeout(config.timeout + long_poll)
            .max_redirections(MAX_REDIRECTIONS)
            .build(format!("ws://{address}"))
            .await;
        match client {
            Ok(client) => return Ok(Connection { server, client }),
            Err(source) => error = connect_error(&source),
        }
    }
    Err(error)
}

fn connect_error(error: &RpcError) -> AttemptError {
    let RpcError::Transport(source) = error else {
        return AttemptError::Connect(error.to_string());
    };
    match source.downcast_ref::<WsHandshakeError>() {
        Some(WsHandshakeError::Rejected { status_code })
            if UNAUTHORIZED_STATUSES.contains(status_code) =>
        {
            AttemptError::Unauthorized(*status_code)
        }
        _ => AttemptError::Connect(error.to_string()),
    }
}

fn refusal(object: &ErrorObjectOwned) -> Refusal {
    let data: Option<ErrorData> = object
        .data()
        .and_then(|data| serde_json::from_str(data.get()).ok());
    let code = ErrorCode::from_number(object.code());
    let run = match code {
        Some(code) => code.run(),
        None if REJECTED_BY_PROTOCOL.contains(&object.code()) => Run::NotRun,
        None => Run::Unknown,
    };
    Refusal {
        code,
        message: object.message().to_owned(),
        run,
        faults: data.unwrap_or_default().faults,
    }
}

fn should_try_next(refusal: &Refusal) -> bool {
    refusal.run == Run::Unknown || refusal.code.is_some_and(ErrorCode::should_try_next_server)
}

fn refused_error(method: &'static str, server: String, refusal: Refusal) -> Error {
    Error::Refused {
        server,
        method,
        refusal,
    }
}

/// The error for a call that no server answered.
fn no_answer_error(
    method: &'static str,
    proposal: Option<ProposalId>,
    attempts: Vec<Attempt>,
) -> Error {
    let may_have_run = |attempt: &Attempt| attempt.error.run() == Run::Unknown;
    match proposal {
        Some(proposal) if attempts.iter().any(may_have_run) => Error::OutcomeUnknown {
            method,
            proposal,
            attempts,
        },
        _ => Error::NoAnswer { method, attempts },
    }
}
