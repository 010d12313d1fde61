//! The arrivals of a run, as a function of its settings and seed alone.

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

/// One request that is to arrive.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number within the run, from 0.
    pub number: u64,
    /// When it arrives, from the start of the run.
    pub at: Duration,
    /// Index of its organisation.
    pub organisation: usize,
    /// Kind of request.
    pub kind: RequestKind,
    /// The request.
    pub payload: Payload,
    /// How its caller reads the answer.
    pub read_mode: ReadMode,
}

/// How a caller reads its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadMode {
    /// To the end, as fast as it arrives.
    Whole,
    /// Until this many tokens have arrived, then disconnects.
    LeaveAfter(u64),
    /// To the end, with pauses and a small receive buffer.
    Slow,
}

/// Iterator over the arrivals of a run.
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
    /// Plans a run.
    ///
    /// # Panics
    ///
    /// If there are no organisations, or if a plain share outside 0 to 1 is set; the command line
    /// rules both out.
    pub fn new(config: &'a Config) -> Self {
        let shares = (1..=config.organisations.len()).map(|i| (i as f64).powf(-config.skew));
        let mix = config.workload.mix();
        let default_plain: f64 = plain_weight(mix);
        let plain = config.plain_share.unwrap_or(default_plain);
        let weights = mix.iter().map(|(kind, weight)| match kind.is_plain() {
            true => weight / default_plain * plain,
            false => weight / (1.0 - default_plain) * (1.0 - plain),
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
            at: Duration::from_secs_f64(self.at),
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
