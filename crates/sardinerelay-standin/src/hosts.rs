//! Stand-in for the platform's list of hosts and targets, which lags behind.
//!
//! A change becomes visible to readers after the lag, in the order in which changes were made.
//! Events that take effect on the platform immediately, such as a leave, are therefore listed too
//! late.

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

/// Content of the list.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Entry hosts by name.
    pub hosts: BTreeMap<CompactString, Member>,
    /// Targets by name.
    pub targets: BTreeMap<CompactString, Member>,
}

/// A listed host or target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Address at which it is reached.
    pub address: SocketAddr,
    pub zone: CompactString,
    /// Opaque name of the current start of the host or target; changes on restart.
    pub incarnation: CompactString,
    /// Whether it is live or leaving; live if absent.
    #[serde(default)]
    pub state: MemberState,
}

/// Whether a host or target accepts new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It accepts new work.
    #[default]
    Live,
    /// It is being reclaimed or stopped.
    Leaving,
}

/// Response body of `GET /v1/hosts`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Time that the list reflects, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Entry hosts by name.
    pub hosts: BTreeMap<CompactString, Member>,
    /// Targets by name.
    pub targets: BTreeMap<CompactString, Member>,
}

/// Request body of `POST /v1/faults`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// New lag in milliseconds. It also applies to changes that are not yet visible.
    pub lag_ms: u64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MemberKind {
    Hosts,
    Targets,
}

#[derive(Debug)]
struct ListState {
    lag: Duration,
    current: List,
    /// Content that readers see.
    visible: List,
    /// Content after each change that is not yet visible, with the time of the change.
    pending: VecDeque<(Instant, List)>,
}

#[derive(Debug, Clone)]
struct Shared(Arc<Mutex<ListState>>);

/// Serves the list on the listener until `stop` is cancelled. The initial list is visible
/// immediately.
pub async fn serve(initial: List, lag: Duration, listener: TcpListener, stop: CancellationToken) {
    let state = ListState {
        lag,
        current: initial.clone(),
        visible: initial,
        pending: VecDeque::new(),
    };
    let router = Router::new()
        .route("/v1/hosts", get(visible_list))
        .route("/v1/faults", post(set_faults))
        .route("/v1/{kind}/{name}", put(put_member).delete(delete_member))
        .with_state(Shared(Arc::new(Mutex::new(state))));
    server::serve(listener, router, stop).await;
}

async fn visible_list(State(shared): State<Shared>) -> Json<ListResponse> {
    let mut state = shared.lock();
    state.publish_due(Instant::now());
    Json(ListResponse {
        as_of_ms: unix_ms().saturating_sub(state.lag.as_millis() as u64),
        hosts: state.visible.hosts.clone(),
        targets: state.visible.targets.clone(),
    })
}

async fn put_member(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(MemberKind, CompactString)>,
    Json(member): Json<Member>,
) -> StatusCode {
    let mut state = shared.lock();
    state.current.members_mut(kind).insert(name, member);
    state.queue_change(Instant::now());
    StatusCode::NO_CONTENT
}

async fn delete_member(
    State(shared): State<Shared>,
    Path((kind, name)): Path<(MemberKind, CompactString)>,
) -> StatusCode {
    let mut state = shared.lock();
    if state.current.members_mut(kind).remove(&name).is_none() {
        return StatusCode::NOT_FOUND;
    }
    state.queue_change(Instant::now());
    StatusCode::NO_CONTENT
}

async fn set_faults(State(shared): State<Shared>, Json(faults): Json<Faults>) -> StatusCode {
    shared.lock().lag = Duration::from_millis(faults.lag_ms);
    StatusCode::NO_CONTENT
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl ListState {
    fn queue_change(&mut self, now: Instant) {
        let list = self.current.clone();
        self.pending.push_back((now, list));
        self.publish_due(now);
    }

    fn publish_due(&mut self, now: Instant) {
        while let Some((changed_at, _)) = self.pending.front()
            && now.duration_since(*changed_at) >= self.lag
        {
            let (_, list) = self.pending.pop_front().expect("the queue is not empty");
            self.visible = list;
        }
    }
}

impl List {
    fn members_mut(&mut self, kind: MemberKind) -> &mut BTreeMap<CompactString, Member> {
        match kind {
            MemberKind::Hosts => &mut self.hosts,
            MemberKind::Targets => &mut self.targets,
        }
    }
}
