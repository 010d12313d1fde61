//! Online estimate of how many more tokens a generation produces.
//!
//! Output lengths are heavy-tailed and unknown in advance, so the estimate is a survival curve
//! over log-spaced buckets, conditional on the tokens generated so far. Counts are kept at three
//! levels: by (organisation, model, class), by (model, class) and by model. The hazard of a finer
//! level is shrunk towards that of the coarser one, so that the estimate falls back smoothly for a
//! rare key or a thin tail. See `docs/design/admission.md`.

mod cell;

pub use cell::{BUCKET_COUNT, MAX_OUTPUT_TOKENS};

use {
    crate::id::{Class, Model, Organisation},
    cell::{Cell, bucket_of, bucket_start, bucket_width, prior_hazard},
    std::{
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        mem::size_of,
    },
};

/// Number of levels at which counts are kept.
const LEVEL_COUNT: usize = 3;
/// Weight of the next coarser level in the hazard of each level, in observations, from coarse to
/// fine. The prior gets little weight, because its heavy tail would otherwise dominate the
/// forecast for models without such a tail.
const SHRINKAGE: [f32; LEVEL_COUNT] = [1.0, 4.0, 12.0];

/// The properties of a request from which its output length is predicted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The calling organisation.
    pub organisation: Organisation,
    /// The model name as the caller sent it.
    pub model: Model,
    /// The request class, by its name in the sheet.
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

/// Configuration of an [`Estimator`].
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum number of cells. A cell holds the counts of one key at one level.
    pub max_cells: usize,
    /// Number of later observations after which an observation weighs 1/e.
    pub window: f32,
}

impl Default for Settings {
    /// 12,288 cells are enough for 760 organisations with 14 models each and the coarser levels.
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
    /// Index of each cell by the hash of its key.
    index: HashMap<u64, usize>,
    cells: Vec<Cell>,
    /// Index of the cell that the eviction considers next.
    clock_hand: usize,
}

impl Default for Estimator {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl Estimator {
    /// Creates an estimator without observations, which returns the prior.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            index: HashMap::new(),
            cells: Vec::new(),
            clock_hand: 0,
        }
    }

    /// Adds the length of one output. A censored output counts as surviving up to its length
    /// (Kaplan–Meier), so that cancelled generations don't bias the estimate towards short ones.
    pub fn observe(&mut self, key: &Key, output: Output) {
        let decay = 1.0 - 1.0 / self.settings.window.max(1.0);
        for hash in cell_hashes(key) {
            let slot = self.slot(hash);
            self.cells[slot].observe(output, decay);
        }
    }

    /// Returns the number of further tokens that the output does not exceed with probability `q`,
    /// given that `generated` tokens exist already.
    pub fn quantile(&self, key: &Key, generated: u64, q: f64) -> u64 {
        let hazards = self.hazards(key);
        let wanted = 1.0 - q.clamp(0.0, 0.999_999);
        let mut alive = 1.0;
        let mut from = generated.min(MAX_OUTPUT_TOKENS);
        while from < MAX_OUTPUT_TOKENS {
            let bucket = bucket_of(from);
            let to = bucket_start(bucket) + bucket_width(bucket);
            let after = alive * survival_within(hazards[bucket], bucket, from, to);
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

    /// Returns the expected number of further tokens, given that `generated` tokens exist already.
    pub fn mean(&self, key: &Key, generated: u64) -> f64 {
        let hazards = self.hazards(key);
        let mut alive = 1.0_f64;
        let mut sum = 0.0;
        let mut from = generated.min(MAX_OUTPUT_TOKENS);
        while from < MAX_OUTPUT_TOKENS && alive > 1e-6 {
            let bucket = bucket_of(from);
            let to = bucket_start(bucket) + bucket_width(bucket);
            let after = alive * survival_within(hazards[bucket], bucket, from, to);
            sum += (alive + after) / 2.0 * (to - from) as f64;
            alive = after;
            from = to;
        }
        sum.max(1.0)
    }

    /// Returns for each of `further` the probability that the output has at least that many more
    /// tokens, given that `generated` tokens exist already. `further` has to be in ascending order.
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
                let bucket = bucket_of(from);
                let to = (bucket_start(bucket) + bucket_width(bucket)).min(end);
                alive *= survival_within(hazards[bucket], bucket, from, to);
                from = to;
            }
            alive
        })
    }

    /// Returns the number of cells in use.
    pub fn cells(&self) -> usize {
        self.cells.len()
    }

    /// Returns the heap memory in bytes, including unused capacity.
    pub fn memory_bytes(&self) -> usize {
        let entry = size_of::<(u64, usize)>() + 1;
        self.cells.capacity() * size_of::<Cell>() + self.index.capacity() * 8 / 7 * entry
    }

    /// Returns for each bucket the probability that an output that reaches it also ends in it.
    fn hazards(&self, key: &Key) -> [f32; BUCKET_COUNT] {
        let mut hazards = std::array::from_fn(prior_hazard);
        for (hash, shrinkage) in cell_hashes(key).into_iter().zip(SHRINKAGE) {
            let Some(&slot) = self.index.get(&hash) else {
                continue;
            };
            self.cells[slot].refine(&mut hazards, shrinkage);
        }
        hazards
    }

    /// Returns the index of the cell with this hash and creates the cell if necessary. A full table
    /// evicts by the clock algorithm: the next cell that was not observed since the hand last
    /// passed it.
    fn slot(&mut self, hash: u64) -> usize {
        if let Some(&slot) = self.index.get(&hash) {
            return slot;
        }
        if self.cells.len() < self.settings.max_cells.max(LEVEL_COUNT) {
            self.cells.push(Cell::new(hash));
            self.index.insert(hash, self.cells.len() - 1);
            return self.cells.len() - 1;
        }
        while self.cells[self.clock_hand].take_observed() {
            self.clock_hand = (self.clock_hand + 1) % self.cells.len();
        }
        let slot = self.clock_hand;
        self.clock_hand = (self.clock_hand + 1) % self.cells.len();
        self.index.remove(&self.cells[slot].hash());
        self.cells[slot] = Cell::new(hash);
        self.index.insert(hash, slot);
        slot
    }
}

/// Returns the share of outputs of at least `from` tokens that reach `to` tokens, both within one
/// bucket. Ends are assumed to be spread evenly over the bucket, because a constant hazard would
/// place them too early in the last buckets of outputs of limited length.
fn survival_within(hazard: f32, bucket: usize, from: u64, to: u64) -> f64 {
    let hazard = f64::from(hazard).clamp(1e-6, 0.999_999);
    let alive = |tokens: u64| {
        1.0 - hazard * (tokens - bucket_start(bucket)) as f64 / bucket_width(bucket) as f64
    };
    alive(to) / alive(from)
}

/// Returns the hashes by which the key's cells are found, from coarse to fine.
fn cell_hashes(key: &Key) -> [u64; LEVEL_COUNT] {
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
