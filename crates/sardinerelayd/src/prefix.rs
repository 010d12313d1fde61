//! Hashes of a prompt's blocks, by which engines identify them in cache events.
//!
//! The hash is specified in `docs/design.md`, section 5. Each hash also covers all earlier blocks,
//! so that equal hashes mean equal prefixes.

use sha2::{Digest, Sha256};

/// Length of a prompt block in bytes.
const BLOCK_BYTES: usize = 64;

/// Blocks of a prompt that are hashed. Longer shared prefixes hardly affect the choice of a target.
const MAX_HASHED_BLOCKS: usize = 64;

/// Hashes the prefixes of a prompt that end at a full block, from short to long. The model's name
/// is part of each hash.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut previous = truncated_sha256(&[model.as_bytes()]);
    let blocks = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_HASHED_BLOCKS);
    let hashes = blocks.map(|block| {
        previous = truncated_sha256(&[&previous.to_be_bytes(), block]);
        previous
    });
    hashes.collect()
}

/// The first 8 bytes of SHA-256 over the parts, as a big-endian number.
fn truncated_sha256(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}
