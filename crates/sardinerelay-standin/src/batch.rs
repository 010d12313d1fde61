//! Continuous batching with bounded key-value memory, as a pure state machine.
//!
//! One call of [`Batch::step`] is one decode iteration: waiting sequences join by priority while
//! memory lasts, each running sequence that has finished its prefill gains one token, and a full
//! memory preempts the newest sequence of the lowest priority, which has to recompute later.

use {
    std::{cmp::Reverse, collections::HashMap},
    uuid::Uuid,
};

/// Limits of one engine.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Key-value memory in tokens.
    pub memory_tokens: u64,
    /// Sequences that decode at the same time.
    pub max_running: usize,
    /// Prompt tokens that one iteration can compute.
    pub prefill_tokens_per_step: u64,
}

/// A sequence that waits or decodes.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// The generation's identifier.
    pub id: Uuid,
    /// Priority; 0 comes first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that the prefix cache holds and prefill can skip.
    pub cached_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Tokens generated so far.
    pub generated: u64,
    prefill_remaining: u64,
    arrival: u64,
}

/// What one iteration did.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Sequences that gained a token, with the token's index.
    pub tokens: Vec<(Uuid, u64)>,
    /// Sequences that are complete and have left the batch.
    pub finished: Vec<Uuid>,
    /// Sequences that lost their memory.
    pub preempted: Vec<Uuid>,
}

/// The engine's batch.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    arrivals: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
    /// Preemptions by generation, for those still present.
    preemption_counts: HashMap<Uuid, u64>,
}

impl Batch {
    /// An empty batch.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            running: Vec::new(),
            waiting: Vec::new(),
            arrivals: 0,
            preemptions: 0,
            preemption_counts: HashMap::new(),
        }
    }

    /// Adds a sequence. Returns false if it can never fit into the memory.
    pub fn add(
        &mut self,
        id: Uuid,
        priority: u8,
        prompt_tokens: u64,
        cached_tokens: u64,
        output_tokens: u64,
    ) -> bool {
        if prompt_tokens + output_tokens > self.limits.memory_tokens {
            return false;
        }
        self.arrivals += 1;
        self.waiting.push(Sequence {
            id,
            priority,
            prompt_tokens,
            cached_tokens: cached_tokens.min(prompt_tokens),
            output_tokens,
            generated: 0,
            prefill_remaining: prompt_tokens.saturating_sub(cached_tokens),
            arrival: self.arrivals,
        });
        self.sort_waiting();
        true
    }

    /// Removes a sequence. Returns whether it was present.
    pub fn cancel(&mut self, id: Uuid) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.id != id);
        self.waiting.retain(|sequence| sequence.id != id);
        self.preemption_counts.remove(&id);
        before != self.running.len() + self.waiting.len()
    }

    /// Tokens of memory in use.
    pub fn used_tokens(&self) -> u64 {
        self.running.iter().map(Sequence::used_tokens).sum()
    }

    /// Number of running sequences.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of waiting sequences.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How often the generation was preempted.
    pub fn preemptions_of(&self, id: Uuid) -> u64 {
        self.preemption_counts.get(&id).copied().unwrap_or(0)
    }

    /// Runs one decode iteration.
    pub fn step(&mut self) -> StepOutput {
        let mut output = StepOutput::default();
        self.admit_waiting();
        self.preempt_until_fits(&mut output);
        let mut budget = self.limits.prefill_tokens_per_step;
        for sequence in &mut self.running {
            if sequence.prefill_remaining > 0 {
                let computed = sequence.prefill_remaining.min(budget);
                sequence.prefill_remaining -= computed;
                budget -= computed;
                continue;
            }
            output.tokens.push((sequence.id, sequence.generated));
            sequence.generated += 1;
        }
        for sequence in &self.running {
            if sequence.generated >= sequence.output_tokens {
                output.finished.push(sequence.id);
            }
        }
        self.running
            .retain(|sequence| sequence.generated < sequence.output_tokens);
        for id in &output.finished {
            self.preemption_counts.remove(id);
        }
        output
    }

    /// Moves waiting sequences into the batch while memory and slots last.
    fn admit_waiting(&mut self) {
        let mut used = self.used_tokens();
        while self.running.len() < self.limits.max_running && !self.waiting.is_empty() {
            let need = self.waiting[0].used_tokens() + 1;
            if used + need > self.limits.memory_tokens {
                break;
            }
            used += need;
            let sequence = self.waiting.remove(0);
            self.running.push(sequence);
        }
    }

    /// Preempts until each running sequence can gain one token.
    fn preempt_until_fits(&mut self, output: &mut StepOutput) {
        while self.used_tokens() + self.running.len() as u64 > self.limits.memory_tokens {
            let Some(victim) = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, sequence)| (sequence.priority, sequence.arrival))
                .map(|(position, _)| position)
            else {
                return;
            };
            let mut sequence = self.running.remove(victim);
            sequence.prefill_remaining = sequence.used_tokens();
            self.preemptions += 1;
            *self.preemption_counts.entry(sequence.id).or_default() += 1;
            output.preempted.push(sequence.id);
            self.waiting.push(sequence);
            self.sort_waiting();
        }
    }

    fn sort_waiting(&mut self) {
        self.waiting.sort_by_key(|sequence| {
            (
                sequence.priority,
                Reverse(sequence.generated > 0),
                sequence.arrival,
            )
        });
    }
}

impl Sequence {
    /// Memory that the sequence occupies while it runs.
    fn used_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }
}
