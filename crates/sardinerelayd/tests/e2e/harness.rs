//! Starts the processes of one test, and ends them when they are dropped.

#[path = "operator_calls.rs"]
mod operator_calls;

pub use operator_calls::{call_operator, sheet_number_in_force, submit_sheet};

use {
    crate::client,
    jsonrpsee::core::client::Error,
    sardinerelay::{
        operator::Verdict,
        sheet::{Account, Deployment, PlainService, RequestClass, Server, Sheet},
    },
    sardinerelayd::filter::identify::sha256_hex,
    serde_json::Value,
    std::{
        fs,
        io::{BufRead, BufReader},
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicU16, Ordering},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    tokio::time::sleep,
    uuid::Uuid,
};

/// The API key of an organisation in the tests' sheets.
pub fn api_key(organisation: &str) -> String {
    format!("key-of-{organisation}")
}

/// Limit of every wait in a test. It is long so that no test fails because the machine is busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The secret that the hosts share and that operators present.
const SHARED_SECRET: &str = "the tests' shared secret";

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The address that it printed on its first line of output.
    pub address: SocketAddr,
}

impl Process {
    /// Starts a program that prints the address it listens on, and waits for that line.
    fn start(mut command: Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let line = lines
            .next()
            .expect("the process prints its address")
            .expect("stdout is text");
        let address = line
            .strip_prefix("listening on ")
            .and_then(|address| address.parse().ok())
            .unwrap_or_else(|| panic!("unexpected first line {line:?}"));
        // A full pipe would block the process at its next line of output.
        thread::spawn(move || lines.for_each(drop));
        Self { child, address }
    }

    /// Sends a signal by name, for example `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "kill -{name} failed");
    }

    /// Ends the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The exit status, or `None` while the process runs.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child can be waited for")
    }

    /// Waits until the process exits by itself. Panics after [`WAIT_TIMEOUT`].
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.try_wait() {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process did not end");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of another binary of the workspace. Panics if it isn't built.
pub fn binary_path(name: &str) -> PathBuf {
    let mut path = PathBuf::from(env!("CARGO_BIN_EXE_sardinerelayd"));
    path.set_file_name(name);
    assert!(
        path.exists(),
        "run `cargo build --workspace` first: {} is missing",
        path.display()
    );
    path
}

/// Starts a stand-in with these arguments.
pub fn start_standin(arguments: &[&str]) -> Process {
    let mut command = Command::new(binary_path("sardinerelay-standin"));
    command.args(arguments).stderr(log_output("standin"));
    Process::start(command)
}

/// Starts a stand-in engine that decodes one token every 5 ms.
pub fn start_engine(name: &str, extra_arguments: &[&str]) -> Process {
    start_engine_with_step("5ms", name, extra_arguments)
}

/// Starts a stand-in engine whose decode iterations take this long.
pub fn start_engine_with_step(step: &str, name: &str, extra_arguments: &[&str]) -> Process {
    start_standin(
        &[
            &[
                "engine",
                "--name",
                name,
                "--step",
                step,
                "--report-lag",
                "100ms",
            ],
            extra_arguments,
        ]
        .concat(),
    )
}

/// First port that [`free_address`] returns. The range lies below the ephemeral ports, since an
/// outgoing connection could otherwise take a port before the test listens on it.
const FIRST_PORT: u16 = 12_000;

/// A loopback address that no other test gets. Each test process uses its own IP address, since
/// processes that share one and allocate from the same range take each other's ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    loop {
        let port = FIRST_PORT + NEXT.fetch_add(1, Ordering::Relaxed) % 20_000;
        let address = SocketAddr::from(([127, 2, high, low], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// An entry host: the daemon's arguments and, while it runs, its process.
#[derive(Debug)]
pub struct Host {
    /// The host's number, from 1.
    pub id: u64,
    /// The host's availability zone.
    pub zone: String,
    /// The address for the other hosts.
    pub peer: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// Command-line arguments, without the secret file and the data directory.
    pub arguments: Vec<String>,
    /// The data directory, or `None` for a host without a disk.
    pub data: Option<PathBuf>,
    /// The process, or `None` while the host is down.
    pub process: Option<Process>,
}

/// The entry hosts of one test.
#[derive(Debug)]
pub struct Cluster {
    /// Holds the secret and the hosts' data. It is removed with the cluster.
    pub directory: TempDir,
    /// The hosts by number: host 1 is at position 0.
    pub hosts: Vec<Host>,
}

/// Returns the address at which the first host reaches the second.
pub type AddressFor<'a> = &'a dyn Fn(&Host, &Host) -> SocketAddr;

impl Cluster {
    /// Prepares `count` hosts, spread over three availability zones. The first `voters` are voters.
    /// No host is started.
    pub fn new(count: u64, voters: u64, extra_arguments: &[&str]) -> Self {
        let directory = TempDir::new().expect("a temporary directory can be made");
        let mut hosts: Vec<Host> = (1..=count)
            .map(|id| prepare_host(id, id <= voters, &directory))
            .collect();
        for host in &mut hosts {
            host.arguments
                .extend(extra_arguments.iter().map(ToString::to_string));
        }
        let mut cluster = Self { directory, hosts };
        cluster.set_peer_addresses(&|_, to| to.peer, voters);
        cluster
    }

    /// Sets the addresses at which the hosts reach each other. Replaces those set before.
    pub fn set_peer_addresses(&mut self, address_for: AddressFor<'_>, voters: u64) {
        let mut lists = Vec::new();
        for from in &self.hosts {
            let mut list = Vec::new();
            for to in &self.hosts {
                let flag = if to.id <= voters { "--voter" } else { "--host" };
                list.push(flag.to_owned());
                list.push(format!("{},{},{}", to.id, to.zone, address_for(from, to)));
            }
            lists.push(list);
        }
        for (host, list) in self.hosts.iter_mut().zip(lists) {
            if let Some(position) = host
                .arguments
                .iter()
                .position(|argument| argument == "--voter")
            {
                host.arguments.truncate(position);
            }
            host.arguments.extend(list);
        }
    }

    /// Starts all hosts.
    pub fn start(&mut self) {
        for position in 0..self.hosts.len() {
            self.start_host(position);
        }
    }

    /// Writes the shared secret to a file and returns its path.
    pub fn secret_file(&self) -> PathBuf {
        let secret = self.directory.path().join("secret");
        fs::write(&secret, SHARED_SECRET).expect("the secret can be written");
        secret
    }

    /// The command that starts one host.
    pub fn command(&self, position: usize) -> Command {
        let host = &self.hosts[position];
        let mut command = Command::new(env!("CARGO_BIN_EXE_sardinerelayd"));
        command
            .args(&host.arguments)
            .arg("--secret-file")
            .arg(self.secret_file());
        if let Some(data) = &host.data {
            command.arg("--data-dir").arg(data);
        }
        command
    }

    /// Starts the host at this position and waits until it listens.
    pub fn start_host(&mut self, position: usize) {
        let mut command = self.command(position);
        command.stderr(log_output(&format!("host-{}", self.hosts[position].id)));
        self.hosts[position].process = Some(Process::start(command));
    }

    /// Starts all hosts with a log whose disk is full.
    pub fn start_with_full_log(&mut self) {
        for position in 0..self.hosts.len() {
            let full = fs::File::options().write(true).open("/dev/full");
            let mut command = self.command(position);
            command.stderr(full.expect("the device of a full disk"));
            self.hosts[position].process = Some(Process::start(command));
        }
    }

    /// The address at which a host serves callers.
    pub fn listen_address(&self, position: usize) -> SocketAddr {
        self.process(position).address
    }

    /// The process of a host. Panics if the host is down.
    pub fn process(&self, position: usize) -> &Process {
        self.hosts[position]
            .process
            .as_ref()
            .expect("the host runs")
    }

    /// Ends a host with SIGKILL.
    pub fn kill(&mut self, position: usize) {
        self.hosts[position].process = None;
    }

    /// Calls an operator method of one host.
    pub async fn call_operator(
        &self,
        position: usize,
        method: &str,
        params: Value,
    ) -> Result<Value, Error> {
        call_operator(self.hosts[position].operator, method, params).await
    }

    /// Submits a sheet through one host.
    pub async fn submit(
        &self,
        position: usize,
        sheet: &Sheet,
        proposal: Uuid,
    ) -> Result<Verdict, Error> {
        submit_sheet(self.hosts[position].operator, sheet, proposal).await
    }

    /// Submits a sheet until a leader accepts it, and then waits until every running host is ready
    /// and has it in force.
    pub async fn put_in_force(&self, sheet: &Sheet) {
        let proposal = Uuid::new_v4();
        let accepted = async || {
            matches!(
                self.submit(0, sheet, proposal).await,
                Ok(Verdict::Accepted(_))
            )
        };
        eventually("the sheet is accepted", accepted).await;
        for host in self.hosts.iter().filter(|host| host.process.is_some()) {
            let address = host.process.as_ref().expect("filtered").address;
            eventually("the host is ready", async || {
                client::get(address, "/readyz").await.0 == 200
            })
            .await;
            eventually("the sheet is in force", async || {
                sheet_number_in_force(host.operator).await == Some(sheet.number)
            })
            .await;
        }
    }
}

/// A host that isn't started. Voters get a data directory.
fn prepare_host(id: u64, votes: bool, directory: &TempDir) -> Host {
    let zone = ["lakes-a", "lakes-b", "lakes-c"][(id as usize - 1) % 3].to_owned();
    let (peer, operator) = (free_address(), free_address());
    let arguments = [
        ("--host-id", id.to_string()),
        ("--zone", zone.clone()),
        ("--listen", "127.0.0.1:0".to_owned()),
        ("--peer-listen", peer.to_string()),
        ("--operator-listen", operator.to_string()),
        ("--drain-delay", "200ms".to_owned()),
    ];
    Host {
        id,
        zone,
        peer,
        operator,
        arguments: arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect(),
        data: votes.then(|| directory.path().join(format!("data-{id}"))),
        process: None,
    }
}

/// Waits until the condition holds. Panics after [`WAIT_TIMEOUT`] and names it as `what`.
pub async fn eventually<F>(what: &str, condition: F)
where
    F: AsyncFn() -> bool,
{
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// A sheet with two organisations, one model on the given engines and one plain service on the
/// given servers. Without engines or servers, it has no model or service.
pub fn test_sheet(number: u64, engines: &[SocketAddr], services: &[SocketAddr]) -> Sheet {
    let zones = ["lakes-a", "lakes-b", "lakes-c"];
    let server = |kind: &str, position: usize, address: SocketAddr, memory_tokens| Server {
        name: format!("{kind}-{position}").into(),
        zone: zones[position % 3].into(),
        address,
        memory_tokens,
        checks_fencing: true,
    };
    let mut targets = Vec::new();
    for (position, address) in engines.iter().enumerate() {
        targets.push(server("engine", position, *address, 60_000));
    }
    for (position, address) in services.iter().enumerate() {
        targets.push(server("shop", position, *address, 0));
    }
    let named = |kind: &str| {
        let matching = targets
            .iter()
            .filter(|target| target.name.starts_with(kind));
        matching
            .map(|target| target.name.clone())
            .collect::<Vec<_>>()
    };
    let models = Deployment {
        name: "bend-planner".into(),
        version: "1".into(),
        adapters: Vec::new(),
        targets: named("engine"),
    };
    let service = PlainService {
        name: "shop".into(),
        path: "/shop".into(),
        targets: named("shop"),
        repeatable: vec!["GET".into()],
    };
    let account = |name: &str| Account {
        name: name.into(),
        key_sha256: vec![sha256_hex(&api_key(name)).into()],
        classes: vec!["interactive".into()],
        tokens_per_minute: 10_000_000,
        requests_per_minute: 100_000,
    };
    Sheet {
        number,
        classes: vec![RequestClass {
            name: "interactive".into(),
            priority: 0,
            max_wait_ms: 30_000,
        }],
        models: if engines.is_empty() {
            Vec::new()
        } else {
            vec![models]
        },
        services: if services.is_empty() {
            Vec::new()
        } else {
            vec![service]
        },
        targets,
        organisations: vec![account("brakeline"), account("harakeke")],
    }
}

/// Where a process writes its log: a new file in the directory that `SARDINERELAY_TEST_LOGS` names,
/// or nowhere if it is not set.
fn log_output(name: &str) -> Stdio {
    let Some(directory) = std::env::var_os("SARDINERELAY_TEST_LOGS") else {
        return Stdio::null();
    };
    let path = PathBuf::from(directory).join(format!("{name}-{}.log", Uuid::new_v4().simple()));
    fs::File::create(path).map_or_else(|_| Stdio::null(), Stdio::from)
}
