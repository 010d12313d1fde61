//! Measures the control thread: `cargo run --release --example control_cost -- MODE [HOSTS]`.
//!
//! * `publish HOSTS`: time from the proposal of a sheet until all hosts publish it.
//! * `commits HOSTS`: commits per second with 64 concurrent proposals.
//! * `idle HOSTS`: bytes per second and share of a core of each host while nothing changes.
//! * `leader HOSTS`: time from the leader's failure until the next proposal is accepted.
//! * `relay HOSTS`: time from the failure of a zone's relay host until the zone's other hosts publish
//!   a new sheet.
//! * `encoding`: size of a replicated command in JSON, and in postcard encoding within JSON.

use {
    anyhow::{Context as _, Result, bail},
    sardinerelay::{
        id::Host,
        ledger::{Intent, Key, Owner},
        raft::{Append, Body, Entry as LogEntry, Message, Payload, Position, Role},
        sheet::{Server, Sheet},
        state::{Command, Entry, ProposalKey},
    },
    sardinerelayd::{
        control::{self, Handle, Peer, Settings},
        peer::{Packed, Step, Traffic},
    },
    std::{
        env, fs,
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tempfile::TempDir,
    tokio::{task::JoinSet, time::sleep},
    uuid::Uuid,
};

/// Time after which a proposal or a wait fails.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Number of targets in the sheets.
const TARGET_COUNT: usize = 13;
const PUBLISH_ROUNDS: u64 = 100;
/// Number of failures of the leader or relay host that are measured.
const FAILOVERS: usize = 20;
/// Index of the relay host of the zone without voters.
const RELAY_INDEX: usize = 3;
const CONCURRENT_PROPOSALS: u64 = 64;
const COMMIT_DURATION: Duration = Duration::from_secs(10);
const IDLE_DURATION: Duration = Duration::from_secs(30);
/// Clock ticks per second in `/proc/self/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() -> Result<()> {
    let mut arguments = env::args().skip(1);
    let mode = arguments.next().context("a mode is needed")?;
    let hosts = match arguments.next() {
        Some(hosts) => hosts.parse()?,
        None => 9,
    };
    if mode == "encoding" {
        return print_encoded_sizes();
    }
    match mode.as_str() {
        "leader" => return measure_leader_failover(hosts).await,
        "relay" => return measure_relay_failover(hosts).await,
        _ => {}
    }
    let directory = TempDir::new()?;
    let handles = start_system(&directory, hosts).await?;
    match mode.as_str() {
        "publish" => measure_publish(&handles).await?,
        "commits" => measure_commits(&handles).await?,
        "idle" => measure_idle(&handles).await?,
        other => bail!("unknown mode {other}"),
    }
    stop(handles).await;
    Ok(())
}

/// Starts three voters with a disk, one in each zone, and further hosts without a disk. In the mode
/// `relay`, the further hosts are in a zone without voters.
fn start_hosts(directory: &TempDir, hosts: Host) -> Result<Vec<Handle>> {
    let members: Vec<Peer> = (1..=hosts)
        .map(|id| Peer {
            id,
            zone: match env::args().nth(1).as_deref() {
                Some("relay") if id > 3 => "d".into(),
                _ => ["a", "b", "c"][(id as usize - 1) % 3].into(),
            },
            address: SocketAddr::from((Ipv4Addr::new(127, 2, 0, 1), 20_000 + id as u16)),
        })
        .collect();
    let started = members.iter().map(|member| {
        let data = directory.path().join(member.id.to_string());
        let settings = Settings {
            host: member.id,
            zone: member.zone.clone(),
            listen: member.address,
            voters: members[..3.min(members.len())].to_vec(),
            hosts: members.clone(),
            data_dir: (member.id <= 3).then(|| data.clone()),
            secrets: vec!["secret".into()],
            ..Settings::single_host(data, 1)
        };
        Ok(control::spawn(settings)?)
    });
    started.collect()
}

fn sheet(number: u64) -> Sheet {
    let server = |index| Server {
        name: format!("engine-{index}").into(),
        zone: "a".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 8000)),
        memory_tokens: 400_000,
        checks_fencing: true,
    };
    Sheet {
        number,
        classes: Vec::new(),
        targets: (0..TARGET_COUNT).map(server).collect(),
        models: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
    }
}

async fn submit(handle: &Handle, number: u64) -> Result<()> {
    let command = Command::Submit {
        digest: [1; 32],
        sheet: Arc::new(sheet(number)),
    };
    handle.propose(command, TIMEOUT).await?;
    Ok(())
}

async fn await_sheet(handle: &Handle, number: u64) -> Result<()> {
    let mut published = handle.published();
    let shown = published.wait_for(|published| {
        published
            .sheet
            .as_ref()
            .is_some_and(|sheet| sheet.number >= number)
    });
    tokio::time::timeout(TIMEOUT, shown).await??;
    Ok(())
}

async fn measure_publish(handles: &[Handle]) -> Result<()> {
    let mut accepted = Vec::new();
    let mut everywhere = Vec::new();
    for round in 0..PUBLISH_ROUNDS {
        let number = 2 + round;
        let start = Instant::now();
        submit(&handles[round as usize % handles.len()], number).await?;
        accepted.push(start.elapsed());
        for handle in handles {
            await_sheet(handle, number).await?;
        }
        everywhere.push(start.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    print_percentiles("from proposal to acceptance", accepted);
    print_percentiles("from proposal to in force everywhere", everywhere);
    Ok(())
}

fn print_percentiles(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let (median, p95, max) = (percentile(0.5), percentile(0.95), percentile(1.0));
    println!("{name}: p50 {median:.2?}, p95 {p95:.2?}, max {max:.2?}");
}

async fn measure_commits(handles: &[Handle]) -> Result<()> {
    let end = Instant::now() + COMMIT_DURATION;
    let mut tasks = JoinSet::new();
    for task in 0..CONCURRENT_PROPOSALS {
        let handle = handles[task as usize % handles.len()].clone();
        tasks.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < end {
                let start = Instant::now();
                let key = format!("{task}-{}", times.len());
                if handle.propose(begin(&key), TIMEOUT).await.is_ok() {
                    times.push(start.elapsed());
                }
            }
            times
        });
    }
    let start = cpu_seconds()?;
    let times = tasks.join_all().await.concat();
    let cores = (cpu_seconds()? - start) / COMMIT_DURATION.as_secs_f64();
    let rate = times.len() as f64 / COMMIT_DURATION.as_secs_f64();
    println!("{rate:.0} commits/s, {cores:.2} cores in all");
    print_percentiles("commit", times);
    Ok(())
}

/// Starts all hosts and waits until each of them publishes the first sheet.
async fn start_system(directory: &TempDir, hosts: Host) -> Result<Vec<Handle>> {
    let handles = start_hosts(directory, hosts)?;
    submit(&handles[0], 1).await?;
    for handle in &handles {
        await_sheet(handle, 1).await?;
    }
    Ok(handles)
}

async fn measure_leader_failover(hosts: Host) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..FAILOVERS {
        let directory = TempDir::new()?;
        let mut handles = start_system(&directory, hosts).await?;
        let mut leader = None;
        for (index, handle) in handles.iter().enumerate() {
            let replica = handle.status().await?.replica;
            if replica.is_some_and(|replica| replica.role == Role::Leader) {
                leader = Some(index);
            }
        }
        let killed = handles.remove(leader.context("no leader")?);
        killed.abort().await;
        let start = Instant::now();
        submit(&handles[0], 2).await?;
        times.push(start.elapsed());
        stop(handles).await;
    }
    print_percentiles("from the leader's death to the next acceptance", times);
    Ok(())
}

/// Measures with hosts 4 and above in a zone without voters.
async fn measure_relay_failover(hosts: Host) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..FAILOVERS {
        let directory = TempDir::new()?;
        let mut handles = start_system(&directory, hosts).await?;
        handles.remove(RELAY_INDEX).abort().await;
        let start = Instant::now();
        submit(&handles[0], 2).await?;
        for handle in &handles[RELAY_INDEX..] {
            await_sheet(handle, 2).await?;
        }
        times.push(start.elapsed());
        stop(handles).await;
    }
    print_percentiles("from the relay's death to a new sheet in force", times);
    Ok(())
}

async fn stop(handles: Vec<Handle>) {
    for handle in handles {
        handle.abort().await;
    }
}

fn begin(key: &str) -> Command {
    Command::Begin(Intent {
        key: Key {
            organisation: "brakeline".into(),
            key: key.into(),
        },
        fingerprint: [1; 32],
        owner: Owner {
            host: 1,
            incarnation: 1,
        },
        attempt: Uuid::new_v4(),
        deadline: SystemTime::now() + TIMEOUT,
    })
}

async fn measure_idle(handles: &[Handle]) -> Result<()> {
    sleep(Duration::from_secs(5)).await;
    let before: Vec<Traffic> = handles.iter().map(Handle::traffic).collect();
    let start = cpu_seconds()?;
    sleep(IDLE_DURATION).await;
    let seconds = IDLE_DURATION.as_secs_f64();
    let cores = (cpu_seconds()? - start) / seconds;
    let share = 100.0 * cores / handles.len() as f64;
    println!("{share:.3} % of a core per host, on average");
    for (index, (handle, before)) in handles.iter().zip(before).enumerate() {
        let after = handle.traffic();
        let rate = |after, before| (after - before) as f64 / seconds;
        println!(
            "host {}: {:.0} B/s sent, {:.0} B/s received, {:.1} messages/s sent",
            index + 1,
            rate(after.sent_bytes, before.sent_bytes),
            rate(after.received_bytes, before.received_bytes),
            rate(after.sent_messages, before.sent_messages),
        );
    }
    Ok(())
}

/// Returns the processor time that this process has used, in seconds.
fn cpu_seconds() -> Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let (_, rest) = stat.rsplit_once(')').context("unknown format")?;
    let mut fields = rest.split_whitespace().skip(11);
    let mut next = || -> Result<f64> { Ok(fields.next().context("too few fields")?.parse()?) };
    Ok((next()? + next()?) / CLOCK_TICKS_PER_SECOND)
}

fn print_encoded_sizes() -> Result<()> {
    let proposal = ProposalKey {
        session: 1,
        sequence: 1,
        acknowledged: 0,
    };
    let submit = Command::Submit {
        digest: [0xa5; 32],
        sheet: Arc::new(sheet(1)),
    };
    for (name, command) in [("begin", begin("order-1")), ("sheet", submit)] {
        let entry = Entry {
            proposal: Some(proposal),
            at: SystemTime::now(),
            shard: 0,
            command,
        };
        let data = postcard::to_stdvec(&entry)?;
        let position = Position { term: 1, index: 1 };
        let append = Body::Append(Append {
            previous: position,
            entries: vec![LogEntry {
                position,
                payload: Payload::Data(data.into()),
            }],
            commit: 1,
        });
        let messages = vec![Message {
            term: 1,
            body: append,
        }];
        let plain = serde_json::to_vec(&messages)?.len();
        let step = Step {
            from: 1,
            to: 2,
            messages: Packed(messages),
        };
        let packed = serde_json::to_vec(&step)?.len();
        println!("{name}: append of one entry: {plain} bytes in JSON, {packed} bytes packed");
        let plain = serde_json::to_vec(&entry)?.len();
        let packed = serde_json::to_vec(&Packed(entry))?.len();
        println!("{name}: proposal: {plain} bytes in JSON, {packed} bytes packed");
    }
    Ok(())
}
