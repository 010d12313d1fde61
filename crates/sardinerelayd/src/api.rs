//! HTTP routes for callers and platforms.

use {
    crate::{
        filter::{
            Endpoint,
            admit::Admit,
            dispatch::Dispatch,
            identify::{Identify, authenticate},
            limit::Limit,
            relay::Relay,
        },
        metrics::Metrics,
        refusal::{Code, Refusal},
        resume::Resumer,
        service::Proxy,
        snapshot::SharedView,
        stop::Drain,
    },
    axum::{
        Json, Router,
        body::Body,
        extract::{Request, State},
        http::{HeaderMap, StatusCode},
        middleware::{Next, from_fn_with_state},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    serde_json::{Value, json},
    std::sync::Arc,
    tower::{Service, ServiceExt},
};

/// The filter chain behind the relay.
pub type Chain = Identify<Limit<Admit<Dispatch>>>;

/// The shared state of the route handlers.
#[derive(Debug, Clone)]
pub struct Api {
    /// The filters that a generation request passes through.
    pub chain: Chain,
    /// Turns the chain's results into responses.
    pub relay: Relay,
    /// Forwards calls to plain services.
    pub proxy: Proxy,
    /// Resumes streams whose connection was lost.
    pub resumer: Resumer,
    /// The current view of the control state.
    pub view: SharedView,
    /// Largest size in bytes of a request's path and headers together.
    pub max_headers: usize,
    /// The phase of a planned stop and the count of open requests.
    pub drain: Drain,
    /// Metrics of this process, served at `/metrics`.
    pub metrics: Arc<Metrics>,
}

impl Api {
    /// Builds the router with all routes.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat_completions))
            .route("/v1/completions", post(completions))
            .route("/v1/streams", get(resume_stream))
            .route("/v1/models", get(models))
            .route("/livez", get(live))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .fallback(service)
            .method_not_allowed_fallback(wrong_method)
            .layer(from_fn_with_state(self.clone(), limit_head))
            .with_state(self)
    }
}

/// Refuses a request whose path and headers exceed the limit. Unlike the refusal by the HTTP
/// library, the response has the API's error object.
async fn limit_head(State(api): State<Api>, request: Request, next: Next) -> Response {
    let fields = request.headers().iter();
    let bytes: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let bytes = bytes
        + request
            .uri()
            .path_and_query()
            .map_or(0, |path| path.as_str().len());
    if bytes <= api.max_headers {
        return next.run(request).await;
    }
    let message = format!(
        "the request head has {bytes} bytes, at most {} are read",
        api.max_headers
    );
    api.relay
        .respond(Err(Refusal::new(Code::HeadersTooLarge, message)))
        .await
}

/// Handles `/v1/chat/completions`.
async fn chat_completions(State(api): State<Api>, request: Request) -> Response {
    generate(api, Endpoint::Chat, request).await
}

/// Handles `/v1/completions`.
async fn completions(State(api): State<Api>, request: Request) -> Response {
    generate(api, Endpoint::Text, request).await
}

/// Runs a generation request through the filter chain.
async fn generate(mut api: Api, endpoint: Endpoint, request: Request) -> Response {
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping_refusal())).await;
    };
    let run = async {
        match api.chain.ready().await {
            Ok(chain) => chain.call((endpoint, request)).await,
            Err(refusal) => Err(refusal),
        }
    };
    let result = tokio::select! {
        result = run => result,
        () = api.drain.expired() => Err(unfinished_refusal()),
    };
    let response = api.relay.respond(result).await;
    // The request counts as open until its body is sent or dropped.
    response.map(|body| open.attach_to(body))
}

/// Handles `/v1/streams`: resumes a stream after the event that `Last-Event-ID` names.
async fn resume_stream(State(api): State<Api>, headers: HeaderMap) -> Response {
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping_refusal())).await;
    };
    let caller = authenticate(&api.view.load(), &headers);
    let result = match caller {
        Ok(caller) => api.resumer.resume(&caller, &headers).await,
        Err(refusal) => Err(refusal),
    };
    api.relay
        .respond(result)
        .await
        .map(|body| open.attach_to(body))
}

fn stopping_refusal() -> Refusal {
    Refusal::new(Code::Stopping, "this host is stopping; try another")
}

/// The refusal of a request that was still open when this host had to stop.
fn unfinished_refusal() -> Refusal {
    Refusal::new(Code::OutcomeUnknown, "this host stops").may_have_run()
}

/// Lists the models of the sheet in force and their adapters.
async fn models(State(api): State<Api>, headers: HeaderMap) -> Response {
    let view = api.view.load();
    if let Err(refusal) = authenticate(&view, &headers) {
        return api.relay.respond(Err(refusal)).await;
    }
    let sheet = view.sheet.as_ref();
    let names = sheet
        .into_iter()
        .flat_map(|sheet| &sheet.models)
        .flat_map(|model| {
            let adapters = model
                .adapters
                .iter()
                .map(|adapter| format!("{}:{adapter}", model.name));
            std::iter::once(model.name.to_string()).chain(adapters)
        });
    let data: Vec<Value> = names
        .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "sardinerelay" }))
        .collect();
    Json(json!({ "object": "list", "data": data })).into_response()
}

/// Handles `/livez`: the process answers, so it is live.
async fn live() -> &'static str {
    "ok\n"
}

/// Handles `/readyz`: ready once a sheet is in force and until a planned stop begins.
async fn ready(State(api): State<Api>) -> Response {
    if api.drain.is_draining() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n").into_response();
    }
    if api.view.load().sheet.is_none() {
        return (
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration in force\n",
        )
            .into_response();
    }
    "ready\n".into_response()
}

/// Handles `/metrics`.
async fn metrics(State(api): State<Api>) -> Response {
    match api.metrics.text() {
        Ok(text) => Response::new(Body::from(text)),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")).into_response(),
    }
}

/// Forwards calls to plain services. Their paths come from the sheet, so this is the fallback for
/// paths without a route.
async fn service(State(api): State<Api>, request: Request) -> Response {
    if !api.proxy.covers(request.uri().path()) {
        let message = format!("nothing is served at {}", request.uri().path());
        let refusal = Refusal::new(Code::InvalidRequest, message);
        let mut response = api.relay.respond(Err(refusal)).await;
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping_refusal())).await;
    };
    let result = tokio::select! {
        result = api.proxy.call(request) => result,
        () = api.drain.expired() => Err(unfinished_refusal()),
    };
    match result {
        Ok(response) => response.map(|body| open.attach_to(body)),
        Err(refusal) => api.relay.respond(Err(refusal)).await,
    }
}

/// Refuses a method that the path does not support, with status 405.
async fn wrong_method(State(api): State<Api>, request: Request) -> Response {
    let message = format!(
        "{} is not allowed at {}",
        request.method(),
        request.uri().path()
    );
    let mut response = api
        .relay
        .respond(Err(Refusal::new(Code::InvalidRequest, message)))
        .await;
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}
