//! Opens the files, binds the address and starts the tasks.

use {
    super::{
        FatalError, PublishedView, Settings,
        consensus::Consensus,
        creation_check,
        disk::SnapshotThreshold,
        distribution::{self, Publisher, Puller},
        leader::Leader,
        local_view::Board,
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

/// Inputs that wait for the task that drives the replica.
const INPUTS: usize = 4096;

/// What the handle needs.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) local: Option<Sender<Input>>,
    pub(super) leader: Arc<Leader>,
    pub(super) proposer: Proposer,
    pub(super) board: Arc<Board>,
    pub(super) published: watch::Receiver<Arc<PublishedView>>,
    pub(super) counters: SharedCounters,
    pub(super) upstream: Arc<AtomicU64>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    pub(super) reporter: Slot,
}

/// The running tasks. The first one that ends, ends the control thread.
pub(super) struct Running {
    pub(super) shared: Arc<Shared>,
    pub(super) tasks: JoinSet<Result<(), FatalError>>,
    pub(super) _server: Option<Server>,
}

/// Starts everything.
pub(super) async fn start(settings: Settings) -> Result<Running, FatalError> {
    settings.check()?;
    let counters = SharedCounters::default();
    let (file, view) = open_view(&settings)?;
    let recovered = view.is_some();
    let board = Arc::new(Board::new(view.unwrap_or_default()));
    let mut tasks = JoinSet::new();
    let others = !settings.others().is_empty();
    let secrets = match others {
        true => Some(Secrets::new(&settings.secrets).map_err(SettingsError::from)?),
        false => None,
    };
    let clients = clients(&settings, secrets.as_ref(), &counters);
    let all_clients = clients.clone();
    let local = start_replica(&settings, &clients, &board, &mut tasks).await?;
    let reporter = Slot::default();
    let server = match secrets {
        Some(secrets) => {
            let context = rpc::Context {
                host: settings.host,
                local: local.clone(),
                board: Arc::clone(&board),
                poll: settings.poll_timeout,
                counters: Arc::clone(&counters),
                reporter: reporter.clone(),
            };
            Some(listen(&settings, secrets, context).await?)
        }
        None => None,
    };
    let leader = Arc::new(Leader {
        host: settings.host,
        local: local.clone(),
        clients: clients.clone(),
        voters: settings.voters.iter().map(|voter| voter.id).collect(),
        attempt: settings.election_timeout * 4,
        known: Mutex::default(),
    });
    let upstream = Arc::new(AtomicU64::new(0));
    if local.is_none() {
        let puller = puller(&settings, &board, clients, &upstream);
        tasks.spawn(async move {
            puller.run().await;
            Ok(())
        });
    }
    let (confirm, confirmed) = watch::channel(None);
    tokio::spawn(distribution::confirm(Arc::clone(&leader), confirm));
    let (publish, published) = watch::channel(Arc::default());
    let publisher = Publisher {
        board: Arc::clone(&board),
        file: file.map(Arc::new),
        recovered,
        confirmed,
        published: publish,
    };
    tasks.spawn(publisher.run());
    let shared = Arc::new(Shared {
        local,
        leader,
        proposer: Proposer::new(settings.host, settings.incarnation),
        board,
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
    let Some(data) = &settings.data_dir else {
        return Ok((None, None));
    };
    let (file, view) = ViewFile::open(data)?;
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
        .map(|member| (member.id, client(member.address)))
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
    let receiver = rpc::receiver(settings.host, context.local.clone(), Arc::clone(&counters));
    let methods = rpc::methods(context).map_err(|error| failed(std::io::Error::other(error)))?;
    let server = Server::start(address, Some(secrets), (methods, receiver), counters)
        .await
        .map_err(failed)?;
    info!("peers are served on {}", server.address());
    Ok(server)
}

async fn start_replica(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    board: &Arc<Board>,
    tasks: &mut JoinSet<Result<(), FatalError>>,
) -> Result<Option<Sender<Input>>, FatalError> {
    let Some(data) = settings
        .data_dir
        .as_ref()
        .filter(|_| settings.has_replica())
    else {
        return Ok(None);
    };
    let files = open_replica(settings, clients, board, &data.join("replica")).await?;
    let mut config = Config::new(settings.host, rand::random());
    config.heartbeat_interval = settings.heartbeat_interval;
    config.election_timeout = settings.election_timeout;
    config.max_clock_drift = settings.election_timeout / 10;
    config.trailing_bytes = settings.trailing_bytes;
    let compaction = SnapshotThreshold {
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
    let board = Arc::clone(board);
    let config = (config, settings.voters.len());
    let consensus = Consensus::new(config, files, settings.quota, compaction, (board, outboxes))?;
    let (local, inputs) = channel(INPUTS);
    tasks.spawn(consensus.run(inputs));
    Ok(Some(local))
}

async fn open_replica(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    board: &Board,
    path: &Path,
) -> Result<(Store, DurableState), FatalError> {
    let opened = match Store::open(path) {
        Err(wal::Error::NotInitialised { .. }) => {
            let durable = first_state(settings, path)?;
            creation_check::check(settings, clients, board, path).await?;
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
            "cut {bytes} bytes of an incomplete write off {path} at {}",
            torn.offset
        );
    }
    Ok((store, recovered.state))
}

/// What a replica starts from without files. A founding voter must not come back as a learner,
/// because the group counts its number among the voters.
fn first_state(settings: &Settings, path: &Path) -> Result<DurableState, FatalError> {
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
        cluster: cluster(settings),
        replica: settings.host,
    };
    Ok(Store::create(path, identity, durable)?)
}

/// The group's identity. All founding voters derive the same one from their settings.
fn cluster(settings: &Settings) -> Uuid {
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
    board: &Arc<Board>,
    clients: BTreeMap<Host, Arc<Client>>,
    upstream: &Arc<AtomicU64>,
) -> Puller {
    let zone = settings
        .others()
        .into_iter()
        .filter(|member| member.zone == settings.zone && member.id < settings.host)
        .map(|member| member.id)
        .collect();
    // Voters of other zones are tried in a different order by each host.
    let mut voters = settings.voters.clone();
    let turn = usize::try_from(settings.host).unwrap_or_default() % voters.len();
    voters.rotate_left(turn);
    voters.sort_by_key(|voter| voter.zone != settings.zone);
    Puller {
        board: Arc::clone(board),
        clients,
        zone,
        voters: voters.into_iter().map(|voter| voter.id).collect(),
        poll: settings.poll_timeout,
        upstream: Arc::clone(upstream),
    }
}
