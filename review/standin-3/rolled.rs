//! The machines of the system are stopped and started in turn: the voters one after the other, then an entry host.
//! Streams that the entry host cuts at the end of its grace period are taken up at another one.

#[path = "common.rs"]
mod common;
#[path = "engine.rs"]
mod engine;

use {
    common::*,
    engine::{Engine, unix_ms},
    std::{
        collections::BTreeSet,
        fs,
        io::Write as _,
        net::{SocketAddr, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// Number of long streams, and of new ones that are begun while those are taken up.
const STREAMS: u64 = 24;
const NEW_STREAMS: u64 = 20;
/// Fewer streams that are taken up don't count.
const MIN_TAKEN_UP: usize = 12;
/// The largest bend-plan of the site has 549 events. It takes 36 s here, of the 39 s that its client waits.
const EVENTS: u64 = 549;
const GAP: Duration = Duration::from_millis(66);
const DEADLINE: Duration = Duration::from_millis(39_000);
/// `graceS` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time after the start of a voter until the next machine is stopped: more than `catchUpS` (4 s) and `contactMs` (3 s).
const ROLL_GAP: Duration = Duration::from_millis(4200);
/// The entry host that is stopped, and the other one.
const STOPPED: u8 = 4;
const OTHER: u8 = 5;

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/plan/","type":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":180}],"services":[{"name":"llm","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#.to_owned()
}

fn zone(host: u8) -> &'static str {
    ["lakes-a", "lakes-b", "lakes-c"][usize::from((host - 1) % 3)]
}

/// A server's process, which is killed at the end.
struct Server(Child);

impl Server {
    fn start(engine: &Engine) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command.args(engine.arguments()).stdin(Stdio::null()).stdout(Stdio::null());
        Self(command.spawn().expect("a server"))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// What became of the requests.
#[derive(Default)]
struct Seen {
    whole_at_once: usize,
    taken_up: usize,
    went_on: usize,
    new: usize,
    new_begun: usize,
    mixed: usize,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        Engine::from_arguments(&arguments[1..]).serve();
    }
    let folder = PathBuf::from(&arguments[0]);
    let record = Record::create(&folder.join("record.txt")).expect("a record");
    std::process::exit(run(&record));
}

fn run(record: &Record) -> i32 {
    let Some(net) = Net::find(16) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let net = Arc::new(net);
    let scratch = Scratch::new("review-rolled");
    let runs = scratch.0.join("runs");
    let engines: Vec<Engine> = (11..=14u8)
        .map(|number| Engine {
            address: (net.ip(number), net.front + 20).into(),
            id: format!("i-{number}"),
            version: if number <= 12 { "v1" } else { "v2" }.to_owned(),
            born: unix_ms(),
            events: EVENTS,
            gap: GAP,
            runs: runs.clone(),
            deadly_part: String::new(),
            loses_answers: false,
            copies: Arc::default(),
            active: Arc::default(),
            begun: Arc::default(),
        })
        .collect();
    let _servers: Vec<Server> = engines.iter().map(Server::start).collect();
    let entries: Vec<String> = engines.iter().map(|engine| engine.entry("llm", "lakes-a")).collect();
    let entries = entries.join(",");
    let cloud = serve_list(move || entries.clone());
    let settings = Settings { net: &net, seeds: &[1, 2, 3], cloud, zone };
    let mut machines: Vec<Machine> = (1..=3)
        .map(|host| Machine::new(&scratch.0, "voter", host))
        .chain([STOPPED, OTHER].map(|host| Machine::new(&scratch.0, "entry", host)))
        .collect();
    for machine in &mut machines {
        let text = settings.of(machine, true);
        machine.start(&text);
    }
    record.line("four servers serve, i-11 and i-12 with version v1, i-13 and i-14 with v2");
    if put_until(record, &net, &[1, 2, 3], &configuration(), Duration::from_secs(15)).is_none() {
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, net, seen) = (record.clone(), Arc::clone(&net), Arc::clone(&seen));
            thread::spawn(move || {
                sleep(Duration::from_millis(number * 40));
                long_stream(&record, &net, number, &seen);
            })
        })
        .collect();
    sleep(Duration::from_millis(2000));
    record.line(format!("{STREAMS} streams have begun at machine {STOPPED}"));
    if has_trouble() {
        for machine in &mut machines[..3] {
            machine.signal("TERM");
            let has_ended = machine.wait_for_end(GRACE);
            sleep(Duration::from_millis(200));
            let text = settings.of(machine, false);
            machine.start(&text);
            record.line(format!("{} was stopped (by itself: {has_ended}) and started again", machine.name));
            sleep(ROLL_GAP);
        }
    } else {
        sleep(3 * ROLL_GAP);
    }
    let stopped = &mut machines[usize::from(STOPPED) - 1];
    stopped.signal("TERM");
    record.line(format!("machine {STOPPED} gets SIGTERM"));
    let has_ended = stopped.wait_for_end(GRACE + Duration::from_secs(1));
    record.line(format!("machine {STOPPED} has ended: {has_ended}"));
    let new: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, net, seen) = (record.clone(), Arc::clone(&net), Arc::clone(&seen));
            thread::spawn(move || {
                sleep(Duration::from_millis(number * 100));
                new_stream(&record, &net, number, &seen);
            })
        })
        .collect();
    for client in clients.into_iter().chain(new) {
        let _ = client.join();
    }
    for line in machines[usize::from(OTHER) - 1].log_text().lines() {
        if line.contains("taken up") {
            record.line(format!("log of machine {OTHER}: {line}"));
        }
    }
    for line in fs::read_to_string(&runs).unwrap_or_default().lines() {
        record.line(format!("servers: {line}"));
    }
    judge(record, &seen.lock().unwrap())
}

fn judge(record: &Record, seen: &Seen) -> i32 {
    record.line(format!(
        "{} streams were whole without being taken up; {} were taken up, {} of them went on; {} of {} new streams began; {} mixed",
        seen.whole_at_once, seen.taken_up, seen.went_on, seen.new_begun, seen.new, seen.mixed
    ));
    if seen.taken_up < MIN_TAKEN_UP || seen.new == 0 {
        record.line("too few streams were taken up");
        return NOT_RUN;
    }
    let went_on = seen.went_on as f64 / seen.taken_up as f64;
    let began = seen.new_begun as f64 / seen.new as f64;
    match went_on < began / 2.0 {
        true => {
            record.line("BROKEN: under half as many streams go on as new ones begin");
            BROKEN
        }
        false => {
            record.line("HELD");
            HELD
        }
    }
}

/// Events of a stream, as a client has them.
struct Events {
    last: Option<u64>,
    versions: BTreeSet<String>,
    is_whole: bool,
    status: u16,
}

fn long_stream(record: &Record, net: &Net, number: u64, seen: &Mutex<Seen>) {
    let since = Instant::now();
    let first_id = format!("aa{number:014x}");
    let first = request(net.front_of(STOPPED), &first_id, None, DEADLINE);
    if first.is_whole {
        record.line(format!("{first_id}: {} and whole at once", first.status));
        seen.lock().unwrap().whole_at_once += 1;
        return;
    }
    let Some(last) = first.last else {
        record.line(format!("{first_id}: {} without an event", first.status));
        return;
    };
    // A new connection, which the platform's balancer opens to another machine.
    let left = DEADLINE.saturating_sub(since.elapsed());
    let second_id = format!("bb{number:014x}");
    let second = request(net.front_of(OTHER), &second_id, Some((last, &first_id)), left);
    let goes_on = second.status == 200 && second.last.is_some_and(|found| found > last);
    record.line(format!(
        "{first_id}: cut after event {last} ({:?}); taken up as {second_id}: {}, goes on: {goes_on}, whole: {}",
        first.versions, second.status, second.is_whole
    ));
    let mut seen = seen.lock().unwrap();
    seen.taken_up += 1;
    seen.went_on += usize::from(goes_on);
    let both: BTreeSet<&String> = first.versions.union(&second.versions).collect();
    seen.mixed += usize::from(both.len() > 1);
}

fn new_stream(record: &Record, net: &Net, number: u64, seen: &Mutex<Seen>) {
    let id = format!("cc{number:014x}");
    let began = request(net.front_of(OTHER), &id, None, Duration::from_secs(3));
    record.line(format!("new stream {id}: {}, began: {}", began.status, began.last.is_some()));
    let mut seen = seen.lock().unwrap();
    seen.new += 1;
    seen.new_begun += usize::from(began.last.is_some());
}

/// Sends a request on a new connection and reads its stream up to its end or for `limit`.
fn request(front: SocketAddr, id: &str, resumes: Option<(u64, &str)>, limit: Duration) -> Events {
    let body = "Plan the bends.";
    let resumes = resumes.map_or(String::new(), |(last, stream)| {
        format!("Last-Event-Id: {last}\r\nResumes: {stream}\r\n")
    });
    let text = format!(
        "POST /plan/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 300,2000\r\n\
         Prompt-Prefix: 5c1e07a2:100,{id}:200\r\nDeadline-Ms: {}\r\n{resumes}Authorization: Token k1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    let mut events = Events { last: None, versions: BTreeSet::new(), is_whole: false, status: 0 };
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return events;
    };
    if stream.write_all(text.as_bytes()).is_err() {
        return events;
    }
    let (bytes, _) = read_all(&mut stream, limit);
    let Some(end) = find(&bytes, b"\r\n\r\n") else {
        return events;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    events.status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    if events.status != 200 {
        return events;
    }
    let (body, is_whole) = dechunk(&bytes[end + 4..]);
    let text = String::from_utf8_lossy(&body).into_owned();
    // The part behind the last empty line is an event that was cut.
    let complete = text.rfind("\n\n").map_or("", |end| &text[..end]);
    for line in complete.lines() {
        if let Some(number) = line.strip_prefix("id: ") {
            events.last = number.trim().parse().ok().or(events.last);
        } else if let Some(data) = line.strip_prefix("data: ") {
            events.versions.extend(data.split(' ').next().map(str::to_owned));
        }
    }
    events.is_whole = is_whole;
    events
}

/// Reads until the peer closes, the last chunk has come or the time is over.
fn read_all(stream: &mut TcpStream, limit: Duration) -> (Vec<u8>, bool) {
    use std::io::Read as _;
    let until = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (bytes, false);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return (bytes, true),
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
        let is_short = find(&bytes, b"\r\n\r\n").is_some_and(|end| {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = header(&head, "content-length").and_then(|n| n.parse::<usize>().ok());
            length.is_some_and(|length| bytes.len() >= end + 4 + length)
        });
        if is_short || bytes.ends_with(b"\r\n0\r\n\r\n") {
            return (bytes, true);
        }
    }
}
