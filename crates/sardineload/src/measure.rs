//! Samples of single requests and what they add up to.

use {
    crate::{
        check::{Failure, Violation},
        workload::Kind,
    },
    compact_str::{CompactString, format_compact},
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Gap between tokens beyond which a stream counts as stalled.
pub const STALL_AFTER: Duration = Duration::from_millis(250);
/// Significant decimal digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole answer.
    Whole,
    /// Its caller left early, as planned.
    Left,
    /// It was refused with a status other than success.
    Refused(u16, Failure),
    /// A typed error ended its stream.
    Failed(Failure),
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
pub enum Knowledge {
    /// It was answered with success.
    Ran,
    /// Each attempt was refused as "not run".
    NotRun,
    /// Anything else.
    Unknown,
}

/// Token arrivals of one stream.
#[derive(Debug, Default)]
pub struct Pace {
    /// When the first token arrived.
    pub first: Option<Instant>,
    /// When the last token so far arrived.
    pub last: Option<Instant>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Time beyond [`STALL_AFTER`] in which no token arrived.
    pub stall: Duration,
    /// Tokens that arrived, with their time.
    pub arrived: Vec<(Instant, u64)>,
}

/// One request.
#[derive(Debug)]
pub struct Sample {
    /// Kind of request.
    pub kind: Kind,
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
    pub pace: Pace,
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
    pub knowledge: Knowledge,
    /// Violations found in its answer.
    pub violations: Vec<Violation>,
}

/// Histograms and counts of one kind of request.
#[derive(Debug)]
pub struct Stats {
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
    pub first: Histogram<u64>,
    /// Time between tokens in microseconds.
    pub between: Histogram<u64>,
    /// Time to the whole answer in microseconds.
    pub whole: Histogram<u64>,
    /// Stall time.
    pub stall: Duration,
    /// Streams with any stall time.
    pub stalled: u64,
}

/// What one organisation got.
#[derive(Debug, Default, Clone)]
pub struct Account {
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
pub struct Second {
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
    close: Instant,
    /// End of the last request.
    pub end: Instant,
    /// By kind of request.
    pub kinds: BTreeMap<Kind, Stats>,
    /// All kinds that generate.
    pub generations: Stats,
    /// By organisation.
    pub organisations: Vec<Account>,
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
    pub seconds: Vec<Second>,
    /// Requests for the check after the run: those refused as "not run", and all keyed calls.
    pub known: Vec<(CompactString, Kind, Knowledge)>,
}

impl Pace {
    /// Notes that tokens arrived.
    pub fn arrive(&mut self, tokens: u64, now: Instant) {
        if let Some(last) = self.last {
            self.gap(now.duration_since(last));
            self.gaps.push(now.duration_since(last));
        }
        // Tokens of one chunk after the first follow without a gap.
        self.gaps.extend((1..tokens).map(|_| Duration::ZERO));
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.arrived.push((now, tokens));
    }

    /// Notes that a started stream ended without its last token, so that the wait for the missing
    /// token counts as stall time.
    pub fn give_up(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.gap(now.duration_since(last));
        }
    }

    fn tokens_until(&self, close: Instant) -> u64 {
        let within = self.arrived.iter().filter(|(at, _)| *at <= close);
        within.map(|(_, tokens)| tokens).sum()
    }

    fn gap(&mut self, gap: Duration) {
        self.stall += gap.saturating_sub(STALL_AFTER);
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

impl Stats {
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
            first: histogram(),
            between: histogram(),
            whole: histogram(),
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
        self.started += u64::from(sample.pace.first.is_some() || answered);
        match sample.pace.first {
            Some(first) => record(&mut self.first, since(first)),
            // A wait that was given up is a lower bound; leaving it out would hide the longest.
            None if sample.outcome == Outcome::TimedOut && !plain => {
                record(&mut self.first, since(sample.ended));
            }
            None => {}
        }
        if sample.is_good() && !sample.slow {
            record(&mut self.whole, since(sample.ended));
        }
        if !sample.slow {
            for gap in &sample.pace.gaps {
                record(&mut self.between, *gap);
            }
            self.stall += sample.pace.stall;
            self.stalled += u64::from(!sample.pace.stall.is_zero());
        }
    }
}

impl Totals {
    /// Nothing yet, for a run whose requests arrive from `start` on for `duration`.
    pub fn new(organisations: usize, start: Instant, duration: Duration) -> Self {
        Self {
            start,
            close: start + duration,
            end: start,
            kinds: BTreeMap::new(),
            generations: Stats::new(),
            organisations: vec![Account::default(); organisations],
            refusals: BTreeMap::new(),
            violations: Vec::new(),
            lateness: histogram(),
            preemptions: 0,
            tokens: 0,
            good_tokens: 0,
            good_answers: 0,
            seconds: Vec::new(),
            known: Vec::new(),
        }
    }

    /// Adds a request that has ended.
    pub fn add(&mut self, mut sample: Sample) {
        self.kinds
            .entry(sample.kind)
            .or_insert_with(Stats::new)
            .add(&sample);
        if !sample.kind.is_plain() {
            self.generations.add(&sample);
        }
        self.end = self.end.max(sample.ended);
        self.preemptions += sample.preemptions;
        self.tokens += sample.tokens;
        if sample.is_good() && !sample.kind.is_plain() {
            self.good_tokens += sample.pace.tokens_until(self.close);
            self.good_answers += u64::from(sample.ended <= self.close);
        }
        record(&mut self.lateness, sample.lateness);
        self.account(&sample);
        self.time(&sample);
        self.refusal(&sample);
        self.violations.append(&mut sample.violations);
        let keyed = matches!(sample.kind, Kind::Order | Kind::Claim);
        if keyed || sample.knowledge == Knowledge::NotRun {
            self.known.push((sample.id, sample.kind, sample.knowledge));
        }
    }

    fn account(&mut self, sample: &Sample) {
        let account = &mut self.organisations[sample.organisation];
        account.arrived += 1;
        account.demanded += sample.demanded;
        account.refused += u64::from(matches!(sample.outcome, Outcome::Refused(..)));
        if sample.is_served() {
            account.served += 1;
            account.tokens += sample.tokens.min(sample.demanded);
        }
    }

    fn time(&mut self, sample: &Sample) {
        for (instant, tokens) in &sample.pace.arrived {
            self.second(*instant).tokens += tokens;
        }
        let second = self.second(sample.ended);
        match sample.outcome {
            Outcome::Whole | Outcome::Left => {}
            Outcome::Refused(..) => second.refused += 1,
            Outcome::Failed(_) | Outcome::Broken(_) | Outcome::TimedOut => second.lost += 1,
        }
    }

    fn second(&mut self, instant: Instant) -> &mut Second {
        let index = instant.duration_since(self.start).as_secs() as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    fn refusal(&mut self, sample: &Sample) {
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
pub fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

fn histogram() -> Histogram<u64> {
    Histogram::new(DIGITS).expect("the number of digits is allowed")
}

/// Records with growth; `saturating_record` would clamp to the initial range of 2 microseconds.
fn record(histogram: &mut Histogram<u64>, time: Duration) {
    if let Err(error) = histogram.record(time.as_micros() as u64) {
        log::error!("a latency of {time:?} is not recorded: {error}");
    }
}
