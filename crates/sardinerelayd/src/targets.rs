//! Controller that watches the engines: one poller for each engine of the sheet in force.

use {
    crate::{
        engine::Client,
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

/// Interval between two load reports of one engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Failed polls in a row after which an engine gets no new work.
const SILENT_AFTER: u32 = 2;

/// Load reports between two read-backs of what an engine has loaded.
const READ_BACK_EVERY: u32 = 2;

/// How far an engine's cache events were read.
#[derive(Debug, Default)]
struct Position {
    incarnation: CompactString,
    since: u64,
}

impl Position {
    /// Reads the events that have come since. The scheduler notices gaps by their numbers.
    async fn follow(
        &mut self,
        target: &Target,
        address: SocketAddr,
        scheduler: &Scheduler,
        client: &Client,
    ) {
        let cache = match client.cache_events(address, self.since).await {
            Ok(cache) => cache,
            Err(error) => {
                debug!(target = target.as_str(); "cache events can't be read: {error}");
                return;
            }
        };
        if cache.incarnation != self.incarnation {
            // Numbers start again with each incarnation, so this answer may have skipped events.
            let first = self.incarnation.is_empty();
            *self = Self {
                incarnation: cache.incarnation,
                since: 0,
            };
            if !first {
                return;
            }
        }
        self.since = cache
            .events
            .last()
            .map_or(self.since, |event| event.sequence);
        scheduler.cache_events(target, &cache.events);
    }
}

type Pollers = BTreeMap<(Target, SocketAddr), JoinHandle<()>>;

/// Follows the view and polls the engines in it, until the sender of changes is dropped.
pub async fn run(
    view: SharedView,
    mut changes: watch::Receiver<u64>,
    scheduler: Arc<Scheduler>,
    client: Client,
) {
    let mut pollers = Pollers::new();
    loop {
        let current = view.load_full();
        scheduler.configure(&current);
        reconcile(&mut pollers, &current, &scheduler, &client);
        if changes.changed().await.is_err() {
            break;
        }
    }
    for (_, poller) in pollers {
        poller.abort();
    }
}

fn reconcile(pollers: &mut Pollers, view: &View, scheduler: &Arc<Scheduler>, client: &Client) {
    let engines: Vec<(Target, SocketAddr)> = view
        .sheet
        .iter()
        .flat_map(|sheet| &sheet.targets)
        .filter(|target| target.memory_tokens > 0)
        .map(|target| (target.name.clone(), target.address))
        .collect();
    pollers.retain(|engine, poller| {
        let wanted = engines.contains(engine);
        if !wanted {
            poller.abort();
        }
        wanted
    });
    for engine in engines {
        pollers.entry(engine.clone()).or_insert_with(|| {
            let (target, address) = engine;
            tokio::spawn(poll(target, address, scheduler.clone(), client.clone()))
        });
    }
}

async fn poll(target: Target, address: SocketAddr, scheduler: Arc<Scheduler>, client: Client) {
    let mut failures = 0;
    let mut cache = Position::default();
    let mut polls: u32 = 0;
    loop {
        if polls.is_multiple_of(READ_BACK_EVERY) {
            read_back(&target, address, &scheduler, &client).await;
        }
        polls = polls.wrapping_add(1);
        match client.load_report(address).await {
            Ok(load) => {
                failures = 0;
                scheduler.record_load(&target, load.incarnation(), load);
                cache.follow(&target, address, &scheduler, &client).await;
            }
            Err(error) => {
                failures += 1;
                debug!(target = target.as_str(); "load report failed: {error}");
                if failures == SILENT_AFTER {
                    scheduler.eject(&target);
                }
            }
        }
        // Jitter keeps the hosts from polling an engine in step.
        let jitter = rand::rng().random_range(0.8..1.2);
        sleep(REPORT_INTERVAL.mul_f64(jitter)).await;
    }
}

/// Takes over what the engine has loaded. If that can't be read, the last known state stays.
async fn read_back(target: &Target, address: SocketAddr, scheduler: &Scheduler, client: &Client) {
    match client.loaded_models(address).await {
        Ok(loaded) => scheduler.record_loaded(target, loaded),
        Err(error) => debug!(target = target.as_str(); "loaded models can't be read: {error}"),
    }
}
