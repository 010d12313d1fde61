//! A model server that fails part of its requests sends the head of a failure and then a body
//! without end, until the caller closes. Do clients get an answer at the route's timeout?

mod common;

use {
    common::*,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const SERVERS: usize = 9;
/// One of nine servers (0.11) fails this share of its requests.
const FAILING: f64 = 0.4;
const SLOTS: u32 = 64;
const CAPACITY: u64 = 34_364;
const PROMPT_TOKENS: u64 = 1_100;
const EVENTS: u64 = 4;
const FIRST_EVENT: Duration = Duration::from_millis(120);
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Time between two parts of the body without end.
const DRIP: Duration = Duration::from_millis(100);
const CLIENTS: usize = 12;
const TRAFFIC: Duration = Duration::from_secs(85);
/// The route's `timeoutMs`, and how long clients wait.
const TIMEOUT: Duration = Duration::from_millis(2000);
const DEADLINE: Duration = Duration::from_millis(3500);
/// Time after the timeout in which the answer is due, by the rule.
const SLACK: Duration = Duration::from_millis(500);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"r-check","host":"h.example","pathPrefix":"/check/","type":"streaming","timeoutMs":2000,"targetLatencyMs":1500,"priority":0,"service":"assist-models","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":180}],
"services":[{"name":"assist-models","healthPath":"/health","maxConns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":34364,"kvBytes":262144,"linkMbps":38000.0,"moves":false,"backups":false,"stride":4,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1"],"priority":0}]}"#;

struct Engine {
    id: String,
    is_failing: bool,
    running: AtomicU64,
    /// Requests that the server has run, and those of them that failed.
    requests: Mutex<(u64, u64)>,
    record: Record,
}

impl Engine {
    fn serve(&self, mut connection: Connection) {
        let mut random = Random::new(
            connection
                .stream
                .peer_addr()
                .map_or(1, |peer| peer.port().into()),
        );
        while let Some(request) = connection.read_message(None) {
            let path = request.start.get(1).cloned().unwrap_or_default();
            if path == "/report" {
                let running = self.running.load(Ordering::Relaxed);
                let used = running * PROMPT_TOKENS;
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":0,\"queued\":0,\"running\":{running},\"kvUsed\":{used},\
                     \"kvTotal\":{CAPACITY},\"handles\":0,\"born\":1700000000000}}"
                );
                let json = [("Content-Type", "application/json")];
                if !connection.write(&response("200 OK", &json, &body)) {
                    return;
                }
                continue;
            }
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            self.running.fetch_add(1, Ordering::Relaxed);
            let is_open = self.answer(&mut connection, &request, &id, &mut random);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !is_open {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection is still open.
    fn answer(
        &self,
        connection: &mut Connection,
        request: &Message,
        id: &str,
        random: &mut Random,
    ) -> bool {
        let stamp = format!("{}.{id}", self.id);
        let mut headers = vec![("Attempt-Id", id), ("Server-Stamp", &stamp)];
        if request
            .header("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            headers.push(("Not-Executed", "1"));
            return connection.write(&response("421 Misdirected Request", &headers, ""));
        }
        self.record.line(&format!("server {} runs {id}", self.id));
        thread::sleep(FIRST_EVENT);
        if self.fails(random) {
            return match has_trouble() {
                true => self.fail_without_end(connection, id, &stamp),
                false => {
                    self.record
                        .line(&format!("server {} answers {id} with 500", self.id));
                    connection.write(&response("500 Internal Server Error", &headers, "failed"))
                }
            };
        }
        let mut is_open = connection.write(
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: {stamp}\r\nWeight-Versions: 1\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        );
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {id}\n\n");
            is_open &= connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            thread::sleep(EVENT_GAP);
        }
        is_open && connection.write(b"0\r\n\r\n")
    }

    /// Whether to fail this request. The share never exceeds the limit.
    fn fails(&self, random: &mut Random) -> bool {
        let mut requests = self.requests.lock().unwrap();
        requests.0 += 1;
        let is_within = (requests.1 + 1) as f64 <= FAILING * requests.0 as f64;
        let fails = self.is_failing && is_within && random.unit() < 2.0 * FAILING;
        requests.1 += u64::from(fails);
        fails
    }

    fn fail_without_end(&self, connection: &mut Connection, id: &str, stamp: &str) -> bool {
        self.record.line(&format!(
            "server {} answers {id} with 500 and a body without end",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: {id}\r\nServer-Stamp: {stamp}\r\n\
             Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = connection.write(head.as_bytes());
        while is_open && !connection.is_closed() {
            is_open = connection.write(b"8\r\n\xf3\x01noise!\r\n");
            thread::sleep(DRIP);
        }
        self.record
            .line(&format!("the caller of {id} has closed its connection"));
        false
    }
}

/// How one attempt ended: when its status arrived, and when its answer was complete.
struct Attempt {
    id: String,
    status: u16,
    head_after: Option<Duration>,
    complete_after: Option<Duration>,
}

fn client(front: SocketAddr, number: usize, until: Instant, record: &Record) -> Vec<Attempt> {
    let mut random = Random::new(number as u64 + 77);
    let mut attempts = Vec::new();
    while Instant::now() < until {
        if let Some(connection) = Connection::open(front) {
            attempts.push(check(connection, &mut random, record));
        }
        thread::sleep(Duration::from_millis(200 + random.next() % 600));
    }
    attempts
}

fn check(mut connection: Connection, random: &mut Random, record: &Record) -> Attempt {
    let id = attempt_id();
    let request = format!(
        "POST /check/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token k1\r\nModel: m\r\nToken-Count: {PROMPT_TOKENS},64\r\n\
         Prompt-Prefix: 5c1e07a2:350,{:x}:750\r\nContent-Length: 5\r\n\r\ncheck",
        DEADLINE.as_millis(),
        random.next() & 0xffff_ffff,
    );
    let began = Instant::now();
    connection.write(request.as_bytes());
    let until = Some(began + DEADLINE);
    let head = connection.read_head(until);
    let head_after = head.as_ref().map(|_| began.elapsed());
    let status = head.as_ref().map_or(0, |head| head.status);
    let mut complete_after = None;
    if let Some(head) = head {
        let is_complete = match head
            .header("content-length")
            .and_then(|value| value.parse().ok())
        {
            Some(length) => connection.read_exactly(length, until),
            None => connection.read_chunks(until),
        };
        complete_after = is_complete.then(|| began.elapsed());
    }
    let end = match complete_after {
        Some(after) => format!("complete after {} ms", after.as_millis()),
        None => format!(
            "not complete, left after {} ms",
            began.elapsed().as_millis()
        ),
    };
    record.line(&format!("client got {status} for {id}, {end}"));
    Attempt {
        id,
        status,
        head_after,
        complete_after,
    }
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create(&case_folder().join("record.txt"));
    let mut cluster = Cluster::new(&record);
    let mut entries = Vec::new();
    for number in 0..SERVERS {
        let engine = Arc::new(Engine {
            id: format!("i-model-{number}"),
            is_failing: number == 0,
            running: AtomicU64::new(0),
            requests: Mutex::default(),
            record: record.clone(),
        });
        let id = engine.id.clone();
        let address = SocketAddr::from((cluster.ip(31 + number as u8), 0));
        let address = serve(address, move |connection| engine.serve(connection));
        entries.push(listed(
            &id,
            "assist-models",
            address,
            ZONES[number % 3],
            SLOTS,
        ));
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
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = cluster.front(1 + (number % 2) as u8);
            let record = record.clone();
            thread::spawn(move || client(front, number, until, &record))
        })
        .collect();
    let attempts: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let count = |wanted: u16| {
        attempts
            .iter()
            .filter(|attempt| attempt.status == wanted)
            .count()
    };
    let is_late =
        |after: Option<Duration>, limit: Duration| after.is_none_or(|after| after > limit);
    let open = |attempt: &&Attempt| is_late(attempt.head_after, TIMEOUT);
    let unanswered: Vec<_> = attempts.iter().filter(open).collect();
    let late = unanswered
        .iter()
        .filter(|attempt| is_late(attempt.head_after, TIMEOUT + SLACK));
    let late: Vec<_> = late.collect();
    for attempt in &late {
        record.line(&format!(
            "BROKEN, CONFIG: {} had no answer {} ms after it was sent",
            attempt.id,
            (TIMEOUT + SLACK).as_millis()
        ));
    }
    let never = attempts
        .iter()
        .filter(|attempt| attempt.complete_after.is_none())
        .count();
    record.say(&format!(
        "attempts {}, of them 200: {}, 500: {}, 502: {}, 503: {}, 504: {}, none: {}; \
         without an answer at the route's timeout: {}, 0.5 s later: {}; never complete: {never}",
        attempts.len(),
        count(200),
        count(500),
        count(502),
        count(503),
        count(504),
        count(0),
        unanswered.len(),
        late.len(),
    ));
    // Eight or more, and over a quarter (the first rule on it: over half) of those that last longer.
    match (
        count(200),
        late.len() >= 8 && late.len() * 2 > unanswered.len(),
    ) {
        (0, _) => COULD_NOT_RUN,
        (_, false) => HELD,
        (_, true) => BROKEN,
    }
}
