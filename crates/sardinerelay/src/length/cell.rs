//! Decayed counts of output lengths over log-spaced buckets.

use super::Output;

/// Number of buckets: four per doubling, up to [`MAX_OUTPUT_TOKENS`].
pub const BUCKET_COUNT: usize = 61;
/// The longest output that the estimate distinguishes. Longer ones count as this long.
pub const MAX_OUTPUT_TOKENS: u64 = 65_536;
/// Exponent of the Pareto distribution that the prior follows.
const PRIOR_TAIL_EXPONENT: f32 = 0.6;

/// The counts of one key at one level.
#[derive(Debug)]
pub(super) struct Cell {
    hash: u64,
    /// Whether the cell was observed since the eviction last considered it.
    observed: bool,
    /// Outputs that ended in each bucket.
    ended: [f32; BUCKET_COUNT],
    /// Outputs that reached each bucket.
    at_risk: [f32; BUCKET_COUNT],
}

impl Cell {
    pub(super) fn new(hash: u64) -> Self {
        Self {
            hash,
            observed: true,
            ended: [0.0; BUCKET_COUNT],
            at_risk: [0.0; BUCKET_COUNT],
        }
    }

    pub(super) fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns whether the cell was observed since the last call, and clears the mark.
    pub(super) fn take_observed(&mut self) -> bool {
        std::mem::take(&mut self.observed)
    }

    pub(super) fn observe(&mut self, output: Output, decay: f32) {
        let (tokens, ended) = match output {
            Output::Complete(tokens) => (tokens, 1.0),
            Output::Censored(tokens) => (tokens, 0.0),
        };
        let bucket = bucket_of(tokens);
        for (ended, at_risk) in self.ended.iter_mut().zip(&mut self.at_risk) {
            *ended *= decay;
            *at_risk *= decay;
        }
        for at_risk in &mut self.at_risk[..bucket] {
            *at_risk += 1.0;
        }
        // Actuarial method: a censored output counts as at risk for half of its last bucket.
        self.at_risk[bucket] += 0.5 + 0.5 * ended;
        self.ended[bucket] += ended;
        self.observed = true;
    }

    /// Replaces each hazard by the estimate of this level, with the given hazard as the prior.
    pub(super) fn refine(&self, hazards: &mut [f32; BUCKET_COUNT], shrinkage: f32) {
        for (bucket, hazard) in hazards.iter_mut().enumerate() {
            *hazard =
                (self.ended[bucket] + shrinkage * *hazard) / (self.at_risk[bucket] + shrinkage);
        }
    }
}

/// Returns the bucket of outputs of this length.
pub(super) fn bucket_of(tokens: u64) -> usize {
    if tokens < 4 {
        return tokens as usize;
    }
    let tokens = tokens.min(MAX_OUTPUT_TOKENS);
    let octave = tokens.ilog2() as usize;
    (octave - 1) * 4 + ((tokens >> (octave - 2)) & 3) as usize
}

/// Returns the smallest length in the bucket.
pub(super) fn bucket_start(bucket: usize) -> u64 {
    if bucket < 4 {
        return bucket as u64;
    }
    (4 + bucket as u64 % 4) << (bucket / 4 - 1)
}

/// Returns the number of lengths in the bucket.
pub(super) fn bucket_width(bucket: usize) -> u64 {
    bucket_start(bucket + 1) - bucket_start(bucket)
}

/// Returns the hazard of the bucket that is assumed without any observation.
pub(super) fn prior_hazard(bucket: usize) -> f32 {
    let from = bucket_start(bucket).max(1) as f32;
    let to = bucket_start(bucket + 1).max(2) as f32;
    // Few outputs of any model end within the first tokens.
    if bucket < 12 {
        0.02
    } else {
        1.0 - (from / to).powf(PRIOR_TAIL_EXPONENT)
    }
}
