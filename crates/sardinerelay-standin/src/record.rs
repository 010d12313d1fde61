//! Bounded record of the generations that an engine ran. Tests compare it with what callers
//! received.

use {
    crate::server::unix_ms,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
    uuid::Uuid,
};

/// A generation that ran or is running.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number of the start or, once it has ended, the end of the generation.
    #[serde(default)]
    pub sequence: u64,
    pub generation: Uuid,
    /// Request id of the caller, from `x-request-id`.
    pub request: CompactString,
    /// Number of tokens generated.
    pub generated: u64,
    /// Number of tokens of the complete answer.
    pub target: u64,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached: u64,
    /// Number of times that the generation was preempted.
    pub preemptions: u64,
    pub outcome: Outcome,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Time of the end, in milliseconds since the Unix epoch; 0 while running.
    pub ended_ms: u64,
}

/// State of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is running or waiting.
    Running,
    /// It is complete.
    Finished,
    /// It was cancelled, or had no reader for the orphan window.
    Cancelled,
}

/// The records of one engine.
#[derive(Debug)]
pub struct Records {
    limit: usize,
    sequence: u64,
    entries: HashMap<Uuid, Record>,
    by_sequence: BTreeMap<u64, Uuid>,
}

impl Records {
    /// Creates an empty record. It keeps the last `limit` generations, and all that are running.
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

    /// Adds a generation, and sets its sequence number and start time.
    pub fn start(&mut self, mut record: Record) {
        self.sequence += 1;
        record.sequence = self.sequence;
        record.started_ms = unix_ms();
        self.by_sequence.insert(self.sequence, record.generation);
        self.entries.insert(record.generation, record);
        self.prune();
    }

    /// Records the end of a generation, unless it has ended already.
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

    /// Returns the record of a generation, or `None` if it was dropped or never added.
    pub fn get_mut(&mut self, generation: Uuid) -> Option<&mut Record> {
        self.entries.get_mut(&generation)
    }

    /// Number of preemptions of a generation; 0 if it is not in the record.
    pub fn preemptions(&self, generation: Uuid) -> u64 {
        self.entries
            .get(&generation)
            .map_or(0, |record| record.preemptions)
    }

    /// Returns the records with a sequence number above `since`, in order.
    pub fn since(&self, since: u64) -> Vec<Record> {
        self.by_sequence
            .range(since.saturating_add(1)..)
            .map(|(_, generation)| self.entries[generation].clone())
            .collect()
    }

    /// Removes the oldest ended generations beyond the limit.
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
