//! Fault-injecting TCP proxy with an HTTP control port.
//!
//! Each route forwards connections from a listening address to a target. Faults are set for one
//! route, for all, or for a group, which simulates a network partition.

use {
    crate::{
        pipe::{Connection, Counters, Direction, Fault, Mode, forward_connection},
        server::{self, error_response},
    },
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, put},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::SocketAddr,
        str::FromStr,
        sync::{Arc, Mutex, MutexGuard, atomic::Ordering},
        time::Duration,
    },
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Number of connections that can wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Pause before binding or accepting is tried again after an error.
const LISTEN_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time within which the listeners must follow a change of faults.
const LISTENER_UPDATE_TIMEOUT: Duration = Duration::from_secs(5);

/// A route in the form of the command line: `listen=target,name=x,group=a,group=b`.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
    /// Name by which requests to the control port address the route.
    pub name: CompactString,
    /// Groups that the route belongs to. Faults can be set for a whole group.
    pub groups: Vec<CompactString>,
}

/// Error in the description of a route.
#[derive(Debug, Error)]
pub enum SpecError {
    /// The first part is not `listen=target`.
    #[error("route {0:?} must begin with LISTEN=TARGET, both as IP address and port")]
    Addresses(String),
    /// A later part is neither `name=` nor `group=`.
    #[error("unknown route option {0:?}; expected name=NAME or group=NAME")]
    Option(String),
    /// The name is missing.
    #[error("route {0:?} has no name=NAME")]
    Name(String),
}

/// An element of the response body of `GET /v1/routes`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub name: CompactString,
    pub groups: Vec<CompactString>,
    /// Address that the route listens on.
    pub listen: SocketAddr,
    /// Address that new connections are forwarded to.
    pub target: SocketAddr,
    /// Faults currently in effect.
    pub fault: FaultSettings,
    /// Number of connections accepted so far.
    pub accepted: u64,
    /// Number of open connections, including silent ones.
    pub open: u64,
    /// Bytes forwarded to the target.
    pub bytes_up: u64,
    /// Bytes forwarded to the callers.
    pub bytes_down: u64,
}

/// Request body that sets faults. Omitted fields clear the fault in question.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Which data the route forwards.
    pub mode: FaultKind,
    /// Direction that is still forwarded; required for `half_open` and not allowed otherwise.
    pub carries: Option<Direction>,
    /// Delay of each chunk in milliseconds.
    pub delay_ms: u64,
    /// Upper bound in milliseconds of a random addition to the delay.
    pub jitter_ms: u64,
    /// Bandwidth limit in each direction, shared by all connections of the route.
    pub bytes_per_second: Option<u64>,
}

/// Kind of fault.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// No fault: all data is forwarded.
    #[default]
    Pass,
    /// New connections are refused and open ones are reset.
    Cut,
    /// Connections are accepted and stay open, but no data is forwarded until the fault is cleared.
    BlackHole,
    /// Open connections never forward data again, even after the fault is cleared. New ones work.
    Silent,
    /// Only data in the direction `carries` is forwarded.
    HalfOpen,
}

/// Request body of `PUT /v1/routes/{name}`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteChange {
    /// Address that new connections are forwarded to.
    pub target: SocketAddr,
}

#[derive(Debug)]
struct Route {
    name: CompactString,
    groups: Vec<CompactString>,
    listen: SocketAddr,
    target: Mutex<SocketAddr>,
    fault: watch::Sender<Fault>,
    listening: watch::Sender<bool>,
    counters: Arc<Counters>,
    seed: u64,
}

type Routes = Arc<Vec<Arc<Route>>>;

/// Binds all routes, then serves them and the control port until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error if the address of a route cannot be bound.
pub async fn serve(
    specs: Vec<Spec>,
    seed: u64,
    control: TcpListener,
    stop: CancellationToken,
) -> io::Result<()> {
    let mut tasks = JoinSet::new();
    let mut routes = Vec::new();
    for spec in specs {
        let listener = TcpListener::bind(spec.listen).await?;
        let route = Arc::new(Route {
            listen: listener.local_addr()?,
            name: spec.name,
            groups: spec.groups,
            target: Mutex::new(spec.target),
            fault: watch::Sender::default(),
            listening: watch::Sender::new(true),
            counters: Arc::default(),
            seed,
        });
        log::info!("route {} listens on {}", route.name, route.listen);
        tasks.spawn(route.clone().run(listener));
        routes.push(route);
    }
    let router = Router::new()
        .route("/v1/routes", get(list_routes))
        .route("/v1/routes/{name}", put(change_route))
        .route("/v1/faults", put(set_all_faults).delete(clear_all_faults))
        .route(
            "/v1/faults/{name}",
            put(set_matching_faults).delete(clear_matching_faults),
        )
        .with_state(Arc::new(routes));
    server::serve(control, router, stop).await;
    Ok(())
}

async fn list_routes(State(routes): State<Routes>) -> Json<Vec<Status>> {
    Json(routes.iter().map(|route| route.status()).collect())
}

async fn change_route(
    State(routes): State<Routes>,
    Path(name): Path<CompactString>,
    Json(change): Json<RouteChange>,
) -> Response {
    let Some(route) = routes.iter().find(|route| route.name == name) else {
        return route_not_found(&name);
    };
    *route.target() = change.target;
    StatusCode::NO_CONTENT.into_response()
}

async fn set_all_faults(
    State(routes): State<Routes>,
    Json(settings): Json<FaultSettings>,
) -> Response {
    apply_faults(&routes, None, settings).await
}

async fn clear_all_faults(State(routes): State<Routes>) -> Response {
    apply_faults(&routes, None, FaultSettings::default()).await
}

async fn set_matching_faults(
    State(routes): State<Routes>,
    Path(name): Path<CompactString>,
    Json(settings): Json<FaultSettings>,
) -> Response {
    apply_faults(&routes, Some(name), settings).await
}

async fn clear_matching_faults(
    State(routes): State<Routes>,
    Path(name): Path<CompactString>,
) -> Response {
    apply_faults(&routes, Some(name), FaultSettings::default()).await
}

/// Sets the faults of the routes with the given name or group, or of all routes, and waits until
/// they take effect.
async fn apply_faults(
    routes: &Routes,
    name: Option<CompactString>,
    settings: FaultSettings,
) -> Response {
    let selected: Vec<&Arc<Route>> = routes
        .iter()
        .filter(|route| name.as_ref().is_none_or(|name| route.matches(name)))
        .collect();
    if selected.is_empty() {
        return route_not_found(&name.unwrap_or_default());
    }
    if (settings.mode == FaultKind::HalfOpen) != settings.carries.is_some() {
        return error_response(
            StatusCode::BAD_REQUEST,
            "invalid_fault",
            "carries belongs to half_open, and half_open needs it",
        );
    }
    for route in &selected {
        route.set_faults(&settings);
    }
    for route in selected {
        if !route.wait_for_listener().await {
            return error_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                "not_settled",
                "a listener did not follow the change in time",
            );
        }
    }
    StatusCode::NO_CONTENT.into_response()
}

fn route_not_found(name: &str) -> Response {
    error_response(StatusCode::NOT_FOUND, "route_not_found", name)
}

impl Route {
    /// Accepts connections, except while the route is cut.
    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut listener = listener;
        loop {
            self.accept(listener, &mut connections).await;
            listener = self.listen_again().await;
        }
    }

    /// Accepts connections until the route is cut, then closes the listener.
    async fn accept(self: &Arc<Self>, listener: TcpListener, connections: &mut JoinSet<()>) {
        let mut fault = self.fault.subscribe();
        let cut = async move {
            let _ = fault.wait_for(|fault| fault.mode == Mode::Cut).await;
        };
        tokio::pin!(cut);
        self.listening.send_replace(true);
        loop {
            tokio::select! {
                biased;
                () = &mut cut => return,
                accepted = listener.accept() => match accepted {
                    Ok((caller, _)) => {
                        let proxied = self.clone().proxy(caller);
                        connections.spawn(proxied);
                    }
                    Err(error) => {
                        log::warn!("route {}: accept failed: {error}", self.name);
                        sleep(LISTEN_RETRY_PAUSE).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn proxy(self: Arc<Self>, caller: TcpStream) -> impl Future<Output = ()> {
        let connection = Connection {
            number: self
                .counters
                .accepted_connections
                .fetch_add(1, Ordering::Relaxed),
            cuts: self.fault.borrow().cuts,
            fault: self.fault.subscribe(),
            counters: self.counters.clone(),
            seed: self.seed,
        };
        let target = *self.target();
        self.counters
            .open_connections
            .fetch_add(1, Ordering::Relaxed);
        async move {
            forward_connection(caller, target, connection).await;
            self.counters
                .open_connections
                .fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Keeps the address reserved and refuses connections until the route is no longer cut, then
    /// returns a new listener.
    async fn listen_again(&self) -> TcpListener {
        let mut fault = self.fault.subscribe();
        loop {
            // A socket that is bound but not listening refuses connections and keeps the port
            // reserved.
            let reserved = self.reserve_address();
            self.listening.send_replace(false);
            let _ = fault.wait_for(|fault| fault.mode != Mode::Cut).await;
            match reserved.and_then(|socket| socket.listen(LISTEN_BACKLOG)) {
                Ok(listener) => return listener,
                Err(error) => log::warn!("route {}: bind failed: {error}", self.name),
            }
            sleep(LISTEN_RETRY_PAUSE).await;
        }
    }

    fn reserve_address(&self) -> io::Result<TcpSocket> {
        let socket = match self.listen {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(self.listen)?;
        Ok(socket)
    }

    fn set_faults(&self, settings: &FaultSettings) {
        let accepted = self.counters.accepted_connections.load(Ordering::Relaxed);
        self.fault.send_modify(|fault| {
            fault.delay = Duration::from_millis(settings.delay_ms);
            fault.jitter = Duration::from_millis(settings.jitter_ms);
            fault.bytes_per_second = settings.bytes_per_second;
            fault.mode = match (settings.mode, settings.carries) {
                (FaultKind::Pass | FaultKind::Silent, _) => Mode::Pass,
                (FaultKind::Cut, _) => Mode::Cut,
                (FaultKind::HalfOpen, Some(direction)) => Mode::HalfOpen(direction),
                (FaultKind::BlackHole | FaultKind::HalfOpen, _) => Mode::BlackHole,
            };
            if settings.mode == FaultKind::Silent {
                fault.silent_before = accepted;
            }
            if settings.mode == FaultKind::Cut {
                fault.cuts += 1;
            }
        });
    }

    /// Waits until the listener is open or closed as the mode requires, which other requests may change in the
    /// meantime. Returns false on a timeout.
    async fn wait_for_listener(&self) -> bool {
        let (mut fault, mut listening) = (self.fault.subscribe(), self.listening.subscribe());
        let updated = async {
            loop {
                let is_open = fault.borrow_and_update().mode != Mode::Cut;
                if *listening.borrow_and_update() == is_open {
                    return;
                }
                // Neither sender can be gone, since this route holds them.
                tokio::select! {
                    _ = fault.changed() => {}
                    _ = listening.changed() => {}
                }
            }
        };
        timeout(LISTENER_UPDATE_TIMEOUT, updated).await.is_ok()
    }

    fn matches(&self, name: &CompactString) -> bool {
        self.name == *name || self.groups.contains(name)
    }

    fn target(&self) -> MutexGuard<'_, SocketAddr> {
        self.target
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn status(&self) -> Status {
        let fault = self.fault.borrow();
        let (mode, carries) = match fault.mode {
            Mode::Pass => (FaultKind::Pass, None),
            Mode::Cut => (FaultKind::Cut, None),
            Mode::BlackHole => (FaultKind::BlackHole, None),
            Mode::HalfOpen(direction) => (FaultKind::HalfOpen, Some(direction)),
        };
        Status {
            name: self.name.clone(),
            groups: self.groups.clone(),
            listen: self.listen,
            target: *self.target(),
            fault: FaultSettings {
                mode,
                carries,
                delay_ms: fault.delay.as_millis() as u64,
                jitter_ms: fault.jitter.as_millis() as u64,
                bytes_per_second: fault.bytes_per_second,
            },
            accepted: self.counters.accepted_connections.load(Ordering::Relaxed),
            open: self.counters.open_connections.load(Ordering::Relaxed),
            bytes_up: self.counters.bytes_up.load(Ordering::Relaxed),
            bytes_down: self.counters.bytes_down.load(Ordering::Relaxed),
        }
    }
}

impl FromStr for Spec {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let mut parts = text.split(',');
        let (listen, target) = parts
            .next()
            .and_then(|addresses| addresses.split_once('='))
            .and_then(|(listen, target)| Some((listen.parse().ok()?, target.parse().ok()?)))
            .ok_or_else(|| SpecError::Addresses(text.to_owned()))?;
        let mut name = None;
        let mut groups = Vec::new();
        for part in parts {
            match part.split_once('=') {
                Some(("name", value)) => name = Some(value.into()),
                Some(("group", value)) => groups.push(value.into()),
                _ => return Err(SpecError::Option(part.to_owned())),
            }
        }
        Ok(Self {
            listen,
            target,
            name: name.ok_or_else(|| SpecError::Name(text.to_owned()))?,
            groups,
        })
    }
}
