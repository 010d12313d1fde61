//! A planned stop of an entry host while clients still read their streams and answers, slowly.
//!
//! Exit codes: 1 if a stream or an answer that the stopping host had passed on ended before its end, 0 if all
//! were whole, 2 if the case could not run.

mod common;
mod model;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, GRACE, HELD, HOST, KEY, List, Listed,
        NOT_RUN, Network, Record, SERVER_PORT, System,
    },
    model::{Behaviour, Copies, Model},
    std::{
        io::{Read, Write},
        process,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// A stream by the sheet, which has up to 445 events of up to 2,400 bytes, each of four tokens at 7 ms a step.
const EVENTS: u64 = 120;
const EVENT_BYTES: usize = 2300;
const STEP: Duration = Duration::from_millis(28);
/// Bytes of an answer to a call.
const ANSWER_BYTES: usize = 4 << 20;
/// Largest segment on Ethernet.
const SEGMENT_BYTES: i32 = 1460;
/// How a client of a stream reads: 33 KB a second.
const STREAM_PACE: Pace = Pace {
    read_bytes: 1650,
    pause: Duration::from_millis(50),
    buffer_bytes: 16 << 10,
};
/// How a client of a call reads: 600 KB a second, half of what a link of 10 Mbit/s carries.
const CALL_PACE: Pace = Pace {
    read_bytes: 12_000,
    pause: Duration::from_millis(20),
    buffer_bytes: 64 << 10,
};
/// The host that is not stopped.
const OTHER_HOST: u8 = FIRST_ENTRY + 2;
/// The stages, one after the other. All clients have the rest of their answers within 7 s after the host is told
/// to stop, which is less than the grace period.
const STAGES: [Stage; 2] = [
    Stage {
        kind: Kind::Stream,
        host: FIRST_ENTRY,
        clients: 30,
        others: 6,
        stop_after_bytes: 55_000,
    },
    Stage {
        kind: Kind::Call,
        host: FIRST_ENTRY + 1,
        clients: 2,
        others: 2,
        stop_after_bytes: 200_000,
    },
];
/// A route for calls that may be repeated.
const ROUTE: &str = r#",{"name":"r-look","host":"relay.example","pathPrefix":"/look/","type":"safe","timeoutMs":20000,"targetLatencyMs":1500,"priority":0,"service":"shop","maxAttempts":2,"public":false}"#;

/// How a client reads.
#[derive(Debug, Clone, Copy)]
struct Pace {
    read_bytes: usize,
    pause: Duration,
    buffer_bytes: i32,
}

/// What a client asks for.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Stream,
    Call,
}

/// A host that is stopped while its clients read.
#[derive(Debug, Clone, Copy)]
struct Stage {
    kind: Kind,
    host: u8,
    clients: usize,
    /// Clients of the host that is not stopped.
    others: usize,
    /// Bytes that the first client has read when the host is told to stop.
    stop_after_bytes: usize,
}

struct Outcome {
    entry: u8,
    bytes: usize,
    is_complete: bool,
    ended: Instant,
}

fn main() {
    let record = Record::create();
    let network = Network::find();
    let list = List::default();
    list.start(network);
    for number in 0..9 {
        start_model(number, network, &list, &record);
    }
    for number in 9..12 {
        start_server(number, network, &list, &record);
    }
    let configuration = common::configuration(1, ROUTE);
    let mut system = System::start(network, (3, 3), &configuration, &record);
    let mut lost = 0;
    for stage in STAGES {
        lost += run(stage, network, &mut system, &record);
    }
    drop(system);
    process::exit(if lost == 0 { HELD } else { BROKEN });
}

/// Stops a host while its clients read. Returns how many of its answers were cut.
fn run(stage: Stage, network: Network, system: &mut System, record: &Record) -> usize {
    let Stage { kind, host, .. } = stage;
    let progress = Arc::new(AtomicUsize::new(0));
    let own = (0..stage.clients).map(|number| (host, number == 0));
    let others = (0..stage.others).map(|_| (OTHER_HOST, false));
    let clients: Vec<_> = own
        .chain(others)
        .map(|(entry, is_first)| {
            let (record, progress) = (record.clone(), Arc::clone(&progress));
            thread::spawn(move || {
                let progress = is_first.then_some(progress);
                read_slowly(network, (entry, kind), progress.as_deref(), &record)
            })
        })
        .collect();
    let began = Instant::now();
    let mut stopped = None;
    let mut has_ended = false;
    while !clients.iter().all(|client| client.is_finished()) {
        thread::sleep(Duration::from_millis(10));
        if began.elapsed() > Duration::from_secs(40) {
            record.line("the clients don't end");
            system.stop_all();
            process::exit(NOT_RUN);
        }
        let has_read = progress.load(Ordering::Relaxed);
        if common::has_trouble() && stopped.is_none() && has_read >= stage.stop_after_bytes {
            system.signal(host, "TERM");
            stopped = Some(Instant::now());
        }
        if let Some(status) = system.ended(host)
            && !has_ended
        {
            record.line(format!("host {host} ended: {status}"));
            has_ended = true;
        }
        if stopped.is_some_and(|at| at.elapsed() > GRACE) && !has_ended {
            record.line(format!("platform: SIGKILL to host {host}"));
            system.kill(host);
            has_ended = true;
        }
    }
    let count = clients.len();
    let outcomes = clients.into_iter().filter_map(|client| client.join().ok());
    let outcomes: Vec<Outcome> = outcomes.flatten().collect();
    if outcomes.len() != count {
        record.line("a client got no answer");
        system.stop_all();
        process::exit(NOT_RUN);
    }
    let lost: Vec<&Outcome> = outcomes.iter().filter(|outcome| !outcome.is_complete).collect();
    for outcome in &lost {
        let after = stopped.map_or(0.0, |at| outcome.ended.duration_since(at).as_secs_f64());
        record.line(format!(
            "LOST: a {kind:?} through host {} ended after {} bytes, {after:.1} s after SIGTERM",
            outcome.entry, outcome.bytes
        ));
    }
    let at_host = lost.iter().filter(|outcome| outcome.entry == host).count();
    let line = format!(
        "{kind:?}: {at_host} of {} answers through the stopped host were cut, {} of {} through another",
        stage.clients,
        lost.len() - at_host,
        stage.others
    );
    record.line(&line);
    println!("{line}");
    at_host
}

/// Starts a model server.
fn start_model(number: u8, network: Network, list: &List, record: &Record) {
    let behaviour = Behaviour {
        events: EVENTS,
        event_bytes: EVENT_BYTES,
        first: Duration::from_millis(300),
        step: STEP,
        is_chunked: true,
        stop_delay: Duration::ZERO,
    };
    let id = format!("i-{number}");
    let address = network.at(FIRST_SERVER + number, SERVER_PORT);
    Model::start(&id, address, behaviour, &Copies::default(), record);
    list.add(Listed {
        id,
        service: "models",
        address,
        zone: common::zone_of(FIRST_SERVER + number),
        slots: 64,
        is_draining: false,
        born: 1_700_000_000_000,
    });
}

/// Starts a server that answers each call at once with a long body.
fn start_server(number: u8, network: Network, list: &List, record: &Record) {
    let id = format!("i-{number}");
    let address = network.at(FIRST_SERVER + number, SERVER_PORT);
    let (own, record) = (id.clone(), record.clone());
    let body = "s".repeat(ANSWER_BYTES);
    common::serve(address, move |request, stream| {
        if request.path == "/health" {
            return common::answer(stream, "200 OK", &format!("Instance-Id: {own}\r\n"), "");
        }
        let attempt = request.header("attempt-id");
        let headers = format!("Attempt-Id: {attempt}\r\nServer-Stamp: {own}.{attempt}\r\n");
        record.line(format!("{own}: runs {attempt}"));
        let is_sent = common::answer(stream, "200 OK", &headers, &body);
        record.line(format!("{own}: {attempt} is answered in full: {is_sent}"));
        is_sent
    });
    list.add(Listed {
        id,
        service: "shop",
        address,
        zone: common::zone_of(FIRST_SERVER + number),
        slots: 6,
        is_draining: false,
        born: 1_700_000_000_000,
    });
}

/// Makes a request and reads its answer at an even pace, to its end.
fn read_slowly(
    network: Network,
    (entry, kind): (u8, Kind),
    progress: Option<&AtomicUsize>,
    record: &Record,
) -> Option<Outcome> {
    let address = network.at(entry, FRONT_PORT);
    let attempt = common::next_attempt();
    let (pace, request) = match kind {
        Kind::Stream => (
            STREAM_PACE,
            format!(
                "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,480\r\nPrompt-Prefix: 5c1e07a2:800,{attempt}:660\r\nDeadline-Ms: 39000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
            ),
        ),
        Kind::Call => (
            CALL_PACE,
            format!(
                "GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\n\r\n"
            ),
        ),
    };
    let mut stream = common::connect_as_client(address, SEGMENT_BYTES, pace.buffer_bytes).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    record.line(format!("client: {kind:?} {attempt} sent to host {entry}"));
    let mut bytes = Vec::new();
    let mut part = vec![0; pace.read_bytes];
    let (mut began, mut reads) = (None, 0);
    let mut ended = String::from("the connection ended");
    loop {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            Ok(_) => break,
            Err(error) => {
                ended = error.to_string();
                break;
            }
        }
        if let Some(progress) = progress {
            progress.store(bytes.len(), Ordering::Relaxed);
        }
        let may_be_whole = match kind {
            Kind::Stream => bytes.ends_with(b"0\r\n\r\n"),
            Kind::Call => bytes.len() >= ANSWER_BYTES,
        };
        if may_be_whole && common::is_whole(&bytes) {
            break;
        }
        reads += 1;
        let began = *began.get_or_insert_with(Instant::now);
        thread::sleep((pace.pause * reads).saturating_sub(began.elapsed()));
    }
    let received = common::parse_answer(&bytes);
    let is_complete = received.status == 200 && received.is_complete;
    record.line(format!(
        "client: {kind:?} {attempt} through host {entry} got {} with {} bytes, {}",
        received.status,
        received.body.len(),
        if is_complete { "whole" } else { ended.as_str() }
    ));
    (received.status == 200).then_some(Outcome {
        entry,
        bytes: received.body.len(),
        is_complete,
        ended: Instant::now(),
    })
}
