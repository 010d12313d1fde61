//! Generator of the calls that arrive.

use {
    crate::{ENGINES, MEMORY_TOKENS, ORGANISATIONS, TICK, TICKS_PER_STEP},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

/// Share of the long answers whose callers disconnect after a random token.
const CANCEL_SHARE: f64 = 0.05;

/// The workload: which classes of calls arrive, and with which lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    Brakeline,
    Harakeke,
}

/// A caller's request, with the output length, which the schedulers don't know.
#[derive(Debug, Clone)]
pub struct Call {
    pub organisation: usize,
    pub class: &'static str,
    pub priority: u8,
    pub max_wait: Duration,
    pub prompt: u64,
    pub length: u64,
    /// Number of tokens after which the caller disconnects.
    pub cancel_at: Option<u64>,
}

/// Returns the requests per second that fill the engines' memory, from the average use of memory
/// over time of a call.
pub fn capacity(mix: Mix) -> f64 {
    let mut rng = StdRng::seed_from_u64(7);
    let samples = 200_000;
    let total: f64 = (0..samples)
        .map(|_| {
            let call = call(mix, &mut rng);
            let length = call.cancel_at.unwrap_or(call.length) as f64;
            length * (call.prompt as f64 + length / 2.0)
        })
        .sum();
    let step = (TICK * TICKS_PER_STEP as u32).as_secs_f64();
    (ENGINES as u64 * MEMORY_TOKENS) as f64 / (total / f64::from(samples) * step)
}

/// Draws a random call.
pub fn call(mix: Mix, rng: &mut StdRng) -> Call {
    // The weight of the n-th organisation is 1 / n, so that a few organisations are large.
    let weights: f64 = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).sum();
    let mut left = rng.random::<f64>() * weights;
    let organisation = (0..ORGANISATIONS)
        .find(|rank| {
            left -= 1.0 / (rank + 1) as f64;
            left <= 0.0
        })
        .unwrap_or(0);
    let long = rng.random_bool(match mix {
        Mix::Brakeline => 0.25,
        Mix::Harakeke => 0.6,
    });
    let (class, prompt, length) = match (mix, long) {
        (Mix::Brakeline, true) => {
            let steps = rng.random_range(10..=80);
            let length = (0..steps).map(|_| rng.random_range(30..=50)).sum();
            ("plan", rng.random_range(300..=900), length)
        }
        (Mix::Brakeline, false) => (
            "question",
            rng.random_range(60..=200),
            rng.random_range(20..=80),
        ),
        (Mix::Harakeke, true) if rng.random_bool(0.05) => {
            let tail = 600.0 * rng.random::<f64>().max(1e-9).powf(-1.0 / 1.2);
            (
                "draft",
                rng.random_range(100..=400),
                (tail as u64).min(8_000),
            )
        }
        (Mix::Harakeke, true) => (
            "draft",
            rng.random_range(100..=400),
            rng.random_range(100..=600),
        ),
        (Mix::Harakeke, false) => (
            "sorting",
            rng.random_range(150..=500),
            rng.random_range(5..=20),
        ),
    };
    let cancels = long && rng.random_bool(CANCEL_SHARE);
    let cancel_at = rng.random_range(1..=length);
    Call {
        organisation,
        class,
        priority: u8::from(long),
        max_wait: Duration::from_secs(if long { 30 } else { 5 }),
        prompt,
        length,
        cancel_at: cancels.then_some(cancel_at),
    }
}
