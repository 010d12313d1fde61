//! Online estimate of how many tokens a generation still produces.
//!
//! Output lengths are heavy-tailed and unknown in advance, so the estimate is a survival curve
//! over log-spaced buckets, conditional on the tokens generated so far. Counts are kept for
//! (organisation, model, class), (model, class) and model. The hazard of a finer level is shrunk
//! towards the coarser one, so that a rare key or a thin tail falls back smoothly. See
//! `docs/design/admission.md`.

mod cell;

pub use cell::{BUCKET_COUNT, MAX_OUTPUT_TOKENS};

use {
    crate::id::{Class, Model, Organisation},
    cell::{Cell, bucket, lower, prior_hazard, width},
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        mem::size_of,
    },
};

/// Levels with counts: model, (model, class) and (organisation, model, class).
const LEVELS: usize = 3;
/// Pseudo-observations by which the next coarser level pulls each level. The prior pulls little:
/// its heavy tail would otherwise dominate the forecast of models without one.
const SHRINKAGE: [f32; LEVELS] = [1.0, 4.0, 12.0];

/// What a request's output length is predicted from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The calling organisation.
    pub organisation: Organisation,
    /// The model asked for.
    pub model: Model,
    /// The request class.
    pub class: Class,
}

/// The observed length of one output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// The model ended the output after this many tokens.
    Complete(u64),
    /// The output was cut off after this many tokens, so its length is only known to be larger.
    Censored(u64),
}

/// Sizes of an [`Estimator`].
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Most cells kept. One cell holds the counts of one key at one level.
    pub max_cells: usize,
    /// Observations after which an old observation weighs 1/e.
    pub window: f32,
}

impl Default for Settings {
    /// 12,288 cells hold 760 organisations with 14 models each and the coarser levels.
    fn default() -> Self {
        Self {
            max_cells: 12_288,
            window: 500.0,
        }
    }
}

/// Survival curves of output lengths, learned online in bounded memory.
#[derive(Debug)]
pub struct Estimator {
    settings: Settings,
    index: HashMap<u64, usize>,
    cells: Vec<Cell>,
    hand: usize,
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Estimator {
    /// An estimator that knows only the prior.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            index: HashMap::new(),
            cells: Vec::new(),
            hand: 0,
        }
    }

    /// Learns from one output. A censored output counts as surviving up to its length
    /// (Kaplan–Meier), so cancelled generations don't bias the estimate towards short ones.
    pub fn observe(&mut self, key: &Key, output: Output) {
        let decay = 1.0 - 1.0 / self.settings.window.max(1.0);
        for hash in level_hashes(key) {
            let slot = self.slot(hash);
            self.cells[slot].observe(output, decay);
        }
    }

    /// The number of further tokens that the output does not exceed with probability `q`, given
    /// that `generated` tokens exist already.
    pub fn quantile(&self, key: &Key, generated: u64, q: f64) -> u64 {
        let hazards = self.hazards(key);
        let wanted = 1.0 - q.clamp(0.0, 0.999_999);
        let mut alive = 1.0;
        let mut from = generated.min(MAX_OUTPUT_TOKENS);
        while from < MAX_OUTPUT_TOKENS {
            let at = bucket(from);
            let to = lower(at) + width(at);
            let after = alive * kept(hazards[at], at, from, to);
            if after <= wanted {
                let within = (alive - wanted) / (alive - after) * (to - from) as f64;
                // Survival at a length means that the output has at least this many tokens.
                let bound = from + (within.ceil() as u64).saturating_sub(1);
                return bound.saturating_sub(generated).max(1);
            }
            alive = after;
            from = to;
        }
        MAX_OUTPUT_TOKENS.saturating_sub(generated).max(1)
    }

    /// The expected number of further tokens after `generated` ones.
    pub fn mean(&self, key: &Key, generated: u64) -> f64 {
        let hazards = self.hazards(key);
        let mut alive = 1.0_f64;
        let mut sum = 0.0;
        let mut from = generated.min(MAX_OUTPUT_TOKENS);
        while from < MAX_OUTPUT_TOKENS && alive > 1e-6 {
            let at = bucket(from);
            let to = lower(at) + width(at);
            let after = alive * kept(hazards[at], at, from, to);
            sum += (alive + after) / 2.0 * (to - from) as f64;
            alive = after;
            from = to;
        }
        sum.max(1.0)
    }

    /// The probabilities that the output continues for more than each of `further` tokens, which
    /// must ascend, given that `generated` tokens exist already.
    pub fn survival<const N: usize>(
        &self,
        key: &Key,
        generated: u64,
        further: &[u64; N],
    ) -> [f64; N] {
        let hazards = self.hazards(key);
        let mut alive = 1.0;
        let mut from = generated.min(MAX_OUTPUT_TOKENS);
        further.map(|tokens| {
            let end = generated.saturating_add(tokens).min(MAX_OUTPUT_TOKENS);
            while from < end {
                let at = bucket(from);
                let to = (lower(at) + width(at)).min(end);
                alive *= kept(hazards[at], at, from, to);
                from = to;
            }
            alive
        })
    }

    /// Cells in use.
    pub fn cells(&self) -> usize {
        self.cells.len()
    }

    /// Bytes of heap in use, including unused capacity.
    pub fn memory_bytes(&self) -> usize {
        let entry = size_of::<(u64, usize)>() + 1;
        self.cells.capacity() * size_of::<Cell>() + self.index.capacity() * 8 / 7 * entry
    }

    /// The probability for each bucket that an output which reaches it also ends in it.
    fn hazards(&self, key: &Key) -> [f32; BUCKET_COUNT] {
        let mut hazards = std::array::from_fn(prior_hazard);
        for (hash, shrinkage) in level_hashes(key).into_iter().zip(SHRINKAGE) {
            let Some(&slot) = self.index.get(&hash) else {
                continue;
            };
            self.cells[slot].refine(&mut hazards, shrinkage);
        }
        hazards
    }

    /// Finds or makes the cell. A full table evicts the next cell that was not observed since the
    /// hand last passed it.
    fn slot(&mut self, hash: u64) -> usize {
        if let Some(&slot) = self.index.get(&hash) {
            return slot;
        }
        if self.cells.len() < self.settings.max_cells.max(LEVELS) {
            self.cells.push(Cell::new(hash));
            self.index.insert(hash, self.cells.len() - 1);
            return self.cells.len() - 1;
        }
        while self.cells[self.hand].spare() {
            self.hand = (self.hand + 1) % self.cells.len();
        }
        let slot = self.hand;
        self.hand = (self.hand + 1) % self.cells.len();
        self.index.remove(&self.cells[slot].hash());
        self.cells[slot] = Cell::new(hash);
        self.index.insert(hash, slot);
        slot
    }
}

/// The share of outputs alive at `from` that are still alive at `to`, both within one bucket.
/// Ends are taken as spread evenly over the bucket. A constant hazard would place them too early
/// in the last buckets of a bounded length.
fn kept(hazard: f32, at: usize, from: u64, to: u64) -> f64 {
    let hazard = f64::from(hazard).clamp(1e-6, 0.999_999);
    let alive = |tokens: u64| 1.0 - hazard * (tokens - lower(at)) as f64 / width(at) as f64;
    alive(to) / alive(from)
}

/// Names of the cells from coarse to fine.
fn level_hashes(key: &Key) -> [u64; LEVELS] {
    [
        hash(&(1_u8, &key.model)),
        hash(&(2_u8, &key.model, &key.class)),
        hash(&(3_u8, &key.model, &key.class, &key.organisation)),
    ]
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
