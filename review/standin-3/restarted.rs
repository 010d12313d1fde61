//! A model server starts again under its id with another software version, serves for a short time and crashes.
//! The streams that it began go on at a server of the version before.

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
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// `cloud.maxLagMs` of the settings.
const LIST_LAG: Duration = Duration::from_millis(800);
/// More streams than this may not hold events of two versions.
const ALLOWED: usize = 2;
const EVENTS: u64 = 12;
/// Within the pause that the route declares.
const GAP: Duration = Duration::from_millis(160);
/// Time that the restarted server serves before it crashes.
const SERVED: Duration = Duration::from_millis(1900);

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/check/","type":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":180}],"services":[{"name":"llm","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#.to_owned()
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

    fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The platform's list. What changes shows after [`LIST_LAG`].
#[derive(Clone, Default)]
struct List(Arc<Mutex<Vec<(Instant, Vec<String>)>>>);

impl List {
    fn set(&self, engines: &[&Engine]) {
        let entries = engines.iter().map(|engine| engine.entry("llm", "lakes-a")).collect();
        self.0.lock().unwrap().push((Instant::now(), entries));
    }

    fn shown(&self) -> String {
        let all = self.0.lock().unwrap();
        let shown = all.iter().rev().find(|(at, _)| at.elapsed() >= LIST_LAG);
        shown.map_or(String::new(), |(_, entries)| entries.join(","))
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments[0] == "engine" {
        Engine::from_arguments(&arguments[1..]).serve();
    }
    let folder = PathBuf::from(&arguments[0]);
    let record = Record::create(&folder.join("record.txt")).expect("a record");
    std::process::exit(run(&record, &folder));
}

fn run(record: &Record, _folder: &Path) -> i32 {
    let Some(net) = Net::find(14) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let scratch = Scratch::new("review-restarted");
    let runs = scratch.0.join("runs");
    let engine = |number: u8, version: &str| Engine {
        address: (net.ip(number), net.front + 20).into(),
        id: format!("i-{number}"),
        version: version.to_owned(),
        born: unix_ms(),
        events: EVENTS,
        gap: GAP,
        runs: runs.clone(),
        deadly_part: String::new(),
        loses_answers: false,
        copies: Arc::default(),
        active: Arc::default(),
        begun: Arc::default(),
    };
    let (first, second) = (engine(11, "v1"), engine(12, "v1"));
    let mut restarted = Server::start(&first);
    let _other = Server::start(&second);
    let list = List::default();
    list.set(&[&first, &second]);
    let shown = list.clone();
    let cloud = serve_list(move || shown.shown());
    let settings = Settings { net: &net, seeds: &[1, 2, 3], cloud, zone };
    let mut machines: Vec<Machine> = (1..=3)
        .map(|host| Machine::new(&scratch.0, "voter", host))
        .chain((4..=5).map(|host| Machine::new(&scratch.0, "entry", host)))
        .collect();
    for machine in &mut machines {
        let text = settings.of(machine, true);
        machine.start(&text);
    }
    if put_until(record, &net, &[1, 2, 3], &configuration(), Duration::from_secs(15)).is_none() {
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let clients: Vec<_> = (0..20u64)
        .map(|client| {
            let (record, stop, counts) = (record.clone(), Arc::clone(&stop), Arc::clone(&counts));
            let front = net.front_of(4 + (client % 2) as u8);
            thread::spawn(move || {
                sleep(Duration::from_millis(client * 50));
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{client:08x}{number:08x}");
                    counts.count(&record, &id, request(front, &id));
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(4));
    if has_trouble() {
        restarted.kill();
        record.line("server i-11 ends");
        sleep(Duration::from_millis(200));
        let updated = Engine { version: "v2".to_owned(), born: unix_ms(), ..first.clone() };
        restarted = Server::start(&updated);
        list.set(&[&updated, &second]);
        record.line("server i-11 starts again, with version v2; the list shows it 0.8 s later");
        sleep(SERVED);
        restarted.kill();
        record.line("server i-11 crashes; it stays on the list");
    }
    sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let text = fs::read_to_string(&runs).unwrap_or_default();
    let mixed = counts.mixed.lock().unwrap().clone();
    for line in text.lines() {
        record.line(format!("servers: {line}"));
    }
    for machine in &machines[3..] {
        let text = machine.log_text();
        for line in text.lines().filter(|line| mixed.iter().take(3).any(|id| line.contains(id.as_str()))) {
            record.line(format!("log of {}: {line}", machine.name));
        }
    }
    let whole = counts.whole.load(Ordering::Relaxed);
    record.line(format!(
        "{whole} streams whole, {} cut or refused, {} with events of two versions",
        counts.other.load(Ordering::Relaxed),
        mixed.len()
    ));
    match (whole, mixed.len()) {
        (0, _) => NOT_RUN,
        (_, found) if found > ALLOWED => {
            record.line("BROKEN: more than two streams hold events of two versions");
            BROKEN
        }
        _ => {
            record.line("HELD");
            HELD
        }
    }
}

#[derive(Default)]
struct Counts {
    whole: AtomicU64,
    other: AtomicU64,
    mixed: Mutex<Vec<String>>,
}

impl Counts {
    fn count(&self, record: &Record, id: &str, answer: Result<Answer, String>) {
        let Ok(answer) = answer else {
            record.line(format!("{id}: {}", answer.unwrap_err()));
            self.other.fetch_add(1, Ordering::Relaxed);
            sleep(Duration::from_millis(200));
            return;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let versions: Vec<&str> = data.filter_map(|data| data.split(' ').next()).collect();
        let distinct: BTreeSet<&str> = versions.iter().copied().collect();
        let is_whole = answer.status == 200 && answer.is_whole;
        if distinct.len() > 1 {
            let state = if is_whole { "whole" } else { "cut" };
            record.line(format!("{id}: {} {state}, versions of its events: {}", answer.status, versions.join(" ")));
            self.mixed.lock().unwrap().push(id.to_owned());
        }
        match is_whole {
            true => {
                record.line(format!("{id}: {} with {} events, whole", answer.status, versions.len()));
                self.whole.fetch_add(1, Ordering::Relaxed)
            }
            false => {
                record.line(format!("{id}: {} with {} events, cut or refused", answer.status, versions.len()));
                sleep(Duration::from_millis(200));
                self.other.fetch_add(1, Ordering::Relaxed)
            }
        };
    }
}

/// Sends one request on a new connection and reads its stream.
fn request(front: std::net::SocketAddr, id: &str) -> Result<Answer, String> {
    let body = "Does the die fit?";
    let text = format!(
        "POST /check/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 1460,48\r\n\
         Prompt-Prefix: 5c1e07a2:300,{}:200\r\nDeadline-Ms: 6000\r\nAuthorization: Token k1\r\nContent-Length: {}\r\n\r\n{body}",
        &id[..],
        body.len()
    );
    call(front, text.as_bytes(), Duration::from_millis(6500))
}
