//! The platform's lagging list of hosts and targets.
//!
//! A change is seen by readers only after the lag, in the order in which changes were made. What
//! the platform itself decides at once, for example a leave, is therefore known here too late.

use {
    crate::server::{self, unix_ms},
    axum::{
        Json, Router,
        extract::{Path, State},
        http::StatusCode,
        routing::{get, post, put},
    },
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// The list as the platform knows it.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Entry hosts by name.
    pub hosts: BTreeMap<CompactString, Member>,
    /// Targets by name.
    pub targets: BTreeMap<CompactString, Member>,
}

/// A host or a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Address it is reached at.
    pub address: SocketAddr,
    /// Availability zone it stands in.
    pub zone: CompactString,
    /// Opaque name of this start of the host or target; a restart gets another.
    pub incarnation: CompactString,
    /// Whether it is live or leaving.
    #[serde(default)]
    pub state: Phase,
}

/// Whether a member takes new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It takes work.
    #[default]
    Live,
    /// It is being reclaimed or stopped.
    Leaving,
}

/// Answer of `GET /v1/hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Time that the list describes, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Entry hosts by name.
    pub hosts: BTreeMap<CompactString, Member>,
    /// Targets by name.
    pub targets: BTreeMap<CompactString, Member>,
}

/// Change of the faults at run time.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// New lag in milliseconds.
    pub lag_ms: u64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Hosts,
    Targets,
}

#[derive(Debug)]
struct Core {
    lag: Duration,
    current: List,
    /// What readers see now.
    visible: List,
    /// Changes that are not visible yet, with the time they were made.
    pending: VecDeque<(Instant, List)>,
}

#[derive(Debug, Clone)]
struct Shared(Arc<Mutex<Core>>);

/// Serves the list on the listener until `stop` is cancelled. The initial list is visible at once.
pub async fn serve(initial: List, lag: Duration, listener: TcpListener, stop: CancellationToken) {
    let core = Core {
        lag,
        current: initial.clone(),
        visible: initial,
        pending: VecDeque::new(),
    };
    let router = Router::new()
        .route("/v1/hosts", get(list))
        .route("/v1/faults", post(faults))
        .route("/v1/{kind}/{name}", put(change).delete(remove))
        .with_state(Shared(Arc::new(Mutex::new(core))));
    server::serve(listener, router, stop).await;
}

async fn list(State(shared): State<Shared>) -> Json<Answer> {
    let mut core = shared.lock();
    core.publish(Instant::now());
    Json(Answer {
        as_of_ms: unix_ms().saturating_sub(core.lag.as_millis() as u64),
        hosts: core.visible.hosts.clone(),
        targets: core.visible.targets.clone(),
    })
}

async fn change(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(Kind, CompactString)>,
    Json(member): Json<Member>,
) -> StatusCode {
    let mut core = shared.lock();
    core.current.of(kind).insert(name, member);
    core.queue(Instant::now());
    StatusCode::NO_CONTENT
}

async fn remove(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(Kind, CompactString)>,
) -> StatusCode {
    let mut core = shared.lock();
    if core.current.of(kind).remove(&name).is_none() {
        return StatusCode::NOT_FOUND;
    }
    core.queue(Instant::now());
    StatusCode::NO_CONTENT
}

async fn faults(State(shared): State<Shared>, Json(faults): Json<Faults>) -> StatusCode {
    shared.lock().lag = Duration::from_millis(faults.lag_ms);
    StatusCode::NO_CONTENT
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Core> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Core {
    fn queue(&mut self, now: Instant) {
        let list = self.current.clone();
        self.pending.push_back((now, list));
        self.publish(now);
    }

    fn publish(&mut self, now: Instant) {
        while let Some((made, _)) = self.pending.front()
            && now.duration_since(*made) >= self.lag
        {
            let (_, list) = self.pending.pop_front().expect("the queue is not empty");
            self.visible = list;
        }
    }
}

impl List {
    fn of(&mut self, kind: Kind) -> &mut BTreeMap<CompactString, Member> {
        match kind {
            Kind::Hosts => &mut self.hosts,
            Kind::Targets => &mut self.targets,
        }
    }
}
