//! A stand-in of a model server: its stream of events, reports, reservations and moves of memory.

#![allow(dead_code)]

use {
    super::common::{self, Request, lock},
    std::{
        collections::HashMap,
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// How a model server generates and answers.
#[derive(Debug, Clone, Copy)]
pub struct Behaviour {
    /// Events of each stream.
    pub events: u64,
    /// Bytes of each event.
    pub event_bytes: usize,
    /// Time before the first event.
    pub first: Duration,
    /// Time between two events.
    pub step: Duration,
    /// Whether streams have chunks. Without, they end with their connection.
    pub is_chunked: bool,
    /// Time after which the server carries out a move that stops the run. Its other calls aren't delayed.
    pub stop_delay: Duration,
}

/// A run on a server, or the memory of one that was stopped.
#[derive(Debug, Default)]
struct Run {
    made: u64,
    is_stopped: bool,
    is_moving: bool,
}

type Runs = Arc<Mutex<HashMap<String, Run>>>;

/// The copies that all servers keep: those that hold one, by "source/handle", with the events made.
pub type Copies = Arc<Mutex<HashMap<String, (SocketAddr, u64)>>>;

/// A part of prompts that crashes the server that begins to write an answer on it.
#[derive(Clone)]
pub struct Crashing {
    pub part: &'static str,
    /// Time until the server is back.
    pub down: Duration,
    pub list: common::List,
    /// Number of crashes of all servers.
    pub crashes: Arc<AtomicU64>,
}

/// What a stand-in of a model server needs.
#[derive(Clone)]
pub struct Model {
    pub id: String,
    pub address: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub copies: Copies,
    pub record: common::Record,
    /// The process of the server, which a part of a prompt may crash.
    pub process: common::Process,
    /// Called with the number of crashes of all servers when this one crashes.
    pub crashing: Option<Crashing>,
    runs: Runs,
    handles: Arc<AtomicU64>,
}

impl Model {
    pub fn start(
        id: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        copies: &Copies,
        record: &common::Record,
    ) -> Self {
        Self::start_crashing(id, address, behaviour, copies, record, None)
    }

    pub fn start_crashing(
        id: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        copies: &Copies,
        record: &common::Record,
        crashing: Option<Crashing>,
    ) -> Self {
        let model = Self {
            process: common::Process::default(),
            crashing,
            id: id.to_owned(),
            address,
            behaviour: Arc::new(Mutex::new(behaviour)),
            copies: Arc::clone(copies),
            record: record.clone(),
            runs: Runs::default(),
            handles: Arc::default(),
        };
        let served = model.clone();
        model
            .process
            .serve(address, move |request, stream| served.serve(request, stream));
        model
    }

    /// Returns the events that the run of an attempt has made here.
    pub fn made(&self, attempt: &str) -> Option<u64> {
        lock(&self.runs).get(attempt).map(|run| run.made)
    }

    fn serve(&self, request: &Request, stream: &mut TcpStream) -> bool {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/report") => self.report(stream),
            ("GET", "/health") => {
                let header = format!("Instance-Id: {}\r\n", self.id);
                common::answer(stream, "200 OK", &header, "")
            }
            ("POST", "/hold-take") => {
                let number = self.handles.fetch_add(1, Ordering::Relaxed);
                common::answer_json(stream, "200 OK", &format!(r#"{{"hold":"hold-{number}"}}"#))
            }
            ("POST", "/kv-move") => self.transfer(request, stream),
            ("DELETE", _) => common::answer(stream, "200 OK", "", ""),
            _ => self.generate(request, stream),
        }
    }

    fn report(&self, stream: &mut TcpStream) -> bool {
        let runs = lock(&self.runs);
        let running = runs.values().filter(|run| !run.is_stopped).count();
        let body = format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":0,"queued":0,"running":{running},"kvUsed":{},"kvTotal":34364,"handles":0}}"#,
            running * 2000
        );
        drop(runs);
        common::answer_json(stream, "200 OK", &body)
    }

    /// Runs a request from its begin, or goes on with the memory of a copy.
    fn generate(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let attempt = request.header("attempt-id").to_owned();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            let headers = format!("Attempt-Id: {attempt}\r\nInstance-Id: {}\r\n", self.id);
            return common::answer(stream, "421 Misdirected Request", &headers, "");
        }
        let from = request.header("kv-from").to_owned();
        let last_event: u64 = request.header("last-event-id").parse().unwrap_or(0);
        if !from.is_empty() && lock(&self.copies).remove(&from).is_none() {
            let headers = format!("Attempt-Id: {attempt}\r\nNot-Executed: 1\r\n");
            self.record
                .line(format!("{}: no copy {from} for {attempt}, not run", self.id));
            return common::answer(stream, "503 Service Unavailable", &headers, "");
        }
        if let Some(crashing) = &self.crashing
            && request.header("prompt-prefix").contains(crashing.part)
        {
            self.crash(&attempt, crashing.clone());
            return false;
        }
        self.record.line(format!(
            "{}: runs {attempt} after event {last_event}{}",
            self.id,
            if from.is_empty() { String::new() } else { format!(" from the copy {from}") }
        ));
        let run = Run {
            made: last_event,
            ..Run::default()
        };
        lock(&self.runs).insert(attempt.clone(), run);
        self.stream(&attempt, last_event, stream);
        false
    }

    /// Crashes when the prompt has been read, and comes back.
    fn crash(&self, attempt: &str, crashing: Crashing) {
        thread::sleep(lock(&self.behaviour).first);
        if !self.process.crash() {
            return;
        }
        let number = crashing.crashes.fetch_add(1, Ordering::SeqCst) + 1;
        self.record
            .line(format!("{}: crashes on {attempt}, crash {number}", self.id));
        lock(&self.runs).clear();
        thread::sleep(crashing.down);
        crashing.list.restart(&self.id);
        self.process.restart();
        self.record.line(format!("{}: is back", self.id));
    }

    fn stream(&self, attempt: &str, after: u64, stream: &mut TcpStream) {
        let behaviour = *lock(&self.behaviour);
        let framing = match behaviour.is_chunked {
            true => "Transfer-Encoding: chunked\r\n",
            false => "Connection: close\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: {}.{attempt}\r\nContent-Type: text/event-stream\r\n{framing}\r\n",
            self.id
        );
        thread::sleep(behaviour.first);
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let began = Instant::now();
        for (number, event) in (after + 1..=behaviour.events).enumerate() {
            let due = behaviour.step * number as u32;
            thread::sleep(due.saturating_sub(began.elapsed()));
            // Held while the event is written, so that a stop comes before or after a whole event.
            let mut runs = lock(&self.runs);
            let Some(run) = runs.get_mut(attempt) else {
                return;
            };
            if run.is_stopped {
                drop(runs);
                // The run was moved: the stream is closed without its end.
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            run.made = event;
            drop(runs);
            if !self.write_event(event, &behaviour, stream) {
                self.record
                    .line(format!("{}: {attempt} was cancelled at event {event}", self.id));
                lock(&self.runs).remove(attempt);
                return;
            }
        }
        if behaviour.is_chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        self.record.line(format!(
            "{}: {attempt} has run to its end, event {}",
            self.id, behaviour.events
        ));
        lock(&self.runs).remove(attempt);
        // Closed once the other side has read all.
        let _ = stream.shutdown(Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
        let _ = stream.read(&mut [0; 16]);
    }

    fn write_event(&self, event: u64, behaviour: &Behaviour, stream: &mut TcpStream) -> bool {
        let mut text = format!("id: {event}\ndata: {event} ");
        while text.len() + 2 < behaviour.event_bytes {
            text.push('x');
        }
        text.push_str("\n\n");
        let bytes = match behaviour.is_chunked {
            true => format!("{:x}\r\n{text}\r\n", text.len()),
            false => text,
        };
        stream.write_all(bytes.as_bytes()).is_ok()
    }

    /// Copies the memory of a run to another server. A last copy stops the run first.
    fn transfer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let attempt = common::json_field(&request.body, "id");
        let to = common::json_field(&request.body, "target");
        let is_last = common::json_field(&request.body, "last") == "true";
        let delay = lock(&self.behaviour).stop_delay;
        let began = {
            let mut runs = lock(&self.runs);
            match runs.get_mut(&attempt) {
                None => Err("404 Not Found"),
                Some(run) if run.is_moving => Err("409 Conflict"),
                Some(run) if run.is_stopped => Err("404 Not Found"),
                Some(run) => {
                    run.is_moving = true;
                    Ok(())
                }
            }
        };
        self.record.line(format!(
            "{}: asked to copy {attempt} to {to}{}{}",
            self.id,
            if is_last { " and to stop it" } else { "" },
            began.err().map_or(String::new(), |status| format!(", answers {status}"))
        ));
        if let Err(status) = began {
            return common::answer_json(stream, status, "{}");
        }
        if is_last {
            thread::sleep(delay);
        }
        let handle = format!("copy-{}", self.handles.fetch_add(1, Ordering::Relaxed));
        let made = {
            let mut runs = lock(&self.runs);
            let Some(run) = runs.get_mut(&attempt) else {
                return common::answer_json(stream, "404 Not Found", "{}");
            };
            run.is_stopped |= is_last;
            run.made
        };
        if is_last {
            self.record
                .line(format!("{}: {attempt} stopped after event {made}", self.id));
        }
        // The time that the copy takes.
        thread::sleep(Duration::from_millis(80));
        if let Some(run) = lock(&self.runs).get_mut(&attempt) {
            run.is_moving = false;
        }
        if let Ok(to) = to.parse() {
            let name = format!("{}/{handle}", self.address);
            lock(&self.copies).insert(name, (to, made));
        }
        let body = format!(r#"{{"handle":"{handle}","made":{made}}}"#);
        let is_answered = common::answer_json(stream, "200 OK", &body);
        self.record.line(format!(
            "{}: copied {attempt} as {handle}, answer {}",
            self.id,
            if is_answered { "sent" } else { "not sent" }
        ));
        is_answered
    }
}
