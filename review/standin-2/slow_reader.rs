//! A planned stop of an entry host while clients still read their answers, slowly.
//!
//! Exit codes: 1 if an answer that the stopping host had passed on ended before its end, 0 if all were
//! whole, 2 if the case could not run.

mod common;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, GRACE, HELD, HOST, KEY, List, Listed,
        NOT_RUN, Network, Record, SERVER_PORT, System,
    },
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

/// Bytes of an answer.
const ANSWER_BYTES: usize = 4 << 20;
/// Bytes that a client reads at a time, and the pause between two reads: 600 KB a second, half of what a
/// link of 10 Mbit/s carries.
const READ_BYTES: usize = 12_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Largest segment on Ethernet, and a client's receive buffer.
const SEGMENT_BYTES: i32 = 1460;
const RECEIVE_BUFFER_BYTES: i32 = 64 << 10;
/// Bytes that the first client has read when its host is told to stop. The rest takes it 6.7 s, which is
/// less than the grace period.
const STOP_AFTER_BYTES: usize = 200_000;
/// Hosts and the number of their clients. The first host is stopped.
const CLIENTS: [(u8, usize); 2] = [(FIRST_ENTRY, 2), (FIRST_ENTRY + 1, 2)];
/// A route for calls that may be repeated.
const ROUTE: &str = r#",{"name":"r-look","host":"relay.example","pathPrefix":"/look/","type":"safe","timeoutMs":20000,"targetLatencyMs":1500,"priority":0,"service":"shop","maxAttempts":2,"public":false}"#;

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
    for number in 0..3 {
        start_server(number, network, &list, &record);
    }
    let configuration = common::configuration(1, ROUTE);
    let mut system = System::start(network, (3, 2), &configuration, &record);
    let progress = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (entry, count) in CLIENTS {
        for number in 0..count {
            let (record, progress) = (record.clone(), Arc::clone(&progress));
            let is_first = entry == FIRST_ENTRY && number == 0;
            clients.push(thread::spawn(move || {
                let progress = is_first.then_some(progress);
                read_slowly(network, entry, progress.as_deref(), &record)
            }));
        }
    }
    let began = Instant::now();
    let mut stopped = None;
    let mut has_ended = false;
    while !clients.iter().all(|client| client.is_finished()) {
        thread::sleep(Duration::from_millis(10));
        if began.elapsed() > Duration::from_secs(60) {
            record.line("the clients don't end");
            drop(system);
            process::exit(NOT_RUN);
        }
        let has_read = progress.load(Ordering::Relaxed);
        if common::has_trouble() && stopped.is_none() && has_read >= STOP_AFTER_BYTES {
            system.signal(FIRST_ENTRY, "TERM");
            stopped = Some(Instant::now());
        }
        if let Some(status) = system.ended(FIRST_ENTRY)
            && !has_ended
        {
            record.line(format!("host {FIRST_ENTRY} ended: {status}"));
            has_ended = true;
        }
        if stopped.is_some_and(|at| at.elapsed() > GRACE) && !has_ended {
            record.line(format!("platform: SIGKILL to host {FIRST_ENTRY}"));
            system.kill(FIRST_ENTRY);
            has_ended = true;
        }
    }
    let outcomes = clients.into_iter().filter_map(|client| client.join().ok());
    let outcomes: Vec<Outcome> = outcomes.flatten().collect();
    drop(system);
    if outcomes.len() != CLIENTS.iter().map(|(_, count)| count).sum::<usize>() {
        record.line("a client got no answer");
        process::exit(NOT_RUN);
    }
    let lost: Vec<&Outcome> = outcomes.iter().filter(|outcome| !outcome.is_complete).collect();
    for outcome in &lost {
        let after = stopped.map_or(0.0, |at| outcome.ended.duration_since(at).as_secs_f64());
        record.line(format!(
            "LOST: an answer through host {} ended after {} of {ANSWER_BYTES} bytes, {after:.1} s after SIGTERM",
            outcome.entry, outcome.bytes
        ));
    }
    let line = format!("{} of {} answers were cut", lost.len(), outcomes.len());
    record.line(&line);
    println!("{line}");
    process::exit(if lost.is_empty() { HELD } else { BROKEN });
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

/// Makes a call and reads its answer at an even pace, to its end.
fn read_slowly(
    network: Network,
    entry: u8,
    progress: Option<&AtomicUsize>,
    record: &Record,
) -> Option<Outcome> {
    let address = network.at(entry, FRONT_PORT);
    let mut stream = common::connect_as_client(address, SEGMENT_BYTES, RECEIVE_BUFFER_BYTES).ok()?;
    let attempt = common::next_attempt();
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 20000\r\nAuthorization: Token {KEY}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).ok()?;
    record.line(format!("client: {attempt} sent to host {entry}"));
    let mut bytes = Vec::new();
    let mut part = [0; READ_BYTES];
    let began = Instant::now();
    let mut reads = 0;
    loop {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            Ok(_) => break,
            Err(error) => {
                record.line(format!("client: {attempt}: {error}"));
                break;
            }
        }
        if let Some(progress) = progress {
            progress.store(bytes.len(), Ordering::Relaxed);
        }
        if bytes.len() >= ANSWER_BYTES && common::is_whole(&bytes) {
            break;
        }
        reads += 1;
        thread::sleep((READ_PAUSE * reads).saturating_sub(began.elapsed()));
    }
    let received = common::parse_answer(&bytes);
    let is_complete = received.status == 200 && received.is_complete;
    record.line(format!(
        "client: {attempt} through host {entry} got {} with {} bytes, {}",
        received.status,
        received.body.len(),
        if is_complete { "whole" } else { "not whole" }
    ));
    (received.status == 200).then_some(Outcome {
        entry,
        bytes: received.body.len(),
        is_complete,
        ended: Instant::now(),
    })
}
