//! Clients read their streams slowly, but without a pause.
//!
//! Exit codes: 1 if more than three streams were cut although their servers had sent all, 0 if not, 2 if the
//! case could not run. Without the disruption the clients read as fast as they can.

mod common;
mod model;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, HELD, HOST, KEY, List, Listed, NOT_RUN,
        Network, Record, SERVER_PORT, System,
    },
    model::{Behaviour, Copies, Model},
    std::{
        io::{Read, Write},
        process, thread,
        time::{Duration, Instant},
    },
};

/// A long stream: the sheet has up to 445 events of up to 2,400 bytes, each of four tokens at 7 ms a step.
const EVENTS: u64 = 300;
const EVENT_BYTES: usize = 1600;
const STEP: Duration = Duration::from_millis(28);
/// Bytes that a slow client reads at a time, and the pause between two reads: 16 KB a second, so that it has the
/// whole stream after 30 s.
const READ_BYTES: usize = 800;
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Largest segment on Ethernet, and a client's receive buffer.
const SEGMENT_BYTES: i32 = 1460;
const RECEIVE_BUFFER_BYTES: i32 = 8 << 10;
/// Clients at each of the two entry hosts.
const CLIENTS: u8 = 6;
/// Number of connections that the rule allows to be closed.
const ALLOWED: usize = 3;

struct Outcome {
    is_complete: bool,
    /// Longest time in which the client got no byte.
    longest_pause: Duration,
}

fn main() {
    let record = Record::create();
    let network = Network::find();
    let list = List::default();
    list.start(network);
    let behaviour = Behaviour {
        events: EVENTS,
        event_bytes: EVENT_BYTES,
        first: Duration::from_millis(300),
        step: STEP,
        is_chunked: true,
        stop_delay: Duration::ZERO,
    };
    let copies = Copies::default();
    for number in 0..3_u8 {
        let id = format!("i-{number}");
        let address = network.at(FIRST_SERVER + number, SERVER_PORT);
        Model::start(&id, address, behaviour, &copies, &record);
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
    let clients: Vec<_> = (0..2 * CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || read(network, FIRST_ENTRY + number % 2, &record))
        })
        .collect();
    let count = clients.len();
    let outcomes = clients.into_iter().filter_map(|client| client.join().ok());
    let outcomes: Vec<Outcome> = outcomes.flatten().collect();
    drop(system);
    if outcomes.len() != count {
        record.line("a client got no answer");
        process::exit(NOT_RUN);
    }
    let cut = outcomes.iter().filter(|outcome| !outcome.is_complete).count();
    let pauses = outcomes.iter().map(|outcome| outcome.longest_pause);
    let line = format!(
        "{cut} of {count} streams were cut; no client waited longer than {} ms for a byte",
        pauses.max().unwrap_or_default().as_millis()
    );
    record.line(&line);
    println!("{line}");
    process::exit(if cut > ALLOWED { BROKEN } else { HELD });
}

/// Asks for a stream and reads it to its end.
fn read(network: Network, entry: u8, record: &Record) -> Option<Outcome> {
    let address = network.at(entry, FRONT_PORT);
    let mut stream = common::connect_as_client(address, SEGMENT_BYTES, RECEIVE_BUFFER_BYTES).ok()?;
    let attempt = common::next_attempt();
    let request = format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 1460,1200\r\nPrompt-Prefix: 5c1e07a2:800,{attempt}:660\r\nDeadline-Ms: 39000\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    record.line(format!("client: {attempt} sent to host {entry}"));
    let is_slow = common::has_trouble();
    let mut bytes = Vec::new();
    let mut part = [0; READ_BYTES];
    let (mut began, mut reads) = (None, 0);
    let mut longest_pause = Duration::ZERO;
    let mut ended = String::from("it ended");
    loop {
        let asked = Instant::now();
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            Ok(_) => break,
            Err(error) => {
                ended = error.to_string();
                break;
            }
        }
        if began.is_some() {
            longest_pause = longest_pause.max(asked.elapsed());
        }
        if bytes.ends_with(b"0\r\n\r\n") && common::is_whole(&bytes) {
            break;
        }
        reads += 1;
        let began = *began.get_or_insert_with(Instant::now);
        if is_slow {
            thread::sleep((READ_PAUSE * reads).saturating_sub(began.elapsed()));
        }
    }
    let received = common::parse_answer(&bytes);
    let ids = common::event_ids(&received.body);
    let is_complete = received.status == 200 && received.is_complete && ids.len() as u64 == EVENTS;
    record.line(format!(
        "client: {attempt} got {} with {} of {EVENTS} events in {} ms, {}",
        received.status,
        ids.len(),
        began.map_or(0, |began| began.elapsed().as_millis()),
        if is_complete { "whole".to_owned() } else { format!("cut: {ended}") }
    ));
    (received.status == 200).then_some(Outcome {
        is_complete,
        longest_pause,
    })
}
