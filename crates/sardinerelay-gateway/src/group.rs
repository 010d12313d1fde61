//! The group of voters that replicates the configuration.
//!
//! A replica starts from its files if it has any. Without files it either founds the group together
//! with the other seeds or joins the group as a learner. See `docs/design/platform.md`.

mod channels;
pub mod discovery;
pub mod driver;
pub mod evacuation;
pub mod exclusions;
mod handle;
pub mod links;
pub mod member;
mod membership;
mod method;
mod notifications;
pub mod origins;
pub mod register;
pub mod repair;
pub mod report;
mod rpc;

pub use self::{
    channels::{MemberStatus, Outcome},
    evacuation::{Evacuations, Revision},
    links::Clients,
    method::{
        ACQUIRE_METHOD, ANSWERED_METHOD, Acquire, BEGAN_METHOD, COMPLETED_METHOD,
        FETCH_CONFIGURATION_METHOD, FOLLOW_CONFIGURATION_METHOD, FOLLOW_OBSERVATIONS_METHOD,
        FOLLOW_TARGETS_METHOD, FollowConfiguration, FollowObservations, LATE_CRASH_METHOD,
        LIMIT_METHOD, LOADS_METHOD, MISDIRECTED_METHOD, ORIGIN_METHOD, PACE_METHOD, PERMIT_METHOD,
        RELOCATE_METHOD, REPORT_METHOD, REQUEST_METHOD, RUNNING_METHOD, Relocate, StatusRequest,
        TELL_ORIGINS_METHOD, WATCH_CONFIGURATION_METHOD, WATCH_EVACUATIONS_METHOD,
        WatchEvacuations, ZONE_METHOD,
    },
    register::{Document, Exclusion},
    report::{AllocationReport, LocalAllocation, RequestCrash, RequestReport, RunningRequest},
    rpc::SharedState,
};

use {
    crate::{
        distribution::{MAX_TEXT_BYTES, Publisher},
        reload,
    },
    channels::{Input, Published},
    driver::Driver,
    links::Links,
    log::{info, warn},
    membership::Member,
    sardinerelay::{
        id::Host,
        raft::{Config, DurableState, Role, SoftState},
        wal::{self, Identity, Mark, Recovered, Store},
    },
    sardinerelayd::{control::FatalError, panics, peer::Server},
    std::{
        collections::BTreeSet,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        sync::{Arc, atomic::AtomicBool},
        time::Duration,
    },
    thiserror::Error as ThisError,
    tokio::{
        sync::{
            mpsc::{Sender, channel},
            watch,
        },
        task::JoinHandle,
    },
    uuid::Uuid,
};

/// Interval at which a leader sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Lower bound of the randomized election timeout.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest proposal in bytes: a configuration, plus room for its encoding.
const MAX_PROPOSAL_BYTES: usize = MAX_TEXT_BYTES + (1 << 20);
/// File whose existence says that this host's replica was made when the whole system started, and hasn't learnt yet
/// that it is a voter.
const FOUNDING_FILE: &str = "founding";
/// Largest number of inputs that wait for the driver.
const INPUT_QUEUE_CAPACITY: usize = 1024;

/// Settings of the replica on this host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's address, at which its peer server listens. The seeds name it if it is one of
    /// them.
    pub address: Ipv4Addr,
    /// Port of the peer servers of all hosts.
    pub peer_port: u16,
    /// Settings that can be reloaded. They name the seeds, which are hosts that probably run
    /// replicas.
    pub reloadable: Arc<reload::SharedSettings>,
    /// Whether the whole system starts for the first time, with empty disks. Only then do the seeds
    /// found a group.
    pub is_founding: bool,
    /// Directory for the replica's files, which must survive a restart.
    pub data_dir: PathBuf,
    /// The disk that this directory is on.
    pub volume: wal::Volume,
}

/// Why a request to the group failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No leader confirmed the request in time. It may have taken effect all the same.
    #[error("no quorum confirmed the request within {0:?}")]
    NoQuorum(Duration),
    /// The group has not accepted a configuration yet.
    #[error("no configuration was accepted yet")]
    Empty,
    /// Another order for the zone has taken effect since this one was received, or there are orders for
    /// too many zones.
    #[error("the order is out of date")]
    OutOfDate,
}

/// A handle for requests to the group, through the replica on this host or the leader on another
/// one.
#[derive(Debug, Clone)]
pub struct Handle {
    own_id: Host,
    /// Whether the process is about to end, so that a removal of the replica is no reason to end it.
    is_stopping: Arc<AtomicBool>,
    inputs: Sender<Input>,
    newest: watch::Receiver<Option<Arc<Document>>>,
    status: watch::Receiver<MemberStatus>,
    leadership: watch::Receiver<SoftState>,
    exclusions: watch::Receiver<Vec<Exclusion>>,
    evacuations: watch::Receiver<Option<Arc<Evacuations>>>,
    heard: watch::Receiver<BTreeSet<Ipv4Addr>>,
    clients: Arc<Clients>,
    publisher: Arc<Publisher>,
}

/// A started replica. Dropping it stops its peer server.
#[derive(Debug)]
pub struct RunningReplica {
    /// The handle for requests to the replica.
    pub handle: Handle,
    /// The task that drives the replica. It ends only if the replica can't go on; the process then
    /// has to exit.
    pub driver: JoinHandle<Result<(), FatalError>>,
    _server: Server,
}

/// Opens the replica's files, creating them if there are none, and starts the replica.
///
/// # Errors
///
/// Returns a [`FatalError`] if the files can't be used, the settings of the consensus don't fit
/// together, or the peer server can't listen.
pub async fn start(settings: Settings, shared: SharedState) -> Result<RunningReplica, FatalError> {
    let path = settings.data_dir.join("replica");
    let founding = Mark::new(
        settings.volume.clone(),
        settings.data_dir.join(FOUNDING_FILE),
    );
    let (own_id, files) = open(&settings, (&path, &founding))?;
    let is_founding = settings.is_founding || founding.is_set()?;
    let clients = Arc::new(Clients::new(settings.peer_port));
    let mut config = Config::new(own_id, rand::random());
    config.heartbeat_interval = HEARTBEAT_INTERVAL;
    config.election_timeout = MIN_ELECTION_TIMEOUT;
    config.proposal_bytes = MAX_PROPOSAL_BYTES;
    let links = Links::new(own_id, Arc::clone(&clients), HEARTBEAT_INTERVAL);
    let no_leader = SoftState {
        role: Role::Follower,
        leader: None,
        term: 0,
    };
    let published = Published {
        newest: watch::Sender::new(None),
        status: watch::Sender::new(MemberStatus::default()),
        leadership: watch::Sender::new(no_leader),
        exclusions: watch::Sender::default(),
        evacuations: watch::Sender::default(),
        heard: watch::Sender::default(),
    };
    let (inputs, queue) = channel(INPUT_QUEUE_CAPACITY);
    let publisher = Arc::new(Publisher::start().map_err(FatalError::Thread)?);
    let handle = Handle {
        own_id,
        is_stopping: Arc::default(),
        publisher: Arc::clone(&publisher),
        inputs,
        newest: published.newest.subscribe(),
        status: published.status.subscribe(),
        leadership: published.leadership.subscribe(),
        exclusions: published.exclusions.subscribe(),
        evacuations: published.evacuations.subscribe(),
        heard: published.heard.subscribe(),
        clients,
    };
    let driver = Driver::new(config, files, links, publisher, published)?;
    let listen = SocketAddr::from((settings.address, settings.peer_port));
    let (allocator, metrics) = (Arc::clone(&shared.allocator), Arc::clone(&shared.metrics));
    let server = rpc::serve(listen, own_id, handle.clone(), shared).await?;
    let driver = tokio::spawn(driver.run(queue));
    let (address, data_dir) = (settings.address, settings.data_dir.clone());
    let member = Member {
        settings,
        own_id,
        path,
        founding,
        is_founding,
    };
    let maintaining = membership::maintain(member, handle.clone());
    panics::spawn_essential("maintain the membership", maintaining);
    let excluding = exclusions::run(handle.clone(), Arc::clone(&allocator));
    panics::spawn_essential("follow exclusions", excluding);
    if let Some(records) = origins::load(&allocator, &data_dir) {
        let saving = origins::save(Arc::clone(&allocator), records);
        panics::spawn_essential("save which builds began streams", saving);
    }
    let copying = origins::run(handle.clone(), address, Arc::clone(&allocator));
    panics::spawn_essential("copy which builds began streams", copying);
    let evacuating = evacuation::run(handle.clone(), allocator, metrics);
    panics::spawn_essential("follow evacuations", evacuating);
    Ok(RunningReplica {
        handle,
        driver,
        _server: server,
    })
}

/// Opens the replica's files. Returns its ID with its store and durable state.
fn open(
    settings: &Settings,
    (path, founding): (&Path, &Mark),
) -> Result<(Host, (Store, DurableState)), FatalError> {
    let open_on_volume = || Store::open_on(&settings.volume, path, wal::Limits::default());
    let opened = match open_on_volume() {
        Err(wal::Error::NotInitialised { .. }) => {
            create(settings, (path, founding))?;
            open_on_volume()
        }
        opened => opened,
    };
    let (store, recovered) = opened?;
    let Recovered {
        identity,
        state: durable,
        torn_tail,
    } = recovered;
    if let Some(torn) = torn_tail {
        let (bytes, offset) = (torn.bytes, torn.offset);
        warn!(bytes = bytes, offset = offset; "truncated an incomplete record at the end of the log");
    }
    let own_id = identity.replica;
    info!(
        replica = own_id, term = durable.hard_state.term,
        snapshot = durable.snapshot.meta.last.index, entries = durable.entries.len();
        "opened the replica"
    );
    Ok((own_id, (store, durable)))
}

/// Creates the files of a founding voter, or of a learner with an ID that was never used.
///
/// A learner of the first start keeps that it founds, because later starts aren't told.
fn create(settings: &Settings, (path, founding): (&Path, &Mark)) -> Result<(), FatalError> {
    let seeds = settings.reloadable.seeds();
    let is_founder = settings.is_founding && seeds.contains(&settings.address);
    let (replica, durable) = match is_founder {
        true => {
            let voters = seeds.into_iter().map(member::founder_id);
            (
                member::founder_id(settings.address),
                DurableState::bootstrap(voters),
            )
        }
        false => {
            if settings.is_founding {
                founding.set()?;
            }
            let replica = member::random_id(settings.address, &mut rand::rng());
            (replica, DurableState::default())
        }
    };
    info!(replica = replica, founder = is_founder; "creating a replica");
    let cluster = Uuid::nil();
    Ok(Store::create_on(
        &settings.volume,
        path,
        Identity { cluster, replica },
        &durable,
    )?)
}
