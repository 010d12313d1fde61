//! Bounded record of the generations that an engine ran, for checkers.

use {
    crate::server::unix_ms,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
    uuid::Uuid,
};

/// What ran, for checkers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Number of the last start or end in the record; rises when the generation ends.
    #[serde(default)]
    pub sequence: u64,
    /// The generation.
    pub generation: Uuid,
    /// The caller's request identifier, from `x-request-id`.
    pub request: CompactString,
    /// Tokens generated.
    pub generated: u64,
    /// Tokens of the whole answer.
    pub target: u64,
    /// Prompt tokens that the prefix cache held.
    #[serde(default)]
    pub cached: u64,
    /// Preemptions it went through.
    pub preemptions: u64,
    /// How it stands.
    pub outcome: Outcome,
    /// When it was taken on, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch; 0 while it runs.
    pub ended_ms: u64,
}

/// How a generation stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It still runs or waits.
    Running,
    /// It is complete.
    Finished,
    /// It was cancelled, or nobody read it within the orphan window.
    Cancelled,
}

/// The record of one engine.
#[derive(Debug)]
pub struct Records {
    limit: usize,
    sequence: u64,
    entries: HashMap<Uuid, Record>,
    by_sequence: BTreeMap<u64, Uuid>,
}

impl Records {
    /// An empty record that keeps the last `limit` generations, and those that still run.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            sequence: 0,
            entries: HashMap::new(),
            by_sequence: BTreeMap::new(),
        }
    }

    /// Whether the generation is in the record.
    pub fn contains(&self, generation: Uuid) -> bool {
        self.entries.contains_key(&generation)
    }

    /// Adds a generation that was taken on.
    pub fn start(&mut self, mut record: Record) {
        self.sequence += 1;
        record.sequence = self.sequence;
        record.started_ms = unix_ms();
        self.by_sequence.insert(self.sequence, record.generation);
        self.entries.insert(record.generation, record);
        self.prune();
    }

    /// Notes how a generation ended, unless it had ended before.
    pub fn end(&mut self, generation: Uuid, outcome: Outcome) {
        let Some(record) = self.entries.get_mut(&generation) else {
            return;
        };
        if record.outcome != Outcome::Running {
            return;
        }
        self.by_sequence.remove(&record.sequence);
        self.sequence += 1;
        record.sequence = self.sequence;
        record.outcome = outcome;
        record.ended_ms = unix_ms();
        self.by_sequence.insert(self.sequence, generation);
        self.prune();
    }

    /// The generation's entry.
    pub fn get_mut(&mut self, generation: Uuid) -> Option<&mut Record> {
        self.entries.get_mut(&generation)
    }

    /// How often the generation was preempted.
    pub fn preemptions(&self, generation: Uuid) -> u64 {
        self.entries
            .get(&generation)
            .map_or(0, |record| record.preemptions)
    }

    /// Entries whose sequence is higher than `since`, in order.
    pub fn since(&self, since: u64) -> Vec<Record> {
        self.by_sequence
            .range(since.saturating_add(1)..)
            .map(|(_, generation)| self.entries[generation].clone())
            .collect()
    }

    /// Drops the oldest ended generations beyond the limit.
    fn prune(&mut self) {
        while self.entries.len() > self.limit {
            let ended = self
                .by_sequence
                .iter()
                .find(|(_, generation)| self.entries[generation].outcome != Outcome::Running)
                .map(|(sequence, generation)| (*sequence, *generation));
            let Some((sequence, generation)) = ended else {
                return;
            };
            self.by_sequence.remove(&sequence);
            self.entries.remove(&generation);
        }
    }
}
