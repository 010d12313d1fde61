//! Decayed counts of one key over log-spaced buckets.

use super::Output;

/// Number of buckets: four per doubling, up to [`MAX_OUTPUT_TOKENS`].
pub const BUCKET_COUNT: usize = 61;
/// The longest output that the estimate tells apart.
pub const MAX_OUTPUT_TOKENS: u64 = 65_536;
/// Exponent of the prior's Pareto tail.
const PRIOR_EXPONENT: f32 = 0.6;

/// The counts of one key at one level.
#[derive(Debug)]
pub(super) struct Cell {
    hash: u64,
    observed: bool,
    ended: [f32; BUCKET_COUNT],
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

    /// Returns whether the cell was observed since the last call, and clears that mark.
    pub(super) fn spare(&mut self) -> bool {
        std::mem::take(&mut self.observed)
    }

    pub(super) fn observe(&mut self, output: Output, decay: f32) {
        let (tokens, ended) = match output {
            Output::Complete(tokens) => (tokens, 1.0),
            Output::Censored(tokens) => (tokens, 0.0),
        };
        let at = bucket(tokens);
        for (ended, at_risk) in self.ended.iter_mut().zip(&mut self.at_risk) {
            *ended *= decay;
            *at_risk *= decay;
        }
        for at_risk in &mut self.at_risk[..at] {
            *at_risk += 1.0;
        }
        // Actuarial rule: an output cut off within a bucket was at risk for half of it.
        self.at_risk[at] += 0.5 + 0.5 * ended;
        self.ended[at] += ended;
        self.observed = true;
    }

    /// Replaces each hazard by the estimate of this level, with the given one as its prior.
    pub(super) fn refine(&self, hazards: &mut [f32; BUCKET_COUNT], shrinkage: f32) {
        for (at, hazard) in hazards.iter_mut().enumerate() {
            *hazard = (self.ended[at] + shrinkage * *hazard) / (self.at_risk[at] + shrinkage);
        }
    }
}

/// The bucket that holds `tokens`.
pub(super) fn bucket(tokens: u64) -> usize {
    if tokens < 4 {
        return tokens as usize;
    }
    let tokens = tokens.min(MAX_OUTPUT_TOKENS);
    let octave = tokens.ilog2() as usize;
    (octave - 1) * 4 + ((tokens >> (octave - 2)) & 3) as usize
}

/// The smallest length in the bucket.
pub(super) fn lower(bucket: usize) -> u64 {
    if bucket < 4 {
        return bucket as u64;
    }
    (4 + bucket as u64 % 4) << (bucket / 4 - 1)
}

/// The number of lengths in the bucket.
pub(super) fn width(bucket: usize) -> u64 {
    lower(bucket + 1) - lower(bucket)
}

/// The hazard that is assumed before anything is observed.
pub(super) fn prior_hazard(bucket: usize) -> f32 {
    let from = lower(bucket).max(1) as f32;
    let to = lower(bucket + 1).max(2) as f32;
    // Few outputs end within the first tokens, whatever the model.
    if bucket < 12 {
        0.02
    } else {
        1.0 - (from / to).powf(PRIOR_EXPONENT)
    }
}
