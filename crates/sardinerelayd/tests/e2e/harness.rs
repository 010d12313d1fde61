//! Starts and ends the processes of one test.

use {
    crate::client,
    jsonrpsee::{
        core::client::{ClientT, Error},
        rpc_params,
        ws_client::{HeaderMap, HeaderValue, WsClientBuilder},
    },
    sardinerelay::{
        operator::{self, Digest, Submission, Verdict},
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

/// Bound on anything that a test waits for. Long, so that a busy machine can't break a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const SHARED_SECRET: &str = "the tests' shared secret";

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The address that it printed.
    pub address: SocketAddr,
}

impl Process {
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
        // Keeps the pipe drained.
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

    /// Kills it without a chance to clean up.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the child can be waited for")
    }

    /// Waits for it to end by itself.
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

/// The path of another binary of the workspace.
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

/// Starts a stand-in.
pub fn start_standin(arguments: &[&str]) -> Process {
    let mut command = Command::new(binary_path("sardinerelay-standin"));
    command.args(arguments).stderr(log_output("standin"));
    Process::start(command)
}

/// Starts an engine that decodes a token every 5 ms.
pub fn start_engine(name: &str, extra_arguments: &[&str]) -> Process {
    start_engine_with_step("5ms", name, extra_arguments)
}

/// Starts an engine with this duration of a decode iteration.
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

/// First port that [`free_address`] hands out. The range lies below the ports that the system
/// gives to outgoing connections, which would otherwise take a port before it is used.
const FIRST_PORT: u16 = 12_000;

/// A loopback address that no other test gets. Each test process has an IP address of its own,
/// because two processes with the same range of ports took each other's.
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

/// One entry host.
#[derive(Debug)]
pub struct Host {
    /// Its number.
    pub id: u64,
    /// Its availability zone.
    pub zone: String,
    /// Its peer address.
    pub peer: SocketAddr,
    /// Its operator address.
    pub operator: SocketAddr,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// Its data directory, if it has a disk.
    pub data: Option<PathBuf>,
    /// The running process.
    pub process: Option<Process>,
}

/// A system of entry hosts.
#[derive(Debug)]
pub struct Cluster {
    /// Files of the test.
    pub directory: TempDir,
    /// The hosts, host 1 first.
    pub hosts: Vec<Host>,
}

/// Maps the link from one host to another to the address that the first one uses.
pub type AddressFor<'a> = &'a dyn Fn(&Host, &Host) -> SocketAddr;

impl Cluster {
    /// Prepares `count` hosts, spread over three availability zones. The first `voters` vote.
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

    /// Sets the addresses by which the hosts reach each other.
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

    /// The file with the hosts' shared secret.
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

    /// Starts one host.
    pub fn start_host(&mut self, position: usize) {
        let mut command = self.command(position);
        command.stderr(log_output(&format!("host-{}", self.hosts[position].id)));
        self.hosts[position].process = Some(Process::start(command));
    }

    /// The address at which a host serves callers.
    pub fn listen_address(&self, position: usize) -> SocketAddr {
        self.process(position).address
    }

    /// The process of a host.
    pub fn process(&self, position: usize) -> &Process {
        self.hosts[position]
            .process
            .as_ref()
            .expect("the host runs")
    }

    /// Kills a host.
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

    /// Submits a sheet until a leader accepts it, then waits until it is in force on all hosts.
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

/// Submits a sheet at an operator address.
pub async fn submit_sheet(
    address: SocketAddr,
    sheet: &Sheet,
    proposal: Uuid,
) -> Result<Verdict, Error> {
    let submission = Submission {
        number: sheet.number,
        digest: Digest(sheet.digest()),
        toml: sheet.to_toml(),
        proposal,
    };
    let params = serde_json::to_value(submission).expect("a submission is JSON");
    let verdict = call_operator(address, operator::SHEET_SUBMIT, params).await?;
    Ok(serde_json::from_value(verdict).expect("the verdict can be read"))
}

/// The number of the sheet that a host has in force.
pub async fn sheet_number_in_force(operator: SocketAddr) -> Option<u64> {
    let health = call_operator(operator, operator::HEALTH, Value::Null)
        .await
        .ok()?;
    health["in_force"]["number"].as_u64()
}

/// Calls an operator method at an operator address.
pub async fn call_operator(
    address: SocketAddr,
    method: &str,
    params: Value,
) -> Result<Value, Error> {
    let mut headers = HeaderMap::new();
    let secret = format!("Bearer {SHARED_SECRET}");
    headers.insert(
        "authorization",
        HeaderValue::from_str(&secret).expect("the secret is ASCII"),
    );
    let client = WsClientBuilder::default()
        .set_headers(headers)
        .request_timeout(Duration::from_secs(10))
        .build(format!("ws://{address}"))
        .await
        .map_err(|error| Error::Custom(error.to_string()))?;
    match params {
        Value::Object(map) => client.request(method, NamedParams(map)).await,
        _ => client.request(method, rpc_params![]).await,
    }
}

struct NamedParams(serde_json::Map<String, Value>);

impl jsonrpsee::core::traits::ToRpcParams for NamedParams {
    fn to_rpc_params(self) -> Result<Option<Box<serde_json::value::RawValue>>, serde_json::Error> {
        serde_json::value::to_raw_value(&self.0).map(Some)
    }
}

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

/// Waits until the condition holds.
pub async fn eventually<F>(what: &str, condition: F)
where
    F: AsyncFn() -> bool,
{
    let start = Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "waited in vain until {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// A sheet with one organisation, one model on the engines, and one service on the servers.
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

/// Where a process logs: nowhere, unless `SARDINERELAY_TEST_LOGS` names a directory.
fn log_output(name: &str) -> Stdio {
    let Some(directory) = std::env::var_os("SARDINERELAY_TEST_LOGS") else {
        return Stdio::null();
    };
    let path = PathBuf::from(directory).join(format!("{name}-{}.log", Uuid::new_v4().simple()));
    fs::File::create(path).map_or_else(|_| Stdio::null(), Stdio::from)
}
