//! Execution of a single request, from its intended arrival to its end.

use {
    crate::{
        check::{ApiError, Checker, StreamEnd, Violation, ViolationKind},
        client::Client,
        config::Config,
        measure::{ExecutionStatus, Outcome, Sample, Stage, TokenTimings},
        plan::{Arrival, ReadMode},
        workload::{Call, Payload, Prompt},
    },
    bytes::Bytes,
    compact_str::{CompactString, ToCompactString, format_compact},
    http::{Request, Response, StatusCode, header, request},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    sardinerelay_standin::service::{CallResponse, digest},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::{sleep, timeout_at},
    uuid::{Builder, Uuid},
};

/// Maximum number of times that a call with an idempotency key is sent if its response is lost.
const MAX_KEYED_ATTEMPTS: u32 = 3;
/// Pause before a call with an idempotency key is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(200);

/// What all requests of a run share. It executes them.
#[derive(Debug)]
pub struct Runner {
    /// Settings of the run.
    pub config: Config,
    /// HTTP client for all requests.
    pub client: Client,
    /// Unique id of the run and prefix of all request ids.
    pub run_id: CompactString,
    /// Start of the run, to which arrival times are relative.
    pub start: Instant,
}

/// Progress of one stream. It is kept when the timeout drops the future that reads the stream.
struct Stream {
    checker: Checker,
    timings: TokenTimings,
    done_at: Option<Instant>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    error: ApiError,
}

impl Runner {
    /// Sends the request of an arrival, reads the answer and returns the measurements.
    pub async fn execute(&self, arrival: Arrival) -> Sample {
        let intended = self.start + arrival.at;
        let sample = Sample {
            kind: arrival.kind,
            organisation: arrival.organisation,
            id: format_compact!("{}-{}", self.run_id, arrival.number),
            intended,
            lateness: Instant::now().saturating_duration_since(intended),
            outcome: Outcome::TimedOut,
            ended: intended,
            timings: TokenTimings::default(),
            tokens: 0,
            demanded: 0,
            preemptions: 0,
            is_slow: arrival.read_mode == ReadMode::Slow,
            attempts: 0,
            execution: ExecutionStatus::Unknown,
            violations: Vec::new(),
        };
        match &arrival.payload {
            Payload::Generate(prompt) => self.generate(&arrival, prompt, sample).await,
            Payload::Call(call) => self.call(&arrival, call, sample).await,
        }
    }

    async fn generate(&self, arrival: &Arrival, prompt: &Prompt, mut sample: Sample) -> Sample {
        let mut stream = Stream {
            checker: Checker::new(sample.id.clone(), prompt.fingerprint, prompt.tokens),
            timings: TokenTimings::default(),
            done_at: None,
        };
        let deadline = (sample.intended + self.config.timeout).into();
        let reading = self.read_stream(arrival, prompt, &sample.id, &mut stream);
        let outcome = match timeout_at(deadline, reading).await {
            Ok(outcome) => outcome,
            Err(_) if stream.done_at.is_some() => Outcome::Whole,
            Err(_) => Outcome::TimedOut,
        };
        sample.attempts = 1;
        sample.ended = stream.done_at.unwrap_or_else(Instant::now);
        if !matches!(outcome, Outcome::Whole | Outcome::Left) {
            stream.timings.end_early(sample.ended);
        }
        sample.demanded = match arrival.read_mode {
            ReadMode::LeaveAfter(tokens) => tokens,
            ReadMode::Whole | ReadMode::Slow => prompt.tokens,
        };
        sample.execution = execution_status(&outcome);
        sample.outcome = outcome;
        sample.tokens = stream.checker.tokens();
        sample.preemptions = stream.checker.preemptions;
        sample.violations = stream.checker.violations;
        sample.timings = stream.timings;
        sample
    }

    async fn read_stream(
        &self,
        arrival: &Arrival,
        prompt: &Prompt,
        id: &str,
        stream: &mut Stream,
    ) -> Outcome {
        let server = server_in_rotation(&self.config.servers, arrival.number);
        let request = self
            .request(arrival, "POST", server, prompt.path)
            .header("x-request-id", id)
            .header(header::ACCEPT, "text/event-stream")
            .body(Full::from(prompt.body.clone()))
            .expect("the headers are valid");
        let is_slow = arrival.read_mode == ReadMode::Slow;
        let response = match self.client.send(request, is_slow).await {
            Ok(response) => response,
            Err(error) => return connection_failure(&error),
        };
        if response.status() != StatusCode::OK {
            return refused(response).await;
        }
        let pause = match arrival.read_mode {
            ReadMode::Slow => self.config.slow_pause,
            ReadMode::LeaveAfter(_) | ReadMode::Whole => Duration::ZERO,
        };
        let body = response.into_body();
        stream.read(body, arrival.read_mode, pause).await
    }

    async fn call(&self, arrival: &Arrival, call: &Call, mut sample: Sample) -> Sample {
        if let Some(random) = &call.key {
            sample.id = idempotency_key(random);
        }
        let deadline = (sample.intended + self.config.timeout).into();
        let request_id = format_compact!("{}-{}", self.run_id, arrival.number);
        let mut all_not_run = true;
        loop {
            let attempt = self.attempt(arrival, call, &request_id, &mut sample);
            sample.outcome = match timeout_at(deadline, attempt).await {
                Ok(outcome) => outcome,
                Err(_) => Outcome::TimedOut,
            };
            all_not_run &= execution_status(&sample.outcome) == ExecutionStatus::NotRun;
            let is_lost = matches!(sample.outcome, Outcome::Broken(_));
            if !is_lost || call.key.is_none() || sample.attempts >= MAX_KEYED_ATTEMPTS {
                break;
            }
            sleep(RESEND_PAUSE).await;
        }
        sample.ended = Instant::now();
        sample.execution = match execution_status(&sample.outcome) {
            ExecutionStatus::NotRun if !all_not_run => ExecutionStatus::Unknown,
            status => status,
        };
        sample
    }

    async fn attempt(
        &self,
        arrival: &Arrival,
        call: &Call,
        request_id: &str,
        sample: &mut Sample,
    ) -> Outcome {
        let servers = match self.config.plain_servers.is_empty() {
            true => &self.config.servers,
            false => &self.config.plain_servers,
        };
        let server = server_in_rotation(servers, arrival.number + u64::from(sample.attempts));
        sample.attempts += 1;
        let mut request = self
            .request(arrival, call.method, server, &call.path)
            .header("x-request-id", request_id);
        if call.key.is_some() {
            request = request.header("idempotency-key", sample.id.as_str());
        }
        let request = request
            .body(Full::from(call.body.clone()))
            .expect("the headers are valid");
        let response = match self.client.send(request, false).await {
            Ok(response) => response,
            Err(error) => return connection_failure(&error),
        };
        if !response.status().is_success() {
            return refused(response).await;
        }
        match response.into_body().collect().await {
            Ok(body) => {
                let violations = check_response(call, &sample.id, &body.to_bytes());
                sample.violations.extend(violations);
                Outcome::Whole
            }
            Err(_) => Outcome::Broken(Stage::Body),
        }
    }

    fn request(
        &self,
        arrival: &Arrival,
        method: &str,
        server: SocketAddr,
        path: &str,
    ) -> request::Builder {
        let organisation = &self.config.organisations[arrival.organisation];
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        match &organisation.key {
            Some(key) => builder.header(header::AUTHORIZATION, format!("Bearer {key}")),
            None => builder.header("x-organisation", organisation.name.as_str()),
        }
    }
}

impl Stream {
    async fn read(&mut self, mut body: Incoming, read_mode: ReadMode, pause: Duration) -> Outcome {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return match self.checker.end.clone() {
                    StreamEnd::Done => Outcome::Whole,
                    StreamEnd::Failed(error) => Outcome::Failed(error),
                    StreamEnd::Open => Outcome::Broken(Stage::Body),
                };
            };
            if let Ok(data) = frame.into_data() {
                self.push(&data);
            }
            if let ReadMode::LeaveAfter(tokens) = read_mode
                && self.checker.tokens() >= tokens
            {
                return Outcome::Left;
            }
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
        self.checker.finish();
        match self.checker.end.clone() {
            StreamEnd::Done => Outcome::Whole,
            StreamEnd::Failed(error) => Outcome::Failed(error),
            StreamEnd::Open => Outcome::Broken(Stage::Body),
        }
    }

    fn push(&mut self, data: &Bytes) {
        let now = Instant::now();
        let tokens = self.checker.push(data);
        if tokens > 0 {
            self.timings.record_tokens(tokens, now);
        }
        if self.checker.end == StreamEnd::Done {
            self.done_at.get_or_insert(now);
        }
    }
}

/// Checks that the response of a plain service belongs to the call, and that the call was executed
/// once.
fn check_response(call: &Call, id: &CompactString, body: &[u8]) -> Vec<Violation> {
    let violation = |kind, detail| Violation {
        kind,
        request: id.clone(),
        detail,
    };
    let Ok(response) = serde_json::from_slice::<CallResponse>(body) else {
        let text = String::from_utf8_lossy(body);
        let excerpt = text.chars().take(80).collect();
        return vec![violation(ViolationKind::Malformed, excerpt)];
    };
    let mut violations = Vec::new();
    let is_foreign_key = call.key.is_some() && response.key != *id;
    if is_foreign_key
        || response.method != call.method
        || response.digest != digest(call.body.as_bytes())
    {
        let detail = format_compact!("answer to {} {}", response.method, response.path);
        violations.push(violation(ViolationKind::Crossed, detail));
    }
    if call.key.is_some() && response.count > 1 {
        let detail = format_compact!("the answer states {} runs", response.count);
        violations.push(violation(ViolationKind::RanTwice, detail));
    }
    violations
}

async fn refused(response: Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let Ok(body) = response.into_body().collect().await else {
        return Outcome::Broken(Stage::Body);
    };
    let body: ErrorBody = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
    Outcome::Refused(status, body.error)
}

fn connection_failure(error: &hyper_util::client::legacy::Error) -> Outcome {
    match error.is_connect() {
        true => Outcome::Broken(Stage::Connect),
        false => Outcome::Broken(Stage::Head),
    }
}

fn execution_status(outcome: &Outcome) -> ExecutionStatus {
    match outcome {
        Outcome::Whole | Outcome::Left => ExecutionStatus::Ran,
        Outcome::Refused(_, error) | Outcome::Failed(error) if error.run == "not_run" => {
            ExecutionStatus::NotRun
        }
        // Without a connection, no part of the request was sent.
        Outcome::Broken(Stage::Connect) => ExecutionStatus::NotRun,
        _ => ExecutionStatus::Unknown,
    }
}

/// Builds a UUIDv7 from the current time and the given random bytes, which come from the seed.
fn idempotency_key(random: &[u8; 10]) -> CompactString {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64);
    let key: Uuid = Builder::from_unix_timestamp_millis(now, random).into_uuid();
    key.to_compact_string()
}

fn server_in_rotation(servers: &[SocketAddr], number: u64) -> SocketAddr {
    servers[(number % servers.len() as u64) as usize]
}
