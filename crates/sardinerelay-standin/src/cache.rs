//! Prefix cache of the stand-in engine, with bounded memory and lossy, late events.
//!
//! A prompt is cut into blocks; each block's hash covers everything before it, so that equal
//! hashes mean equal prefixes. `docs/design.md`, section 5, states the hash.

use {
    compact_str::{CompactString, format_compact},
    rand::{Rng, SeedableRng, rngs::StdRng},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;
/// Prompt bytes in one block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * crate::engine::BYTES_PER_TOKEN as usize;
/// Events kept for readers; older ones are dropped, which a reader sees as a gap.
const MAX_EVENTS: usize = 65_536;

/// Settings of the cache.
#[derive(Debug, Clone)]
pub struct Config {
    /// Memory of the cache in tokens; 0 turns it off.
    pub capacity_tokens: u64,
    /// Time until readers see an event.
    pub lag: Duration,
    /// Share of events, 0 to 1, that readers never see.
    pub loss_share: f64,
}

/// Change of the cache.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the engine's events, from 1 and without gaps where it is created.
    pub sequence: u64,
    /// What happened.
    pub action: Action,
    /// Hash of the block in 16 hexadecimal digits.
    pub block: CompactString,
}

/// Kind of change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The block is held now.
    Stored,
    /// The block is no longer held.
    Evicted,
}

/// Answer of `GET /v1/cache`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventsResponse {
    /// Incarnation of the engine; sequence numbers of another one don't compare.
    pub incarnation: CompactString,
    /// Highest sequence number that is due, lost events included.
    pub last: u64,
    /// Events after the requested one, in order, possibly with gaps.
    pub events: Vec<Event>,
}

/// The cache.
#[derive(Debug)]
pub struct Cache {
    config: Config,
    /// Last use of each block.
    last_uses: HashMap<u64, u64>,
    /// Blocks by their last use; uses are unique.
    blocks_by_use: BTreeMap<u64, u64>,
    use_counter: u64,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
    random: StdRng,
    /// Prompt tokens that were found in the cache.
    pub hit_tokens: u64,
}

impl Cache {
    /// An empty cache.
    pub fn new(config: Config, seed: u64) -> Self {
        Self {
            config,
            last_uses: HashMap::new(),
            blocks_by_use: BTreeMap::new(),
            use_counter: 0,
            sequence: 0,
            events: VecDeque::new(),
            random: StdRng::seed_from_u64(seed),
            hit_tokens: 0,
        }
    }

    /// Prompt tokens at the beginning that are held and need no prefill.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> u64 {
        let held = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count();
        // The last block is touched first, so that eviction shortens a prefix from its end.
        for block in blocks[..held].iter().rev() {
            self.touch(*block);
        }
        let tokens = held as u64 * BLOCK_TOKENS;
        self.hit_tokens += tokens;
        tokens
    }

    /// Holds the blocks of a prompt whose prefill is complete.
    pub fn insert(&mut self, blocks: &[u64], now: Instant) {
        let capacity = (self.config.capacity_tokens / BLOCK_TOKENS) as usize;
        let kept = &blocks[..blocks.len().min(capacity)];
        for block in kept.iter().rev() {
            if !self.touch(*block) {
                self.emit(Action::Stored, *block, now);
            }
        }
        while self.last_uses.len() > capacity {
            let (_, block) = self
                .blocks_by_use
                .pop_first()
                .expect("each block has a last use");
            self.last_uses.remove(&block);
            self.emit(Action::Evicted, block, now);
        }
    }

    /// Tokens held now.
    pub fn used_tokens(&self) -> u64 {
        self.last_uses.len() as u64 * BLOCK_TOKENS
    }

    /// Events after `since` that are due.
    pub fn events_since(
        &self,
        incarnation: CompactString,
        since: u64,
        now: Instant,
    ) -> EventsResponse {
        let due = self
            .events
            .partition_point(|(emitted_at, _)| now.duration_since(*emitted_at) >= self.config.lag);
        let read = self
            .events
            .partition_point(|(_, event)| event.sequence <= since)
            .min(due);
        let visible = |event: &&Event| !event.block.is_empty();
        let last = due
            .checked_sub(1)
            .map_or(0, |last| self.events[last].1.sequence);
        EventsResponse {
            incarnation,
            last,
            events: self
                .events
                .range(read..due)
                .map(|(_, event)| event)
                .filter(visible)
                .cloned()
                .collect(),
        }
    }

    /// Marks the block as used now. Returns whether it was held before.
    fn touch(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        self.blocks_by_use.insert(self.use_counter, block);
        let before = self.last_uses.insert(block, self.use_counter);
        if let Some(before) = before {
            self.blocks_by_use.remove(&before);
        }
        before.is_some()
    }

    fn emit(&mut self, action: Action, block: u64, now: Instant) {
        self.sequence += 1;
        let lost = self.random.random_bool(self.config.loss_share);
        // A lost event keeps its place without a block, so that `last` moves past it when due.
        let block = if lost {
            CompactString::default()
        } else {
            format_compact!("{block:016x}")
        };
        let event = Event {
            sequence: self.sequence,
            action,
            block,
        };
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}

/// Hashes of the full blocks of a prompt: the first 8 bytes, as a big-endian number, of SHA-256
/// over the hash before it (8 bytes, big-endian) and the block's bytes. The hash before the first
/// block is that of the model's name alone.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut before = truncated_sha256(&[model.as_bytes()]);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            before = truncated_sha256(&[&before.to_be_bytes(), block]);
            before
        })
        .collect()
}

fn truncated_sha256(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(first)
}
