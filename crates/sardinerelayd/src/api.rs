//! Routes for callers and platforms.

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

/// The whole filter chain up to the relay.
pub type Chain = Identify<Limit<Admit<Dispatch>>>;

/// What the routes need.
#[derive(Debug, Clone)]
pub struct Api {
    /// The filter chain.
    pub chain: Chain,
    /// The end of the chain.
    pub relay: Relay,
    /// Plain services.
    pub proxy: Proxy,
    /// Resuming of cut streams.
    pub resumer: Resumer,
    /// Control state.
    pub view: SharedView,
    /// Largest request head in bytes.
    pub max_headers: usize,
    /// Whether a planned stop is under way.
    pub drain: Drain,
    /// Observations.
    pub metrics: Arc<Metrics>,
}

impl Api {
    /// Builds the router.
    pub fn router(self) -> Router {
        Router::new()
            .route("/v1/chat/completions", post(chat))
            .route("/v1/completions", post(text))
            .route("/v1/streams", get(streams))
            .route("/v1/models", get(models))
            .route("/livez", get(live))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .fallback(service)
            .method_not_allowed_fallback(wrong_method)
            .layer(from_fn_with_state(self.clone(), bounded_head))
            .with_state(self)
    }
}

/// Refuses a request head over the limit, with the API's error object.
async fn bounded_head(State(api): State<Api>, request: Request, next: Next) -> Response {
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

async fn chat(State(api): State<Api>, request: Request) -> Response {
    generate(api, Endpoint::Chat, request).await
}

async fn text(State(api): State<Api>, request: Request) -> Response {
    generate(api, Endpoint::Text, request).await
}

async fn generate(mut api: Api, endpoint: Endpoint, request: Request) -> Response {
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping())).await;
    };
    let result = match api.chain.ready().await {
        Ok(chain) => chain.call((endpoint, request)).await,
        Err(refusal) => Err(refusal),
    };
    let response = api.relay.respond(result).await;
    // The request counts as open until its body is sent or dropped.
    response.map(|body| open.attach_to(body))
}

async fn streams(State(api): State<Api>, headers: HeaderMap) -> Response {
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping())).await;
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

fn stopping() -> Refusal {
    Refusal::new(Code::Stopping, "this host is stopping; try another")
}

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

async fn live() -> &'static str {
    "ok\n"
}

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

async fn metrics(State(api): State<Api>) -> Response {
    match api.metrics.text() {
        Ok(text) => Response::new(Body::from(text)),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")).into_response(),
    }
}

/// Calls to plain services, whose paths come from the sheet.
async fn service(State(api): State<Api>, request: Request) -> Response {
    if !api.proxy.covers(request.uri().path()) {
        let message = format!("nothing is served at {}", request.uri().path());
        let refusal = Refusal::new(Code::InvalidRequest, message);
        let mut response = api.relay.respond(Err(refusal)).await;
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let Some(open) = api.drain.enter() else {
        return api.relay.respond(Err(stopping())).await;
    };
    match api.proxy.call(request).await {
        Ok(response) => response.map(|body| open.attach_to(body)),
        Err(refusal) => api.relay.respond(Err(refusal)).await,
    }
}

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
