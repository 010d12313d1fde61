//! The group of voters that holds the configuration.
//!
//! A replica starts from its disk, founds the group together with the other seeds, or joins as a
//! learner. See `docs/design/platform.md`.

pub mod driver;
pub mod links;
pub mod member;
pub mod register;
pub mod repair;
pub mod report;
mod rpc;

pub use self::{
    driver::{Outcome, Standing},
    links::Clients,
    register::Document,
    report::{Note, Report},
    rpc::{
        ACQUIRE, Acquire, FOLLOW_BOARD, FOLLOW_CONFIGURATION, FollowBoard, FollowConfiguration,
        Observed, RELOCATE, REPORT, Relocate, STANDING,
    },
};

use {
    crate::{exit_code::ExitCode, reload},
    driver::{Driver, Input},
    links::Links,
    log::{info, warn},
    sardinerelay::{
        id::{Host, Version},
        raft::{Config, DurableState, Role, SoftState},
        wal::{self, Identity, Recovered, Store},
    },
    sardinerelayd::{control::FatalError, peer::Server},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    thiserror::Error as ThisError,
    tokio::{
        sync::{
            mpsc::{Sender, channel},
            oneshot, watch,
        },
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
    uuid::Uuid,
};

/// Interval between a leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Least election timeout.
const ELECTION: Duration = Duration::from_millis(500);
/// Bytes of one configuration with its envelope: the largest body that is accepted is 4 MiB.
const PROPOSAL_BYTES: usize = 5 << 20;
/// Requests that wait for the driver.
const INPUTS: usize = 1024;
/// Pause before a request goes to a leader again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// Deadline of one request to the leader on another host.
const FORWARD: Duration = Duration::from_millis(700);
/// Interval in which a host without membership asks to join.
const JOIN_EVERY: Duration = Duration::from_millis(250);
/// Interval in which a replica asks whether it is still a member.
const STANDING_EVERY: Duration = Duration::from_secs(2);
/// Deadline of such a question.
const STANDING_DEADLINE: Duration = Duration::from_millis(500);

/// What a replica has to know at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host's address.
    pub address: Ipv4Addr,
    /// Port of the peer servers of all hosts.
    pub peer_port: u16,
    /// Names hosts that probably hold replicas.
    pub changing: Arc<reload::Current>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub founding: bool,
    /// Directory for durable state.
    pub data: PathBuf,
}

/// Why a request to the group failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No leader answered in time; the request may have been done or not.
    #[error("no quorum confirmed the request within {0:?}")]
    NoQuorum(Duration),
    /// No configuration was accepted yet.
    #[error("no configuration was accepted yet")]
    Empty,
}

/// The replica on this host.
#[derive(Debug, Clone)]
pub struct Handle {
    inputs: Sender<Input>,
    newest: watch::Receiver<Option<Arc<Document>>>,
    standing: watch::Receiver<Standing>,
    lead: watch::Receiver<SoftState>,
    clients: Arc<Clients>,
}

/// A started replica. The server stops when this is dropped.
#[derive(Debug)]
pub struct Running {
    /// For requests to it.
    pub handle: Handle,
    /// Ends with the reason for which the process has to exit.
    pub driver: JoinHandle<Result<(), FatalError>>,
    _server: Server,
}

/// Opens or creates the replica's files and starts it.
///
/// # Errors
///
/// [`FatalError`].
pub async fn start(settings: Settings, observed: Observed) -> Result<Running, FatalError> {
    let path = settings.data.join("replica");
    let (own, files) = open(&settings, &path)?;
    let clients = Arc::new(Clients::new(settings.peer_port));
    let mut config = Config::new(own, rand::random());
    config.heartbeat_interval = HEARTBEAT;
    config.election_timeout = ELECTION;
    config.proposal_bytes = PROPOSAL_BYTES;
    let links = Links::new(own, Arc::clone(&clients), HEARTBEAT);
    let newest = watch::Sender::new(None);
    let standing = watch::Sender::new(Standing::default());
    let nobody = SoftState {
        role: Role::Follower,
        leader: None,
        term: 0,
    };
    let lead = watch::Sender::new(nobody);
    let (inputs, queue) = channel(INPUTS);
    let handle = Handle {
        inputs,
        newest: newest.subscribe(),
        standing: standing.subscribe(),
        lead: lead.subscribe(),
        clients,
    };
    let driver = Driver::new(config, files, links, (newest, standing, lead))?;
    let listen = SocketAddr::from((settings.address, settings.peer_port));
    let server = rpc::serve(listen, own, handle.clone(), observed).await?;
    let driver = tokio::spawn(driver.run(queue));
    tokio::spawn(keep_membership(settings, own, path, handle.clone()));
    Ok(Running {
        handle,
        driver,
        _server: server,
    })
}

fn open(settings: &Settings, path: &Path) -> Result<(Host, (Store, DurableState)), FatalError> {
    let opened = match Store::open(path) {
        Err(wal::Error::NotInitialised { .. }) => {
            create(settings, path)?;
            Store::open(path)
        }
        opened => opened,
    };
    let (store, recovered) = opened?;
    let Recovered {
        identity,
        state: durable,
        torn_tail: torn,
    } = recovered;
    if let Some(torn) = torn {
        let (bytes, offset) = (torn.bytes, torn.offset);
        warn!(bytes = bytes, offset = offset; "an incomplete last write was cut off");
    }
    let own = identity.replica;
    info!(replica = own, term = durable.hard_state.term; "replica opened");
    Ok((own, (store, durable)))
}

/// Creates the files of a founding voter, or of a learner under a number that was never used.
fn create(settings: &Settings, path: &Path) -> Result<(), FatalError> {
    let seeds = settings.changing.seeds();
    let founder = settings.founding && seeds.contains(&settings.address);
    let (replica, durable) = match founder {
        true => {
            let voters = seeds.into_iter().map(member::founder);
            (
                member::founder(settings.address),
                DurableState::bootstrap(voters),
            )
        }
        false => {
            let replica = member::newcomer(settings.address, &mut rand::rng());
            (replica, DurableState::default())
        }
    };
    info!(replica = replica, founder = founder; "creating a replica");
    let cluster = Uuid::nil();
    Ok(Store::create(
        path,
        Identity { cluster, replica },
        &durable,
    )?)
}

/// Asks to join until this replica votes. A replica that was removed while it was away gives up
/// its files and lets the process end; it comes back as a newcomer.
async fn keep_membership(settings: Settings, own: Host, path: PathBuf, handle: Handle) {
    let mut joining = own != member::founder(settings.address);
    loop {
        let pause = if joining { JOIN_EVERY } else { STANDING_EVERY };
        sleep(pause).await;
        let Some(standing) = handle.ask(&settings, own, joining).await else {
            continue;
        };
        if standing.votes {
            joining = false;
        } else if !joining && !standing.member {
            warn!(replica = own; "this replica was removed from the group and starts anew");
            if let Err(error) = fs::remove_dir_all(&path) {
                warn!("removing {} failed: {error}", path.display());
                continue;
            }
            std::process::exit(ExitCode::Removed as i32);
        }
    }
}

impl Handle {
    /// The newest configuration that this replica knows to be committed, and its changes.
    pub fn newest(&self) -> watch::Receiver<Option<Arc<Document>>> {
        self.newest.clone()
    }

    /// Whether this replica leads or knows of no leader, and its changes.
    pub fn acts(&self) -> watch::Receiver<bool> {
        let mut lead = self.lead.clone();
        let acts = |soft: &SoftState| soft.role == Role::Leader || soft.leader.is_none();
        let (sender, receiver) = watch::channel(true);
        tokio::spawn(async move {
            loop {
                let acts = acts(&lead.borrow_and_update());
                sender.send_if_modified(|held| std::mem::replace(held, acts) != acts);
                if lead.changed().await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    /// Clients for other members.
    pub fn clients(&self) -> &Arc<Clients> {
        &self.clients
    }

    /// Stores a configuration, unless a version as high is held. Returns the version held.
    ///
    /// # Errors
    ///
    /// [`Error::NoQuorum`]; the submission may be repeated.
    pub async fn submit(&self, document: Document, deadline: Duration) -> Result<Version, Error> {
        let request = rpc::Submit {
            document: sardinerelayd::peer::Packed(document),
        };
        let attempt = |leader: Option<Host>| {
            let request = &request;
            async move {
                match leader {
                    None => {
                        let document = request.document.0.clone();
                        self.local(|reply| Input::Submit(document, reply)).await
                    }
                    Some(leader) => self.forward(leader, rpc::SUBMIT, request).await,
                }
            }
        };
        self.at_leader(attempt, deadline).await
    }

    /// The newest configuration, no older than any that was acknowledged before this call.
    ///
    /// # Errors
    ///
    /// [`Error`].
    pub async fn read(&self, deadline: Duration) -> Result<Arc<Document>, Error> {
        let end = Instant::now() + deadline;
        let attempt = |leader: Option<Host>| async move {
            match leader {
                None => self.local(Input::Confirm).await,
                Some(leader) => self.forward(leader, rpc::CONFIRM, &()).await,
            }
        };
        let version = self.at_leader(attempt, deadline).await?;
        if version == 0 {
            return Err(Error::Empty);
        }
        let mut newest = self.newest.clone();
        let held = |newest: &Option<Arc<Document>>| {
            newest.as_ref().is_some_and(|held| held.version >= version)
        };
        let left = end.saturating_duration_since(Instant::now());
        let reached = timeout(left, newest.wait_for(held)).await;
        match reached {
            Ok(Ok(document)) => document.clone().ok_or(Error::Empty),
            _ => Err(Error::NoQuorum(deadline)),
        }
    }

    /// Hands leadership to another voter before a planned stop.
    pub async fn transfer(&self) {
        // The driver has ended if this fails, and leads no longer.
        let _ = self.inputs.send(Input::Transfer).await;
    }

    /// Repeats a request at whoever leads, until it is done or the deadline passes.
    async fn at_leader<Attempt, Made>(
        &self,
        attempt: Attempt,
        deadline: Duration,
    ) -> Result<Version, Error>
    where
        Attempt: Fn(Option<Host>) -> Made,
        Made: Future<Output = Outcome>,
    {
        let end = Instant::now() + deadline;
        let mut at = None;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match timeout(left, attempt(at)).await {
                Ok(Outcome::Done(version)) => return Ok(version),
                Ok(Outcome::NotLeader(leader)) if at.is_none() => at = leader,
                Ok(Outcome::NotLeader(_) | Outcome::Unknown) => at = None,
                Err(_) => return Err(Error::NoQuorum(deadline)),
            }
            if at.is_none() {
                if left <= RETRY_PAUSE {
                    return Err(Error::NoQuorum(deadline));
                }
                sleep(RETRY_PAUSE).await;
            }
        }
    }

    async fn local<Make>(&self, make: Make) -> Outcome
    where
        Make: FnOnce(oneshot::Sender<Outcome>) -> Input,
    {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(make(reply)).await.is_err() {
            return Outcome::Unknown;
        }
        answer.await.unwrap_or(Outcome::Unknown)
    }

    async fn forward<P>(&self, leader: Host, method: &'static str, request: &P) -> Outcome
    where
        P: serde::Serialize,
    {
        let client = self.clients.get(member::address(leader));
        match client.call(method, request, FORWARD).await {
            Ok(outcome) => outcome,
            Err(error) => {
                warn!(leader = leader, method = method; "the leader did not answer: {error}");
                Outcome::Unknown
            }
        }
    }

    /// Asks the members that are known, and the seeds, for the standing of `own`; the leader's
    /// answer counts.
    async fn ask(&self, settings: &Settings, own: Host, joining: bool) -> Option<Standing> {
        let known = self.standing.borrow().clone();
        let mut addresses = settings.changing.seeds();
        addresses.extend(known.members.iter().copied().map(member::address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != settings.address);
        let request = rpc::Ask {
            host: own,
            joining,
            founding: settings.founding,
        };
        let asked = addresses.into_iter().map(|address| {
            let client = self.clients.get(address);
            let request = &request;
            async move {
                let answer = client.call(STANDING, request, STANDING_DEADLINE).await;
                answer.ok().filter(|standing: &Standing| standing.leads)
            }
        });
        let answers = futures::future::join_all(asked).await;
        answers.into_iter().flatten().next()
    }
}
