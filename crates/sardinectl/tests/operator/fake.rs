//! A fake operator server, and helpers that run the tool against it.

use {
    jsonrpsee::{
        RpcModule,
        server::{Server, ServerHandle},
        types::ErrorObjectOwned,
    },
    sardinerelay::{
        operator::{
            self, CheckReport, CheckRequest, Digest, ErrorData, Health, HostRow, HostState,
            OrganisationRow, ProposalId, PublishedSheet, QueueRow, Role, SheetVersion,
            StopProgress, StopRequest, StopStage, StopWatchRequest, Submission, TargetKind,
            TargetRow, TargetState, Verdict,
        },
        sheet,
    },
    std::{
        collections::HashMap,
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        process::{Command, Output},
        sync::{Arc, Mutex, MutexGuard},
        thread,
    },
    tokio::runtime::Runtime,
};

/// State that the fake servers of one test share, in place of the replicated state.
#[derive(Debug, Default)]
pub struct Group {
    /// Accepted sheets.
    pub published: Vec<PublishedSheet>,
    /// Verdicts by proposal.
    pub verdicts: HashMap<ProposalId, Verdict>,
    /// Submissions in the order of arrival.
    pub submissions: Vec<Submission>,
    /// If present, every change is answered with an error of this number.
    pub error: Option<i32>,
    /// Number of hosts that have the last sheet in force. Each call of `hosts` adds one.
    pub hosts_in_force: u64,
    /// Number of reachable hosts out of 3.
    pub reachable_hosts: u64,
    /// Number of calls until a planned stop is drained.
    pub stop_steps: u64,
}

/// The shared state of the fake servers of one test.
pub type SharedGroup = Arc<Mutex<Group>>;

/// A running fake server. Dropping it stops the server.
#[derive(Debug)]
pub struct FakeServer {
    pub address: SocketAddr,
    _runtime: Runtime,
    _handle: ServerHandle,
}

/// Creates a group of 3 reachable hosts without a sheet.
pub fn new_group() -> SharedGroup {
    Arc::new(Mutex::new(Group {
        reachable_hosts: 3,
        ..Group::default()
    }))
}

pub fn lock(group: &SharedGroup) -> MutexGuard<'_, Group> {
    group.lock().unwrap()
}

/// Starts a server of the group.
pub fn start(group: &SharedGroup) -> FakeServer {
    let runtime = Runtime::new().unwrap();
    let server = runtime
        .block_on(Server::builder().build("127.0.0.1:0"))
        .unwrap();
    let address = server.local_addr().unwrap();
    let _guard = runtime.enter();
    let handle = server.start(methods(group.clone()));
    drop(_guard);
    FakeServer {
        address,
        _runtime: runtime,
        _handle: handle,
    }
}

fn methods(group: SharedGroup) -> RpcModule<SharedGroup> {
    let mut module = RpcModule::new(group);
    module
        .register_method(operator::SHEET_SUBMIT, |params, group, _| {
            let submission: Submission = params.parse()?;
            submit(&mut lock(group), submission)
        })
        .unwrap();
    module
        .register_method(operator::SHEET_CHECK, |params, group, _| {
            let request: CheckRequest = params.parse()?;
            let group = lock(group);
            let current = group.published.last();
            let sheet = current.map(|published| sheet::parse(&published.toml).unwrap());
            let pair = current.zip(sheet.as_ref());
            let pair = pair.map(|(published, sheet)| (published.version, sheet));
            Ok::<_, ErrorObjectOwned>(CheckReport::new(&request.toml, pair))
        })
        .unwrap();
    module
        .register_method(operator::SHEET_SHOW, |_, group, _| {
            Ok::<_, ErrorObjectOwned>(lock(group).published.last().cloned())
        })
        .unwrap();
    module
        .register_method(operator::HOSTS, |_, group, _| {
            Ok::<_, ErrorObjectOwned>(hosts(&mut lock(group)))
        })
        .unwrap();
    module
        .register_method(operator::STOP_PLAN, |params, group, _| {
            let request: StopRequest = params.parse()?;
            let group = lock(group);
            refuse(&group)?;
            Ok::<_, ErrorObjectOwned>(progress(&group, request.subject))
        })
        .unwrap();
    module
        .register_method(operator::STOP_WATCH, |params, group, _| {
            let request: StopWatchRequest = params.parse()?;
            let mut group = lock(group);
            group.stop_steps = group.stop_steps.saturating_sub(1);
            Ok::<_, ErrorObjectOwned>(progress(&group, request.subject))
        })
        .unwrap();
    register_lists(&mut module);
    module
}

/// Registers the other lists, whose answers are fixed, and the health method.
fn register_lists(module: &mut RpcModule<SharedGroup>) {
    module
        .register_method(operator::TARGETS, |_, _, _| {
            Ok::<_, ErrorObjectOwned>(vec![TargetRow {
                target: "engine-a1".into(),
                zone: "lakes-a".into(),
                address: ([10, 20, 1, 11], 8000).into(),
                kind: TargetKind::Engine,
                state: TargetState::Active,
                serves: vec!["bend-planner@2026.11.2".into()],
                memory_tokens: 240_000,
                used_tokens: 81_000,
                running: 9,
                waiting: 1,
                report_age_ms: Some(400),
            }])
        })
        .unwrap();
    module
        .register_method(operator::ORGANISATIONS, |_, _, _| {
            Ok::<_, ErrorObjectOwned>(vec![OrganisationRow {
                organisation: "erie-fabrication".into(),
                tokens_per_minute: 600_000,
                tokens_used: 41_000,
                requests_per_minute: 1200,
                requests_used: 30,
                running: 4,
                queued: 2,
                refused: 0,
            }])
        })
        .unwrap();
    module
        .register_method(operator::QUEUES, |_, _, _| {
            Ok::<_, ErrorObjectOwned>(vec![QueueRow {
                host: 1,
                class: "plan".into(),
                priority: 0,
                queued: 2,
                oldest_wait_ms: 1500,
                max_wait_ms: 20_000,
                running: 4,
                reserved_tokens: 52_000,
            }])
        })
        .unwrap();
    module
        .register_method(operator::HEALTH, |_, group, _| {
            Ok::<_, ErrorObjectOwned>(health(&lock(group)))
        })
        .unwrap();
}

fn health(group: &Group) -> Health {
    let ready = group.reachable_hosts > 0;
    Health {
        host: 1,
        zone: "lakes-a".into(),
        release: "0.1.0".into(),
        role: Role::Leader,
        state: if ready {
            HostState::Ready
        } else {
            HostState::NotReady
        },
        leader: Some(1),
        term: 4,
        quorum: true,
        in_force: None,
        problems: if ready {
            vec![]
        } else {
            vec!["no confirmed sheet".into()]
        },
    }
}

fn refuse(group: &Group) -> Result<(), ErrorObjectOwned> {
    match group.error {
        Some(number) => Err(ErrorObjectOwned::owned(
            number,
            format!("error {number} on request"),
            Some(ErrorData::default()),
        )),
        None => Ok(()),
    }
}

fn submit(group: &mut Group, submission: Submission) -> Result<Verdict, ErrorObjectOwned> {
    refuse(group)?;
    group.submissions.push(submission.clone());
    if let Some(verdict) = group.verdicts.get(&submission.proposal) {
        return Ok(verdict.clone());
    }
    let held = group
        .published
        .iter()
        .find(|published| published.version.number == submission.number);
    let newest = group.published.last().map(|published| published.version);
    let verdict = match (held, newest) {
        (Some(held), _) => Verdict::Conflict { held: held.version },
        (None, Some(newest)) if newest.number > submission.number => Verdict::Outdated { newest },
        _ => accept(group, &submission),
    };
    group.verdicts.insert(submission.proposal, verdict.clone());
    Ok(verdict)
}

fn accept(group: &mut Group, submission: &Submission) -> Verdict {
    let version = SheetVersion {
        number: submission.number,
        digest: submission.digest,
        version: group.published.len() as u64 + 1,
    };
    group.published.push(PublishedSheet {
        version,
        accepted_at_ms: 1_764_820_800_000,
        toml: submission.toml.clone(),
    });
    Verdict::Accepted(version)
}

fn hosts(group: &mut Group) -> Vec<HostRow> {
    let version = group.published.last().map(|published| published.version);
    let in_force = group.hosts_in_force;
    group.hosts_in_force += 1;
    let row = |host: u64| HostRow {
        host,
        zone: "lakes-a".into(),
        address: ([10, 20, 1, host as u8], 7000).into(),
        role: if host == 1 { Role::Leader } else { Role::Entry },
        state: match host <= group.reachable_hosts {
            true => HostState::Ready,
            false => HostState::Unreachable,
        },
        in_force: version.filter(|_| host <= in_force),
        streams: 12,
        queued: 0,
        age_ms: 250,
    };
    (1..=3).map(row).collect()
}

fn progress(group: &Group, subject: operator::Subject) -> StopProgress {
    StopProgress {
        subject,
        stage: match group.stop_steps {
            0 => StopStage::Drained,
            1 => StopStage::Draining,
            _ => StopStage::Planned,
        },
        revision: 100 - group.stop_steps,
        unconfirmed_hosts: group.stop_steps,
        streams: group.stop_steps,
        calls: 0,
        queued: 0,
        planned_at_ms: 1_764_820_800_000,
    }
}

/// Starts a proxy to a server that forwards the handshake and the call, and closes the connection
/// instead of forwarding the answer.
pub fn cut_before_answer(server: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut client, _) = listener.accept().unwrap();
        let mut upstream = TcpStream::connect(server).unwrap();
        let (mut from_client, mut to_server) =
            (client.try_clone().unwrap(), upstream.try_clone().unwrap());
        thread::spawn(move || io::copy(&mut from_client, &mut to_server));
        let mut handshake = Vec::new();
        let mut byte = [0];
        while !handshake.ends_with(b"\r\n\r\n") {
            upstream.read_exact(&mut byte).unwrap();
            handshake.push(byte[0]);
        }
        client.write_all(&handshake).unwrap();
        upstream.read_exact(&mut byte).unwrap();
        client.shutdown(Shutdown::Both).unwrap();
    });
    address
}

/// An address that refuses connections. It is the local end of an open connection, so that no other
/// test can bind its port.
#[derive(Debug)]
pub struct ClosedPort {
    pub address: SocketAddr,
    _connection: [TcpStream; 2],
}

/// Reserves an address that refuses connections.
pub fn closed() -> ClosedPort {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (server, _) = listener.accept().unwrap();
    ClosedPort {
        address: client.local_addr().unwrap(),
        _connection: [client, server],
    }
}

/// The tool with an empty environment and a timeout that is long enough on a busy machine.
pub fn sardinectl(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sardinectl"));
    command.env_clear().env("SARDINECTL_TIMEOUT", "60s");
    command.args(arguments);
    command
}

/// Runs the tool against the given servers.
pub fn run(servers: &[SocketAddr], arguments: &[&str]) -> Output {
    let servers: Vec<_> = servers.iter().map(ToString::to_string).collect();
    sardinectl(arguments)
        .env("SARDINECTL_SERVER", servers.join(","))
        .output()
        .unwrap()
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

pub fn json(output: &Output) -> serde_json::Value {
    serde_json::from_slice(&output.stdout).unwrap()
}

/// The canonical digest of a sheet as text.
pub fn digest(toml: &str) -> String {
    Digest(sheet::parse(toml).unwrap().digest()).to_string()
}
