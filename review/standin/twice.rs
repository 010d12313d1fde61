//! A server answers 503 `Not-Executed` and sends that answer a second time, late: at the point where
//! the next response is expected. Does a request that may run once run twice?

mod common;

use {
    common::*,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Two services of one server each. The answers of the first one's server are sent a second time.
const SERVICES: [&str; 2] = ["shop-app", "stock-app"];
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: f64 = 30.0;
/// Share of the answers of one of the two servers that are sent a second time.
const DOUBLED: f64 = 0.03;
/// Length of a spell of the disruption, and the time from one to the next.
const SPELL: Duration = Duration::from_secs(5);
const PERIOD: Duration = Duration::from_secs(6);
const CLIENTS: u64 = 48;
const TRAFFIC: Duration = Duration::from_secs(66);
/// Time to a server in another zone and back: 1.4 ms one way.
const ROUND_TRIP: Duration = Duration::from_micros(2800);
const DEADLINE_MS: u64 = 1500;

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"r-order","host":"h.example","pathPrefix":"/order/","type":"unsafe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"shop-app","maxAttempts":1,"public":false,"sticky":false},
{"name":"r-stock","host":"h.example","pathPrefix":"/stock/","type":"safe","timeoutMs":1500,"targetLatencyMs":150,"priority":2,"service":"stock-app","maxAttempts":2,"public":false,"sticky":false}],
"services":[{"name":"shop-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
{"name":"stock-app","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":2}]}"#;

struct Server {
    id: String,
    is_faulty: bool,
    slots: Slots,
    runs: Runs,
    /// Whether a spell of the disruption is on.
    spell: Arc<AtomicBool>,
    /// Answers in the spells, and those of them that were sent a second time.
    answers: Shared<(u64, u64)>,
    record: Record,
}

impl Server {
    fn serve(&self, mut connection: Connection) {
        let mut random = Random::new(
            connection
                .stream
                .peer_addr()
                .map_or(1, |peer| peer.port().into()),
        );
        let mut second: Option<Vec<u8>> = None;
        while let Some(request) = connection.read_message(None) {
            // The late second copy of the answer before comes first.
            if let Some(late) = second.take()
                && !connection.write(&late)
            {
                return;
            }
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            thread::sleep(ROUND_TRIP);
            let Some(answer) = self.answer(&request, &id, &mut random, &mut connection) else {
                return;
            };
            if !connection.write(&answer) {
                return;
            }
            if self.doubles(&mut random) {
                self.record.line(&format!(
                    "server {} will send its answer to {id} again",
                    self.id
                ));
                second = Some(answer);
            }
        }
    }

    /// Whether to send this answer a second time. The share never exceeds the limit.
    fn doubles(&self, random: &mut Random) -> bool {
        if !self.is_faulty || !self.spell.load(Ordering::Relaxed) {
            return false;
        }
        let mut answers = self.answers.lock().unwrap();
        answers.0 += 1;
        let is_within = (answers.1 + 1) as f64 <= DOUBLED * answers.0 as f64;
        let doubles = is_within && random.unit() < 2.0 * DOUBLED;
        answers.1 += u64::from(doubles);
        doubles
    }

    /// Runs a request and returns the answer. None if the connection was closed while the request
    /// waited, which then doesn't run.
    fn answer(
        &self,
        request: &Message,
        id: &str,
        random: &mut Random,
        connection: &mut Connection,
    ) -> Option<Vec<u8>> {
        let stamp = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("Attempt-Id", id),
            ("Server-Stamp", &stamp),
            ("Instance-Id", &self.id),
        ];
        if request.start.get(1).is_some_and(|path| path == "/health") {
            return Some(response("200 OK", &headers, ""));
        }
        headers.push(("Not-Executed", "1"));
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return Some(response("421 Misdirected Request", &headers, ""));
        }
        if !self.slots.take() {
            self.record.line(&format!(
                "server {} is full: 503, {id} does not run",
                self.id
            ));
            return Some(response("503 Service Unavailable", &headers, "full"));
        }
        if connection.is_closed() {
            self.slots.release();
            return None;
        }
        self.record.line(&format!("server {} runs {id}", self.id));
        self.runs
            .lock()
            .unwrap()
            .entry(id.to_owned())
            .or_default()
            .push(self.id.clone());
        let work = WORK_MS * (0.5 + random.unit());
        thread::sleep(Duration::from_micros((work * 1000.0) as u64));
        self.slots.release();
        headers.pop();
        Some(response("200 OK", &headers, &format!("done {id}")))
    }
}

struct Tallies {
    /// The status that each attempt got.
    statuses: Mutex<HashMap<String, u16>>,
}

/// Sends orders one after the other, and retries once after a refusal, as the client it stands for.
fn client(
    (front, number): (SocketAddr, u64),
    until: Instant,
    tallies: Arc<Tallies>,
    record: Record,
) {
    let mut random = Random::new(number);
    let mut kept: Option<Connection> = None;
    while Instant::now() < until {
        // Time to think.
        thread::sleep(Duration::from_micros((random.unit() * 60_000.0) as u64));
        let first = order(&mut kept, front, &tallies, &record);
        if let Some(wait) = first {
            thread::sleep(Duration::from_secs_f64(wait.min(0.5)));
            order(&mut kept, front, &tallies, &record);
        }
    }
}

/// Sends one attempt. Returns the time to wait if it was refused.
fn order(
    kept: &mut Option<Connection>,
    front: SocketAddr,
    tallies: &Tallies,
    record: &Record,
) -> Option<f64> {
    let mut connection = kept.take().or_else(|| Connection::open(front))?;
    let id = attempt_id();
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token k1\r\nContent-Length: 5\r\n\r\norder"
    );
    connection.write(request.as_bytes());
    let until = Instant::now() + Duration::from_millis(DEADLINE_MS);
    let answer = connection.read_message(Some(until));
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    record.line(&format!("client got {status} for {id}"));
    tallies.statuses.lock().unwrap().insert(id, status);
    let answer = answer?;
    let wait = answer
        .header("retry-after")
        .and_then(|value| value.parse().ok());
    if !answer
        .header("connection")
        .is_some_and(|value| value == "close")
    {
        *kept = Some(connection);
    }
    wait.filter(|_| status == 503)
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(&case_folder().join("record.txt"));
    let mut cluster = Cluster::new(&record);
    let runs: Runs = Runs::default();
    let spell = Arc::new(AtomicBool::new(false));
    let answers = Shared::<(u64, u64)>::default();
    let mut entries = Vec::new();
    for (number, service) in SERVICES.into_iter().enumerate() {
        let server = Arc::new(Server {
            id: format!("i-{service}"),
            is_faulty: number == 0,
            slots: Slots::new(SLOTS, QUEUE),
            runs: Arc::clone(&runs),
            spell: Arc::clone(&spell),
            answers: Arc::clone(&answers),
            record: record.clone(),
        });
        let id = server.id.clone();
        let address = SocketAddr::from((cluster.ip(31 + number as u8), 0));
        let address = serve(address, move |connection| server.serve(connection));
        let zone = ZONES[number];
        entries.push(listed(&id, service, address, zone, SLOTS as u32));
    }
    serve_list(cluster.list_address(), Arc::new(Mutex::new(entries)));
    cluster.start_all(2);
    if !cluster.submit(CONFIGURATION, Duration::from_secs(10))
        || !cluster.wait_ready(2, Duration::from_secs(10))
    {
        record.say("the deployment did not start");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(4));
    let until = Instant::now() + TRAFFIC;
    let tallies = Arc::new(Tallies {
        statuses: Mutex::default(),
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = cluster.front(1 + (number % 2) as u8);
            let (tallies, record) = (Arc::clone(&tallies), record.clone());
            thread::spawn(move || client((front, number), until, tallies, record))
        })
        .collect();
    while Instant::now() < until {
        spell.store(has_trouble(), Ordering::Relaxed);
        thread::sleep(SPELL);
        spell.store(false, Ordering::Relaxed);
        thread::sleep(PERIOD - SPELL);
    }
    clients.into_iter().for_each(|client| _ = client.join());
    thread::sleep(Duration::from_secs(2));
    let answers = *answers.lock().unwrap();
    let (runs, statuses) = (runs.lock().unwrap(), tallies.statuses.lock().unwrap());
    let count = |wanted: u16| {
        statuses
            .values()
            .filter(|status| **status == wanted)
            .count()
    };
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    let refused = |id: &&String| matches!(statuses.get(*id), Some(408 | 421 | 429 | 503));
    let false_refusals: Vec<_> = runs.keys().filter(refused).collect();
    for (id, servers) in &twice {
        record.line(&format!(
            "BROKEN, TWICE: {id} ran at {}",
            servers.join(" and ")
        ));
    }
    for id in &false_refusals {
        record.line(&format!("BROKEN, REFUSED: {id} was refused and has run"));
    }
    record.say(&format!(
        "attempts {}, of them 200: {}, 503: {}, 502: {}, 504: {}, none: {}; answers sent a second time: {} of {} in the spells; \
         ran twice: {}; refused though they ran: {}",
        statuses.len(),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0),
        answers.1,
        answers.0,
        twice.len(),
        false_refusals.len(),
    ));
    match (count(200), twice.len() + false_refusals.len()) {
        (0, _) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}
