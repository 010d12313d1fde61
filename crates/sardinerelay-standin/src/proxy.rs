//! A fault-injecting TCP proxy with an HTTP control port.
//!
//! Each route forwards one listening address to one target. Faults are set per route or for a
//! group of routes at once, which stands in for a network partition.

use {
    crate::{
        pipe::{Counters, Direction, Fault, Link, Mode, carry},
        server::{self, refuse},
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

/// Connections that wait for the accept loop.
const BACKLOG: u32 = 1024;
/// Pause before another attempt to bind or accept.
const RETRY: Duration = Duration::from_millis(20);
/// How long a change of faults waits until the listeners follow it.
const SETTLE: Duration = Duration::from_secs(5);

/// A route as stated on the command line: `listen=target,name=x,group=a,group=b`.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address to forward to.
    pub target: SocketAddr,
    /// Name of the route.
    pub name: CompactString,
    /// Groups that the route belongs to.
    pub groups: Vec<CompactString>,
}

/// Reason why a route can't be read.
#[derive(Debug, Error)]
pub enum SpecError {
    /// The first part is not `listen=target`.
    #[error("route {0:?} must begin with LISTEN=TARGET, both as IP address and port")]
    Addresses(String),
    /// A later part is neither `name=` nor `group=`.
    #[error("{0:?} is not understood; allowed are name=NAME and group=NAME")]
    Option(String),
    /// No name is stated.
    #[error("route {0:?} has no name=NAME")]
    Name(String),
}

/// A route as `GET /v1/routes` shows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the route.
    pub name: CompactString,
    /// Groups that the route belongs to.
    pub groups: Vec<CompactString>,
    /// Address it listens on.
    pub listen: SocketAddr,
    /// Address it forwards to.
    pub target: SocketAddr,
    /// Faults in force.
    pub fault: Order,
    /// Connections accepted so far.
    pub accepted: u64,
    /// Connections open now, silent ones included.
    pub open: u64,
    /// Bytes forwarded to the target.
    pub bytes_up: u64,
    /// Bytes forwarded to the callers.
    pub bytes_down: u64,
}

/// Faults to set; fields left out mean no such fault.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Order {
    /// What the route lets through.
    pub mode: Kind,
    /// Direction that is still forwarded; only for `half_open`.
    pub carries: Option<Direction>,
    /// Delay of each chunk in milliseconds.
    pub delay_ms: u64,
    /// Upper bound in milliseconds of the random addition to the delay.
    pub jitter_ms: u64,
    /// Limit in each direction of the route.
    pub bytes_per_second: Option<u64>,
}

/// Kind of fault.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// None: everything is forwarded.
    #[default]
    Pass,
    /// New connections are refused and open ones are reset.
    Cut,
    /// Connections are accepted and stay open, but nothing is forwarded until the route heals.
    BlackHole,
    /// Open connections never carry another byte, even after the route heals; new ones work.
    Silent,
    /// Only the direction stated in `carries` is forwarded.
    HalfOpen,
}

/// Change of a route.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
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

/// Binds the routes, then serves them and the control port until `stop` is cancelled.
///
/// # Errors
///
/// Returns the error of binding a route.
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
        .route("/v1/routes", get(list))
        .route("/v1/routes/{name}", put(change))
        .route("/v1/faults", put(fault_all).delete(heal_all))
        .route("/v1/faults/{name}", put(fault_some).delete(heal_some))
        .with_state(Arc::new(routes));
    server::serve(control, router, stop).await;
    Ok(())
}

async fn list(State(routes): State<Routes>) -> Json<Vec<Status>> {
    Json(routes.iter().map(|route| route.status()).collect())
}

async fn change(
    State(routes): State<Routes>,
    Path(name): Path<CompactString>,
    Json(change): Json<Change>,
) -> Response {
    let Some(route) = routes.iter().find(|route| route.name == name) else {
        return unknown(&name);
    };
    *route.target() = change.target;
    StatusCode::NO_CONTENT.into_response()
}

async fn fault_all(State(routes): State<Routes>, Json(order): Json<Order>) -> Response {
    apply(&routes, None, order).await
}

async fn heal_all(State(routes): State<Routes>) -> Response {
    apply(&routes, None, Order::default()).await
}

async fn fault_some(
    State(routes): State<Routes>,
    Path(name): Path<CompactString>,
    Json(order): Json<Order>,
) -> Response {
    apply(&routes, Some(name), order).await
}

async fn heal_some(State(routes): State<Routes>, Path(name): Path<CompactString>) -> Response {
    apply(&routes, Some(name), Order::default()).await
}

/// Sets the faults of all routes, or of those with the name or group, and waits until they act.
async fn apply(routes: &Routes, name: Option<CompactString>, order: Order) -> Response {
    let chosen: Vec<&Arc<Route>> = routes
        .iter()
        .filter(|route| name.as_ref().is_none_or(|name| route.answers_to(name)))
        .collect();
    if chosen.is_empty() {
        return unknown(&name.unwrap_or_default());
    }
    if (order.mode == Kind::HalfOpen) != order.carries.is_some() {
        return refuse(
            StatusCode::BAD_REQUEST,
            "invalid_fault",
            "carries belongs to half_open, and half_open needs it",
        );
    }
    for route in &chosen {
        route.set(&order);
    }
    for route in chosen {
        if !route.settled().await {
            return refuse(
                StatusCode::INTERNAL_SERVER_ERROR,
                "not_settled",
                "a listener did not follow the change in time",
            );
        }
    }
    StatusCode::NO_CONTENT.into_response()
}

fn unknown(name: &str) -> Response {
    refuse(StatusCode::NOT_FOUND, "route_not_found", name)
}

impl Route {
    /// Accepts connections while the route isn't cut.
    async fn run(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut listener = listener;
        loop {
            self.accept(listener, &mut connections).await;
            listener = self.listen_again().await;
        }
    }

    /// Accepts until the route is cut, and closes the listener.
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
                        let carried = self.clone().carry(caller);
                        connections.spawn(carried);
                    }
                    Err(error) => {
                        log::warn!("route {}: accept failed: {error}", self.name);
                        sleep(RETRY).await;
                    }
                },
                Some(_) = connections.join_next() => {}
            }
        }
    }

    fn carry(self: Arc<Self>, caller: TcpStream) -> impl Future<Output = ()> {
        let link = Link {
            number: self.counters.accepted.fetch_add(1, Ordering::Relaxed),
            cuts: self.fault.borrow().cuts,
            fault: self.fault.subscribe(),
            counters: self.counters.clone(),
            seed: self.seed,
        };
        let target = *self.target();
        self.counters.open.fetch_add(1, Ordering::Relaxed);
        async move {
            carry(caller, target, link).await;
            self.counters.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Holds the address, refusing connections, until the route is no longer cut.
    async fn listen_again(&self) -> TcpListener {
        let mut fault = self.fault.subscribe();
        loop {
            // A bound socket that doesn't listen refuses connections and keeps the port reserved.
            let reserved = self.reserve();
            self.listening.send_replace(false);
            let _ = fault.wait_for(|fault| fault.mode != Mode::Cut).await;
            match reserved.and_then(|socket| socket.listen(BACKLOG)) {
                Ok(listener) => return listener,
                Err(error) => log::warn!("route {}: bind failed: {error}", self.name),
            }
            sleep(RETRY).await;
        }
    }

    fn reserve(&self) -> io::Result<TcpSocket> {
        let socket = match self.listen {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(self.listen)?;
        Ok(socket)
    }

    fn set(&self, order: &Order) {
        let accepted = self.counters.accepted.load(Ordering::Relaxed);
        self.fault.send_modify(|fault| {
            fault.delay = Duration::from_millis(order.delay_ms);
            fault.jitter = Duration::from_millis(order.jitter_ms);
            fault.bytes_per_second = order.bytes_per_second;
            fault.mode = match (order.mode, order.carries) {
                (Kind::Pass | Kind::Silent, _) => Mode::Pass,
                (Kind::Cut, _) => Mode::Cut,
                (Kind::HalfOpen, Some(direction)) => Mode::HalfOpen(direction),
                (Kind::BlackHole | Kind::HalfOpen, _) => Mode::BlackHole,
            };
            if order.mode == Kind::Silent {
                fault.silent_before = accepted;
            }
            if order.mode == Kind::Cut {
                fault.cuts += 1;
            }
        });
    }

    /// Waits until the listener follows the mode. Returns false if it doesn't in time.
    async fn settled(&self) -> bool {
        let open = self.fault.borrow().mode != Mode::Cut;
        let mut listening = self.listening.subscribe();
        let settled = listening.wait_for(|listening| *listening == open);
        timeout(SETTLE, settled).await.is_ok()
    }

    fn answers_to(&self, name: &CompactString) -> bool {
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
            Mode::Pass => (Kind::Pass, None),
            Mode::Cut => (Kind::Cut, None),
            Mode::BlackHole => (Kind::BlackHole, None),
            Mode::HalfOpen(direction) => (Kind::HalfOpen, Some(direction)),
        };
        Status {
            name: self.name.clone(),
            groups: self.groups.clone(),
            listen: self.listen,
            target: *self.target(),
            fault: Order {
                mode,
                carries,
                delay_ms: fault.delay.as_millis() as u64,
                jitter_ms: fault.jitter.as_millis() as u64,
                bytes_per_second: fault.bytes_per_second,
            },
            accepted: self.counters.accepted.load(Ordering::Relaxed),
            open: self.counters.open.load(Ordering::Relaxed),
            bytes_up: self.counters.up.load(Ordering::Relaxed),
            bytes_down: self.counters.down.load(Ordering::Relaxed),
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
