//! Calls the operator's JSON-RPC on the first server that answers.

use {
    crate::{
        config::Access,
        error::{Attempt, Cause, Error, Refusal},
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

/// Status codes with which a server refuses the shared secret.
const UNAUTHORIZED_STATUSES: [u16; 2] = [401, 403];

/// The client library counts the first attempt as a redirection, so that 0 never connects.
const CONNECTION_ATTEMPTS: usize = 1;

/// JSON-RPC errors that are found before a method runs.
const REJECTED_BY_PROTOCOL: [i32; 6] = [
    PARSE_ERROR_CODE,
    INVALID_REQUEST_CODE,
    METHOD_NOT_FOUND_CODE,
    INVALID_PARAMS_CODE,
    OVERSIZED_REQUEST_CODE,
    SERVER_IS_BUSY_CODE,
];

/// Sends a request type as by-name parameters.
struct Params<'request, Request>(&'request Request);

impl<Request> ToRpcParams for Params<'_, Request>
where
    Request: Serialize,
{
    fn to_rpc_params(self) -> Result<Option<Box<RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(self.0).map(Some)
    }
}

/// Request type of methods without parameters.
#[derive(Debug, Serialize)]
pub struct NoParams {}

/// One call.
#[derive(Debug)]
pub struct Call<'request, Request> {
    /// The method.
    pub method: &'static str,
    /// Its parameters.
    pub request: &'request Request,
    /// How long the server may hold back the answer, on top of the deadline.
    pub hold: Duration,
    /// The id under which a change can be resent; absent for calls that change nothing.
    pub proposal: Option<ProposalId>,
}

/// An open connection.
#[derive(Debug)]
struct Connection {
    /// Position of its server.
    server: usize,
    client: WsClient,
}

/// Client of several servers, one of which is used at a time.
#[derive(Debug)]
pub struct Client {
    access: Access,
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client; connections are opened by the first call.
    pub fn new(access: Access) -> Self {
        Self {
            access,
            connection: None,
        }
    }

    /// Calls a method that changes nothing and has no parameters.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn read<Response>(&mut self, method: &'static str) -> Result<Response, Error>
    where
        Response: DeserializeOwned,
    {
        self.call(Call {
            method,
            request: &NoParams {},
            hold: Duration::ZERO,
            proposal: None,
        })
        .await
    }

    /// Calls the servers in order, beginning with the connected one, until one answers. A change
    /// may reach several servers; its proposal id makes them give the same answer.
    ///
    /// # Errors
    ///
    /// If no server answers, or one refuses for a reason that other servers share.
    pub async fn call<Request, Response>(
        &mut self,
        call: Call<'_, Request>,
    ) -> Result<Response, Error>
    where
        Request: Serialize + Sync,
        Response: DeserializeOwned,
    {
        let first = self.connection.as_ref().map_or(0, |open| open.server);
        let count = self.access.servers.len();
        let mut attempts = Vec::new();
        for server in (first..count).chain(0..first) {
            let cause = match self.attempt(server, &call).await {
                Ok(response) => return Ok(response),
                Err(cause) => cause,
            };
            let address = self.access.servers[server].clone();
            match cause {
                Cause::Refused(refusal) if !goes_on(&refusal) => {
                    return Err(refused(call.method, address, refusal));
                }
                cause => {
                    log::info!("{address}: {cause}");
                    attempts.push(Attempt {
                        server: address,
                        cause,
                    });
                }
            }
        }
        Err(unanswered(call.method, call.proposal, attempts))
    }

    async fn attempt<Request, Response>(
        &mut self,
        server: usize,
        call: &Call<'_, Request>,
    ) -> Result<Response, Cause>
    where
        Request: Serialize + Sync,
        Response: DeserializeOwned,
    {
        let deadline = time::Instant::now() + self.access.timeout;
        let connection = match self.connection.take() {
            Some(open) if open.server == server && open.client.is_connected() => open,
            _ => time::timeout_at(deadline, connect(&self.access, server, call.hold))
                .await
                .map_err(|_| Cause::ConnectTimeout(self.access.timeout))??,
        };
        let request = connection.client.request(call.method, Params(call.request));
        let answer = time::timeout_at(deadline + call.hold, request)
            .await
            .map_err(|_| Cause::Timeout(self.access.timeout + call.hold))?;
        let answer = answer.map_err(|error| self.cause(error));
        if !matches!(answer, Err(Cause::Lost(_) | Cause::Timeout(_))) {
            self.connection = Some(connection);
        }
        answer
    }

    fn cause(&self, error: RpcError) -> Cause {
        match error {
            RpcError::Call(object) => Cause::Refused(refusal(&object)),
            RpcError::RequestTimeout => Cause::Timeout(self.access.timeout),
            other => Cause::Lost(other.to_string()),
        }
    }
}

async fn connect(access: &Access, server: usize, hold: Duration) -> Result<Connection, Cause> {
    let mut headers = HeaderMap::new();
    if let Some(authorization) = &access.authorization {
        headers.insert("authorization", authorization.clone());
    }
    let name = &access.servers[server];
    let addresses = net::lookup_host(name)
        .await
        .map_err(|error| Cause::Connect(error.to_string()))?;
    let mut cause = Cause::Connect("the name has no address".to_owned());
    for address in addresses {
        log::info!("{name}: connecting to {address}");
        let client = WsClientBuilder::default()
            .set_headers(headers.clone())
            .connection_timeout(access.timeout)
            .request_timeout(access.timeout + hold)
            .max_redirections(CONNECTION_ATTEMPTS)
            .build(format!("ws://{address}"))
            .await;
        match client {
            Ok(client) => return Ok(Connection { server, client }),
            Err(error) => cause = connect_cause(&error),
        }
    }
    Err(cause)
}

fn connect_cause(error: &RpcError) -> Cause {
    let RpcError::Transport(source) = error else {
        return Cause::Connect(error.to_string());
    };
    match source.downcast_ref::<WsHandshakeError>() {
        Some(WsHandshakeError::Rejected { status_code })
            if UNAUTHORIZED_STATUSES.contains(status_code) =>
        {
            Cause::Unauthorized(*status_code)
        }
        _ => Cause::Connect(error.to_string()),
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

fn goes_on(refusal: &Refusal) -> bool {
    refusal.run == Run::Unknown || refusal.code.is_some_and(ErrorCode::should_try_next_server)
}

fn refused(method: &'static str, server: String, refusal: Refusal) -> Error {
    Error::Refused {
        server,
        method,
        refusal,
    }
}

fn unanswered(method: &'static str, proposal: Option<ProposalId>, attempts: Vec<Attempt>) -> Error {
    let may_have_run = |attempt: &Attempt| attempt.cause.run() == Run::Unknown;
    match proposal {
        Some(proposal) if attempts.iter().any(may_have_run) => Error::OutcomeUnknown {
            method,
            proposal,
            attempts,
        },
        _ => Error::NoAnswer { method, attempts },
    }
}
