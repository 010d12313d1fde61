//! Samples of single requests and what they add up to.

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

/// Gap between tokens beyond which a stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole answer.
    Whole,
    /// Its caller left early, as planned.
    Left,
    /// It was refused with a status other than success.
    Refused(u16, ApiError),
    /// A typed error ended its stream.
    Failed(ApiError),
    /// The connection failed, at the stated stage.
    Broken(Stage),
    /// It was given up.
    TimedOut,
}

/// Stage at which a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The connection could not be opened.
    Connect,
    /// Before the head of the answer.
    Head,
    /// Within the answer.
    Body,
}

/// What the caller knows about the run of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It was answered with success.
    Ran,
    /// Each attempt was refused as "not run".
    NotRun,
    /// Anything else.
    Unknown,
}

/// Token arrivals of one stream.
#[derive(Debug, Default)]
pub struct TokenTimings {
    /// When the first token arrived.
    pub first_token: Option<Instant>,
    /// When the last token so far arrived.
    pub last_token: Option<Instant>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time beyond [`STALL_THRESHOLD`] in which no token arrived.
    pub stall: Duration,
    /// Tokens that arrived, with their time.
    pub arrived: Vec<(Instant, u64)>,
}

/// One request.
#[derive(Debug)]
pub struct Sample {
    /// Kind of request.
    pub kind: RequestKind,
    /// Index of its organisation.
    pub organisation: usize,
    /// Request id, or idempotency key if it has one.
    pub id: CompactString,
    /// When it should have arrived.
    pub intended: Instant,
    /// How much later it was sent.
    pub lateness: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended: Instant,
    /// Token arrivals.
    pub timings: TokenTimings,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens that the caller wanted to read.
    pub demanded: u64,
    /// Preemptions that the usage event states.
    pub preemptions: u64,
    /// Whether its caller reads slowly.
    pub slow: bool,
    /// How often it was sent.
    pub attempts: u32,
    /// What its caller knows about its run.
    pub execution: ExecutionStatus,
    /// Violations found in its answer.
    pub violations: Vec<Violation>,
}

/// Histograms and counts of one kind of request.
#[derive(Debug)]
pub struct RequestStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a first token, or plain calls with an answer.
    pub started: u64,
    /// Requests with a whole and correct answer.
    pub good: u64,
    /// Requests whose caller left as planned.
    pub left: u64,
    /// Refused requests.
    pub refused: u64,
    /// Requests whose stream ended with a typed error.
    pub failed: u64,
    /// Requests whose connection failed.
    pub broken: u64,
    /// Requests that were given up.
    pub timed_out: u64,
    /// Attempts beyond the first.
    pub resent: u64,
    /// Time to the first token in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens in microseconds.
    pub between_tokens_us: Histogram<u64>,
    /// Time to the whole answer in microseconds.
    pub whole_answer_us: Histogram<u64>,
    /// Stall time.
    pub stall: Duration,
    /// Streams with any stall time.
    pub stalled: u64,
}

/// What one organisation got.
#[derive(Debug, Default, Clone)]
pub struct OrganisationStats {
    /// Requests that arrived.
    pub arrived: u64,
    /// Whole and correct answers, and answers whose caller left as planned.
    pub served: u64,
    /// Refused requests.
    pub refused: u64,
    /// Tokens that its callers wanted to read.
    pub demanded: u64,
    /// Tokens of whole and correct answers and of those left as planned.
    pub tokens: u64,
}

/// One second of the run.
#[derive(Debug, Default, Clone)]
pub struct SecondStats {
    /// Tokens that arrived.
    pub tokens: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed, broke or were given up.
    pub lost: u64,
}

/// What all requests add up to.
#[derive(Debug)]
pub struct Totals {
    start: Instant,
    /// End of the arrival window.
    window_end: Instant,
    /// End of the last request.
    pub end: Instant,
    /// By kind of request.
    pub kinds: BTreeMap<RequestKind, RequestStats>,
    /// All kinds that generate.
    pub generations: RequestStats,
    /// By organisation.
    pub organisations: Vec<OrganisationStats>,
    /// Refusals and errors by status, code and whether the request ran.
    pub refusals: BTreeMap<CompactString, u64>,
    /// Violations in answers.
    pub violations: Vec<Violation>,
    /// How late requests were sent, in microseconds.
    pub lateness: Histogram<u64>,
    /// Preemptions that usage events state.
    pub preemptions: u64,
    /// Tokens that arrived.
    pub tokens: u64,
    /// Tokens of whole and correct answers that arrived within the arrival window.
    pub good_tokens: u64,
    /// Whole and correct generations that ended within the arrival window.
    pub good_answers: u64,
    /// By second from the start.
    pub seconds: Vec<SecondStats>,
    /// Requests for the check after the run: those refused as "not run", and all keyed calls.
    pub to_verify: Vec<(CompactString, RequestKind, ExecutionStatus)>,
}

impl TokenTimings {
    /// Notes that tokens arrived.
    pub fn record_tokens(&mut self, tokens: u64, now: Instant) {
        if let Some(last) = self.last_token {
            self.add_stall(now.duration_since(last));
            self.gaps.push(now.duration_since(last));
        }
        // Tokens of one chunk after the first follow without a gap.
        self.gaps.extend((1..tokens).map(|_| Duration::ZERO));
        self.first_token.get_or_insert(now);
        self.last_token = Some(now);
        self.arrived.push((now, tokens));
    }

    /// Notes that a started stream ended without its last token, so that the wait for the missing
    /// token counts as stall time.
    pub fn end_early(&mut self, now: Instant) {
        if let Some(last) = self.last_token {
            self.add_stall(now.duration_since(last));
        }
    }

    fn tokens_until(&self, window_end: Instant) -> u64 {
        let within = self.arrived.iter().filter(|(at, _)| *at <= window_end);
        within.map(|(_, tokens)| tokens).sum()
    }

    fn add_stall(&mut self, gap: Duration) {
        self.stall += gap.saturating_sub(STALL_THRESHOLD);
    }
}

impl Sample {
    /// Whether the answer is whole and correct.
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
        let plain = sample.kind.is_plain();
        let answered = plain && sample.outcome == Outcome::Whole;
        self.started += u64::from(sample.timings.first_token.is_some() || answered);
        match sample.timings.first_token {
            Some(first) => record(&mut self.first_token_us, since(first)),
            // A wait that was given up is a lower bound; leaving it out would hide the longest.
            None if sample.outcome == Outcome::TimedOut && !plain => {
                record(&mut self.first_token_us, since(sample.ended));
            }
            None => {}
        }
        if sample.is_good() && !sample.slow {
            record(&mut self.whole_answer_us, since(sample.ended));
        }
        if !sample.slow {
            for gap in &sample.timings.gaps {
                record(&mut self.between_tokens_us, *gap);
            }
            self.stall += sample.timings.stall;
            self.stalled += u64::from(!sample.timings.stall.is_zero());
        }
    }
}

impl Totals {
    /// Nothing yet, for a run whose requests arrive from `start` on for `duration`.
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
            lateness: histogram(),
            preemptions: 0,
            tokens: 0,
            good_tokens: 0,
            good_answers: 0,
            seconds: Vec::new(),
            to_verify: Vec::new(),
        }
    }

    /// Adds a request that has ended.
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
        record(&mut self.lateness, sample.lateness);
        self.add_to_organisation(&sample);
        self.add_to_seconds(&sample);
        self.add_refusal(&sample);
        self.violations.append(&mut sample.violations);
        let keyed = matches!(sample.kind, RequestKind::Order | RequestKind::Claim);
        if keyed || sample.execution == ExecutionStatus::NotRun {
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
        for (instant, tokens) in &sample.timings.arrived {
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

/// Jain's index of the shares: 1 if all are equal, 1/n if one has everything.
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

/// Records with growth; `saturating_record` would clamp to the initial range of 2 microseconds.
fn record(histogram: &mut Histogram<u64>, time: Duration) {
    if let Err(error) = histogram.record(time.as_micros() as u64) {
        log::error!("a latency of {time:?} is not recorded: {error}");
    }
}
