//! A group of replicas in the test's process, each in a runtime of its own so that it can be ended
//! like a process.

use {
    compact_str::format_compact,
    sardinerelay::{
        id::Host,
        raft::DurableState,
        wal::{Identity, Store, Volume},
    },
    sardinerelay_gateway::{
        allocator::{Allocator, Scope},
        follow,
        group::{
            self, Clients, Document, Evacuations, Handle, LOADS_METHOD, MemberStatus,
            RunningReplica, Settings, SharedState, StatusRequest, WATCH_EVACUATIONS_METHOD,
            WatchEvacuations, discovery::Search, member,
        },
        metrics::Metrics,
        observations::{Followers, Observations, ObservationsSender},
        observer::division::{LoadsReport, QUEUE_CAPACITY},
        reload::{self, SharedSettings},
    },
    sardinerelayd::{control::FatalError, peer::Packed},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        net::Ipv4Addr,
        path::PathBuf,
        process,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU8, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::{
        runtime::{Builder, Runtime},
        sync::{mpsc, watch},
        time::timeout,
    },
    uuid::Uuid,
};

/// Number of replicas whose addresses all hosts are told.
pub const SEEDS: usize = 3;
/// Port of the peer servers.
const PEER_PORT: u16 = 7200;
/// Time limit of one request to the group.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a replica that stops gives another one to take over leadership.
const TRANSFER_TIME: Duration = Duration::from_millis(600);
/// Interval at which a test checks what it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Numbers the groups of this process, so that each has addresses of its own.
static GROUP_COUNT: AtomicU8 = AtomicU8::new(0);

/// A replica that runs.
struct Running {
    runtime: Runtime,
    replica: RunningReplica,
    allocator: Arc<Allocator>,
    observations: ObservationsSender,
    /// The load reports that other replicas have sent to this one.
    received_loads: mpsc::Receiver<LoadsReport>,
}

/// A disk that may be full, or whose use panics.
#[derive(Debug, Clone, Default)]
struct Disk {
    is_full: Arc<AtomicBool>,
    panics: Arc<AtomicBool>,
}

impl Disk {
    fn volume(&self) -> Volume {
        let disk = self.clone();
        Volume::limited_by(move |bytes| {
            assert!(!disk.panics.load(Ordering::SeqCst), "as the test wants it");
            match disk.is_full.load(Ordering::SeqCst) {
                // A part of what doesn't fit is written.
                true => bytes / 2,
                false => bytes,
            }
        })
    }
}

/// A group of replicas, which ends when this is dropped.
pub struct Cluster {
    directory: TempDir,
    number: u8,
    replicas: Vec<Option<Running>>,
    disks: Vec<Disk>,
}

impl Cluster {
    /// Founds a group of `size` replicas, of which the first ones are seeds, and waits until all of
    /// them vote.
    pub fn found(size: usize) -> Self {
        let mut cluster = Self::not_started(size);
        (0..size).for_each(|host| cluster.start(host, true));
        let all: Vec<usize> = (0..size).collect();
        cluster.wait_for("all replicas vote", Duration::from_secs(20), |cluster| {
            cluster.voting(&all)
        });
        cluster
    }

    /// Returns a group of which no replica has been started.
    pub fn not_started(size: usize) -> Self {
        Self {
            directory: TempDir::new().expect("a directory"),
            number: GROUP_COUNT.fetch_add(1, Ordering::Relaxed),
            replicas: (0..size).map(|_| None).collect(),
            disks: (0..size).map(|_| Disk::default()).collect(),
        }
    }

    /// Starts a replica.
    ///
    /// # Panics
    ///
    /// Panics if it can't start.
    pub fn start(&mut self, host: usize, is_founding: bool) {
        self.try_start(host, is_founding)
            .expect("the replica starts");
    }

    /// Fills a replica's disk, or makes room there again.
    pub fn fill_disk(&self, host: usize, is_full: bool) {
        self.disks[host].is_full.store(is_full, Ordering::SeqCst);
    }

    /// Makes each write of a replica panic from now on.
    pub fn break_disk(&self, host: usize) {
        self.disks[host].panics.store(true, Ordering::SeqCst);
    }

    /// Whether a replica can't go on, so that its process would have ended.
    pub fn has_ended(&self, host: usize) -> bool {
        self.running(host).replica.driver.is_finished()
    }

    /// Starts the replicas again that have ended or could not start, as a supervisor does.
    pub fn restart_ended(&mut self) {
        for host in 0..self.replicas.len() {
            let has_ended = |running: &Running| running.replica.driver.is_finished();
            if self.replicas[host].as_ref().is_none_or(has_ended) {
                self.kill(host);
                // It may fail again, and is started again then.
                let _ = self.try_start(host, false);
            }
        }
    }

    fn try_start(&mut self, host: usize, is_founding: bool) -> Result<(), FatalError> {
        let seeds = (0..SEEDS).map(|seed| self.address(seed)).collect();
        let settings = Settings {
            address: self.address(host),
            peer_port: PEER_PORT,
            reloadable: Arc::new(SharedSettings::new(reload::Settings { seeds })),
            is_founding,
            data_dir: self.data_dir(host),
            volume: self.disks[host].volume(),
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let allocator = Arc::new(Allocator::new(Scope::Group));
        let observations: ObservationsSender =
            Arc::new(watch::Sender::new(Arc::new(Observations::default())));
        let (loads, received_loads) = mpsc::channel(QUEUE_CAPACITY);
        let shared = SharedState {
            zone: format_compact!("zone-{host}"),
            observations: Arc::clone(&observations),
            followers: Arc::new(Followers::default()),
            allocator: Arc::clone(&allocator),
            metrics: Arc::new(Metrics::new().expect("instruments")),
            loads,
        };
        let replica = runtime.block_on(group::start(settings, shared))?;
        runtime.spawn(follow::republish(
            format_compact!("replica-{host}"),
            replica.handle.clone(),
            Arc::clone(&observations),
        ));
        self.replicas[host] = Some(Running {
            runtime,
            replica,
            allocator,
            observations,
            received_loads,
        });
        Ok(())
    }

    /// Ends a replica without notice. Its files stay.
    pub fn kill(&mut self, host: usize) {
        if let Some(Running {
            runtime, replica, ..
        }) = self.replicas[host].take()
        {
            drop(replica);
            runtime.shutdown_timeout(Duration::from_secs(5));
        }
    }

    /// Ends a replica without notice and deletes its files.
    pub fn wipe(&mut self, host: usize) {
        self.kill(host);
        self.wipe_stopped(host);
    }

    /// Deletes the files of a replica that doesn't run.
    pub fn wipe_stopped(&self, host: usize) {
        fs::remove_dir_all(self.data_dir(host)).expect("the directory can be removed");
    }

    /// Ends a replica as a planned stop does, which may take this long.
    pub fn stop(&mut self, host: usize, grace_period: Duration) {
        let running = self.running(host);
        let handle = self.handle(host);
        running.runtime.block_on(async {
            handle.transfer().await;
            tokio::time::sleep(TRANSFER_TIME).await;
            handle.leave(grace_period).await;
        });
        self.kill(host);
    }

    /// Leaves the files of a wiped replica as a kill leaves them that comes while it makes them anew.
    pub fn interrupt_creation(&self, host: usize) {
        let path = self.data_dir(host).join("replica");
        let identity = Identity {
            cluster: Uuid::nil(),
            replica: member::random_id(self.address(host), &mut rand::rng()),
        };
        Store::create(&path, identity, &DurableState::default()).expect("files of a learner");
        fs::remove_file(path.join("identity")).expect("the file can be removed");
    }

    /// Submits a configuration of this version and size through a replica. Returns whether it is
    /// accepted.
    pub fn submit(&self, host: usize, version: u64, bytes: usize) -> bool {
        let Some(_) = &self.replicas[host] else {
            return false;
        };
        let document = Document {
            version,
            body: vec![b'x'; bytes].into(),
        };
        let running = self.running(host);
        let submitted = self.handle(host).submit(document, REQUEST_TIMEOUT);
        running.runtime.block_on(submitted).is_ok()
    }

    /// Orders through a replica that a zone is evacuated or isn't. Returns whether it is acknowledged.
    pub fn order_zone(&self, host: usize, zone: &str, is_evacuated: bool) -> bool {
        let handle = self.handle(host);
        let ordered = handle.order_zone(zone.into(), is_evacuated, REQUEST_TIMEOUT);
        self.running(host).runtime.block_on(ordered).is_ok()
    }

    /// Asks a replica for the orders for zones, as an entry host does after its start.
    pub fn watch_evacuations(&self, host: usize) -> Option<Evacuations> {
        let client = Clients::new(PEER_PORT).get(self.address(host));
        let watch = WatchEvacuations {
            known: None,
            wait_ms: REQUEST_TIMEOUT.as_millis() as u64,
        };
        let called = client.call(WATCH_EVACUATIONS_METHOD, &watch, 2 * REQUEST_TIMEOUT);
        let called = self.running(host).runtime.block_on(called);
        called.unwrap_or_default()
    }

    /// Moves leadership until one of `hosts` is the leader. Returns that host.
    pub fn move_leadership(&self, hosts: &[usize]) -> usize {
        let began = Instant::now();
        loop {
            let leader = self.leader();
            if let Some(leader) = leader.filter(|leader| hosts.contains(leader)) {
                return leader;
            }
            assert!(
                began.elapsed() < Duration::from_secs(60),
                "leadership can't be moved to {hosts:?}"
            );
            if let Some(leader) = leader {
                let running = self.running(leader);
                running.runtime.block_on(self.handle(leader).transfer());
            }
            thread::sleep(POLL_INTERVAL * 10);
        }
    }

    /// Returns the replica that is the leader according to most replicas that know one.
    pub fn leader(&self) -> Option<usize> {
        let running = self.replicas.iter().flatten();
        let known = running.filter_map(|running| running.replica.handle.status().borrow().leader);
        let mut votes = BTreeMap::new();
        known.for_each(|leader| *votes.entry(leader).or_insert(0) += 1);
        let (leader, _) = votes.into_iter().max_by_key(|(_, count)| *count)?;
        (0..self.replicas.len()).find(|host| self.address(*host) == member::address(leader))
    }

    /// Asks a replica for the status of a host, as that host does when it checks that it is a member.
    /// Returns the response if the replica claims to be the leader.
    pub fn leader_status(&self, replica: usize, host: Host) -> Option<MemberStatus> {
        let clients = Clients::new(PEER_PORT);
        let search = Search {
            clients: &clients,
            known: [self.address(replica)].into(),
            excluded: None,
            max_parallel: 1,
        };
        let request = StatusRequest {
            host,
            ..StatusRequest::default()
        };
        let runtime = &self.running(replica).runtime;
        runtime.block_on(search.find(&request, |status| status.is_leader))
    }

    /// Whether each of these replicas runs and knows that it votes.
    pub fn voting(&self, hosts: &[usize]) -> bool {
        hosts.iter().all(|host| {
            let running = self.replicas[*host].as_ref();
            running.is_some_and(|running| running.replica.handle.status().borrow().is_voter)
        })
    }

    /// Waits until a condition holds, and fails the test after `time_limit`.
    pub fn wait_for<Condition>(&self, what: &str, time_limit: Duration, condition: Condition)
    where
        Condition: Fn(&Self) -> bool,
    {
        let began = Instant::now();
        while !condition(self) {
            assert!(
                began.elapsed() < time_limit,
                "waited in vain for {time_limit:?} until {what}"
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the version of the configuration that a replica offers to entry hosts, 0 if none.
    pub fn offered_version(&self, host: usize) -> u64 {
        let newest = self.handle(host).newest();
        let newest = newest.borrow();
        newest.as_ref().map_or(0, |document| document.version)
    }

    /// Returns the allocator of a replica's host.
    pub fn allocator(&self, host: usize) -> &Allocator {
        &self.running(host).allocator
    }

    /// Returns what a replica's host publishes of targets.
    pub fn observations(&self, host: usize) -> &ObservationsSender {
        &self.running(host).observations
    }

    /// Calls a method of a replica's host as an entry host does.
    pub fn call<Parameter, Reply>(
        &self,
        host: usize,
        method: &'static str,
        parameter: &Parameter,
    ) -> Reply
    where
        Parameter: Serialize,
        Reply: DeserializeOwned,
    {
        let client = Clients::new(PEER_PORT).get(self.address(host));
        let called = client.call(method, parameter, REQUEST_TIMEOUT);
        let reply = self.running(host).runtime.block_on(called);
        reply.expect("the host replies")
    }

    /// Notifies a replica of load reports that another one read, over the connection between the two.
    pub fn send_loads(&self, (from, host): (usize, usize), report: &LoadsReport) {
        let client = self.handle(from).clients().get(self.address(host));
        let report = Packed(report);
        let sent = client.notify(LOADS_METHOD, &report, REQUEST_TIMEOUT);
        let sent = self.running(from).runtime.block_on(sent);
        sent.expect("the connection takes it");
    }

    /// Returns the next load reports that a replica was sent.
    pub fn received_loads(&mut self, host: usize) -> Option<LoadsReport> {
        let running = self.replicas[host].as_mut().expect("the replica runs");
        let received = &mut running.received_loads;
        let received = async { timeout(REQUEST_TIMEOUT, received.recv()).await };
        running.runtime.block_on(received).ok()?
    }

    /// Returns the addresses of the voters that a replica, as the leader, has heard recently.
    pub fn heard(&self, host: usize) -> BTreeSet<Ipv4Addr> {
        self.handle(host).heard().borrow().clone()
    }

    fn handle(&self, host: usize) -> &Handle {
        &self.running(host).replica.handle
    }

    fn running(&self, host: usize) -> &Running {
        self.replicas[host].as_ref().expect("the replica runs")
    }

    /// Returns a replica's address.
    pub fn address(&self, host: usize) -> Ipv4Addr {
        let process = process::id();
        let second = 40 + (process % 50) as u8;
        let third = (process / 50 % 16) as u8 * 16 + self.number % 16;
        // No group has 16 replicas, so the 17th group doesn't get the addresses of the first, which may still run.
        let fourth = self.number / 16 % 15 * 16 + host as u8 + 1;
        Ipv4Addr::new(127, second, third, fourth)
    }

    fn data_dir(&self, host: usize) -> PathBuf {
        self.directory.path().join(format!("replica-{host}"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.replicas.len()).for_each(|host| self.kill(host));
    }
}
