//! The platform's list gets an entry from another writer, in which fields are missing. It names a
//! server of one service under another service. Do requests run at a service to which no
//! configuration sends them?

mod common;

use {
    common::*,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const SERVICES: [&str; 2] = ["shop-app", "stock-app"];
const SERVERS_PER_SERVICE: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(30);
const TRAFFIC: Duration = Duration::from_secs(20);
/// Time from the start of traffic to the entry of the other writer.
const QUIET: Duration = Duration::from_secs(6);
const CLIENTS: usize = 6;
const DEADLINE: Duration = Duration::from_millis(1500);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"r-order","host":"h.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"shop-app","maxAttempts":1,"public":false,"sticky":false},
{"name":"r-stock","host":"h.example","pathPrefix":"/stock/","type":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"stock-app","maxAttempts":2,"public":false,"sticky":false}],
"services":[{"name":"shop-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"stock-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":2}]}"#;

/// What ran where: service of the server, and the path.
type Log = Shared<Vec<(String, String)>>;

fn serve_requests(mut connection: Connection, id: &str, service: &str, log: &Log, record: &Record) {
    while let Some(request) = connection.read_message(None) {
        let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
        let path = request.start.get(1).cloned().unwrap_or_default();
        let stamp = format!("{id}.{attempt}");
        let mut headers = vec![
            ("Attempt-Id", attempt.as_str()),
            ("Server-Stamp", &stamp),
            ("Instance-Id", id),
        ];
        let answer = if path == "/health" {
            response("200 OK", &headers, "")
        } else if request
            .header("expect-instance")
            .is_some_and(|expected| expected != id)
        {
            headers.push(("Not-Executed", "1"));
            response("421 Misdirected Request", &headers, "")
        } else {
            record.line(&format!("server {id} of {service} runs {attempt}, {path}"));
            log.lock().unwrap().push((service.to_owned(), path));
            thread::sleep(WORK);
            response("200 OK", &headers, &format!("{service} did {attempt}"))
        };
        if !connection.write(&answer) {
            return;
        }
    }
}

/// Sends requests of both routes one after the other. Returns the answers as status and body.
fn client(front: SocketAddr, until: Instant, record: &Record) -> Vec<(String, u16, String)> {
    let mut answers = Vec::new();
    let mut connection = None;
    for count in 0u64.. {
        if Instant::now() > until {
            break;
        }
        let Some(mut open) = connection.take().or_else(|| Connection::open(front)) else {
            continue;
        };
        let (method, path) = match count % 2 {
            0 => ("POST", "/order/1"),
            _ => ("GET", "/stock/1"),
        };
        let id = attempt_id();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {}\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n",
            DEADLINE.as_millis()
        );
        open.write(request.as_bytes());
        let answer = open.read_message(Some(Instant::now() + DEADLINE));
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        let body = body.unwrap_or_default();
        record.line(&format!(
            "client got {status} for {id}, {path}: {}",
            body.trim()
        ));
        if status != 0 {
            connection = Some(open);
        }
        answers.push((path.to_owned(), status, body));
        thread::sleep(Duration::from_millis(40));
    }
    answers
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(&case_folder().join("record.txt"));
    let mut cluster = Cluster::new(&record);
    let log = Log::default();
    let entries = Arc::new(Mutex::new(Vec::new()));
    let mut addresses = Vec::new();
    for (kind, service) in SERVICES.into_iter().enumerate() {
        for number in 0..SERVERS_PER_SERVICE {
            let id = format!("i-{service}-{number}");
            let address = SocketAddr::from((cluster.ip(31 + (kind * 3 + number) as u8), 0));
            let (log, record, name) = (Arc::clone(&log), record.clone(), id.clone());
            let address = serve(address, move |connection| {
                serve_requests(connection, &name, service, &log, &record);
            });
            let entry = listed(&id, service, address, ZONES[number], SLOTS);
            entries.lock().unwrap().push(entry);
            addresses.push((id, address));
        }
    }
    serve_list(cluster.list_address(), Arc::clone(&entries));
    cluster.start_all(2);
    if !cluster.submit(CONFIGURATION, Duration::from_secs(10))
        || !cluster.wait_ready(2, Duration::from_secs(10))
    {
        record.say("the deployment did not start");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = cluster.front(1 + (number % 2) as u8);
            let record = record.clone();
            thread::spawn(move || client(front, until, &record))
        })
        .collect();
    thread::sleep(QUIET);
    if has_trouble() {
        // Of a complete entry, `version`, `slots` and `coldLeftMs` are missing.
        let (id, address) = &addresses[SERVERS_PER_SERVICE];
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"a\",\"state\":\"ready\",\"id\":\"{id}\"}}",
            SERVICES[0]
        );
        record.line(&format!("the list gets the incomplete entry {entry}"));
        entries.lock().unwrap().push(entry);
    }
    let answers: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let log = log.lock().unwrap();
    let of_route = |service: &str, path: &str| match path.starts_with("/order/") {
        true => service == SERVICES[0],
        false => service == SERVICES[1],
    };
    let misrouted: Vec<_> = log
        .iter()
        .filter(|(service, path)| !of_route(service, path))
        .collect();
    let served = answers
        .iter()
        .filter(|(_, status, _)| *status == 200)
        .count();
    let foreign = answers.iter().filter(|(path, status, body)| {
        *status == 200 && !of_route(body.split(' ').next().unwrap_or_default(), path)
    });
    record.say(&format!(
        "requests {}, of them 200: {served}; runs {}; runs at a service that no configuration allows: {}; \
         successful answers of such a service: {}",
        answers.len(),
        log.len(),
        misrouted.len(),
        foreign.count(),
    ));
    match (served, misrouted.len()) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
