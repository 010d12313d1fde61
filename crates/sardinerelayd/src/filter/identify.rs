//! Authenticates the caller, then reads and parses the request.

use {
    crate::{
        filter::{Answer, AnswerFuture, Endpoint, GenerationRequest},
        prefix,
        refusal::{Code, Refusal},
        snapshot::{SharedView, View},
    },
    axum::body::Body,
    bytes::Bytes,
    compact_str::{CompactString, format_compact},
    futures::future::BoxFuture,
    http::{HeaderMap, Request, header},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Body as _,
    serde::Deserialize,
    serde_json::Value,
    sha2::{Digest, Sha256},
    std::{
        fmt::Write as _,
        mem,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
    tower::Service,
    uuid::Uuid,
};

/// Average bytes per token of English text, to estimate the length of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// How long a caller may take to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest request identifier that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The filter that turns an HTTP request into a [`GenerationRequest`].
#[derive(Debug, Clone)]
pub struct Identify<S> {
    inner: S,
    view: SharedView,
    max_body: usize,
}

impl<S> Identify<S> {
    /// Puts the filter before `inner`.
    pub fn new(inner: S, view: SharedView, max_body: usize) -> Self {
        Self {
            inner,
            view,
            max_body,
        }
    }
}

impl<S> Service<(Endpoint, Request<Body>)> for Identify<S>
where
    S: Service<GenerationRequest, Response = Answer, Error = Refusal, Future = AnswerFuture>
        + Clone
        + Send
        + 'static,
{
    type Response = Answer;
    type Error = Refusal;
    type Future = BoxFuture<'static, Result<Answer, Refusal>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Refusal>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, (endpoint, request): (Endpoint, Request<Body>)) -> Self::Future {
        // The request goes to the service that was polled for readiness; the clone was not polled.
        let clone = self.inner.clone();
        let mut inner = mem::replace(&mut self.inner, clone);
        let view = self.view.load_full();
        let max_body = self.max_body;
        Box::pin(async move {
            let received = Instant::now();
            let (parts, body) = request.into_parts();
            let caller = authenticate(&view, &parts.headers)?;
            let body = read_body(body, max_body).await?;
            let request = parse_request(&view, &caller, endpoint, &parts.headers, body, received)?;
            inner.call(request).await
        })
    }
}

/// The organisation that owns the request's API key.
#[derive(Debug, Clone)]
pub struct Caller {
    pub organisation: CompactString,
    /// The request classes that it may use; the first is the default.
    pub classes: Vec<CompactString>,
}

/// Finds the caller by its API key.
///
/// # Errors
///
/// Refuses a request unless it has one API key and the sheet in force lists that key.
pub fn authenticate(view: &View, headers: &HeaderMap) -> Result<Caller, Refusal> {
    if view.sheet.is_none() {
        return Err(Refusal::new(
            Code::NotReady,
            "no configuration is in force on this host yet",
        ));
    }
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let (Some(value), None) = (values.next(), values.next()) else {
        return Err(Refusal::new(
            Code::Unauthorized,
            "send one Authorization header with your API key",
        ));
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| {
            Refusal::new(
                Code::Unauthorized,
                "the Authorization header must be 'Bearer <API key>'",
            )
        })?;
    let account = view.account(&sha256_hex(key.trim())).ok_or_else(|| {
        Refusal::new(Code::Unauthorized, "the API key belongs to no organisation")
    })?;
    Ok(Caller {
        organisation: account.name.clone(),
        classes: account.classes.clone(),
    })
}

/// The SHA-256 digest of a text in lower-case hexadecimal, the form in which sheets list API keys.
pub fn sha256_hex(text: &str) -> String {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(text.as_bytes()) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

/// The caller's request identifier, or a new one if it sent none or an unusable one.
pub fn request_id(headers: &HeaderMap) -> CompactString {
    let given = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => id.into(),
        _ => format_compact!("{}", Uuid::new_v4().simple()),
    }
}

/// Reads the whole body, up to `max_body` bytes.
///
/// # Errors
///
/// Refuses a body that is too large, too slow or incomplete.
pub async fn read_body(body: Body, max_body: usize) -> Result<Bytes, Refusal> {
    let too_large = || {
        Refusal::new(
            Code::BodyTooLarge,
            format_compact!("the body is larger than {max_body} bytes"),
        )
    };
    // A `Content-Length` over the limit is refused before the body is read.
    if body.size_hint().lower() > max_body as u64 {
        return Err(too_large());
    }
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, max_body).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Refusal::new(Code::InvalidRequest, "the body broke off")),
        Err(_) => Err(Refusal::new(
            Code::InvalidRequest,
            "the body did not arrive in time",
        )),
    }
}

/// The fields of a request body that this host reads; engines read the whole body.
#[derive(Debug, Deserialize)]
struct RequestFields {
    model: CompactString,
    #[serde(default)]
    stream: bool,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    n: Option<u64>,
    messages: Option<Value>,
    prompt: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Checks the body and the headers, and gathers what the other filters need.
fn parse_request(
    view: &View,
    caller: &Caller,
    endpoint: Endpoint,
    headers: &HeaderMap,
    body: Bytes,
    received: Instant,
) -> Result<GenerationRequest, Refusal> {
    let fields: RequestFields = serde_json::from_slice(&body).map_err(|error| {
        Refusal::new(
            Code::InvalidRequest,
            format_compact!("the body is not valid: {error}"),
        )
    })?;
    let prompt = prompt_text(endpoint, &fields)?;
    let (model, adapter) = fields.model.split_once(':').unwrap_or((&fields.model, ""));
    let deployment = view.model(model).ok_or_else(|| {
        Refusal::new(
            Code::UnknownModel,
            format_compact!("the model '{model}' does not exist"),
        )
        .param("model")
    })?;
    if !adapter.is_empty() && !deployment.adapters.iter().any(|name| name == adapter) {
        let message = format_compact!("the model '{model}' has no adapter '{adapter}'");
        return Err(Refusal::new(Code::UnknownModel, message).param("model"));
    }
    let class = select_class(view, caller, headers)?;
    Ok(GenerationRequest {
        id: request_id(headers),
        organisation: caller.organisation.clone(),
        class: class.0,
        priority: class.1,
        max_wait: class.2,
        model: model.into(),
        endpoint,
        prompt_tokens: (prompt.len() as u64 / BYTES_PER_TOKEN).max(1),
        prefix_hashes: prefix::block_hashes(&fields.model, &prompt),
        max_tokens: fields.max_completion_tokens.or(fields.max_tokens),
        stream: fields.stream,
        include_usage: fields
            .stream_options
            .is_some_and(|options| options.include_usage),
        resumable: headers
            .get("x-sardinerelay-resume")
            .is_some_and(|value| value == "true"),
        body,
        received,
    })
}

/// Checks the fields and returns the prompt as JSON text, the form that engines count and hash.
fn prompt_text(endpoint: Endpoint, fields: &RequestFields) -> Result<String, Refusal> {
    let (name, input) = match endpoint {
        Endpoint::Chat => ("messages", &fields.messages),
        Endpoint::Text => ("prompt", &fields.prompt),
    };
    let Some(input) = input else {
        let message = format_compact!("'{name}' is required");
        return Err(Refusal::new(Code::InvalidRequest, message).param(name));
    };
    if fields.n.is_some_and(|n| n != 1) {
        return Err(Refusal::new(Code::InvalidRequest, "only n = 1 is supported").param("n"));
    }
    if fields.max_completion_tokens.or(fields.max_tokens) == Some(0) {
        return Err(
            Refusal::new(Code::InvalidRequest, "the output must allow a token").param("max_tokens"),
        );
    }
    Ok(input.to_string())
}

/// The name, priority and maximum wait of the class in `x-sardinerelay-class`, or else of the
/// organisation's first class.
fn select_class(
    view: &View,
    caller: &Caller,
    headers: &HeaderMap,
) -> Result<(CompactString, u8, Duration), Refusal> {
    let requested = headers
        .get("x-sardinerelay-class")
        .map(|value| value.to_str().unwrap_or_default());
    let name = match requested {
        Some(requested) => caller
            .classes
            .iter()
            .find(|name| *name == requested)
            .ok_or_else(|| {
                let message =
                    format_compact!("the organisation may not use the class '{requested}'");
                Refusal::new(Code::InvalidRequest, message).param("x-sardinerelay-class")
            })?,
        None => caller
            .classes
            .first()
            .ok_or_else(|| Refusal::new(Code::InvalidRequest, "the organisation has no class"))?,
    };
    let class = view
        .class(name)
        .ok_or_else(|| Refusal::new(Code::NotReady, "the sheet in force lacks the class"))?;
    Ok((
        class.name.clone(),
        class.priority,
        Duration::from_millis(class.max_wait_ms),
    ))
}
