//! Continuous batching with bounded key-value memory, as a state machine without I/O or clock.
//!
//! Each call of [`Batch::step`] runs one decode iteration: it starts waiting sequences by priority
//! while memory lasts and generates one token for every running sequence that has completed its
//! prefill. If the memory runs out, it preempts the newest sequence of the lowest priority, whose
//! prefill is then recomputed.

use {
    std::{cmp::Reverse, collections::HashMap},
    uuid::Uuid,
};

/// Limits of one engine.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Capacity of the key-value memory in tokens.
    pub memory_tokens: u64,
    /// Maximum number of sequences that run at the same time.
    pub max_running: usize,
    /// Maximum number of prompt tokens computed per iteration, over all sequences.
    pub prefill_tokens_per_step: u64,
}

/// A waiting or running sequence.
#[derive(Debug, Clone)]
pub struct Sequence {
    pub id: Uuid,
    /// Priority; 0 is the highest.
    pub priority: u8,
    pub prompt_tokens: u64,
    /// Prompt tokens found in the prefix cache, which prefill skips.
    pub cached_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Number of tokens generated so far.
    pub generated: u64,
    prefill_remaining: u64,
    arrival: u64,
}

/// Result of one decode iteration.
#[derive(Debug, Default)]
pub struct StepOutput {
    /// Sequences for which a token was generated, with the index of that token.
    pub tokens: Vec<(Uuid, u64)>,
    /// Sequences that are complete and were removed from the batch.
    pub finished: Vec<Uuid>,
    /// Sequences that were preempted and wait for their prefill to be recomputed.
    pub preempted: Vec<Uuid>,
}

/// The running and waiting sequences of one engine.
#[derive(Debug)]
pub struct Batch {
    limits: Limits,
    running: Vec<Sequence>,
    waiting: Vec<Sequence>,
    arrivals: u64,
    /// Number of preemptions since the start.
    pub preemptions: u64,
    /// Number of preemptions of each generation that is still in the batch.
    preemption_counts: HashMap<Uuid, u64>,
}

impl Batch {
    /// Creates an empty batch.
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

    /// Adds a waiting sequence. Returns false if it needs more memory than the engine has, so that
    /// it could never run.
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

    /// Removes a sequence. Returns false if it is not in the batch.
    pub fn cancel(&mut self, id: Uuid) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.id != id);
        self.waiting.retain(|sequence| sequence.id != id);
        self.preemption_counts.remove(&id);
        before != self.running.len() + self.waiting.len()
    }

    /// Number of tokens that the running sequences occupy in memory.
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

    /// Number of preemptions of a generation that is still in the batch, otherwise 0.
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

    /// Starts waiting sequences, in order, until the next one exceeds the memory or the number of
    /// running sequences.
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

    /// Preempts sequences until the memory has room for one more token of each running sequence.
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
    /// Memory in tokens that the sequence occupies while it runs.
    fn used_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated
    }
}
