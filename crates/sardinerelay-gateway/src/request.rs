//! A request on its way through the gateway.

use {
    crate::{
        call::{Call, EventId, Forward, MemoryCopy, ResponseHead},
        entry::EntryHost,
        table::{Engine, Route},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Request, Response, StatusCode, header, request},
    http_body_util::Full,
    hyper::body::Incoming,
    sardinerelay::id::{Organisation, Service, Target},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time by which the relay gives up before the caller does, so that its answer still arrives.
const MARGIN: Duration = Duration::from_millis(15);

/// A request that was identified and let through.
#[derive(Debug)]
pub struct Job {
    /// The host's state.
    pub entry: Arc<EntryHost>,
    /// Its head.
    pub head: request::Parts,
    /// Its body.
    pub body: Bytes,
    /// Its facts.
    pub call: Call,
    /// Its route.
    pub route: Route,
    /// The service that it goes to.
    pub service: Service,
    /// The organisation that holds its key.
    pub organisation: Option<Organisation>,
    /// Its rank.
    pub priority: u8,
    /// When its head had arrived.
    pub arrived: Instant,
}

/// What a request that goes to a target carries beside the caller's own content.
#[derive(Debug, Clone, Default)]
pub struct ForwardOptions {
    /// Urgency at the target.
    pub urgency: Option<u8>,
    /// The engine that receives a copy.
    pub backup: Option<std::net::SocketAddr>,
    /// The last event that the caller has.
    pub after: Option<EventId>,
    /// The copy to go on from.
    pub copy: Option<MemoryCopy>,
    /// Room that was reserved at the target.
    pub reservation: Option<CompactString>,
}

/// What an answer head says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// A success of the target itself.
    Success,
    /// A failure that the target itself answers, after it ran the request.
    Failure,
    /// The target did not run the request.
    NotRun,
    /// It is not the answer to this request, or not one that a target gives.
    Untrusted,
}

impl Job {
    /// When the caller or the route gives the request up.
    pub fn deadline(&self) -> Instant {
        let left = match self.call.deadline {
            Some(deadline) => deadline.saturating_sub(MARGIN).min(self.route.timeout),
            None => self.route.timeout,
        };
        self.arrived + left
    }

    /// What is known of the service's engines, if it generates.
    pub fn engine(&self) -> Option<Engine> {
        let table = self.entry.table.load();
        let spec = table.as_ref()?.service(&self.service)?;
        spec.engine
    }

    /// Time that a target has from now on.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let deadline = self.call.deadline?.min(self.route.timeout);
        Some((self.arrived + deadline).saturating_duration_since(now))
    }

    /// The request as it goes to a target.
    pub fn outgoing(&self, target: &Target, extra: ForwardOptions) -> Request<Full<Bytes>> {
        let forward = Forward {
            target: target.clone(),
            time_left: self.remaining(Instant::now()),
            organisation: self.organisation.clone(),
            urgency: extra.urgency,
            backup: extra.backup,
            last_event: extra.after.or(self.call.last_event),
            copy: extra.copy,
            reservation: extra.reservation,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head);
        *request.headers_mut() = (self.entry.codec.forward_headers)(&self.head.headers, &forward);
        request
    }

    /// What the head of an answer says.
    pub fn classify(&self, response: &Response<Incoming>) -> ResponseClass {
        let answer = (self.entry.codec.parse_response_head)(response.headers());
        classify(&self.call.id, response.status(), &answer)
    }
}

/// Judges the head of an answer to the attempt `id`.
pub fn classify(id: &CompactString, status: StatusCode, answer: &ResponseHead) -> ResponseClass {
    if answer.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotRun;
    }
    let own = answer.id.as_ref() == Some(id) && !answer.is_encoded;
    match (own && answer.is_signed, status.is_success()) {
        (true, true) => ResponseClass::Success,
        (true, false) => ResponseClass::Failure,
        (false, _) => ResponseClass::Untrusted,
    }
}

/// The target in a request line: a path and query, whatever form the caller used.
fn origin_form(head: &request::Parts) -> http::Uri {
    let path = head.uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_default()
}

/// Removes headers that concern only one connection.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::CONTENT_LENGTH,
        header::UPGRADE,
        header::TE,
        header::TRAILER,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
