//! What the scripts of this review share: addresses, processes, plain HTTP, and the record of a run.
#![allow(dead_code)]

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Port at which every process serves its metrics, as in `deploy/system.toml`.
const METRICS_PORT: u16 = 9464;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run, with the time since its start before each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path)?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// The machines of one run: addresses in a block of the loopback network and ports that are free on all of them.
pub struct Net {
    block: (u8, u8),
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub peer: u16,
}

impl Net {
    /// Looks for a block and ports that nothing uses.
    pub fn find(hosts: u8) -> Option<Self> {
        let seed = std::process::id();
        for attempt in 0..50u32 {
            let number = seed.wrapping_mul(7919).wrapping_add(attempt * 104_729);
            let block = (1 + (number % 250) as u8, ((number / 250) % 250) as u8);
            let base = 20_000 + (number % 8_000) as u16;
            let net = Self { block, control: base, front: base + 1, ready: base + 2, peer: base + 10 };
            let ports = [net.control, net.front, net.ready, net.peer, METRICS_PORT];
            let is_free = |host| {
                ports.iter().all(|port| TcpListener::bind((net.ip(host), *port)).is_ok())
            };
            if (1..=hosts).all(is_free) {
                return Some(net);
            }
        }
        None
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, host)
    }

    pub fn control_of(&self, host: u8) -> SocketAddr {
        (self.ip(host), self.control).into()
    }

    pub fn front_of(&self, host: u8) -> SocketAddr {
        (self.ip(host), self.front).into()
    }

    pub fn ready_of(&self, host: u8) -> SocketAddr {
        (self.ip(host), self.ready).into()
    }
}

/// A machine with one process of the system. Dropping it kills the process.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub host: u8,
    pub dir: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn new(root: &Path, role: &'static str, host: u8) -> Self {
        let name = format!("{role}-{host}");
        let dir = root.join(&name);
        fs::create_dir_all(dir.join("data")).expect("a folder for a machine");
        Self { name, role, host, dir, child: None }
    }

    /// Starts the process with the command of the deploy file and a settings file.
    pub fn start(&mut self, settings: &str) {
        let path = self.dir.join("settings");
        fs::write(&path, settings).expect("a settings file");
        let log = OpenOptions::new().create(true).append(true).open(self.log()).expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new("target/release/sardinerelay-platform")
            .arg(self.role)
            .env("SARDINERELAY_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file; build it first"));
    }

    pub fn log(&self) -> PathBuf {
        self.dir.join("log")
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(self.log()).unwrap_or_default()
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let sent = Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
            sent.expect("a shell");
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended. Returns false if it hasn't within the limit.
    pub fn wait_for_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            match &mut self.child {
                None => return true,
                Some(child) => {
                    if matches!(child.try_wait(), Ok(Some(_))) {
                        self.child = None;
                        return true;
                    }
                }
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        match &mut self.child {
            None => false,
            Some(child) => matches!(child.try_wait(), Ok(None)),
        }
    }

    /// Empties the machine's disk.
    pub fn wipe(&self) {
        let data = self.dir.join("data");
        fs::remove_dir_all(&data).expect("the disk can be emptied");
        fs::create_dir_all(&data).expect("an empty disk");
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What the settings of a process depend on.
pub struct Settings<'a> {
    pub net: &'a Net,
    pub seeds: &'a [u8],
    pub cloud: SocketAddr,
    /// Zones of the machines, by their number.
    pub zone: fn(u8) -> &'static str,
}

impl Settings<'_> {
    /// The settings of a machine, with the bounds of a small deployment.
    pub fn of(&self, machine: &Machine, is_first_start: bool) -> String {
        let (net, host) = (self.net, machine.host);
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| net.control_of(*seed).to_string()).collect();
        let (class, serves) = match machine.role {
            "voter" => ("core", "control_plane"),
            _ => ("edge", "edge"),
        };
        let listen = match machine.role {
            "voter" => format!("listen.control={}\n", net.control_of(host)),
            _ => format!(
                "listen.front={}\nlisten.ready={}\n",
                net.front_of(host),
                net.ready_of(host)
            ),
        };
        let data = machine.dir.join("data");
        format!(
            "nodeName={name}\nrole={role}\nmachineClass={class}\nserves={serves}\nip={ip}\nzone={zone}\nregion=lakes\n\
             zones.lakes-a=lakes\nzones.lakes-b=lakes\nzones.lakes-c=lakes\n{listen}internalPorts={peer},{last}\n\
             seeds={seeds}\nbootstrap={is_first_start}\nfaultCounted={counted}\nlimits.cpuShare=0.3\nlimits.cores=1\n\
             limits.memoryMb=256\nlimits.maxFds=4096\nlimits.linkMbps=1000.0\nlimits.diskMb=128\ndataDir={data}\n\
             discovery=cloud_api\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants\nfaultTolerance.machines=1\n\
             faultTolerance.zones=1\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n\
             bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\n\
             bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\n\
             bounds.maxStretchMs=5000\nbounds.strictRevoke=false\nbounds.revokeMs=5000\nbounds.retryRatio=0.2\n\
             bounds.retryWindowS=10\nbounds.retrySlack=58\nbounds.recoverS=12\nbounds.passMs=120\n\
             bounds.reuseWindowS=4\nconfigMode=highest\ncloud.address={cloud}\ncloud.ratePerS=47.0\ncloud.duties=\n\
             cloud.maxLagMs=800\n",
            name = machine.name,
            role = machine.role,
            ip = net.ip(host),
            zone = (self.zone)(host),
            peer = net.peer,
            last = net.peer + 15,
            seeds = seeds.join(","),
            counted = machine.role == "voter",
            data = data.display(),
            cloud = self.cloud,
        )
    }
}

/// An answer to a request.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body arrived as a whole.
    pub is_whole: bool,
}

/// Sends a request on a new connection and reads the answer. Returns the reason if none came.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> Result<Answer, String> {
    let mut stream =
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|e| e.to_string())?;
    stream.write_all(request).map_err(|e| e.to_string())?;
    read_answer(&mut stream, limit)
}

/// Reads an answer with a length, with chunks, or up to the end of the connection.
pub fn read_answer(stream: &mut TcpStream, limit: Duration) -> Result<Answer, String> {
    let until = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(answer) = parse_answer(&bytes, false) {
            return Ok(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("no whole answer in time, {} bytes", bytes.len()));
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => {
                let ended = parse_answer(&bytes, true);
                return ended.ok_or_else(|| format!("closed after {} bytes", bytes.len()));
            }
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) => return Err(format!("{error} after {} bytes", bytes.len())),
        }
    }
}

fn parse_answer(bytes: &[u8], has_ended: bool) -> Option<Answer> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = &bytes[end + 4..];
    let answer = |body: Vec<u8>, is_whole| Some(Answer { status, head: head.clone(), body, is_whole });
    if let Some(length) = header(&head, "content-length") {
        let length: usize = length.parse().ok()?;
        if body.len() >= length {
            return answer(body[..length].to_vec(), true);
        }
        return if has_ended { answer(body.to_vec(), false) } else { None };
    }
    if header(&head, "transfer-encoding").is_some() {
        let (whole, is_whole) = dechunk(body);
        if is_whole || has_ended {
            return answer(whole, is_whole);
        }
        return None;
    }
    if has_ended { answer(body.to_vec(), true) } else { None }
}

/// Joins the chunks of a body. Also says whether the last chunk has come.
pub fn dechunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut whole = Vec::new();
    loop {
        let Some(line) = find(rest, b"\r\n") else { return (whole, false) };
        let size = String::from_utf8_lossy(&rest[..line]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return (whole, false) };
        if size == 0 {
            return (whole, rest.len() >= line + 4);
        }
        let start = line + 2;
        if rest.len() < start + size + 2 {
            whole.extend_from_slice(&rest[start.min(rest.len())..rest.len().min(start + size)]);
            return (whole, false);
        }
        whole.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// A call of the operator.
pub fn operator_request(method: &str, path: &str, to: SocketAddr, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a configuration, to one machine after the other, until it is acknowledged. Returns the machine.
pub fn put_until(
    record: &Record,
    net: &Net,
    hosts: &[u8],
    body: &str,
    limit: Duration,
) -> Option<u8> {
    operate_until(record, net, hosts, ("PUT", "/config", body), limit).map(|(host, _)| host)
}

/// Makes a call of the operator, to one machine after the other, until one answers 200.
pub fn operate_until(
    record: &Record,
    net: &Net,
    hosts: &[u8],
    (method, path, body): (&str, &str, &str),
    limit: Duration,
) -> Option<(u8, Vec<u8>)> {
    let until = Instant::now() + limit;
    let mut last = String::new();
    let mut tries = 0;
    while Instant::now() < until {
        for host in hosts {
            let to = net.control_of(*host);
            let answer = call(to, &operator_request(method, path, to, body), Duration::from_secs(2));
            tries += 1;
            let seen = match &answer {
                Ok(answer) => format!("{}", answer.status),
                Err(error) => error.clone(),
            };
            if let Ok(answer) = answer
                && answer.status == 200
            {
                record.line(format!("{method} {path} at machine {host}: 200 (try {tries})"));
                return Some((*host, answer.body));
            }
            let seen = format!("{method} {path} at machine {host}: {seen}");
            if tries <= 4 || (seen != last && tries <= 40) {
                record.line(&seen);
            }
            last = seen;
            sleep(Duration::from_millis(150));
        }
    }
    record.line(format!("{method} {path}: no 200 in {limit:?}, {tries} tries"));
    None
}

/// A platform whose list has what `entries` returns: the inside of the JSON list.
pub fn serve_list(entries: impl Fn() -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let entries = Arc::new(entries);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let entries = Arc::clone(&entries);
            std::thread::spawn(move || {
                let mut stream = stream;
                while read_request(&mut stream).is_some() {
                    let body = format!("{{\"instances\":[{}],\"next\":null}}", entries());
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A request as a stand-in reads it.
pub struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }

    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.head.split(' ').next().unwrap_or_default()
    }
}

/// Reads a request with a length or without a body. Returns none at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            break end;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length: usize = header(&head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = bytes[end + 4..].to_vec();
    while body.len() < length {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => body.extend_from_slice(&buffer[..read]),
        }
    }
    body.truncate(length);
    Some(Request { head, body })
}

/// A folder of the run that is removed at its end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
