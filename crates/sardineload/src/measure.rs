//! Measurements of single requests and their totals.

use {
    crate::{
        check::{ApiError, Violation},
        workload::RequestKind,
    },
    compact_str::{CompactString, format_compact},
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time between tokens beyond which a stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Number of significant decimal digits in the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was received completely.
    Whole,
    /// The caller disconnected early, as planned.
    Left,
    /// The request was refused with the given HTTP status.
    Refused(u16, ApiError),
    /// The stream ended with an error event.
    Failed(ApiError),
    /// The connection failed at the given stage.
    Broken(Stage),
    /// The request was abandoned after the timeout.
    TimedOut,
}

/// Stage at which a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// While opening the connection.
    Connect,
    /// Before the head of the response was received.
    Head,
    /// While the body of the response was received.
    Body,
}

/// What the caller knows about the execution of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It was executed, since the caller got a successful response.
    Ran,
    /// It was not executed, since every attempt was refused as "not run" or could not connect.
    NotRun,
    /// It may have been executed.
    Unknown,
}

/// Arrival times of the tokens of one stream.
#[derive(Debug, Default)]
pub struct TokenTimings {
    /// Arrival of the first token.
    pub first_token: Option<Instant>,
    /// Arrival of the latest token.
    pub last_token: Option<Instant>,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Sum of the time beyond [`STALL_THRESHOLD`] in each gap between tokens.
    pub stall: Duration,
    /// Arrival time and number of tokens of each chunk.
    pub arrivals: Vec<(Instant, u64)>,
}

/// Measurements of one request.
#[derive(Debug)]
pub struct Sample {
    pub kind: RequestKind,
    /// Index of the organisation in the settings.
    pub organisation: usize,
    /// Idempotency key of the request if it has one, otherwise its request id.
    pub id: CompactString,
    /// Arrival time according to the plan. Latencies are measured from it.
    pub intended: Instant,
    /// How much later than intended the request was sent.
    pub lateness: Duration,
    pub outcome: Outcome,
    pub ended: Instant,
    /// Arrival times of the tokens.
    pub timings: TokenTimings,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of tokens that the caller intended to read.
    pub demanded: u64,
    /// Number of preemptions that the usage event states.
    pub preemptions: u64,
    /// Whether the caller reads slowly.
    pub is_slow: bool,
    /// Number of times that the request was sent.
    pub attempts: u32,
    pub execution: ExecutionStatus,
    /// Violations found in the answer.
    pub violations: Vec<Violation>,
}

/// Counts and latency histograms of one kind of request, or of all generations.
#[derive(Debug)]
pub struct RequestStats {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of generations with a first token and of plain calls with a response.
    pub started: u64,
    /// Number of requests with a complete and correct answer.
    pub good: u64,
    /// Number of requests whose caller disconnected early, as planned.
    pub left: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of requests whose stream ended with an error event.
    pub failed: u64,
    /// Number of requests whose connection failed.
    pub broken: u64,
    /// Number of requests that were abandoned after the timeout.
    pub timed_out: u64,
    /// Number of attempts after the first of each request.
    pub resent: u64,
    /// Time to the first token, in microseconds. For requests that timed out before it, the time
    /// until then.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens in microseconds, without slow readers.
    pub between_tokens_us: Histogram<u64>,
    /// Time to the complete and correct answer in microseconds, without slow readers.
    pub whole_answer_us: Histogram<u64>,
    /// Total stall time, without slow readers.
    pub stall: Duration,
    /// Number of streams with any stall time, without slow readers.
    pub stalled: u64,
}

/// Totals of one organisation.
#[derive(Debug, Default, Clone)]
pub struct OrganisationStats {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of complete and correct answers, and of correct ones whose caller disconnected as
    /// planned.
    pub served: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of tokens that the callers intended to read.
    pub demanded: u64,
    /// Number of demanded tokens that were received in served requests.
    pub tokens: u64,
}

/// Totals of one second of the run.
#[derive(Debug, Default, Clone)]
pub struct SecondStats {
    /// Number of tokens that arrived.
    pub tokens: u64,
    /// Number of refused requests, by the second in which they ended.
    pub refused: u64,
    /// Number of requests that ended with an error event, a failed connection or a timeout.
    pub lost: u64,
}

/// Totals of all requests of a run.
#[derive(Debug)]
pub struct Totals {
    start: Instant,
    /// End of the arrival window.
    window_end: Instant,
    /// End of the last request so far; the start of the run before the first one.
    pub end: Instant,
    /// Totals by kind of request.
    pub kinds: BTreeMap<RequestKind, RequestStats>,
    /// Totals of all generations.
    pub generations: RequestStats,
    /// Totals by organisation, in the order of the settings.
    pub organisations: Vec<OrganisationStats>,
    /// Number of refusals and errors by status, code and whether the request was executed.
    pub refusals: BTreeMap<CompactString, u64>,
    /// Violations found in answers.
    pub violations: Vec<Violation>,
    /// How much later than intended requests were sent, in microseconds.
    pub lateness_us: Histogram<u64>,
    /// Number of preemptions that usage events state.
    pub preemptions: u64,
    /// Number of tokens that arrived.
    pub tokens: u64,
    /// Number of tokens of complete and correct answers that arrived within the arrival window.
    pub good_tokens: u64,
    /// Number of complete and correct generations that ended within the arrival window.
    pub good_answers: u64,
    /// Totals by second since the start of the run.
    pub seconds: Vec<SecondStats>,
    /// Requests to verify against the stand-ins' records: those refused as "not run", and all calls
    /// with an idempotency key.
    pub to_verify: Vec<(CompactString, RequestKind, ExecutionStatus)>,
}

impl TokenTimings {
    /// Records the arrival of a chunk with the given number of tokens.
    pub fn record_tokens(&mut self, tokens: u64, now: Instant) {
        if let Some(last) = self.last_token {
            self.add_stall(now.duration_since(last));
            self.gaps.push(now.duration_since(last));
        }
        // The other tokens of the chunk arrive together with its first.
        self.gaps.extend((1..tokens).map(|_| Duration::ZERO));
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.arrivals.push((now, tokens));
    }

    /// Records the end of a stream that has started but lacks its last token, so that the wait for
    /// the missing token counts as stall time.
    pub fn end_early(&mut self, now: Instant) {
        if let Some(last) = self.last_token {
            self.add_stall(now.duration_since(last));
        }
    }

    fn tokens_until(&self, window_end: Instant) -> u64 {
        let within = self.arrivals.iter().filter(|(at, _)| *at <= window_end);
        within.map(|(_, tokens)| tokens).sum()
    }

    fn add_stall(&mut self, gap: Duration) {
        self.stall += gap.saturating_sub(STALL_THRESHOLD);
    }
}

impl Sample {
    /// Whether the answer is complete and correct.
    pub fn is_good(&self) -> bool {
        self.outcome == Outcome::Whole && self.violations.is_empty()
    }

    fn is_served(&self) -> bool {
        self.is_good() || (self.outcome == Outcome::Left && self.violations.is_empty())
    }
}

impl RequestStats {
    fn new() -> Self {
        Self {
            arrived: 0,
            started: 0,
            good: 0,
            left: 0,
            refused: 0,
            failed: 0,
            broken: 0,
            timed_out: 0,
            resent: 0,
            first_token_us: histogram(),
            between_tokens_us: histogram(),
            whole_answer_us: histogram(),
            stall: Duration::ZERO,
            stalled: 0,
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.arrived += 1;
        self.good += u64::from(sample.is_good());
        self.resent += u64::from(sample.attempts.saturating_sub(1));
        match sample.outcome {
            Outcome::Whole => {}
            Outcome::Left => self.left += 1,
            Outcome::Refused(..) => self.refused += 1,
            Outcome::Failed(_) => self.failed += 1,
            Outcome::Broken(_) => self.broken += 1,
            Outcome::TimedOut => self.timed_out += 1,
        }
        let since = |instant: Instant| instant.duration_since(sample.intended);
        let is_plain = sample.kind.is_plain();
        let is_answered = is_plain && sample.outcome == Outcome::Whole;
        self.started += u64::from(sample.timings.first_token.is_some() || is_answered);
        match sample.timings.first_token {
            Some(first) => record(&mut self.first_token_us, since(first)),
            // The time until the timeout is a lower bound. Omitting it would hide the longest
            // waits.
            None if sample.outcome == Outcome::TimedOut && !is_plain => {
                record(&mut self.first_token_us, since(sample.ended));
            }
            None => {}
        }
        if sample.is_good() && !sample.is_slow {
            record(&mut self.whole_answer_us, since(sample.ended));
        }
        if !sample.is_slow {
            for gap in &sample.timings.gaps {
                record(&mut self.between_tokens_us, *gap);
            }
            self.stall += sample.timings.stall;
            self.stalled += u64::from(!sample.timings.stall.is_zero());
        }
    }
}

impl Totals {
    /// Creates empty totals for a run whose requests arrive from `start` on for `duration`.
    pub fn new(organisations: usize, start: Instant, duration: Duration) -> Self {
        Self {
            start,
            window_end: start + duration,
            end: start,
            kinds: BTreeMap::new(),
            generations: RequestStats::new(),
            organisations: vec![OrganisationStats::default(); organisations],
            refusals: BTreeMap::new(),
            violations: Vec::new(),
            lateness_us: histogram(),
            preemptions: 0,
            tokens: 0,
            good_tokens: 0,
            good_answers: 0,
            seconds: Vec::new(),
            to_verify: Vec::new(),
        }
    }

    /// Adds the measurements of a request that has ended.
    pub fn add(&mut self, mut sample: Sample) {
        self.kinds
            .entry(sample.kind)
            .or_insert_with(RequestStats::new)
            .add(&sample);
        if !sample.kind.is_plain() {
            self.generations.add(&sample);
        }
        self.end = self.end.max(sample.ended);
        self.preemptions += sample.preemptions;
        self.tokens += sample.tokens;
        if sample.is_good() && !sample.kind.is_plain() {
            self.good_tokens += sample.timings.tokens_until(self.window_end);
            self.good_answers += u64::from(sample.ended <= self.window_end);
        }
        record(&mut self.lateness_us, sample.lateness);
        self.add_to_organisation(&sample);
        self.add_to_seconds(&sample);
        self.add_refusal(&sample);
        self.violations.append(&mut sample.violations);
        let has_key = matches!(sample.kind, RequestKind::Order | RequestKind::Claim);
        if has_key || sample.execution == ExecutionStatus::NotRun {
            self.to_verify
                .push((sample.id, sample.kind, sample.execution));
        }
    }

    fn add_to_organisation(&mut self, sample: &Sample) {
        let organisation = &mut self.organisations[sample.organisation];
        organisation.arrived += 1;
        organisation.demanded += sample.demanded;
        organisation.refused += u64::from(matches!(sample.outcome, Outcome::Refused(..)));
        if sample.is_served() {
            organisation.served += 1;
            organisation.tokens += sample.tokens.min(sample.demanded);
        }
    }

    fn add_to_seconds(&mut self, sample: &Sample) {
        for (instant, tokens) in &sample.timings.arrivals {
            self.second_mut(*instant).tokens += tokens;
        }
        let second = self.second_mut(sample.ended);
        match sample.outcome {
            Outcome::Whole | Outcome::Left => {}
            Outcome::Refused(..) => second.refused += 1,
            Outcome::Failed(_) | Outcome::Broken(_) | Outcome::TimedOut => second.lost += 1,
        }
    }

    fn second_mut(&mut self, instant: Instant) -> &mut SecondStats {
        let index = instant.duration_since(self.start).as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, SecondStats::default());
        }
        &mut self.seconds[index]
    }

    fn add_refusal(&mut self, sample: &Sample) {
        let name = match &sample.outcome {
            Outcome::Whole | Outcome::Left => return,
            Outcome::Refused(status, failure) => {
                format_compact!("{status} {} {}", failure.code, failure.run)
            }
            Outcome::Failed(failure) => {
                format_compact!("stream {} {}", failure.code, failure.run)
            }
            Outcome::Broken(Stage::Connect) => "broken while connecting".into(),
            Outcome::Broken(Stage::Head) => "broken before the answer".into(),
            Outcome::Broken(Stage::Body) => "broken within the answer".into(),
            Outcome::TimedOut => "given up".into(),
        };
        *self.refusals.entry(name).or_default() += 1;
    }

    /// Time from the start to the end of the last request.
    pub fn elapsed(&self) -> Duration {
        self.end.duration_since(self.start)
    }
}

/// Returns Jain's fairness index of the shares: 1 if all are equal, 1/n if one of n has everything.
/// It is 1 if all are 0.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(HISTOGRAM_DIGITS).expect("the number of digits is allowed")
}

/// Records a value, for which the histogram grows if necessary. `saturating_record` would clamp it
/// to the initial range of 2 microseconds.
fn record(histogram: &mut Histogram<u64>, time: Duration) {
    if let Err(error) = histogram.record(time.as_micros() as u64) {
        log::error!("latency of {time:?} cannot be recorded: {error}");
    }
}
