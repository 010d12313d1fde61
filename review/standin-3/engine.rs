//! A model server: one process, one software version. It streams events of a request and reports its load.
#![allow(dead_code)]

use {
    super::common::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        fs::OpenOptions,
        io::Write as _,
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread::sleep,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// A server that loses answers loses that of one request in so many: the connection closes after
/// [`EVENTS_BEFORE_LOSS`] events, and the server runs the request to its end all the same.
const LOST_EACH: u64 = 20;
const EVENTS_BEFORE_LOSS: u64 = 10;

/// Time from the first event of a deadly answer to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// What a server is told at its start.
#[derive(Debug, Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub id: String,
    pub version: String,
    /// When it starts, in milliseconds since 1970.
    pub born: u64,
    /// Number of events of each stream, and the time between them.
    pub events: u64,
    pub gap: Duration,
    /// File to which it writes what it ran.
    pub runs: PathBuf,
    /// ID of the part of prompts that crashes it once it has begun to write an answer; empty if there is none.
    pub deadly_part: String,
    /// Whether it loses answers.
    pub loses_answers: bool,
    /// Attempts of whose memory it keeps a copy.
    pub copies: Arc<Mutex<BTreeSet<String>>>,
    /// Attempts that it works on, and the events that each has made.
    pub active: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Number of requests that it has begun to run.
    pub begun: Arc<AtomicU64>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Engine {
    /// The arguments with which the program of the script starts itself as this server.
    pub fn arguments(&self) -> Vec<String> {
        vec![
            "engine".to_owned(),
            self.address.to_string(),
            self.id.clone(),
            self.version.clone(),
            self.born.to_string(),
            self.events.to_string(),
            self.gap.as_millis().to_string(),
            self.runs.display().to_string(),
            self.deadly_part.clone(),
            self.loses_answers.to_string(),
        ]
    }

    pub fn from_arguments(arguments: &[String]) -> Self {
        Self {
            address: arguments[0].parse().expect("an address"),
            id: arguments[1].clone(),
            version: arguments[2].clone(),
            born: arguments[3].parse().expect("a time"),
            events: arguments[4].parse().expect("a number"),
            gap: Duration::from_millis(arguments[5].parse().expect("a time")),
            runs: arguments[6].clone().into(),
            deadly_part: arguments.get(7).cloned().unwrap_or_default(),
            loses_answers: arguments.get(8).is_some_and(|value| value == "true"),
            copies: Arc::default(),
            active: Arc::default(),
            begun: Arc::default(),
        }
    }

    /// The server's entry in the platform's list.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"{}","slots":64,"state":"ready","coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"id":"{}","born":{}}}"#,
            self.address, self.version, self.id, self.born
        )
    }

    /// Serves until the process is killed.
    pub fn serve(self) -> ! {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(Duration::from_millis(20)),
            }
        };
        let engine = Arc::new(self);
        let running = Arc::new(AtomicU64::new(0));
        for stream in listener.incoming().flatten() {
            let (engine, running) = (Arc::clone(&engine), Arc::clone(&running));
            std::thread::spawn(move || engine.serve_connection(stream, &running));
        }
        std::process::exit(0)
    }

    fn serve_connection(&self, mut stream: TcpStream, running: &AtomicU64) {
        let _ = stream.set_nodelay(true);
        while let Some(request) = read_request(&mut stream) {
            let served = match (request.method(), request.path()) {
                ("GET", "/health") => self.answer(&mut stream, 200, "ok"),
                ("GET", "/report") => {
                    let running = running.load(Ordering::Relaxed);
                    self.answer(&mut stream, 200, &self.report(running))
                }
                ("POST", "/hold-take") => {
                    self.answer(&mut stream, 200, &format!(r#"{{"hold":"h-{}"}}"#, unix_ms()))
                }
                ("POST", path) if path.starts_with("/copy/") => {
                    let id = path.trim_start_matches("/copy/").to_owned();
                    self.copies.lock().unwrap().insert(id);
                    self.answer(&mut stream, 200, "{}")
                }
                _ => {
                    running.fetch_add(1, Ordering::Relaxed);
                    let served = self.generate(&mut stream, &request);
                    let id = request.header("attempt-id").unwrap_or_default();
                    self.active.lock().unwrap().remove(&id);
                    running.fetch_sub(1, Ordering::Relaxed);
                    served
                }
            };
            if served.is_err() {
                return;
            }
        }
    }

    fn report(&self, running: u64) -> String {
        let active = self.active.lock().unwrap();
        let runs = active.iter().map(|(id, made)| format!(r#"["{id}",{},{made},5]"#, 300 + 4 * made));
        let runs: Vec<String> = runs.collect();
        let runs = runs.join(",");
        format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":{running},"kvUsed":{},"kvTotal":34364,"handles":0,"born":{},"pinned":0,"held":0,"runs":[{runs}],"next":0,"state":"ready"}}"#,
            running * 1500,
            self.born
        )
    }

    fn answer(&self, stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nInstance-Id: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        stream.write_all(text.as_bytes())
    }

    /// Runs a request, from the event after the one that it names.
    fn generate(&self, stream: &mut TcpStream, request: &Request) -> std::io::Result<()> {
        let id = request.header("attempt-id").unwrap_or_default();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        let prompt = request.header("prompt-prefix").unwrap_or_default();
        let has_deadly_part = !self.deadly_part.is_empty()
            && prompt.split(',').any(|part| part.split(':').next() == Some(&self.deadly_part));
        let last = request.header("last-event-id").and_then(|last| last.parse::<u64>().ok());
        let copy_from = request.header("kv-from");
        if let Some(from) = &copy_from
            && (*from != format!("{}/{id}", self.address) || !self.copies.lock().unwrap().remove(&id))
        {
            let text = format!(
                "HTTP/1.1 503 No Copy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        }
        if let Some(to) = request.header("kv-backup").and_then(|to| to.parse().ok()) {
            self.send_copy(to, &id);
        }
        let number = self.begun.fetch_add(1, Ordering::Relaxed);
        let loses_answer =
            self.loses_answers && number % LOST_EACH == LOST_EACH / 4 && copy_from.is_none();
        self.record(&format!("runs {id} after event {last:?}, from the copy {copy_from:?}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {}.{}\r\nContent-Type: text/event-stream\r\n\
             Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id, self.born
        );
        stream.write_all(head.as_bytes())?;
        for number in last.unwrap_or(0) + 1..=self.events {
            sleep(self.gap);
            self.active.lock().unwrap().insert(id.clone(), number);
            if loses_answer && number >= EVENTS_BEFORE_LOSS {
                if number == EVENTS_BEFORE_LOSS {
                    stream.shutdown(Shutdown::Both)?;
                    self.record(&format!("loses the answer of {id} and goes on"));
                }
                self.record(&format!("works on {id}, event {number}"));
                if number == self.events {
                    return Err(std::io::ErrorKind::ConnectionAborted.into());
                }
                continue;
            }
            let event = format!("id: {number}\ndata: {} {id}\n\n", self.version);
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if has_deadly_part {
                self.record(&format!("crashes of {id} after its first event"));
                sleep(CRASH_DELAY);
                std::process::exit(1);
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Sends the memory of a run to another server.
    fn send_copy(&self, to: SocketAddr, id: &str) {
        let request =
            format!("POST /copy/{id} HTTP/1.1\r\nHost: {to}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        let sent = call(to, request.as_bytes(), Duration::from_millis(500));
        self.record(&format!("sends a copy of {id} to {to}: {}", sent.is_ok()));
    }

    fn record(&self, text: &str) {
        let file = OpenOptions::new().create(true).append(true).open(&self.runs);
        if let Ok(mut file) = file {
            let line = format!("{} server {} {} {text}\n", unix_ms(), self.id, self.version);
            let _ = file.write_all(line.as_bytes());
        }
    }
}
