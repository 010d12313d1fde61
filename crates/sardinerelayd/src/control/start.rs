//! Startup of the control thread: opens the files, binds the address and starts the tasks.

use {
    super::{
        FatalError, PublishedView, Settings,
        consensus::Consensus,
        creation_check,
        disk::SnapshotThreshold,
        distribution::{self, Publisher, Puller},
        leader::LeaderClient,
        local_view::LocalView,
        message::Input,
        propose::Proposer,
        report::Slot,
        rpc,
        settings::SettingsError,
        view_file::ViewFile,
    },
    crate::peer::{Client, Outbox, Secrets, Server, SharedCounters},
    log::{info, warn},
    sardinerelay::{
        id::Host,
        raft::{Config, DurableState},
        state::View,
        wal::{self, Identity, Store},
    },
    sha2::{Digest as _, Sha256},
    std::{
        collections::BTreeMap,
        path::Path,
        sync::{Arc, Mutex, atomic::AtomicU64},
    },
    tokio::{
        sync::{
            mpsc::{Sender, channel},
            watch,
        },
        task::JoinSet,
    },
    uuid::Uuid,
};

/// Inputs that may wait for the task that runs the replica.
const INPUT_QUEUE_CAPACITY: usize = 4096;

/// State that the handle and the tasks share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    /// Input channel of this host's replica, if it has one.
    pub(super) replica: Option<Sender<Input>>,
    pub(super) leader: Arc<LeaderClient>,
    pub(super) proposer: Proposer,
    pub(super) local_view: Arc<LocalView>,
    pub(super) published: watch::Receiver<Arc<PublishedView>>,
    pub(super) counters: SharedCounters,
    /// Id of the current upstream host, or 0 if there is none.
    pub(super) upstream: Arc<AtomicU64>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    pub(super) reporter: Slot,
}

/// The running tasks. The control thread ends when one of them ends.
pub(super) struct Running {
    pub(super) shared: Arc<Shared>,
    pub(super) tasks: JoinSet<Result<(), FatalError>>,
    pub(super) _server: Option<Server>,
}

/// Starts all tasks of the control thread.
///
/// # Errors
///
/// The [`FatalError`] for which the process must exit.
pub(super) async fn start(settings: Settings) -> Result<Running, FatalError> {
    settings.check()?;
    let counters = SharedCounters::default();
    let (file, view) = open_view(&settings)?;
    let recovered = view.is_some();
    let local_view = Arc::new(LocalView::new(view.unwrap_or_default()));
    let mut tasks = JoinSet::new();
    let has_other_hosts = !settings.others().is_empty();
    let secrets = match has_other_hosts {
        true => Some(Secrets::new(&settings.secrets).map_err(SettingsError::from)?),
        false => None,
    };
    let clients = clients(&settings, secrets.as_ref(), &counters);
    let all_clients = clients.clone();
    let replica = start_replica(&settings, &clients, &local_view, &mut tasks).await?;
    let reporter = Slot::default();
    let server = match secrets {
        Some(secrets) => {
            let context = rpc::Context {
                host: settings.host,
                replica: replica.clone(),
                local_view: Arc::clone(&local_view),
                poll_timeout: settings.poll_timeout,
                counters: Arc::clone(&counters),
                reporter: reporter.clone(),
            };
            Some(listen(&settings, secrets, context).await?)
        }
        None => None,
    };
    let leader = Arc::new(LeaderClient {
        host: settings.host,
        replica: replica.clone(),
        clients: clients.clone(),
        voters: settings.voters.iter().map(|voter| voter.id).collect(),
        attempt_timeout: settings.election_timeout * 4,
        known_leader: Mutex::default(),
    });
    let upstream = Arc::new(AtomicU64::new(0));
    if replica.is_none() {
        let puller = puller(&settings, &local_view, clients, &upstream);
        tasks.spawn(async move {
            puller.run().await;
            Ok(())
        });
    }
    let (confirmed_sender, confirmed) = watch::channel(None);
    tokio::spawn(distribution::await_confirmation(
        Arc::clone(&leader),
        confirmed_sender,
    ));
    let (published_sender, published) = watch::channel(Arc::default());
    let publisher = Publisher {
        local_view: Arc::clone(&local_view),
        file: file.map(Arc::new),
        recovered,
        confirmed,
        published: published_sender,
    };
    tasks.spawn(publisher.run());
    let shared = Arc::new(Shared {
        replica,
        leader,
        proposer: Proposer::new(settings.host, settings.incarnation),
        local_view,
        published,
        counters,
        upstream,
        clients: all_clients,
        reporter,
        settings,
    });
    Ok(Running {
        shared,
        tasks,
        _server: server,
    })
}

fn open_view(settings: &Settings) -> Result<(Option<ViewFile>, Option<View>), FatalError> {
    let Some(data_dir) = &settings.data_dir else {
        return Ok((None, None));
    };
    let (file, view) = ViewFile::open(data_dir)?;
    Ok((Some(file), view))
}

fn clients(
    settings: &Settings,
    secrets: Option<&Secrets>,
    counters: &SharedCounters,
) -> BTreeMap<Host, Arc<Client>> {
    let Some(secrets) = secrets else {
        return BTreeMap::new();
    };
    let client = |address| {
        let counters = Arc::clone(counters);
        Arc::new(Client::new(
            address,
            secrets.clone(),
            settings.timeouts,
            counters,
        ))
    };
    settings
        .others()
        .into_iter()
        .map(|peer| (peer.id, client(peer.address)))
        .collect()
}

async fn listen(
    settings: &Settings,
    secrets: Secrets,
    context: rpc::Context,
) -> Result<Server, FatalError> {
    let address = settings.listen;
    let failed = |source| FatalError::Listen { address, source };
    let counters = Arc::clone(&context.counters);
    let notification_handler = rpc::notification_handler(
        settings.host,
        context.replica.clone(),
        Arc::clone(&counters),
    );
    let methods = rpc::methods(context).map_err(|error| failed(std::io::Error::other(error)))?;
    let server = Server::start(
        address,
        Some(secrets),
        (methods, notification_handler),
        counters,
    )
    .await
    .map_err(failed)?;
    info!("listening for other hosts on {}", server.address());
    Ok(server)
}

async fn start_replica(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    local_view: &Arc<LocalView>,
    tasks: &mut JoinSet<Result<(), FatalError>>,
) -> Result<Option<Sender<Input>>, FatalError> {
    let Some(data_dir) = settings
        .data_dir
        .as_ref()
        .filter(|_| settings.has_replica())
    else {
        return Ok(None);
    };
    let files = open_replica(settings, clients, local_view, &data_dir.join("replica")).await?;
    let mut config = Config::new(settings.host, rand::random());
    config.heartbeat_interval = settings.heartbeat_interval;
    config.election_timeout = settings.election_timeout;
    config.max_clock_drift = settings.election_timeout / 10;
    config.trailing_bytes = settings.trailing_bytes;
    let snapshot_threshold = SnapshotThreshold {
        entries: settings.snapshot_entries,
        bytes: settings.snapshot_bytes,
    };
    let mut outboxes = BTreeMap::new();
    for (&host, client) in clients {
        let outbox = Arc::new(Outbox::default());
        let sending = Arc::clone(&outbox);
        tokio::spawn(sending.run(
            (settings.host, host),
            Arc::clone(client),
            settings.heartbeat_interval,
        ));
        outboxes.insert(host, outbox);
    }
    let local_view = Arc::clone(local_view);
    let config = (config, settings.voters.len());
    let consensus = Consensus::new(
        config,
        files,
        settings.quota,
        snapshot_threshold,
        (local_view, outboxes),
    )?;
    let (replica, inputs) = channel(INPUT_QUEUE_CAPACITY);
    tasks.spawn(consensus.run(inputs));
    Ok(Some(replica))
}

async fn open_replica(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    local_view: &LocalView,
    path: &Path,
) -> Result<(Store, DurableState), FatalError> {
    let opened = match Store::open(path) {
        Err(wal::Error::NotInitialised { .. }) => {
            let durable = initial_state(settings, path)?;
            creation_check::check(settings, clients, local_view, path).await?;
            create_replica(settings, path, &durable)?;
            Store::open(path)
        }
        opened => opened,
    };
    let (store, recovered) = opened?;
    let found = recovered.identity.replica;
    if found != settings.host {
        return Err(FatalError::WrongHost {
            path: path.to_owned(),
            found,
            host: settings.host,
        });
    }
    if let Some(torn) = recovered.torn_tail {
        let (path, bytes) = (torn.path.display(), torn.bytes);
        warn!(
            "truncated {path} at byte {}, removing {bytes} bytes of an incomplete write",
            torn.offset
        );
    }
    Ok((store, recovered.state))
}

/// The first state of a replica that has no files. A voter in the settings must not become a
/// learner, because the group counts its id among the voters.
fn initial_state(settings: &Settings, path: &Path) -> Result<DurableState, FatalError> {
    if settings.may_bootstrap() {
        let voters = settings.voters.iter().map(|voter| voter.id);
        return Ok(DurableState::bootstrap(voters));
    }
    if settings.learner && !settings.is_voter(settings.host) {
        return Ok(DurableState::default());
    }
    Err(FatalError::NoReplica {
        path: path.to_owned(),
    })
}

fn create_replica(
    settings: &Settings,
    path: &Path,
    durable: &DurableState,
) -> Result<(), FatalError> {
    let identity = Identity {
        cluster: cluster_id(settings),
        replica: settings.host,
    };
    Ok(Store::create(path, identity, durable)?)
}

/// The id of the group. All voters derive the same one from their settings.
fn cluster_id(settings: &Settings) -> Uuid {
    let mut voters: Vec<Host> = settings.voters.iter().map(|voter| voter.id).collect();
    voters.sort_unstable();
    let hash = voters.iter().fold(Sha256::new(), |hash, voter| {
        hash.chain_update(voter.to_be_bytes())
    });
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.finalize()[..16]);
    Uuid::from_bytes(bytes)
}

fn puller(
    settings: &Settings,
    local_view: &Arc<LocalView>,
    clients: BTreeMap<Host, Arc<Client>>,
    upstream: &Arc<AtomicU64>,
) -> Puller {
    let zone_hosts = settings
        .others()
        .into_iter()
        .filter(|peer| peer.zone == settings.zone && peer.id < settings.host)
        .map(|peer| peer.id)
        .collect();
    // Each host tries the voters of other zones in a different order.
    let mut voters = settings.voters.clone();
    let rotation = usize::try_from(settings.host).unwrap_or_default() % voters.len();
    voters.rotate_left(rotation);
    voters.sort_by_key(|voter| voter.zone != settings.zone);
    Puller {
        local_view: Arc::clone(local_view),
        clients,
        zone_hosts,
        voters: voters.into_iter().map(|voter| voter.id).collect(),
        poll_timeout: settings.poll_timeout,
        upstream: Arc::clone(upstream),
    }
}
