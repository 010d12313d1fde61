//! State of the stand-in engine and the loop that runs its decode iterations.

use {
    crate::{
        batch::Batch,
        cache::Cache,
        engine::{Config, LoadReport},
        orders::Inventory,
        reader::Generation,
        record::{Outcome, Record, Records},
        server::unix_ms,
    },
    compact_str::{CompactString, ToCompactString},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval},
    tokio_util::sync::CancellationToken,
    uuid::Uuid,
};

#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) incarnation: CompactString,
    /// Stops the engine and closes all its connections.
    pub(crate) kill: CancellationToken,
    state: Mutex<EngineState>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) batch: Batch,
    pub(crate) generations: HashMap<Uuid, Generation>,
    pub(crate) records: Records,
    pub(crate) cache: Cache,
    pub(crate) inventory: Inventory,
    pub(crate) load_reports: VecDeque<(Instant, LoadReport)>,
    pub(crate) is_leaving: bool,
    /// Time until which decoding is paused, if a stall was injected.
    pub(crate) stalled_until: Option<Instant>,
    /// Number that the next reader gets.
    pub(crate) next_reader: u64,
    /// Readers with a lower number receive no more bytes.
    pub(crate) silent_before: u64,
    random: StdRng,
}

/// A validated request that is ready to be added to the batch.
#[derive(Debug)]
pub(crate) struct NewGeneration {
    pub(crate) id: Uuid,
    pub(crate) request_id: CompactString,
    pub(crate) priority: u8,
    pub(crate) output_tokens: u64,
    pub(crate) generation: Generation,
}

impl Shared {
    pub(crate) fn new(config: Config) -> Self {
        let incarnation = config
            .incarnation
            .clone()
            .unwrap_or_else(|| unix_ms().to_compact_string());
        let state = EngineState {
            batch: Batch::new(config.limits.clone()),
            generations: HashMap::new(),
            records: Records::new(config.record_limit),
            cache: Cache::new(config.cache.clone(), config.seed),
            inventory: Inventory::new(&config.models, config.fencing, config.load_time),
            load_reports: VecDeque::new(),
            is_leaving: false,
            stalled_until: None,
            next_reader: 0,
            silent_before: 0,
            random: StdRng::seed_from_u64(config.seed),
        };
        Self {
            config,
            incarnation,
            kill: CancellationToken::new(),
            state: Mutex::new(state),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Runs a decode iteration every `step_interval` until the future is dropped.
pub(crate) async fn run_decode_loop(shared: Arc<Shared>) {
    let mut ticks = interval(shared.config.step_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.lock().tick(&shared, Instant::now());
    }
}

impl EngineState {
    fn tick(&mut self, shared: &Shared, now: Instant) {
        if self.stalled_until.is_none_or(|until| now >= until) {
            self.run_iteration(now);
        }
        self.cancel_expired(&shared.config, now);
        self.push_load_report(shared, now);
    }

    fn run_iteration(&mut self, now: Instant) {
        let output = self.batch.step();
        for (id, index) in output.tokens {
            if let Some(generation) = self.generations.get_mut(&id) {
                generation.generated.send_replace(index + 1);
                if index == 0 {
                    self.cache.insert(&generation.blocks, now);
                }
            }
            if let Some(record) = self.records.get_mut(id) {
                record.generated = index + 1;
            }
        }
        for id in output.preempted {
            if let Some(record) = self.records.get_mut(id) {
                record.preemptions += 1;
            }
        }
        for id in output.finished {
            self.records.end(id, Outcome::Finished);
            if let Some(generation) = self.generations.get_mut(&id) {
                generation.ended = Some(now);
            }
        }
    }

    /// Adds a generation to the batch and to the record. Returns false if it exceeds the engine's
    /// memory.
    pub(crate) fn admit(&mut self, new: NewGeneration) -> bool {
        let NewGeneration {
            id,
            request_id,
            priority,
            output_tokens,
            mut generation,
        } = new;
        let prompt = generation.prompt_tokens;
        generation.cached_tokens = self.cache.match_prefix(&generation.blocks).min(prompt);
        if !self.batch.add(
            id,
            priority,
            prompt,
            generation.cached_tokens,
            output_tokens,
        ) {
            return false;
        }
        self.records.start(Record {
            sequence: 0,
            generation: id,
            request: request_id,
            generated: 0,
            target: output_tokens,
            cached: generation.cached_tokens,
            preemptions: 0,
            outcome: Outcome::Running,
            started_ms: 0,
            ended_ms: 0,
        });
        self.generations.insert(id, generation);
        true
    }

    /// Cancels a generation and drops its output. Returns whether the output was still available.
    pub(crate) fn cancel(&mut self, id: Uuid) -> bool {
        self.batch.cancel(id);
        self.records.end(id, Outcome::Cancelled);
        self.generations.remove(&id).is_some()
    }

    /// Cancels running generations without a reader after the orphan window, and drops finished
    /// ones without a reader after the retention time.
    fn cancel_expired(&mut self, config: &Config, now: Instant) {
        let expired: Vec<Uuid> = self
            .generations
            .iter()
            .filter(|(_, generation)| generation.is_expired(config, now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.cancel(id);
        }
    }

    fn push_load_report(&mut self, shared: &Shared, now: Instant) {
        let report = LoadReport {
            name: shared.config.name.clone(),
            incarnation: shared.incarnation.clone(),
            used_tokens: self.batch.used_tokens(),
            memory_tokens: shared.config.limits.memory_tokens,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            preemptions: self.batch.preemptions,
            cache_tokens: self.cache.used_tokens(),
            cache_hit_tokens: self.cache.hit_tokens,
            age_ms: 0,
            leaving: self.is_leaving,
        };
        self.load_reports.push_back((now, report));
        let lag = shared.config.report_lag;
        while self.load_reports.len() > 1 && now.duration_since(self.load_reports[1].0) >= lag {
            self.load_reports.pop_front();
        }
    }

    /// Returns the output length of a request in tokens: the requested one, or else a random one
    /// from an exponential distribution with the given mean, limited to between 1 and `max`.
    pub(crate) fn output_length(&mut self, requested: Option<u64>, max: u64, mean: u64) -> u64 {
        let drawn = requested.unwrap_or_else(|| {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            (-uniform.ln() * mean as f64).ceil() as u64
        });
        drawn.clamp(1, max.max(1))
    }

    pub(crate) fn stall(&mut self, pause: Duration, now: Instant) {
        self.stalled_until = Some(now + pause);
    }

    pub(crate) fn silence_readers(&mut self) {
        self.silent_before = self.next_reader;
    }
}
