//! Polls the engines of the sheet in force, with one task for each.

use {
    crate::{
        engine::Client,
        panics,
        schedule::Scheduler,
        snapshot::{SharedView, View},
    },
    compact_str::CompactString,
    log::debug,
    rand::Rng,
    sardinerelay::id::Target,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Average interval between two polls of one engine.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Consecutive failed polls after which an engine is ejected.
const EJECT_AFTER_FAILURES: u32 = 2;

/// The models that an engine has loaded are queried once in this many polls.
const POLLS_PER_LOADED_QUERY: u32 = 2;

/// The position up to which an engine's cache events were read.
#[derive(Debug, Default)]
struct CacheCursor {
    incarnation: CompactString,
    /// Sequence number of the last event that was read; 0 before the first.
    since: u64,
}

impl CacheCursor {
    /// Reads the events since the last poll. The scheduler detects gaps by their sequence numbers.
    async fn poll(
        &mut self,
        target: &Target,
        address: SocketAddr,
        scheduler: &Scheduler,
        client: &Client,
    ) {
        let cache = match client.cache_events(address, self.since).await {
            Ok(cache) => cache,
            Err(error) => {
                debug!(target = target.as_str(); "reading cache events failed: {error}");
                return;
            }
        };
        if cache.incarnation != self.incarnation {
            // Sequence numbers restart with each incarnation, so this response may lack events.
            let is_first = self.incarnation.is_empty();
            *self = Self {
                incarnation: cache.incarnation,
                since: 0,
            };
            if !is_first {
                return;
            }
        }
        self.since = cache
            .events
            .last()
            .map_or(self.since, |event| event.sequence);
        scheduler.apply_cache_events(target, &cache.events);
    }
}

/// The polling task of each engine. An engine with a new address gets a new task.
type Pollers = BTreeMap<(Target, SocketAddr), JoinHandle<()>>;

/// Keeps one polling task for each engine in the view, until the sender of changes is dropped.
pub async fn run(
    view: SharedView,
    mut changes: watch::Receiver<u64>,
    scheduler: Arc<Scheduler>,
    client: Client,
) {
    let mut pollers = Pollers::new();
    loop {
        let current = view.load_full();
        scheduler.update_targets(&current);
        reconcile(&mut pollers, &current, &scheduler, &client);
        if changes.changed().await.is_err() {
            break;
        }
    }
    for (_, poller) in pollers {
        poller.abort();
    }
}

/// Starts the missing polling tasks and aborts those of engines that the sheet no longer names.
fn reconcile(pollers: &mut Pollers, view: &View, scheduler: &Arc<Scheduler>, client: &Client) {
    let engines: Vec<(Target, SocketAddr)> = view
        .sheet
        .iter()
        .flat_map(|sheet| &sheet.targets)
        .filter(|target| target.memory_tokens > 0)
        .map(|target| (target.name.clone(), target.address))
        .collect();
    pollers.retain(|engine, poller| {
        let is_wanted = engines.contains(engine);
        if !is_wanted {
            poller.abort();
        }
        is_wanted
    });
    for engine in engines {
        pollers.entry(engine.clone()).or_insert_with(|| {
            let (target, address) = engine;
            let (scheduler, client) = (scheduler.clone(), client.clone());
            // One that panics must not end for good.
            tokio::spawn(panics::keep_running("poll an engine", move || {
                poll(target.clone(), address, scheduler.clone(), client.clone())
            }))
        });
    }
}

/// Polls one engine until the task is aborted.
async fn poll(target: Target, address: SocketAddr, scheduler: Arc<Scheduler>, client: Client) {
    let mut failures = 0;
    let mut cache = CacheCursor::default();
    let mut polls: u32 = 0;
    loop {
        if polls.is_multiple_of(POLLS_PER_LOADED_QUERY) {
            poll_loaded_models(&target, address, &scheduler, &client).await;
        }
        polls = polls.wrapping_add(1);
        match client.load_report(address).await {
            Ok(load) => {
                failures = 0;
                scheduler.record_load(&target, load.incarnation(), load);
                cache.poll(&target, address, &scheduler, &client).await;
            }
            Err(error) => {
                failures += 1;
                debug!(target = target.as_str(); "reading the load report failed: {error}");
                if failures == EJECT_AFTER_FAILURES {
                    scheduler.eject(&target);
                }
            }
        }
        // Jitter keeps the hosts from polling an engine at the same moments.
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(ENGINE_POLL_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Records the models that the engine has loaded. If they can't be read, the last known ones stay.
async fn poll_loaded_models(
    target: &Target,
    address: SocketAddr,
    scheduler: &Scheduler,
    client: &Client,
) {
    match client.loaded_models(address).await {
        Ok(loaded) => scheduler.record_loaded(target, loaded),
        Err(error) => debug!(target = target.as_str(); "reading the loaded models failed: {error}"),
    }
}
