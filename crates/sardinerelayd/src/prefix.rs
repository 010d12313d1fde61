//! Hashes of a prompt's blocks, as engines name them in cache events.
//!
//! The hash is stated in `docs/design.md`, section 5: each covers everything before it, so that
//! equal hashes mean equal prefixes.

use sha2::{Digest, Sha256};

/// Bytes of prompt in one block.
const BLOCK_BYTES: usize = 64;

/// Blocks that are hashed at most. Longer shared prefixes add little to the choice of a target.
const MAX_BLOCKS: usize = 64;

/// Hashes the full blocks of a prompt, from short to long.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut before = short(&[model.as_bytes()]);
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let hashes = blocks.map(|block| {
        before = short(&[&before.to_be_bytes(), block]);
        before
    });
    hashes.collect()
}

/// The first 8 bytes of SHA-256 over the parts.
fn short(parts: &[&[u8]]) -> u64 {
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
