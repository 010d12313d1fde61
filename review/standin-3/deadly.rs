//! A part of prompts crashes each server that begins to write an answer on it, just after its first event. Sound
//! requests of the same route share the caller and the other parts.

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
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

/// Servers of the site's model service.
const SERVERS: u8 = 9;
const SOUND_CLIENTS: u64 = 12;
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(500);
/// Time between two requests with the deadly part: about one in ten of all.
const DEADLY_PAUSE: Duration = Duration::from_millis(400);
const DEADLY_PART: &str = "dead0001";
/// Time after which a crashed server is back.
const DOWN: Duration = Duration::from_secs(3);
/// `cloud.maxLagMs` and `contactMs` of the settings.
const LIST_LAG: Duration = Duration::from_millis(800);
const CONTACT: Duration = Duration::from_secs(3);
const BASELINE: Duration = Duration::from_secs(10);
const DEADLY_TIME: Duration = Duration::from_secs(40);
/// The rule looks at this many requests or more.
const MIN_REQUESTS: usize = 20;

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"h.example","pathPrefix":"/check/","type":"streaming","timeoutMs":6000,"targetLatencyMs":1500,"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":180}],"services":[{"name":"llm","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["k1"]}]}"#.to_owned()
}

fn zone(host: u8) -> &'static str {
    ["lakes-a", "lakes-b", "lakes-c"][usize::from((host - 1) % 3)]
}

/// A server with the supervisor that starts it again after a crash, as a new incarnation.
struct Server {
    engine: Engine,
    child: Child,
    /// When it crashed; none while it runs.
    crashed: Option<Instant>,
    starts: u32,
}

fn spawn(engine: &Engine) -> Child {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.args(engine.arguments()).stdin(Stdio::null()).stdout(Stdio::null());
    command.spawn().expect("a server")
}

/// All servers, and the platform's list of them. What changes shows after [`LIST_LAG`].
#[derive(Default)]
struct Platform {
    servers: Mutex<Vec<Server>>,
    lists: Mutex<Vec<(Instant, String)>>,
    crashes: Mutex<Vec<Instant>>,
}

impl Platform {
    fn publish(&self, servers: &[Server]) {
        let entries: Vec<String> =
            servers.iter().map(|server| server.engine.entry("llm", "lakes-a")).collect();
        self.lists.lock().unwrap().push((Instant::now(), entries.join(",")));
    }

    fn shown(&self) -> String {
        let lists = self.lists.lock().unwrap();
        let shown = lists.iter().rev().find(|(at, _)| at.elapsed() >= LIST_LAG);
        shown.map_or(String::new(), |(_, entries)| entries.clone())
    }

    /// Starts crashed servers again.
    fn supervise(&self, record: &Record) {
        let mut servers = self.servers.lock().unwrap();
        let mut has_changed = false;
        for server in servers.iter_mut() {
            match server.crashed {
                None if matches!(server.child.try_wait(), Ok(Some(_))) => {
                    server.crashed = Some(Instant::now());
                    self.crashes.lock().unwrap().push(Instant::now());
                    record.line(format!("server {} crashes", server.engine.id));
                }
                Some(at) if at.elapsed() >= DOWN => {
                    server.starts += 1;
                    let number = server.engine.address.ip();
                    server.engine.id = format!("i-{number}-{}", server.starts);
                    server.engine.born = unix_ms();
                    server.child = spawn(&server.engine);
                    server.crashed = None;
                    has_changed = true;
                }
                _ => {}
            }
        }
        if has_changed {
            self.publish(&servers);
        }
    }
}

/// Kills all servers when it is dropped. The platform itself lives on in the thread that serves its list.
struct Guard(Arc<Platform>);

impl Drop for Guard {
    fn drop(&mut self) {
        for server in self.0.servers.lock().unwrap().iter_mut() {
            let _ = server.child.kill();
            let _ = server.child.wait();
        }
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
    let Some(net) = Net::find(30) else {
        record.line("no free addresses");
        return NOT_RUN;
    };
    let net = Arc::new(net);
    let scratch = Scratch::new("review-deadly");
    let runs = scratch.0.join("runs");
    let platform = Arc::new(Platform::default());
    let _guard = Guard(Arc::clone(&platform));
    {
        let mut servers = platform.servers.lock().unwrap();
        for number in 20..20 + SERVERS {
            let engine = Engine {
                address: (net.ip(number), net.front + 20).into(),
                id: format!("i-{}-0", net.ip(number)),
                version: "v1".to_owned(),
                born: unix_ms(),
                events: 4,
                gap: Duration::from_millis(60),
                runs: runs.clone(),
                deadly_part: DEADLY_PART.to_owned(),
                loses_answers: false,
                copies: Arc::default(),
                active: Arc::default(),
                begun: Arc::default(),
            };
            let child = spawn(&engine);
            servers.push(Server { engine, child, crashed: None, starts: 0 });
        }
        platform.publish(&servers);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let shared = (Arc::clone(&platform), Arc::clone(&stop), record.clone());
    let supervisor = thread::spawn(move || {
        while !shared.1.load(Ordering::Relaxed) {
            shared.0.supervise(&shared.2);
            sleep(Duration::from_millis(20));
        }
    });
    let shown = Arc::clone(&platform);
    let cloud = serve_list(move || shown.shown());
    let settings = Settings { net: &net, seeds: &[1, 2, 3], cloud, zone };
    let mut machines: Vec<Machine> = (1..=3)
        .map(|host| Machine::new(&scratch.0, "voter", host))
        .chain((4..=6).map(|host| Machine::new(&scratch.0, "entry", host)))
        .collect();
    for machine in &mut machines {
        let text = settings.of(machine, true);
        machine.start(&text);
    }
    if put_until(record, &net, &[1, 2, 3], &configuration(), Duration::from_secs(15)).is_none() {
        stop.store(true, Ordering::Relaxed);
        let _ = supervisor.join();
        return NOT_RUN;
    }
    sleep(Duration::from_secs(5));
    let sound: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let clients: Vec<_> = (0..SOUND_CLIENTS)
        .map(|client| {
            let (net, stop, sound) = (Arc::clone(&net), Arc::clone(&stop), Arc::clone(&sound));
            let record = record.clone();
            thread::spawn(move || {
                sleep(Duration::from_millis(client * 40));
                let mut number = 0u64;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let at = Instant::now();
                    let front = net.front_of(4 + (client % 3) as u8);
                    let own = format!("{client:04x}{number:04x}");
                    let id = format!("aa{client:06x}{number:08x}");
                    let begins = request(&record, front, (&id, &own), false);
                    sound.lock().unwrap().push((at, begins));
                    sleep(PAUSE.saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();
    sleep(BASELINE);
    let deadly_since = Instant::now();
    let mut deadly = Vec::new();
    let mut number = 0u64;
    while deadly_since.elapsed() < DEADLY_TIME {
        number += 1;
        if has_trouble() {
            let front = net.front_of(4 + (number % 3) as u8);
            let (id, own) = (format!("dd{number:014x}"), format!("{number:08x}"));
            let record = record.clone();
            deadly.push(thread::spawn(move || request(&record, front, (&id, &own), true)));
        }
        sleep(DEADLY_PAUSE);
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = supervisor.join();
    for client in deadly {
        let _ = client.join();
    }
    let text = fs::read_to_string(&runs).unwrap_or_default();
    for line in text.lines() {
        record.line(format!("servers: {line}"));
    }
    let reached = text.lines().filter(|line| line.contains(" runs dd")).count();
    record.line(format!("{number} requests with the deadly part were sent; servers ran them {reached} times"));
    for machine in &machines[..3] {
        for line in machine.log_text().lines().filter(|line| line.contains("crash")).take(12) {
            record.line(format!("log of {}: {line}", machine.name));
        }
    }
    let crashes = platform.crashes.lock().unwrap().clone();
    judge(record, &sound.lock().unwrap(), (deadly_since, &crashes))
}

fn judge(record: &Record, sound: &[(Instant, bool)], (deadly_since, crashes): (Instant, &[Instant])) -> i32 {
    let share = |requests: &[&(Instant, bool)]| {
        let begun = requests.iter().filter(|(_, begins)| *begins).count();
        (begun, begun as f64 / requests.len().max(1) as f64)
    };
    let outside: Vec<_> = sound.iter().filter(|(at, _)| *at < deadly_since).collect();
    let (begun, outside_share) = share(&outside);
    record.line(format!("before: {begun} of {} sound requests begin at the first attempt", outside.len()));
    // From two times `contactMs` after the fifth crash, or the last if there are fewer.
    let from = crashes.iter().take(5).last().map_or(deadly_since, |at| *at) + 2 * CONTACT;
    let within: Vec<_> = sound.iter().filter(|(at, _)| *at >= from).collect();
    let (begun, within_share) = share(&within);
    record.line(format!(
        "{} crashes; from 6 s after the fifth: {begun} of {} sound requests begin at the first attempt",
        crashes.len(),
        within.len()
    ));
    if outside.len() < MIN_REQUESTS || within.len() < MIN_REQUESTS || outside_share == 0.0 {
        return NOT_RUN;
    }
    match within_share < outside_share / 2.0 {
        true => {
            record.line("BROKEN: sound requests begin less than half as often");
            BROKEN
        }
        false => {
            record.line("HELD");
            HELD
        }
    }
}

/// Sends a request on a new connection. Returns whether its stream begins.
fn request(record: &Record, front: std::net::SocketAddr, (id, own): (&str, &str), is_deadly: bool) -> bool {
    let body = "Does the die fit?";
    let deadly = if is_deadly { format!("{DEADLY_PART}:110,") } else { String::new() };
    let text = format!(
        "POST /check/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nModel: m\r\nToken-Count: 1460,16\r\n\
         Prompt-Prefix: 5c1e07a2:210,{deadly}{own}:140\r\nDeadline-Ms: 6000\r\nAuthorization: Token k1\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    match call(front, text.as_bytes(), Duration::from_millis(6500)) {
        Ok(answer) => {
            let begins = answer.status == 200 && !answer.body.is_empty();
            record.line(format!("{id}: {}, begins: {begins}, whole: {}", answer.status, answer.is_whole));
            begins
        }
        Err(error) => {
            record.line(format!("{id}: {error}"));
            false
        }
    }
}
