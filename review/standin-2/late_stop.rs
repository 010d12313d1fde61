//! A model server that leaves is slow to stop the runs that are moved off it.
//!
//! Its streams have neither a length nor chunks and end with their connection. Exit codes: 1 if a client
//! got a stream that looked complete before its last event, 0 if none did, 2 if the case could not run.

mod common;
mod model;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, HELD, HOST, KEY, List, Listed, NOT_RUN,
        Network, Record, SERVER_PORT, System, lock,
    },
    model::{Behaviour, Copies, Model},
    std::{
        io::{Read, Write},
        net::TcpStream,
        process, thread,
        time::Duration,
    },
};

/// Events of each stream, and their size and pace: four tokens at 7 ms a step.
const EVENTS: u64 = 300;
const EVENT_BYTES: usize = 260;
const STEP: Duration = Duration::from_millis(28);
/// Time after which a server stops a run that it is told to stop, and how many times as long a slow one
/// takes.
const STOP_TIME: Duration = Duration::from_millis(230);
const SLOWNESS: f64 = 7.5;
/// Model servers, of which one leaves and is slow: an eighth.
const SERVERS: u8 = 8;
/// Streams that run at a time.
const STREAMS: usize = 24;
/// Time after their begin at which a server begins to leave.
const LEAVE_AFTER: Duration = Duration::from_secs(2);

fn main() {
    let record = Record::create();
    let network = Network::find();
    let list = List::default();
    list.start(network);
    let behaviour = Behaviour {
        events: EVENTS,
        event_bytes: EVENT_BYTES,
        first: Duration::from_millis(200),
        step: STEP,
        is_chunked: false,
        stop_delay: STOP_TIME,
    };
    let copies = Copies::default();
    let mut models = Vec::new();
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let address = network.at(FIRST_SERVER + number, SERVER_PORT);
        models.push(Model::start(&id, address, behaviour, &copies, &record));
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
    let system = System::start(network, (3, 2), &common::configuration(1, ""), &record);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let entry = FIRST_ENTRY + (number % 2) as u8;
            thread::spawn(move || ask(network, entry, &record))
        })
        .collect();
    thread::sleep(LEAVE_AFTER);
    let leaving = &models[0];
    if common::has_trouble() {
        lock(&leaving.behaviour).stop_delay = STOP_TIME.mul_f64(SLOWNESS);
        record.line(format!("{} is slow from now on", leaving.id));
    }
    list.drain(&leaving.id);
    record.line(format!("platform: {} is listed as draining", leaving.id));
    let outcomes: Vec<Option<(bool, usize)>> = clients
        .into_iter()
        .map(|client| client.join().ok().flatten())
        .collect();
    drop(system);
    if outcomes.iter().any(Option::is_none) {
        record.line("a client got no stream");
        process::exit(NOT_RUN);
    }
    let looked_complete = outcomes.iter().flatten().filter(|(is_complete, _)| *is_complete);
    let short = looked_complete
        .filter(|(_, events)| (*events as u64) < EVENTS)
        .count();
    let whole = outcomes.iter().flatten().filter(|(_, events)| *events as u64 == EVENTS);
    let line = format!(
        "{STREAMS} streams: {} whole, {short} ended as complete before their last event",
        whole.count()
    );
    record.line(&line);
    println!("{line}");
    process::exit(if short == 0 { HELD } else { BROKEN });
}

/// Asks for a stream and reads it to its end. Returns whether it looked complete, and its events.
fn ask(network: Network, entry: u8, record: &Record) -> Option<(bool, usize)> {
    let mut stream = TcpStream::connect(network.at(entry, FRONT_PORT)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
    let attempt = common::next_attempt();
    let request = format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,1200\r\nPrompt-Prefix: 5c1e07a2:800,{attempt}:660\r\nDeadline-Ms: 39000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    record.line(format!("client: {attempt} sent to host {entry}"));
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    while let Ok(count @ 1..) = stream.read(&mut part) {
        bytes.extend_from_slice(&part[..count]);
        if bytes.ends_with(b"0\r\n\r\n") && common::is_whole(&bytes) {
            break;
        }
    }
    let received = common::parse_answer(&bytes);
    let ids = common::event_ids(&received.body);
    let is_in_order = ids.iter().enumerate().all(|(at, id)| *id == at as u64 + 1);
    record.line(format!(
        "client: {attempt} got {} with {} of {EVENTS} events{}, {}",
        received.status,
        ids.len(),
        if is_in_order { "" } else { " out of order" },
        if received.is_complete { "and the end of the answer" } else { "broken off visibly" }
    ));
    (received.status == 200).then_some((received.is_complete, ids.len()))
}
