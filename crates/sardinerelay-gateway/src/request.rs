//! A caller's request on its way through the gateway, and what the gateway makes of it for a
//! target.

use {
    crate::{
        call::{Call, EventId, Forward, MemoryCopy, ResponseHead},
        entry::EntryHost,
        fingerprint,
        homes::Homes,
        quarantine::Subject,
        refusal::{Refusal, jittered},
        table::{Engine, Route},
    },
    bytes::Bytes,
    compact_str::CompactString,
    http::{HeaderMap, Request, Response, StatusCode, header, request},
    http_body_util::Full,
    hyper::body::Incoming,
    sardinerelay::id::{Organisation, Service, Target},
    sardinerelayd::engine::is_answer,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time by which the relay gives up earlier than the caller, so that its response still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Mean time after which a caller should retry when no target in the allowed regions is reachable.
const NO_HOME_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An authenticated request with its route.
#[derive(Debug)]
pub struct Job {
    /// State of this entry host.
    pub entry: Arc<EntryHost>,
    /// The request's head as it was received.
    pub head: request::Parts,
    /// The request's whole body, of which every attempt sends a copy.
    pub body: Bytes,
    /// What the head says, independent of the wire format.
    pub call: Call,
    /// The route that matches its host and path.
    pub route: Route,
    /// The service to which it is sent, one of the route's.
    pub service: Service,
    /// The organisation that holds its API key. None if no keys are configured, or on a public
    /// route without a known key.
    pub organisation: Option<Organisation>,
    /// The organisation's priority or, if it has none, the route's; 0 is the most urgent.
    pub priority: u8,
    /// The regions that its route and its organisation allow.
    pub homes: Homes,
    /// When its head had arrived. Time limits count from here.
    pub arrived: Instant,
}

/// What the gateway adds to a request for one target, in addition to what [`Job`] determines.
#[derive(Debug, Clone, Default)]
pub struct ForwardOptions {
    /// Urgency at the target; 0 is the most urgent. `None` for plain calls.
    pub urgency: Option<u8>,
    /// The engine that receives a copy of the generation's memory as it grows.
    pub copy_to: Option<std::net::SocketAddr>,
    /// The last event that the caller has. If none, the one that the caller named is sent.
    pub last_event: Option<EventId>,
    /// The copy of the generation's memory to continue from.
    pub copy_from: Option<MemoryCopy>,
    /// Name of the memory reservation at the target.
    pub reservation: Option<CompactString>,
}

/// What the head of a target's response says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The target ran the request successfully.
    Success,
    /// The target ran the request and reports a failure.
    Failure,
    /// The target says that it did not run the request.
    NotRun,
    /// The response belongs to another request, or comes from something that is not a target. The
    /// request may have run.
    Untrusted,
}

impl Job {
    /// Returns when the relay gives up: shortly before the caller's deadline, or at the route's
    /// timeout.
    pub fn deadline(&self) -> Instant {
        let limit = match self.call.time_limit {
            Some(limit) => limit
                .saturating_sub(DEADLINE_MARGIN)
                .min(self.route.timeout),
            None => self.route.timeout,
        };
        self.arrived + limit
    }

    /// Returns the number by which hosts recognise the request when it comes again.
    pub fn fingerprint(&self) -> Subject {
        let line = (&self.head.method, self.call.host.as_str(), &self.head.uri);
        let request = fingerprint::of(line, self.organisation.as_ref(), &self.body);
        match &self.call.generation {
            Some(generation) => fingerprint::with_prompt(request, &generation.prompt_parts),
            None => request,
        }
    }

    /// Returns what is configured for the service's engines, or none if the service is plain.
    pub fn engine(&self) -> Option<Engine> {
        let table = self.entry.table.load();
        let service = table.as_ref()?.service(&self.service)?;
        service.engine
    }

    /// Refuses the request if no target that this host could reach is in a region that is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub fn check_homes(&self) -> Result<(), Refusal> {
        let state = self.entry.state();
        let targets = &state.targets;
        match targets.lack_home(&self.service, &self.homes, Instant::now()) {
            false => Ok(()),
            true => Err(Refusal::NotRun {
                reason: "no target in the allowed regions can be reached",
                retry_after: jittered(NO_HOME_RETRY_AFTER),
            }),
        }
    }

    /// Returns how long the caller still waits, or none if it stated no deadline.
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let limit = self.call.time_limit?.min(self.route.timeout);
        Some((self.arrived + limit).saturating_duration_since(now))
    }

    /// Returns how long the caller still waits, at most as long as the route allows.
    pub fn remaining_or_timeout(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Builds the request for a target from the caller's request and what the relay adds.
    pub fn outgoing(&self, target: &Target, options: ForwardOptions) -> Request<Full<Bytes>> {
        let forward = Forward {
            target: target.clone(),
            remaining: self.remaining(Instant::now()),
            organisation: self.organisation.clone(),
            urgency: options.urgency,
            copy_to: options.copy_to,
            last_event: options.last_event.or(self.call.last_event),
            copy_from: options.copy_from,
            reservation: options.reservation,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head);
        *request.headers_mut() = (self.entry.codec.forward_headers)(&self.head.headers, &forward);
        request
    }

    /// Classifies the head of the response of `target` to a request that was sent at `sent`, and
    /// records what the target says of itself.
    pub fn classify(
        &self,
        response: &Response<Incoming>,
        target: &Target,
        sent: Instant,
    ) -> ResponseClass {
        let head = (self.entry.codec.parse_response_head)(response.headers());
        let class = classify(&self.call.id, response.status(), &head);
        let is_own = head.id.as_ref() == Some(&self.call.id)
            && response.status() != StatusCode::MISDIRECTED_REQUEST;
        if is_own && class != ResponseClass::Untrusted {
            self.entry.record_statement(target, &head.statement, sent);
            self.entry
                .record_rest(target, response.status(), head.statement.rest);
        }
        if class == ResponseClass::NotRun && response.status() == StatusCode::MISDIRECTED_REQUEST {
            self.entry.record_misdirected(target);
        }
        class
    }
}

/// Classifies the head of a response to the attempt `id`.
///
/// Without the attempt's ID it may be the response to an earlier request on the connection, also if it
/// is a refusal. A status of 421 (misdirected request) means that another target listens at the
/// address. Anything else counts as the target's only if it bears the target's signature and is not
/// encoded.
pub fn classify(id: &CompactString, status: StatusCode, head: &ResponseHead) -> ResponseClass {
    if !is_answer(status) {
        return ResponseClass::Untrusted;
    }
    let is_own = head.id.as_ref() == Some(id);
    if is_own && (head.not_run || status == StatusCode::MISDIRECTED_REQUEST) {
        return ResponseClass::NotRun;
    }
    match (
        is_own && head.is_signed && !head.is_encoded,
        status.is_success(),
    ) {
        (true, true) => ResponseClass::Success,
        (true, false) => ResponseClass::Failure,
        (false, _) => ResponseClass::Untrusted,
    }
}

/// Returns the path and query for the request line, also if the caller sent an absolute URI.
fn origin_form(head: &request::Parts) -> http::Uri {
    let path = head.uri.path_and_query().cloned();
    path.map(http::Uri::from).unwrap_or_default()
}

/// Removes the hop-by-hop headers, which apply to a single connection and must not be forwarded.
/// They include those that `Connection` names.
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
