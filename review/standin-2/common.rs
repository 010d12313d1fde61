//! What the cases of this review share: the system's processes, the platform's list, an HTTP server
//! for stand-ins of servers, a client, and the record. It uses the standard library only.

#![allow(dead_code)]

use std::{
    collections::HashMap,
    env, fs,
    fs::File,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Exit code if the rule was kept.
pub const HELD: i32 = 0;
/// Exit code if the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code if the case could not run.
pub const NOT_RUN: i32 = 2;

pub const FRONT_PORT: u16 = 8740;
pub const READY_PORT: u16 = 8749;
pub const CONTROL_PORT: u16 = 8748;
pub const PEER_PORT: u16 = 7200;
pub const LIST_PORT: u16 = 8742;
pub const SERVER_PORT: u16 = 8080;
/// Number of the address of the first entry host in the case's network; voters have 1 and up.
pub const FIRST_ENTRY: u8 = 11;
const LIST_HOST: u8 = 100;
/// Number of the address of the first stand-in of a server.
pub const FIRST_SERVER: u8 = 101;
/// Bounds of a small deployment.
pub const GRACE: Duration = Duration::from_secs(8);
pub const MAX_LIST_LAG: Duration = Duration::from_millis(800);
/// Key of the only tenant of the configuration.
pub const KEY: &str = "key-1";
/// Host name of the routes.
pub const HOST: &str = "relay.example";

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder that the command line names.
    pub fn create() -> Self {
        let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(Path::new(&folder).join("record.txt"));
        Self {
            file: Arc::new(Mutex::new(file.expect("record.txt can be written"))),
            began: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.began.elapsed().as_millis();
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{ms:>6} ms  {}", text.as_ref());
    }
}

/// A network of its own within 127.0.0.0/8, so that several cases can run at a time.
#[derive(Clone, Copy)]
pub struct Network {
    prefix: [u8; 3],
}

impl Network {
    /// Finds a network in which nobody uses the ports.
    pub fn find() -> Self {
        let process = process::id();
        for attempt in 0..200_u32 {
            let number = process.wrapping_add(attempt * 37);
            let network = Self {
                prefix: [127, 10 + (number % 90) as u8, (number / 90 % 250) as u8],
            };
            let used = [
                (1, PEER_PORT),
                (1, CONTROL_PORT),
                (FIRST_ENTRY, FRONT_PORT),
                (LIST_HOST, LIST_PORT),
                (FIRST_SERVER, SERVER_PORT),
            ];
            if used
                .iter()
                .all(|(host, port)| TcpListener::bind(network.at(*host, *port)).is_ok())
            {
                return network;
            }
        }
        eprintln!("no free addresses");
        process::exit(NOT_RUN);
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        let [first, second, third] = self.prefix;
        Ipv4Addr::new(first, second, third, host)
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }
}

/// An HTTP request as a server received it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request; none if the connection ended before it was whole.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end + 4;
        }
        read_more(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.lines();
    let mut words = lines.next()?.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        path: words.next()?.to_owned(),
        ..Request::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            request.headers.insert(name, value.trim().to_owned());
        }
    }
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        read_more(stream, buffer)?;
    }
    request.body = buffer.drain(..length).collect();
    Some(request)
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut part = [0; 8192];
    match stream.read(&mut part) {
        Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
        _ => return None,
    }
    Some(())
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Serves each connection at `address` on a thread of its own. `serve` returns whether the connection
/// stays open for another request.
pub fn serve<Serve>(address: SocketAddr, serve: Serve)
where
    Serve: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).unwrap_or_else(|error| {
        eprintln!("{address}: {error}");
        process::exit(NOT_RUN);
    });
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut buffer) {
                    if !serve(&request, &mut stream) {
                        let _ = stream.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// A server whose process can crash: it then closes all connections and refuses new ones.
#[derive(Clone, Default)]
pub struct Process {
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Process {
    /// Serves like [`serve`] until it crashes, and again after it was restarted.
    pub fn serve<Serve>(&self, address: SocketAddr, serve: Serve)
    where
        Serve: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let (process, serve) = (self.clone(), Arc::new(serve));
        thread::spawn(move || {
            loop {
                let Ok(listener) = TcpListener::bind(address) else {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                let _ = listener.set_nonblocking(true);
                while !process.is_down.load(Ordering::SeqCst) {
                    match listener.accept() {
                        Ok((stream, _)) => process.start_connection(stream, Arc::clone(&serve)),
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
                drop(listener);
                for stream in lock(&process.connections).drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                while process.is_down.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
            }
        });
    }

    fn start_connection<Serve>(&self, stream: TcpStream, serve: Arc<Serve>)
    where
        Serve: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            lock(&self.connections).push(clone);
        }
        thread::spawn(move || {
            let mut stream = stream;
            let mut buffer = Vec::new();
            while let Some(request) = read_request(&mut stream, &mut buffer) {
                if !serve(&request, &mut stream) {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        });
    }

    /// Ends the process. Returns false if it is down already.
    pub fn crash(&self) -> bool {
        !self.is_down.swap(true, Ordering::SeqCst)
    }

    pub fn restart(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// Writes an answer in JSON.
pub fn answer_json(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    answer(stream, status, "Content-Type: application/json\r\n", body)
}

/// One server in the platform's list.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub slots: u32,
    pub is_draining: bool,
    pub born: u64,
}

/// The platform's list of servers.
#[derive(Clone, Default)]
pub struct List(pub Arc<Mutex<Vec<Listed>>>);

impl List {
    /// Serves the list.
    pub fn start(&self, network: Network) {
        let list = self.clone();
        serve(network.at(LIST_HOST, LIST_PORT), move |request, stream| {
            if !request.path.starts_with("/instances") {
                return answer(stream, "404 Not Found", "", "");
            }
            answer_json(stream, "200 OK", &list.json())
        });
    }

    pub fn add(&self, listed: Listed) {
        lock(&self.0).push(listed);
    }

    /// Shows a server as draining.
    pub fn drain(&self, id: &str) {
        for listed in lock(&self.0).iter_mut() {
            listed.is_draining |= listed.id == id;
        }
    }

    /// Shows a server as started anew.
    pub fn restart(&self, id: &str) {
        for listed in lock(&self.0).iter_mut() {
            listed.born += u64::from(listed.id == id) * 60_000;
        }
    }

    fn json(&self) -> String {
        let entries = lock(&self.0);
        let entries = entries.iter().map(|listed| {
            let state = if listed.is_draining { "draining" } else { "ready" };
            format!(
                r#"{{"id":"{}","service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","coldLeftMs":0,"born":{},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
                listed.id, listed.service, listed.address, listed.zone, listed.slots, listed.born
            )
        });
        let entries: Vec<String> = entries.collect();
        format!(r#"{{"instances":[{}],"next":null}}"#, entries.join(","))
    }
}

/// The processes of the system, which end when this is dropped.
pub struct System {
    network: Network,
    folder: PathBuf,
    processes: Vec<(u8, &'static str, Option<Child>)>,
    record: Record,
}

impl System {
    /// Starts voters and entry hosts with the commands of the deploy file, has the configuration
    /// accepted, and waits until all entry hosts are ready.
    pub fn start(
        network: Network,
        (voters, entries): (u8, u8),
        configuration: &str,
        record: &Record,
    ) -> Self {
        let folder = env::temp_dir().join(format!("relay-review-{}", process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut system = Self {
            network,
            folder,
            processes: Vec::new(),
            record: record.clone(),
        };
        for voter in 1..=voters {
            system.processes.push((voter, "voter", None));
        }
        for entry in FIRST_ENTRY..FIRST_ENTRY + entries {
            system.processes.push((entry, "entry", None));
        }
        let hosts: Vec<u8> = system.processes.iter().map(|process| process.0).collect();
        for host in hosts {
            system.start_host(host, true);
        }
        let began = Instant::now();
        while !system.put_configuration(1, configuration) {
            system.give_up_after(began, "no configuration is accepted");
        }
        record.line("operator: the configuration was acknowledged");
        for entry in FIRST_ENTRY..FIRST_ENTRY + entries {
            while !system.is_ready(entry) {
                system.give_up_after(began, "an entry host isn't ready");
            }
        }
        // The entry hosts learn the servers shortly after the configuration.
        thread::sleep(Duration::from_secs(3));
        system
    }

    fn give_up_after(&mut self, began: Instant, reason: &str) {
        thread::sleep(Duration::from_millis(200));
        if began.elapsed() > Duration::from_secs(30) {
            self.record.line(reason);
            eprintln!("{reason}");
            self.stop_all();
            process::exit(NOT_RUN);
        }
    }

    /// Starts the process of a host.
    pub fn start_host(&mut self, host: u8, is_founding: bool) {
        let settings = self.folder.join(format!("host-{host}.conf"));
        let text = self.settings(host, is_founding);
        fs::write(&settings, text).expect("the settings can be written");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("host-{host}.log")))
            .expect("the log can be written");
        let errors = log.try_clone().expect("the log can be shared");
        let role = self.role(host);
        let mut command = Command::new("target/release/sardinerelay-platform");
        command.arg(role).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = env::var(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("SARDINERELAY_NODE_FILE", settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("run the build of the deploy file first: {error}");
            process::exit(NOT_RUN);
        });
        self.record
            .line(format!("{role} {host} started, process {}", child.id()));
        for process in &mut self.processes {
            if process.0 == host {
                process.2 = Some(child);
                return;
            }
        }
    }

    fn role(&self, host: u8) -> &'static str {
        let found = self.processes.iter().find(|process| process.0 == host);
        found.map_or("entry", |process| process.1)
    }

    fn settings(&self, host: u8, is_founding: bool) -> String {
        let at = |host: u8, port: u16| self.network.at(host, port).to_string();
        let voters = self.processes.iter().filter(|process| process.1 == "voter");
        let seeds: Vec<String> = voters
            .take(3)
            .map(|process| at(process.0, CONTROL_PORT))
            .collect();
        let is_voter = self.role(host) == "voter";
        let own = match is_voter {
            true => format!(
                "machineClass=core\nserves=control_plane\nlisten.control={}\nfaultCounted=true\nlimits.memoryMb=256\nlimits.diskMb=128\ndataDir={}\n",
                at(host, CONTROL_PORT),
                self.folder.join(format!("data-{host}")).display()
            ),
            false => format!(
                "machineClass=edge\nserves=edge\nlisten.front={}\nlisten.ready={}\nfaultCounted=false\nlimits.memoryMb=96\nlimits.diskMb=0\n",
                at(host, FRONT_PORT),
                at(host, READY_PORT)
            ),
        };
        let zone = zone_of(host);
        format!(
            "nodeName=host-{host}\nrole={role}\nip={ip}\nzone={zone}\nregion=r\nzones.a=r\nzones.b=r\nzones.c=r\n{own}internalPorts={PEER_PORT},{last_port}\nseeds={seeds}\nbootstrap={is_founding}\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\ndiscovery=cloud_api\nentry=vip\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants\nfaultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=4000\nbounds.ackMs=5000\nbounds.catchUpS=6\nbounds.drainMs=4000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2500\nbounds.downgradeSlackMs=250\nbounds.maxStretchMs=6000\nbounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=206\nbounds.recoverS=15\nbounds.passMs=200\nbounds.reuseWindowS=4.5\nconfigMode=highest\ncloud.address={list}\ncloud.ratePerS=47.0\ncloud.duties=\ncloud.maxLagMs=800\n",
            role = self.role(host),
            ip = self.network.ip(host),
            last_port = PEER_PORT + 15,
            seeds = seeds.join(","),
            list = self.network.at(LIST_HOST, LIST_PORT),
        )
    }

    /// Submits a configuration at a voter. Returns whether it was acknowledged.
    pub fn put_configuration(&self, voter: u8, body: &str) -> bool {
        let request = format!(
            "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        status_of(self.network.at(voter, CONTROL_PORT), &request, Duration::from_secs(2)) == 200
    }

    fn is_ready(&self, entry: u8) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        status_of(self.network.at(entry, READY_PORT), request, Duration::from_secs(1)) == 200
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&self, host: u8, name: &str) {
        let found = self.processes.iter().find(|process| process.0 == host);
        if let Some((_, _, Some(child))) = found {
            self.record.line(format!("platform: SIG{name} to host {host}"));
            let _ = Command::new("kill")
                .args([format!("-{name}"), child.id().to_string()])
                .status();
        }
    }

    /// Returns how the process of a host ended, none while it runs.
    pub fn ended(&mut self, host: u8) -> Option<String> {
        let found = self.processes.iter_mut().find(|process| process.0 == host);
        let child = found?.2.as_mut()?;
        let status = child.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Kills a host's process, if it runs.
    pub fn kill(&mut self, host: u8) {
        for process in &mut self.processes {
            if process.0 == host
                && let Some(mut child) = process.2.take()
            {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    /// Returns the voter that leads, by what it last logged.
    pub fn leader(&self) -> Option<u8> {
        let voters = self.processes.iter().filter(|process| process.1 == "voter");
        let leads = |voter: &u8| {
            let log = self.log(*voter);
            let changes = log.lines().filter(|line| line.contains("leadership changed"));
            changes
                .last()
                .is_some_and(|line| line.contains(r#""leads":"true""#))
        };
        voters.map(|process| process.0).find(leads)
    }

    /// Returns how often an entry host has found that another voter allocates.
    pub fn allocator_changes(&self, entry: u8) -> usize {
        let log = self.log(entry);
        log.lines()
            .filter(|line| line.contains("the allocating host changed"))
            .count()
    }

    /// Returns the log of a host.
    pub fn log(&self, host: u8) -> String {
        let path = self.folder.join(format!("host-{host}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Ends all processes and removes their files.
    pub fn stop_all(&mut self) {
        for (_, _, child) in &mut self.processes {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.stop_all();
    }
}

/// The zone of a host or server, by the number of its address.
pub fn zone_of(host: u8) -> &'static str {
    let number = match host {
        FIRST_SERVER.. => host - FIRST_SERVER,
        FIRST_ENTRY.. => host - FIRST_ENTRY,
        _ => host - 1,
    };
    ["a", "b", "c"][usize::from(number % 3)]
}

/// Sends a request on a new connection and returns the status of the answer, 0 without one.
pub fn status_of(address: SocketAddr, request: &str, time_limit: Duration) -> u16 {
    let exchange = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, time_limit)?;
        stream.set_read_timeout(Some(time_limit))?;
        stream.write_all(request.as_bytes())?;
        let mut head = [0; 64];
        let count = stream.read(&mut head)?;
        let text = String::from_utf8_lossy(&head[..count]).into_owned();
        Ok(text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

/// A chunked answer as a client received it.
#[derive(Debug, Clone, Default)]
pub struct Received {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer ended as the protocol says.
    pub is_complete: bool,
}

/// Parses the bytes of a whole connection as one answer, chunked or with a length.
pub fn parse_answer(bytes: &[u8]) -> Received {
    let mut received = Received::default();
    let Some(end) = find(bytes, b"\r\n\r\n") else {
        return received;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    received.status = status.unwrap_or(0);
    let mut rest = &bytes[end + 4..];
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"))
        .and_then(|text| text.trim().parse::<usize>().ok());
    if let Some(length) = length {
        received.is_complete = rest.len() >= length;
        received.body = rest[..length.min(rest.len())].to_vec();
        return received;
    }
    while let Some(line_end) = find(rest, b"\r\n") {
        let text = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let Ok(size) = usize::from_str_radix(text.split(';').next().unwrap_or("").trim(), 16) else {
            return received;
        };
        rest = &rest[line_end + 2..];
        if size == 0 {
            received.is_complete = rest.starts_with(b"\r\n");
            return received;
        }
        let count = size.min(rest.len());
        received.body.extend_from_slice(&rest[..count]);
        if rest.len() < size + 2 {
            return received;
        }
        rest = &rest[size + 2..];
    }
    received
}

/// Whether the bytes so far are a whole answer.
pub fn is_whole(bytes: &[u8]) -> bool {
    parse_answer(bytes).is_complete
}

/// The numbers of the events in a stream's body, in order.
pub fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    text.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.trim().parse().ok())
        .collect()
}

/// Sets options of a client's socket as a client on an Ethernet link has them: its largest segment, and
/// its receive buffer.
pub fn set_segment_and_buffer(stream: &impl AsRawFd, segment: i32, buffer: i32) {
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    set_option(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, segment);
    set_option(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, buffer);
}

fn set_option(socket: i32, level: i32, name: i32, value: i32) {
    unsafe extern "C" {
        fn setsockopt(
            socket: i32,
            level: i32,
            name: i32,
            value: *const core::ffi::c_void,
            length: u32,
        ) -> i32;
    }
    let pointer = (&raw const value).cast();
    // SAFETY: the pointer is to a live integer of the stated size.
    unsafe { setsockopt(socket, level, name, pointer, size_of::<i32>() as u32) };
}

/// Opens a client's socket with these options set before it connects, as the segment size has to be.
pub fn connect_as_client(address: SocketAddr, segment: i32, buffer: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn connect(socket: i32, address: *const core::ffi::c_void, length: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    // `struct sockaddr_in`: family, port, address, padding.
    let mut bytes = [0_u8; 16];
    bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the socket is owned by the stream, and the address has the stated size.
    unsafe {
        let raw = socket(AF_INET, SOCK_STREAM, 0);
        if raw < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(raw);
        set_segment_and_buffer(&stream, segment, buffer);
        match connect(raw, bytes.as_ptr().cast(), bytes.len() as u32) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Counts requests, so that each attempt has an ID of its own.
static ATTEMPTS: AtomicUsize = AtomicUsize::new(1);

pub fn next_attempt() -> String {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", process::id())
}

/// Returns the text of a JSON field, without a parser: the text up to the next delimiter.
pub fn json_field(body: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(body).into_owned();
    let Some(at) = text.find(&format!("\"{name}\"")) else {
        return String::new();
    };
    let rest = text[at + name.len() + 2..].trim_start_matches([':', ' ', '"']);
    let end = rest.find(['"', ',', '}']).unwrap_or(rest.len());
    rest[..end].to_owned()
}

/// The configuration of a small deployment: a streaming route that may not be resumed, to model servers
/// that can move memory.
pub fn configuration(version: u32, shop_routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-plan","host":"{HOST}","pathPrefix":"/plan/","type":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"models","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":180}}{shop_routes}],"services":[{{"name":"models","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"shop","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"t-1","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}
