//! What all cases share: a small deployment of the project's programs on loopback addresses, an
//! HTTP/1.1 stand-in for servers and the platform's list, a client, and the record of a run.

use std::{
    collections::HashMap,
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

const FRONT_PORT: u16 = 8740;
const READY_PORT: u16 = 8749;
const CONTROL_PORT: u16 = 8748;
const PEER_PORT: u16 = 7200;
const LIST_PORT: u16 = 8742;
const PORTS: [u16; 6] = [
    FRONT_PORT,
    READY_PORT,
    CONTROL_PORT,
    PEER_PORT,
    LIST_PORT,
    9464,
];
pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub type Shared<T> = Arc<Mutex<T>>;

/// Whether the case runs with its disruption: the second argument, which `run.sh` sets by `TROUBLE`.
pub fn has_trouble() -> bool {
    match std::env::args().nth(2).as_deref() {
        Some("trouble") => true,
        Some("calm") => false,
        _ => {
            eprintln!("usage: PROGRAM FOLDER trouble|calm");
            std::process::exit(COULD_NOT_RUN);
        }
    }
}

/// A file with one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Shared<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be created");
        Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} {text}");
    }

    /// A line that also goes to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A random number generator (xorshift), seeded from the clock.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let seed = now.as_nanos() as u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Self(seed | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The first three octets of this run's addresses, all of whose ports are free.
pub fn free_prefix() -> [u8; 3] {
    let mut random = Random::new(u64::from(std::process::id()));
    for _ in 0..200 {
        let prefix = [
            127,
            64 + (random.next() % 128) as u8,
            (random.next() % 256) as u8,
        ];
        let is_free = [11u8, 12, 13, 21, 22, 5].iter().all(|last| {
            let ip = Ipv4Addr::new(prefix[0], prefix[1], prefix[2], *last);
            PORTS
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if is_free {
            return prefix;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(COULD_NOT_RUN);
}

/// The project's processes, which end when this is dropped.
pub struct Cluster {
    pub prefix: [u8; 3],
    pub directory: PathBuf,
    pub record: Record,
    children: HashMap<String, Child>,
}

impl Cluster {
    pub fn new(record: &Record) -> Self {
        let prefix = free_prefix();
        let name = format!("review-{}-{}-{}", std::process::id(), prefix[1], prefix[2]);
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).expect("a temporary folder");
        Self {
            prefix,
            directory,
            record: record.clone(),
            children: HashMap::new(),
        }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.prefix[0], self.prefix[1], self.prefix[2], last)
    }

    pub fn list_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip(5), LIST_PORT))
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(20 + number), FRONT_PORT))
    }

    pub fn ready(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(20 + number), READY_PORT))
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(10 + number), CONTROL_PORT))
    }

    pub fn data_dir(&self, number: u8) -> PathBuf {
        self.directory.join(format!("core-{number}.data"))
    }

    fn settings(&self, role: &str, number: u8, is_bootstrap: bool) -> String {
        let is_voter = role == "voter";
        let ip = self.ip(if is_voter { 10 } else { 20 } + number);
        let class = if is_voter { "core" } else { "edge" };
        let zone = ZONES[(number as usize - 1) % 3];
        let seeds: Vec<String> = (1..=3).map(|seed| self.control(seed).to_string()).collect();
        let listen = match is_voter {
            true => format!(
                "listen.control={ip}:{CONTROL_PORT}\ndataDir={}\n",
                self.data_dir(number).display()
            ),
            false => format!("listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n"),
        };
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("zones.{zone}=r\n"))
            .collect();
        let memory = if is_voter { 256 } else { 110 };
        format!(
            "nodeName={class}-{zone}-{number}\nrole={role}\nmachineClass={class}\n\
             serves={}\nip={ip}\nzone={zone}\nregion=r\n{zones}{listen}\
             internalPorts={PEER_PORT},{}\nseeds={}\nbootstrap={is_bootstrap}\n\
             faultCounted={is_voter}\nlimits.cpuShare=0.25\nlimits.cores=1\n\
             limits.memoryMb={memory}\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
             limits.diskMb=128\ndiscovery=cloud_api\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants\n\
             faultTolerance.machines=1\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.maxStretchMs=5000\n\
             bounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryRatio=0.2\n\
             bounds.retryWindowS=10\nbounds.retrySlack=58\nbounds.recoverS=12\nbounds.passMs=120\n\
             bounds.reuseWindowS=4\nconfigMode=highest\ncloud.address={}\ncloud.ratePerS=47.0\n\
             cloud.duties=\ncloud.maxLagMs=800\n",
            if is_voter { "control_plane" } else { "edge" },
            PEER_PORT + 15,
            seeds.join(","),
            self.list_address(),
        )
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, role: &str, number: u8, is_bootstrap: bool) {
        let name = format!("{role}-{number}");
        let path = self.directory.join(format!("{name}.conf"));
        fs::write(&path, self.settings(role, number, is_bootstrap)).expect("settings");
        if role == "voter" {
            fs::create_dir_all(self.data_dir(number)).expect("a data folder");
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))
            .expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/sardinerelay-platform")
            .arg(role)
            .env_clear()
            .env("SARDINERELAY_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                self.record
                    .line(&format!("started {name}, process {}", child.id()));
                self.children.insert(name, child);
            }
            Err(error) => {
                eprintln!("starting {name} failed: {error}");
                std::process::exit(COULD_NOT_RUN);
            }
        }
    }

    pub fn start_all(&mut self, entries: u8) {
        (1..=3).for_each(|number| self.start("voter", number, true));
        (1..=entries).for_each(|number| self.start("entry", number, true));
    }

    /// Ends a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.children.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("killed {name}"));
        }
    }

    /// Returns the exit status of a process that has ended by itself.
    pub fn own_end(&mut self, name: &str) -> Option<String> {
        let child = self.children.get_mut(name)?;
        let status = child.try_wait().ok()??;
        self.children.remove(name);
        self.record
            .line(&format!("{name} ended by itself: {status}"));
        Some(status.to_string())
    }

    /// The last line that a process has written.
    pub fn last_log_line(&self, name: &str) -> String {
        let log = fs::read_to_string(self.directory.join(format!("{name}.log")));
        let log = log.unwrap_or_default();
        log.lines().last().unwrap_or_default().to_owned()
    }

    /// Submits a configuration to one voter after the other until it is acknowledged.
    pub fn submit(&self, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for number in 1..=3 {
                let answer = call(
                    self.control(number),
                    "PUT",
                    "/config",
                    body,
                    Duration::from_secs(1),
                );
                if answer.is_some_and(|answer| answer.status == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Reads the configuration at one voter after the other until one returns it.
    pub fn read_configuration(&self, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for number in 1..=3 {
                let answer = call(
                    self.control(number),
                    "GET",
                    "/config",
                    "",
                    Duration::from_secs(1),
                );
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                self.record
                    .line(&format!("GET /config at voter {number}: {status}"));
                if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                    return Some(String::from_utf8_lossy(&answer.body).into_owned());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until all entry hosts say that they are ready.
    pub fn wait_ready(&self, entries: u8, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        for number in 1..=entries {
            loop {
                let answer = call(
                    self.ready(number),
                    "GET",
                    "/readyz",
                    "",
                    Duration::from_secs(1),
                );
                if answer.is_some_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        match std::env::var("KEEP_LOGS").is_ok() {
            true => println!("logs in {}", self.directory.display()),
            false => _ = fs::remove_dir_all(&self.directory),
        }
    }
}

/// A request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// The words of the start line.
    pub start: Vec<String>,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A connection, with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self::new(stream))
    }

    fn fill(&mut self, until: Option<Instant>) -> Option<()> {
        let limit = match until {
            Some(until) => Some(until.checked_duration_since(Instant::now())?),
            None => None,
        };
        let limit = limit.map(|limit| limit.max(Duration::from_millis(1)));
        self.stream.set_read_timeout(limit).ok()?;
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Some(())
            }
        }
    }

    fn take_line(&mut self, until: Option<Instant>) -> Option<Vec<u8>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.buffer[..end].to_vec();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            self.fill(until)?;
        }
    }

    fn take(&mut self, count: usize, until: Option<Instant>) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill(until)?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn read_head(&mut self, until: Option<Instant>) -> Option<Message> {
        let mut message = Message::default();
        let start = String::from_utf8_lossy(&self.take_line(until)?).into_owned();
        message.start = start.split(' ').map(str::to_owned).collect();
        if start.starts_with("HTTP/") {
            message.status = message.start.get(1)?.parse().ok()?;
        }
        loop {
            let line = self.take_line(until)?;
            if line.is_empty() {
                return Some(message);
            }
            let line = String::from_utf8_lossy(&line).into_owned();
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a message with a length or in chunks. None if it isn't complete in time.
    pub fn read_message(&mut self, until: Option<Instant>) -> Option<Message> {
        let mut message = self.read_head(until)?;
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            message.body = self.take_chunks(until)?;
            return Some(message);
        }
        let length = message.header("content-length");
        let length = length.map_or(Some(0), |length| length.parse().ok())?;
        message.body = self.take(length, until)?;
        Some(message)
    }

    /// Reads a body with this length. Returns whether it is complete.
    pub fn read_exactly(&mut self, length: usize, until: Option<Instant>) -> bool {
        self.take(length, until).is_some()
    }

    /// Reads a body in chunks. Returns whether it is complete.
    pub fn read_chunks(&mut self, until: Option<Instant>) -> bool {
        self.take_chunks(until).is_some()
    }

    fn take_chunks(&mut self, until: Option<Instant>) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line(until)?;
            let size = usize::from_str_radix(&String::from_utf8_lossy(&line), 16).ok()?;
            let chunk = self.take(size + 2, until)?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut connection = Connection::open(address)?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    connection.write(request.as_bytes());
    connection.read_message(Some(Instant::now() + limit))
}

/// A response of a server or of the platform, with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let headers: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Serves connections at an address, each on a thread of its own.
pub fn serve<Handle>(address: SocketAddr, handle: Handle) -> SocketAddr
where
    Handle: Fn(Connection) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).expect("a free address");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}

/// Serves the platform's list.
pub fn serve_list(address: SocketAddr, entries: Shared<Vec<String>>) {
    serve(address, move |mut connection| {
        while connection.read_message(None).is_some() {
            let instances = entries.lock().unwrap().join(",");
            let body = format!("{{\"instances\":[{instances}],\"next\":null}}");
            let json = [("Content-Type", "application/json")];
            if !connection.write(&response("200 OK", &json, &body)) {
                return;
            }
        }
    });
}

/// A complete entry of the platform's list.
pub fn listed(id: &str, service: &str, address: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\
         \"id\":\"{id}\",\"born\":1700000000000}}"
    )
}

/// A counting semaphore with a bounded queue, as a server's slots are.
pub struct Slots {
    slots: usize,
    queue: usize,
    /// Requests that run, and those that wait.
    taken: Mutex<(usize, usize)>,
    freed: std::sync::Condvar,
}

impl Slots {
    pub fn new(slots: usize, queue: usize) -> Self {
        Self {
            slots,
            queue,
            taken: Mutex::new((0, 0)),
            freed: std::sync::Condvar::new(),
        }
    }

    /// Takes a slot, after a wait if need be. Returns false if the queue is full.
    pub fn take(&self) -> bool {
        let mut taken = self.taken.lock().unwrap();
        if taken.0 < self.slots {
            taken.0 += 1;
            return true;
        }
        if taken.1 >= self.queue {
            return false;
        }
        taken.1 += 1;
        while taken.0 >= self.slots {
            taken = self.freed.wait(taken).unwrap();
        }
        taken.1 -= 1;
        taken.0 += 1;
        true
    }

    pub fn release(&self) {
        self.taken.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// Where each attempt ran.
pub type Runs = Shared<HashMap<String, Vec<String>>>;

pub static COUNTER: AtomicU64 = AtomicU64::new(1);

/// A new attempt's ID.
pub fn attempt_id() -> String {
    let number = COUNTER.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn close(connection: &Connection) {
    let _ = connection.stream.shutdown(Shutdown::Both);
}

/// The folder of the case, the first argument.
pub fn case_folder() -> PathBuf {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    PathBuf::from(folder)
}
