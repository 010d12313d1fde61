//! A model server runs a request, and its answer is lost. The generation goes on at the server that has its copy,
//! while the server before still works on it.

#[path = "common.rs"]
mod common;
#[path = "engine.rs"]
mod engine;

use {
    common::*,
    engine::{Engine, unix_ms},
    std::{
        fs,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// `cloud.maxLagMs` of the settings.
const LIST_LAG: Duration = Duration::from_millis(800);
/// Time for which a crashed server stays on the list.
const LISTED: Duration = Duration::from_secs(3);
const STREAMS: u64 = 240;
/// Time between the begins of two streams.
const PAUSE: Duration = Duration::from_millis(120);
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(50);
/// Time for which the server before may still work on a request that goes on elsewhere.
const ALLOWED_MS: u64 = 400;

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/plan/","type":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":1,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":180}],"services":[{"name":"llm","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#.to_owned()
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
struct List(Arc<Mutex<Vec<(Instant, String)>>>);

impl List {
    fn set(&self, engines: &[Engine]) {
        let entries: Vec<String> =
            engines.iter().map(|engine| engine.entry("llm", "lakes-a")).collect();
        self.0.lock().unwrap().push((Instant::now(), entries.join(",")));
    }

    fn shown(&self) -> String {
        let all = self.0.lock().unwrap();
        let shown = all.iter().rev().find(|(at, _)| at.elapsed() >= LIST_LAG);
        shown.map_or(String::new(), |(_, entries)| entries.clone())
    }
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
    let scratch = Scratch::new("review-lost");
    let runs = scratch.0.join("runs");
    let engines: Vec<Engine> = (11..=14u8)
        .map(|number| Engine {
            address: (net.ip(number), net.front + 20).into(),
            id: format!("i-{number}"),
            version: "v1".to_owned(),
            born: unix_ms(),
            events: EVENTS,
            gap: GAP,
            runs: runs.clone(),
            deadly_part: String::new(),
            loses_answers: has_trouble() && number <= 12,
            copies: Arc::default(),
            active: Arc::default(),
            begun: Arc::default(),
        })
        .collect();
    let mut servers: Vec<Server> = engines.iter().map(Server::start).collect();
    let list = List::default();
    list.set(&engines);
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
    servers[3].kill();
    record.line("server i-14 crashes, without notice");
    sleep(LISTED);
    list.set(&engines[..3]);
    record.line("server i-14 leaves the list");
    sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, net) = (record.clone(), Arc::clone(&net));
            thread::spawn(move || {
                sleep(PAUSE * number as u32);
                let id = format!("aa{number:014x}");
                // One of twenty first parts, as on the site.
                stream(&record, net.front_of(4 + (number % 2) as u8), (&id, number / 3 % 20));
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    sleep(Duration::from_secs(2));
    let text = fs::read_to_string(&runs).unwrap_or_default();
    judge(record, &text)
}

/// Sends one request on a new connection and reads its stream.
fn stream(record: &Record, front: std::net::SocketAddr, (id, shared_part): (&str, u64)) {
    let body = "Plan the bends.";
    let text = format!(
        "POST /plan/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 300,400\r\n\
         Length-Hint: 160\r\nPrompt-Prefix: 5c1e{:04x}:100,{id}:200\r\nDeadline-Ms: 39000\r\nAuthorization: Token k1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        shared_part,
        body.len()
    );
    match call(front, text.as_bytes(), Duration::from_secs(20)) {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body).matches("\nid: ").count() + 1;
            record.line(format!("{id}: {} with about {events} events, whole: {}", answer.status, answer.is_whole));
        }
        Err(error) => record.line(format!("{id}: {error}")),
    }
}

/// Looks for requests that went on at another server while the one before still worked on them.
fn judge(record: &Record, runs: &str) -> i32 {
    let lines: Vec<Vec<&str>> = runs.lines().map(|line| line.split(' ').collect()).collect();
    let begun = lines.iter().filter(|line| line.get(4) == Some(&"runs")).count();
    let mut both = 0;
    for line in lines.iter().filter(|line| line.get(4) == Some(&"runs")) {
        let (Ok(at), server, id) = (line[0].parse::<u64>(), line[2], line[5]) else {
            continue;
        };
        let is_copy = line.last().is_some_and(|last| *last != "None");
        let still = lines.iter().filter(|other| {
            other.get(4) == Some(&"works") && other[2] != server && other[6].trim_end_matches(',') == id
        });
        let last = still.filter_map(|other| other[0].parse::<u64>().ok()).max();
        if let Some(last) = last.filter(|last| is_copy && *last > at + ALLOWED_MS) {
            both += 1;
            record.line(format!(
                "{id} goes on at {server}; the server before works on it until {} ms later",
                last - at
            ));
        }
    }
    let lost: Vec<&str> =
        lines.iter().filter(|line| line.get(4) == Some(&"loses")).map(|line| line[8]).collect();
    record.line(format!("the answers of {} requests were lost", lost.len()));
    for line in runs.lines() {
        record.line(format!("servers: {line}"));
    }
    record.line(format!("{begun} runs; {both} requests ran on at two servers"));
    match (begun, both) {
        (0, _) => NOT_RUN,
        (_, 0) => {
            record.line("HELD");
            HELD
        }
        _ => {
            record.line("BROKEN: requests go on at another server while the server before still works on them");
            BROKEN
        }
    }
}
