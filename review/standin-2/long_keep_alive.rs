//! A server states that it keeps idle connections practically for ever.
//!
//! Exit codes: 1 if more than three orders ran at it and their connections were closed without an answer, 0 if
//! not, 2 if the case could not run.

mod common;

use {
    common::{
        BROKEN, FIRST_ENTRY, FIRST_SERVER, FRONT_PORT, HELD, HOST, KEY, List, Listed, NOT_RUN,
        Network, Record, SERVER_PORT, System, lock,
    },
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::TcpStream,
        process,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// The largest whole number of seconds that many programs know, which stands for no limit.
const NO_LIMIT_S: u64 = i64::MAX as u64;
/// What the servers state otherwise, in seconds.
const USUAL_S: u64 = 5;
const SERVERS: u8 = 3;
/// Orders before and after one of the servers changes what it states.
const ORDERS: usize = 40;
const PAUSE: Duration = Duration::from_millis(50);
/// Number of connections that the rule allows to be closed.
const ALLOWED: usize = 3;
/// A route for calls that may run once.
const ROUTE: &str = r#",{"name":"r-order","host":"relay.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":2500,"targetLatencyMs":150,"priority":0,"service":"shop","maxAttempts":1,"public":false}"#;

/// The attempts that have run.
type Ran = Arc<Mutex<BTreeSet<String>>>;

fn main() {
    let record = Record::create();
    let network = Network::find();
    let list = List::default();
    list.start(network);
    let (ran, has_no_limit) = (Ran::default(), Arc::new(AtomicBool::new(false)));
    for number in 0..SERVERS {
        start_server(number, network, &list, (&ran, &has_no_limit), &record);
    }
    let configuration = common::configuration(1, ROUTE);
    let system = System::start(network, (3, 2), &configuration, &record);
    let before = send_orders(network, &ran, &record);
    if common::has_trouble() {
        has_no_limit.store(true, Ordering::SeqCst);
        record.line(format!("i-0 states {NO_LIMIT_S} s from now on"));
    }
    let after = send_orders(network, &ran, &record);
    drop(system);
    let line = format!(
        "closed without an answer though the order ran: {before} of {ORDERS} before, {after} of {ORDERS} after"
    );
    record.line(&line);
    println!("{line}");
    if before > 0 {
        process::exit(NOT_RUN);
    }
    process::exit(if after > ALLOWED { BROKEN } else { HELD });
}

fn start_server(
    number: u8,
    network: Network,
    list: &List,
    (ran, has_no_limit): (&Ran, &Arc<AtomicBool>),
    record: &Record,
) {
    let id = format!("i-{number}");
    let address = network.at(FIRST_SERVER + number, SERVER_PORT);
    let (own, record) = (id.clone(), record.clone());
    let (ran, has_no_limit) = (Arc::clone(ran), Arc::clone(has_no_limit));
    common::serve(address, move |request, stream| {
        if request.path == "/health" {
            return common::answer(stream, "200 OK", &format!("Instance-Id: {own}\r\n"), "");
        }
        let attempt = request.header("attempt-id");
        lock(&ran).insert(attempt.to_owned());
        let seconds = match number == 0 && has_no_limit.load(Ordering::SeqCst) {
            true => NO_LIMIT_S,
            false => USUAL_S,
        };
        let headers = format!(
            "Attempt-Id: {attempt}\r\nServer-Stamp: {own}.{attempt}\r\nKeep-Alive: timeout={seconds}\r\n"
        );
        record.line(format!("{own}: runs {attempt} and answers 200"));
        common::answer(stream, "200 OK", &headers, "ordered")
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

/// Sends orders on kept connections, at both entry hosts in turn. Returns how many ran and got no answer.
fn send_orders(network: Network, ran: &Ran, record: &Record) -> usize {
    let mut connections = [None, None];
    let mut unanswered = 0;
    for number in 0..ORDERS {
        let entry = FIRST_ENTRY + (number % 2) as u8;
        let kept = &mut connections[number % 2];
        if kept.is_none() {
            *kept = TcpStream::connect(network.at(entry, FRONT_PORT)).ok();
        }
        let attempt = common::next_attempt();
        let status = kept.as_mut().map_or(0, |stream| order(stream, &attempt));
        if status == 0 {
            *kept = None;
        }
        let has_run = lock(ran).contains(&attempt);
        unanswered += usize::from(has_run && status == 0);
        let outcome = match status {
            0 => "no answer, the connection was closed".to_owned(),
            status => status.to_string(),
        };
        record.line(format!(
            "client: order {attempt} at host {entry}: {outcome}{}",
            if has_run { ", it ran" } else { "" }
        ));
        thread::sleep(PAUSE);
    }
    unanswered
}

/// Sends an order and returns the status of its answer, 0 without one.
fn order(stream: &mut TcpStream, attempt: &str) -> u16 {
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 2500\r\nAuthorization: Token {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    while !common::is_whole(&bytes) {
        match stream.read(&mut part) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&part[..count]),
            _ => break,
        }
    }
    common::parse_answer(&bytes).status
}
