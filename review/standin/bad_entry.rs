//! The platform's list gets an entry from another writer that can't be read. Then all processes of
//! the system are killed. Are requests served again after `recoverS`?

mod common;

use {
    common::*,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVERS: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(30);
const ENTRIES: u8 = 2;
const CLIENTS: usize = 6;
const DEADLINE: Duration = Duration::from_millis(1500);
/// Traffic before the entry appears, and from then to the end of all processes.
const QUIET: Duration = Duration::from_secs(5);
const WITH_ENTRY: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(1200);
/// `recoverS`, and the time after it in which requests are counted.
const RECOVERY: Duration = Duration::from_secs(12);
const COUNTED: Duration = Duration::from_secs(12);

const CONFIGURATION: &str = r#"{"version":VERSION,"routes":[
{"name":"r-order","host":"h.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"shop-app","maxAttempts":1,"public":false,"sticky":false}],
"services":[{"name":"shop-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":2}]}"#;

fn configuration(version: u64) -> String {
    CONFIGURATION.replace("VERSION", &version.to_string())
}

fn serve_requests(mut connection: Connection, id: &str, record: &Record) {
    while let Some(request) = connection.read_message(None) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let stamp = format!("{id}.{attempt}");
        let mut headers = vec![("Attempt-Id", attempt.as_str()), ("Server-Stamp", &stamp)];
        let expected = request.header("expect-instance");
        let answer = if expected.is_some_and(|expected| expected != id) {
            headers.push(("Not-Executed", "1"));
            response("421 Misdirected Request", &headers, "")
        } else {
            record.line(&format!("server {id} runs {attempt}"));
            thread::sleep(WORK);
            response("200 OK", &headers, &format!("done {attempt}"))
        };
        if !connection.write(&answer) {
            return;
        }
    }
}

/// When an attempt was sent, and whether it was served.
type Attempt = (Instant, bool);

fn client(front: SocketAddr, running: &AtomicBool, record: &Record) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    let mut connection = None;
    while running.load(Ordering::Relaxed) {
        let sent = Instant::now();
        let id = attempt_id();
        let status = order(&mut connection, front, &id);
        record.line(&format!("client got {status} for {id}"));
        attempts.push((sent, status == 200));
        thread::sleep(Duration::from_millis(80));
    }
    attempts
}

/// Sends an order. Returns the status of the answer, 0 if there was none.
fn order(kept: &mut Option<Connection>, front: SocketAddr, id: &str) -> u16 {
    let Some(mut connection) = kept.take().or_else(|| Connection::open(front)) else {
        return 0;
    };
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token k1\r\nContent-Length: 5\r\n\r\norder",
        DEADLINE.as_millis()
    );
    connection.write(request.as_bytes());
    let answer = connection.read_message(Some(Instant::now() + DEADLINE));
    let status = answer.map_or(0, |answer| answer.status);
    *kept = (status != 0).then_some(connection);
    status
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(&case_folder().join("record.txt"));
    let mut cluster = Cluster::new(&record);
    let entries = Arc::new(Mutex::new(Vec::new()));
    for number in 0..SERVERS {
        let id = format!("i-shop-{number}");
        let address = SocketAddr::from((cluster.ip(31 + number as u8), 0));
        let (name, server_record) = (id.clone(), record.clone());
        let address = serve(address, move |connection| {
            serve_requests(connection, &name, &server_record);
        });
        let entry = listed(&id, "shop-app", address, ZONES[number], SLOTS);
        entries.lock().unwrap().push(entry);
    }
    serve_list(cluster.list_address(), Arc::clone(&entries));
    cluster.start_all(ENTRIES);
    if !cluster.submit(&configuration(1), Duration::from_secs(10))
        || !cluster.wait_ready(ENTRIES, Duration::from_secs(10))
    {
        record.say("the deployment did not start");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let running = Arc::new(AtomicBool::new(true));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = cluster.front(1 + (number as u8) % ENTRIES);
            let (running, record) = (Arc::clone(&running), record.clone());
            thread::spawn(move || client(front, &running, &record))
        })
        .collect();
    thread::sleep(QUIET);
    if has_trouble() {
        // A backslash before a full stop is no escape sequence of JSON.
        let entry = r#"{"service":"shop-app","address":"127.0.0.9:9","zone":"a","version":"v1\.2","slots":6,"state":"ready","coldLeftMs":0,"id":"i-other","born":1700000000000}"#;
        record.line(&format!("the list gets the unreadable entry {entry}"));
        entries.lock().unwrap().push(entry.to_owned());
    }
    thread::sleep(WITH_ENTRY);
    // The final fault comes right after one more change was acknowledged.
    if !cluster.submit(&configuration(2), Duration::from_secs(4)) {
        record.say("the last change was not acknowledged");
        return COULD_NOT_RUN;
    }
    let fault = Instant::now();
    for number in 1..=3 {
        cluster.kill(&format!("voter-{number}"));
    }
    for number in 1..=ENTRIES {
        cluster.kill(&format!("entry-{number}"));
    }
    thread::sleep(DOWN);
    for number in 1..=3 {
        cluster.start("voter", number, false);
    }
    for number in 1..=ENTRIES {
        cluster.start("entry", number, false);
    }
    let back = Instant::now();
    thread::sleep(RECOVERY + COUNTED);
    running.store(false, Ordering::Relaxed);
    let attempts: Vec<Attempt> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let share = |from: Instant, to: Option<Instant>| {
        let counted = attempts
            .iter()
            .filter(|(sent, _)| *sent >= from && to.is_none_or(|to| *sent < to));
        let counted: Vec<_> = counted.collect();
        let served = counted.iter().filter(|(_, is_served)| *is_served).count();
        (served, counted.len())
    };
    let before = share(began, Some(fault));
    let after = share(back + RECOVERY, None);
    let is_served = |(served, sent): (usize, usize)| sent > 0 && served * 4 >= sent;
    record.say(&format!(
        "served before the final fault: {} of {}; sent later than recoverS after the processes are \
         back: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    match (is_served(before), is_served(after)) {
        (false, _) => COULD_NOT_RUN,
        (true, true) => HELD,
        (true, false) => BROKEN,
    }
}
