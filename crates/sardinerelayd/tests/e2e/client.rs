//! An HTTP client for the tests, with a reader for event streams.

use {
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// An HTTP client for requests with a complete body.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that neither retries nor reuses connections, so that a test sees every failure.
pub fn http_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .build_http()
}

/// Sends a GET request without an API key. Returns status 0 if the connection fails.
pub async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    send(address, Method::GET, path, &[], "").await
}

/// Sends one request and reads the complete response. Returns status 0 if the connection fails
/// before the end of the response.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, String) {
    let Ok(response) = http_client()
        .request(build_request(address, method, path, headers, body))
        .await
    else {
        return (0, String::new());
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => (
            status,
            String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        ),
        Err(_) => (0, String::new()),
    }
}

fn build_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("the request is valid")
}

/// An open event stream.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    buffer: String,
    /// The ID of the last event, from which the stream can be resumed.
    pub last_id: Option<String>,
}

/// One event of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A token's text.
    Token(String),
    /// The usage at the end of an answer.
    Usage(Value),
    /// The code of an error event.
    Error(String),
    /// `[DONE]`: the answer is complete.
    Done,
    /// The connection ended or failed.
    Closed,
}

/// Requests a streamed answer of `tokens` tokens. Returns the status and body of a refusal, or
/// status 503 if the connection fails.
pub async fn open_stream(
    address: SocketAddr,
    key: &str,
    prompt: &str,
    tokens: u64,
    headers: &[(&str, &str)],
) -> Result<EventStream, (StatusCode, Value)> {
    let body = json!({
        "model": "bend-planner",
        "prompt": prompt,
        "stream": true,
        "stream_options": { "include_usage": true },
        "metadata": { "standin_tokens": tokens },
    });
    let authorization = format!("Bearer {key}");
    let headers = [&[("authorization", authorization.as_str())], headers].concat();
    send_stream_request(build_request(
        address,
        Method::POST,
        "/v1/completions",
        &headers,
        &body.to_string(),
    ))
    .await
}

/// Resumes a stream after the event with this ID. Returns errors as [`open_stream`] does.
pub async fn resume_stream(
    address: SocketAddr,
    key: &str,
    last_id: &str,
) -> Result<EventStream, (StatusCode, Value)> {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("last-event-id", last_id),
    ];
    send_stream_request(build_request(
        address,
        Method::GET,
        "/v1/streams",
        &headers,
        "",
    ))
    .await
}

async fn send_stream_request(
    request: Request<Full<Bytes>>,
) -> Result<EventStream, (StatusCode, Value)> {
    let unreachable = |_| (StatusCode::SERVICE_UNAVAILABLE, Value::Null);
    let response = http_client().request(request).await.map_err(unreachable)?;
    let status = response.status();
    if status.is_success() {
        return Ok(EventStream {
            body: response.into_body(),
            buffer: String::new(),
            last_id: None,
        });
    }
    let body = response
        .into_body()
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default();
    Err((status, serde_json::from_slice(&body).unwrap_or_default()))
}

impl EventStream {
    /// Waits for the next event. Has no timeout.
    pub async fn next(&mut self) -> Event {
        loop {
            if let Some(end) = self.buffer.find("\n\n") {
                let raw: String = self.buffer.drain(..end + 2).collect();
                return self.parse(&raw);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.buffer.push_str(&String::from_utf8_lossy(&data));
                }
                _ => return Event::Closed,
            }
        }
    }

    /// Returns all remaining events, up to and with the one that ends the stream.
    pub async fn read_to_end(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        loop {
            let event = self.next().await;
            let last = matches!(event, Event::Done | Event::Closed | Event::Error(_));
            events.push(event);
            if last {
                return events;
            }
        }
    }

    fn parse(&mut self, raw: &str) -> Event {
        let mut data = "";
        for line in raw.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                self.last_id = Some(id.to_owned());
            }
            data = line.strip_prefix("data: ").unwrap_or(data);
        }
        if data == "[DONE]" {
            return Event::Done;
        }
        let chunk: Value = serde_json::from_str(data).expect("the event is JSON");
        if let Some(error) = chunk.get("error") {
            return Event::Error(error["code"].as_str().unwrap_or_default().to_owned());
        }
        if let Some(usage) = chunk.get("usage") {
            return Event::Usage(usage.clone());
        }
        Event::Token(
            chunk["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
        )
    }
}

/// The text that a stand-in engine generates as the token of this index for the prompt.
pub fn expected_token(prompt: &str, index: u64) -> String {
    let fingerprint = sardinerelay_standin::engine::fingerprint(&json!(prompt).to_string());
    format!("{fingerprint:08x}.{index} ")
}

/// Asserts that the events hold the prompt's answer from token `from` to token `tokens` - 1, each
/// token once and in order, and end with `[DONE]`.
pub fn assert_complete(events: &[Event], prompt: &str, from: u64, tokens: u64) {
    let mut next = from;
    for event in events {
        if let Event::Token(text) = event {
            assert_eq!(
                *text,
                expected_token(prompt, next),
                "token {next} is wrong, duplicated or missing"
            );
            next += 1;
        }
    }
    assert_eq!(
        next,
        tokens,
        "the answer is incomplete and ends with {:?}",
        events.last()
    );
    assert_eq!(events.last(), Some(&Event::Done));
}
