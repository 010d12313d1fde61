//! The arrivals of a run, which depend only on its settings and seed.

use {
    crate::{
        config::Config,
        workload::{Payload, RequestKind},
    },
    rand::{
        Rng, SeedableRng,
        distr::{Distribution, weighted::WeightedIndex},
        rngs::StdRng,
    },
    std::time::Duration,
};

/// A planned request.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number of the request within the run, from 0.
    pub number: u64,
    /// Arrival time, relative to the start of the run.
    pub at: Duration,
    /// Index of the organisation in the settings.
    pub organisation: usize,
    pub kind: RequestKind,
    pub payload: Payload,
    /// How the caller reads the answer.
    pub read_mode: ReadMode,
}

/// How a caller reads an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// Completely and as fast as it arrives.
    Whole,
    /// Until the given number of tokens has arrived; then the caller disconnects.
    LeaveAfter(u64),
    /// Completely, with a pause after each chunk and a small receive buffer.
    Slow,
}

/// Iterator over the arrivals of a run. Times between arrivals are exponentially distributed.
#[derive(Debug)]
pub struct Plan<'a> {
    config: &'a Config,
    random: StdRng,
    organisations: WeightedIndex<f64>,
    kinds: Vec<RequestKind>,
    weights: WeightedIndex<f64>,
    number: u64,
    at: f64,
}

impl<'a> Plan<'a> {
    /// Creates the plan of a run.
    ///
    /// # Panics
    ///
    /// Panics if there are no organisations, or if the share of plain calls is not between 0 and 1.
    /// The command line rules out both.
    pub fn new(config: &'a Config) -> Self {
        let shares = (1..=config.organisations.len()).map(|i| (i as f64).powf(-config.skew));
        let mix = config.workload.mix();
        let default_plain_share: f64 = plain_weight(mix);
        let plain_share = config.plain_share.unwrap_or(default_plain_share);
        let weights = mix.iter().map(|(kind, weight)| match kind.is_plain() {
            true => weight / default_plain_share * plain_share,
            false => weight / (1.0 - default_plain_share) * (1.0 - plain_share),
        });
        Self {
            random: StdRng::seed_from_u64(config.seed),
            organisations: WeightedIndex::new(shares).expect("there are organisations"),
            kinds: mix.iter().map(|(kind, _)| *kind).collect(),
            weights: WeightedIndex::new(weights).expect("the weights are positive"),
            number: 0,
            at: 0.0,
            config,
        }
    }

    fn read_mode(&mut self, payload: &Payload) -> ReadMode {
        let Payload::Generate(prompt) = payload else {
            return ReadMode::Whole;
        };
        let draw: f64 = self.random.random();
        if draw < self.config.leave_share {
            return ReadMode::LeaveAfter(self.random.random_range(1..=prompt.tokens));
        }
        if draw < self.config.leave_share + self.config.slow_share {
            return ReadMode::Slow;
        }
        ReadMode::Whole
    }
}

impl Iterator for Plan<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        self.at += -uniform.ln() / self.config.rate;
        if self.at >= self.config.duration.as_secs_f64() {
            return None;
        }
        let number = self.number;
        self.number += 1;
        let organisation = self.organisations.sample(&mut self.random);
        let kind = self.kinds[self.weights.sample(&mut self.random)];
        let name = &self.config.organisations[organisation].name;
        let payload = kind.random_payload(number, name, &self.config.model, &mut self.random);
        Some(Arrival {
            number,
            at: Duration::try_from_secs_f64(self.at).unwrap_or(Duration::MAX),
            organisation,
            kind,
            read_mode: self.read_mode(&payload),
            payload,
        })
    }
}

fn plain_weight(mix: &[(RequestKind, f64)]) -> f64 {
    mix.iter()
        .filter(|(kind, _)| kind.is_plain())
        .map(|(_, weight)| weight)
        .sum()
}
