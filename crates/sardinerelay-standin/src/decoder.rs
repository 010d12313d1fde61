//! State of the stand-in engine behind its lock, and the decode loop that drives it.

use {
    crate::{
        batch::Batch,
        cache::Cache,
        engine::{Config, Load},
        orders::Inventory,
        reader::Live,
        record::{Book, Outcome, Record},
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
    /// Ends the engine with all its connections.
    pub(crate) kill: CancellationToken,
    core: Mutex<Core>,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) batch: Batch,
    pub(crate) live: HashMap<Uuid, Live>,
    pub(crate) book: Book,
    pub(crate) cache: Cache,
    pub(crate) inventory: Inventory,
    pub(crate) reports: VecDeque<(Instant, Load)>,
    pub(crate) leaving: bool,
    /// Decoding pauses until then.
    pub(crate) stalled_until: Option<Instant>,
    /// Number of the next reader.
    pub(crate) readers: u64,
    /// Readers with a lower number get nothing any more.
    pub(crate) silent_before: u64,
    random: StdRng,
}

/// A request that was checked and can be taken on.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) id: Uuid,
    pub(crate) request: CompactString,
    pub(crate) priority: u8,
    pub(crate) target: u64,
    pub(crate) live: Live,
}

impl Shared {
    pub(crate) fn new(config: Config) -> Self {
        let incarnation = config
            .incarnation
            .clone()
            .unwrap_or_else(|| unix_ms().to_compact_string());
        let core = Core {
            batch: Batch::new(config.size.clone()),
            live: HashMap::new(),
            book: Book::new(config.record_limit),
            cache: Cache::new(config.cache.clone(), config.seed),
            inventory: Inventory::new(&config.models, config.fencing, config.load_time),
            reports: VecDeque::new(),
            leaving: false,
            stalled_until: None,
            readers: 0,
            silent_before: 0,
            random: StdRng::seed_from_u64(config.seed),
        };
        Self {
            config,
            incarnation,
            kill: CancellationToken::new(),
            core: Mutex::new(core),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Core> {
        self.core
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Runs one decode iteration per step, until the future is dropped.
pub(crate) async fn decode(shared: Arc<Shared>) {
    let mut ticks = interval(shared.config.step);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.lock().advance(&shared, Instant::now());
    }
}

impl Core {
    fn advance(&mut self, shared: &Shared, now: Instant) {
        if self.stalled_until.is_none_or(|until| now >= until) {
            self.decode(now);
        }
        self.expire(&shared.config, now);
        self.report(shared, now);
    }

    fn decode(&mut self, now: Instant) {
        let progress = self.batch.step();
        for (id, index) in progress.tokens {
            if let Some(live) = self.live.get_mut(&id) {
                live.generated.send_replace(index + 1);
                if index == 0 {
                    self.cache.store(&live.blocks, now);
                }
            }
            if let Some(record) = self.book.get_mut(id) {
                record.generated = index + 1;
            }
        }
        for id in progress.preempted {
            if let Some(record) = self.book.get_mut(id) {
                record.preemptions += 1;
            }
        }
        for id in progress.finished {
            self.book.end(id, Outcome::Finished);
            if let Some(live) = self.live.get_mut(&id) {
                live.ended = Some(now);
            }
        }
    }

    /// Takes a request on. Returns false if it can never fit into the memory.
    pub(crate) fn admit(&mut self, admission: Admission) -> bool {
        let Admission {
            id,
            request,
            priority,
            target,
            mut live,
        } = admission;
        let prompt = live.prompt_tokens;
        live.cached = self.cache.hit(&live.blocks).min(prompt);
        if !self.batch.add(id, priority, prompt, live.cached, target) {
            return false;
        }
        self.book.start(Record {
            sequence: 0,
            generation: id,
            request,
            generated: 0,
            target,
            cached: live.cached,
            preemptions: 0,
            outcome: Outcome::Running,
            started_ms: 0,
            ended_ms: 0,
        });
        self.live.insert(id, live);
        true
    }

    /// Ends a generation. Returns whether its memory was still held.
    pub(crate) fn cancel(&mut self, id: Uuid) -> bool {
        self.batch.cancel(id);
        self.book.end(id, Outcome::Cancelled);
        self.live.remove(&id).is_some()
    }

    /// Cancels generations that nobody has read for the orphan window, and forgets finished ones
    /// after the retention time.
    fn expire(&mut self, config: &Config, now: Instant) {
        let expired: Vec<Uuid> = self
            .live
            .iter()
            .filter(|(_, live)| live.is_expired(config, now))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.cancel(id);
        }
    }

    fn report(&mut self, shared: &Shared, now: Instant) {
        let load = Load {
            name: shared.config.name.clone(),
            incarnation: shared.incarnation.clone(),
            used_tokens: self.batch.used_tokens(),
            memory_tokens: shared.config.size.memory_tokens,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            preemptions: self.batch.preemptions,
            cache_tokens: self.cache.held_tokens(),
            cache_hit_tokens: self.cache.hit_tokens,
            age_ms: 0,
            leaving: self.leaving,
        };
        self.reports.push_back((now, load));
        let lag = shared.config.report_lag;
        while self.reports.len() > 1 && now.duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
    }

    /// Output length of a request: as stated, or drawn with the given mean, up to the cap.
    pub(crate) fn output_length(&mut self, stated: Option<u64>, cap: u64, mean: u64) -> u64 {
        let drawn = stated.unwrap_or_else(|| {
            let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
            (-uniform.ln() * mean as f64).ceil() as u64
        });
        drawn.clamp(1, cap.max(1))
    }

    pub(crate) fn stall(&mut self, pause: Duration, now: Instant) {
        self.stalled_until = Some(now + pause);
    }

    pub(crate) fn silence(&mut self) {
        self.silent_before = self.readers;
    }
}
