//! Prefix cache of the stand-in engine. Its memory is bounded, and its events are published late
//! and with losses.
//!
//! A prompt is split into blocks. The hash of a block covers everything before it, so that equal
//! hashes mean equal prefixes. Section 5 of `docs/design.md` defines the hash.

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

/// Tokens per block, the unit in which prompts are cached.
pub const BLOCK_TOKENS: u64 = 16;
/// Prompt bytes per block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * crate::engine::BYTES_PER_TOKEN as usize;
/// Number of events kept for readers. Older ones are dropped, which a reader sees as a gap.
const MAX_EVENTS: usize = 65_536;

/// Settings of a prefix cache.
#[derive(Debug, Clone)]
pub struct Config {
    /// Capacity in tokens; 0 disables the cache.
    pub capacity_tokens: u64,
    /// Time after which an event becomes visible to readers.
    pub lag: Duration,
    /// Share of events, from 0 to 1, that readers never see.
    pub loss_share: f64,
}

/// A change of the cache's content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within the incarnation, from 1 and without gaps. Readers see gaps where
    /// events were lost or dropped.
    pub sequence: u64,
    pub action: Action,
    /// Hash of the block as 16 hexadecimal digits.
    pub block: CompactString,
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// The block was added.
    Stored,
    /// The block was removed to make room.
    Evicted,
}

/// Response body of `GET /v1/cache`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EventsResponse {
    /// Incarnation of the engine. Sequence numbers of different incarnations are not comparable.
    pub incarnation: CompactString,
    /// Highest sequence number that is visible, including those of lost events.
    pub last: u64,
    /// Visible events after the requested sequence number, in order, possibly with gaps.
    pub events: Vec<Event>,
}

/// A prefix cache that evicts the least recently used blocks.
#[derive(Debug)]
pub struct Cache {
    config: Config,
    /// Last use of each cached block, as a value of `use_counter`.
    last_uses: HashMap<u64, u64>,
    /// Cached blocks by their last use; no two blocks share one.
    blocks_by_use: BTreeMap<u64, u64>,
    use_counter: u64,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
    random: StdRng,
    /// Prompt tokens found in the cache since the start.
    pub hit_tokens: u64,
}

impl Cache {
    /// Creates an empty cache. The seed determines which events are lost.
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

    /// Returns how many tokens at the start of a prompt are cached, and marks their blocks as used.
    pub fn match_prefix(&mut self, blocks: &[u64]) -> u64 {
        let held = blocks
            .iter()
            .take_while(|block| self.last_uses.contains_key(block))
            .count();
        // The last block is marked first, so that eviction shortens a prefix from its end.
        for block in blocks[..held].iter().rev() {
            self.touch(*block);
        }
        let tokens = held as u64 * BLOCK_TOKENS;
        self.hit_tokens += tokens;
        tokens
    }

    /// Adds the blocks of a prompt whose prefill is complete, and evicts others if necessary.
    /// Blocks beyond the capacity are not added.
    pub fn insert(&mut self, blocks: &[u64], now: Instant) {
        let capacity = (self.config.capacity_tokens / BLOCK_TOKENS) as usize;
        let added = &blocks[..blocks.len().min(capacity)];
        for block in added.iter().rev() {
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

    /// Number of tokens in the cache.
    pub fn used_tokens(&self) -> u64 {
        self.last_uses.len() as u64 * BLOCK_TOKENS
    }

    /// Returns the events after sequence number `since` that are visible at `now`.
    pub fn events_since(
        &self,
        incarnation: CompactString,
        since: u64,
        now: Instant,
    ) -> EventsResponse {
        let visible_count = self
            .events
            .partition_point(|(emitted_at, _)| now.duration_since(*emitted_at) >= self.config.lag);
        let read_count = self
            .events
            .partition_point(|(_, event)| event.sequence <= since)
            .min(visible_count);
        let has_block = |event: &&Event| !event.block.is_empty();
        let last = visible_count
            .checked_sub(1)
            .map_or(0, |last| self.events[last].1.sequence);
        EventsResponse {
            incarnation,
            last,
            events: self
                .events
                .range(read_count..visible_count)
                .map(|(_, event)| event)
                .filter(has_block)
                .cloned()
                .collect(),
        }
    }

    /// Marks a block as used, and adds it if necessary. Returns whether it was cached previous.
    fn touch(&mut self, block: u64) -> bool {
        self.use_counter += 1;
        self.blocks_by_use.insert(self.use_counter, block);
        let previous = self.last_uses.insert(block, self.use_counter);
        if let Some(previous) = previous {
            self.blocks_by_use.remove(&previous);
        }
        previous.is_some()
    }

    fn emit(&mut self, action: Action, block: u64, now: Instant) {
        self.sequence += 1;
        let lost = self.random.random_bool(self.config.loss_share);
        // A lost event stays in the queue without a block, so that `last` includes it once its lag
        // is over.
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

/// Returns the hashes of a prompt's full blocks. A hash is the first 8 bytes, as a big-endian
/// number, of the SHA-256 of the previous hash (8 bytes, big-endian) followed by the block's bytes.
/// The hash before the first block is that of the model's name.
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let mut previous = truncated_sha256(&[model.as_bytes()]);
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = truncated_sha256(&[&previous.to_be_bytes(), block]);
            previous
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
