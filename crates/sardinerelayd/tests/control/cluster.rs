//! A cluster of control threads in this process, which communicate over loopback.

use {
    sardinerelay::{
        id::Host,
        raft::Role,
        sheet::Sheet,
        state::{AcceptedSheet, Command, Reply},
    },
    sardinerelayd::control::{self, Handle, Peer, PublishedView, Settings, Status},
    std::{
        collections::BTreeMap,
        future::pending,
        net::{Ipv4Addr, SocketAddr},
        process,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Time after which a test fails instead of hanging. It doesn't test the speed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(120);

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Hosts 1 to 3 are voters in the zones a to c. All others are in zone a and have no disk, unless their
/// id is above [`Cluster::WITH_DISK`].
pub struct Cluster {
    directory: TempDir,
    members: Vec<Peer>,
    pub running: BTreeMap<Host, Handle>,
}

impl Cluster {
    pub const WITH_DISK: Host = 100;

    pub fn new(others: &[Host]) -> Self {
        let cluster = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        // Each cluster of each test process has its own addresses on the loopback network.
        let [_, _, high, low] = process::id().to_be_bytes();
        let port = 10_000 + (cluster % 20) as u16 * 1000;
        let members = [1, 2, 3].iter().chain(others).map(|&id| Peer {
            id,
            zone: ["a", "b", "c"]
                .get(id as usize - 1)
                .copied()
                .unwrap_or("a")
                .into(),
            address: SocketAddr::from((Ipv4Addr::new(127, 1, high, low), port + id as u16)),
        });
        Self {
            directory: TempDir::new().unwrap(),
            members: members.collect(),
            running: BTreeMap::new(),
        }
    }

    pub fn settings(&self, host: Host) -> Settings {
        let own = self.members.iter().find(|member| member.id == host);
        let own = own.unwrap().clone();
        let data = self.directory.path().join(host.to_string());
        let disk = host <= 3 || host > Self::WITH_DISK;
        Settings {
            host,
            zone: own.zone,
            listen: own.address,
            voters: self.members[..3].to_vec(),
            hosts: self.members.clone(),
            data_dir: disk.then(|| data.clone()),
            secrets: vec!["secret".into()],
            poll_timeout: Duration::from_secs(2),
            snapshot_entries: 20,
            // A host that restarts late gets a snapshot instead of log entries.
            trailing_bytes: 0,
            ..Settings::single_host(data, incarnation())
        }
    }

    pub fn start(&mut self, host: Host) -> Handle {
        let handle = control::spawn(self.settings(host)).unwrap();
        self.running.insert(host, handle.clone());
        handle
    }

    pub fn start_all<Hosts>(&mut self, hosts: Hosts)
    where
        Hosts: IntoIterator<Item = Host>,
    {
        for host in hosts {
            self.start(host);
        }
    }

    pub async fn kill(&mut self, host: Host) {
        self.running.remove(&host).unwrap().abort().await;
    }

    pub fn host(&self, host: Host) -> &Handle {
        &self.running[&host]
    }

    /// Waits until a host considers itself the leader, and returns its id.
    pub async fn await_leader(&self) -> Host {
        loop {
            for (&host, handle) in &self.running {
                let replica = handle.status().await.unwrap().replica;
                if replica.is_some_and(|replica| replica.role == Role::Leader) {
                    return host;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

pub fn incarnation() -> u64 {
    static LAST: AtomicU32 = AtomicU32::new(1);
    u64::from(LAST.fetch_add(1, Ordering::SeqCst))
}

pub fn submit(number: u64, mark: u8) -> Command {
    let sheet = Sheet {
        number,
        classes: Vec::new(),
        targets: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
    };
    Command::Submit {
        digest: [mark; 32],
        sheet: Arc::new(sheet),
    }
}

pub async fn accept(handle: &Handle, number: u64) -> AcceptedSheet {
    match handle.propose(submit(number, 1), TEST_TIMEOUT).await {
        Ok(Reply::Accepted(accepted)) => accepted,
        other => panic!("sheet {number}: {other:?}"),
    }
}

pub fn sheet_number(published: &PublishedView) -> Option<u64> {
    published.sheet.as_ref().map(|sheet| sheet.number)
}

/// Waits until the host publishes the sheet with this number.
pub async fn await_sheet(handle: &Handle, expected: u64) -> Arc<PublishedView> {
    let mut published = handle.published();
    let shown = published.wait_for(|published| sheet_number(published) >= Some(expected));
    let shown = tokio::time::timeout(TEST_TIMEOUT, shown)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(Some(expected), sheet_number(&shown));
    Arc::clone(&shown)
}

/// Waits until the status meets a condition.
pub async fn await_status(handle: &Handle, expected: impl Fn(&Status) -> bool) -> Status {
    loop {
        let status = handle.status().await.unwrap();
        if expected(&status) {
            return status;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts a TCP proxy that forwards connections until it is told to go silent. The connections stay
/// open then.
pub async fn proxy(to: SocketAddr) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (silence, silent) = watch::channel(false);
    tokio::spawn(async move {
        while let Ok((mut near, _)) = listener.accept().await {
            let mut silent = silent.clone();
            tokio::spawn(async move {
                let forward = async {
                    let mut far = TcpStream::connect(to).await?;
                    copy_bidirectional(&mut near, &mut far).await
                };
                let silenced = async {
                    let _ = silent.wait_for(|silent| *silent).await;
                };
                tokio::select! {
                    _ = forward => {}
                    // Keeps the streams open until the test ends.
                    () = silenced => pending().await,
                }
            });
        }
    });
    (address, silence)
}
