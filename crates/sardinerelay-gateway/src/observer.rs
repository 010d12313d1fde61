//! Reads the platform's list and the targets' load reports, and publishes them as a board.
//!
//! Only the group's leader reads, and hosts that know of no leader: the number of readers then
//! doesn't grow with the group, and each side of a partition has one.

use {
    crate::{
        codec::Codec,
        group::Document,
        observations::{Followers, Instance, Load, LoadReport, Observations, ObservationsSender},
        pool::Pool,
        table::Table,
    },
    http::{HeaderMap, header},
    log::{debug, info, warn},
    sardinerelay::id::{Incarnation, Service, Target},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Interval between two reads of the list, unless the rate that is allowed is lower.
const LIST_EVERY: Duration = Duration::from_millis(250);
/// Hosts that read the list at the same time at most.
const READERS: f64 = 8.0;
/// Share of the allowed rate that is used.
const RATE_SHARE: f64 = 0.6;
/// Answers in a row after which a target closes the connection from which on it counts as closing.
const SURE: u32 = 2;
/// Interval between two reads of a target's report.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// Deadline of a read.
const DEADLINE: Duration = Duration::from_millis(700);
/// Pages of one read at most.
const MOST_PAGES: usize = 200;
/// Least time between two boards.
const PUBLISH_EVERY: Duration = Duration::from_millis(120);

/// The observer of one host.
#[derive(Debug)]
pub struct Observer {
    codec: Codec,
    pool: Pool,
    list: Instance,
    pause: Duration,
    followers: Arc<Followers>,
    board: ObservationsSender,
    seen: Mutex<Seen>,
    /// Whether this host reads at all.
    active: watch::Receiver<bool>,
    changed: tokio::sync::Notify,
}

#[derive(Debug, Default)]
struct Seen {
    instances: Vec<Instance>,
    list_read: Option<Instant>,
    loads: HashMap<(Target, Incarnation), (Load, Instant)>,
    closing: HashMap<(Target, Incarnation), Closing>,
    engines: HashSet<Service>,
}

/// A target that closes the connections of its answers.
#[derive(Debug)]
struct Closing {
    since: Instant,
    answers: u32,
}

impl Observer {
    /// An observer of the list at `list`, which all hosts together may read `rate` times a second.
    pub fn new(
        codec: Codec,
        (list, rate): (SocketAddr, f64),
        (board, followers): (ObservationsSender, Arc<Followers>),
        active: watch::Receiver<bool>,
    ) -> Self {
        let slowest = READERS / (rate * RATE_SHARE).max(0.1);
        Self {
            codec,
            pool: Pool::default(),
            list: Instance {
                target: "list".into(),
                incarnation: 0,
                service: Service::default(),
                address: list,
                zone: "".into(),
                slots: 0,
                leaving: false,
                cold_ms: 0,
            },
            pause: LIST_EVERY.max(Duration::from_secs_f64(slowest)),
            followers,
            board,
            seen: Mutex::default(),
            active,
            changed: tokio::sync::Notify::new(),
        }
    }

    /// Observes, for ever.
    pub async fn run(self: Arc<Self>, newest: watch::Receiver<Option<Arc<Document>>>) {
        tokio::join!(
            self.read_lists(),
            self.read_reports(),
            self.publish(),
            self.learn_engines(newest),
        );
    }

    async fn read_lists(&self) {
        let mut failing = false;
        let mut active = self.active.clone();
        loop {
            if active.wait_for(|active| *active).await.is_err() {
                return;
            }
            let began = Instant::now();
            match self.read_list().await {
                Ok(instances) => {
                    if std::mem::take(&mut failing) {
                        info!("the platform's list can be read again");
                    }
                    let mut seen = self.seen();
                    seen.instances = instances;
                    seen.list_read = Some(began);
                    drop(seen);
                    self.changed.notify_one();
                }
                Err(reason) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn!(reason = reason.as_str(); "the platform's list can't be read");
                    }
                }
            }
            sleep(self.pause.saturating_sub(began.elapsed())).await;
        }
    }

    async fn read_list(&self) -> Result<Vec<Instance>, String> {
        let mut instances = Vec::new();
        let mut token: Option<String> = None;
        for _ in 0..MOST_PAGES {
            let request = (self.codec.list_request)(self.list.address, token.as_deref());
            let answer = self.pool.call(&self.list, request, DEADLINE).await;
            let answer = answer.map_err(|fault| fault.to_string())?;
            if !answer.status().is_success() {
                return Err(format!("status {}", answer.status()));
            }
            let page = (self.codec.parse_list)(answer.body()).map_err(|fault| fault.to_string())?;
            for skipped in &page.skipped {
                debug!("an entry of the list is skipped: {skipped}");
            }
            instances.extend(page.instances);
            token = page.next;
            if token.is_none() {
                return Ok(instances);
            }
        }
        Err(format!("more than {MOST_PAGES} pages"))
    }

    /// Reads every engine's report in turn, spread over the interval.
    async fn read_reports(self: &Arc<Self>) {
        let mut next: BTreeMap<Target, Instant> = BTreeMap::new();
        let mut active = self.active.clone();
        loop {
            if active.wait_for(|active| *active).await.is_err() {
                return;
            }
            let now = Instant::now();
            let engines = self.engines();
            next.retain(|target, _| engines.iter().any(|engine| engine.target == *target));
            let count = engines.len().max(1) as u32;
            for (at, engine) in engines.into_iter().enumerate() {
                let offset = REPORT_EVERY / count * at as u32;
                let due = next.entry(engine.target.clone()).or_insert(now + offset);
                if *due > now {
                    continue;
                }
                *due = now + REPORT_EVERY;
                let observer = Arc::clone(self);
                tokio::spawn(async move { observer.read_report(&engine).await });
            }
            let due = next.values().min().copied();
            let wait = due.map_or(REPORT_EVERY, |due| due.saturating_duration_since(now));
            sleep(wait.clamp(Duration::from_millis(5), REPORT_EVERY)).await;
        }
    }

    /// Reads an engine's report. One that begins to close its connections is probably about to stop,
    /// but a single answer may say so by chance: it is asked again at once.
    async fn read_report(&self, engine: &Instance) {
        if self.read_report_once(engine).await {
            self.read_report_once(engine).await;
        }
    }

    /// Returns whether the engine has just begun to close its connections.
    async fn read_report_once(&self, engine: &Instance) -> bool {
        let request = (self.codec.load_request)(engine.address);
        let answer = match self.pool.call(engine, request, DEADLINE).await {
            Ok(answer) if answer.status().is_success() => answer,
            Ok(answer) => {
                debug!("{} reports with status {}", engine.target, answer.status());
                return false;
            }
            Err(fault) => {
                debug!("{} does not report: {fault}", engine.target);
                return false;
            }
        };
        match (self.codec.parse_load)(answer.body()) {
            Ok(load) => {
                let key = (engine.target.clone(), engine.incarnation);
                let mut seen = self.seen();
                let begins = seen.note_closing(&key, closes(answer.headers()));
                seen.loads.insert(key, (load, Instant::now()));
                drop(seen);
                self.changed.notify_one();
                begins
            }
            Err(unreadable) => {
                debug!(
                    "the report of {} is unreadable: {unreadable}",
                    engine.target
                );
                false
            }
        }
    }

    async fn publish(&self) {
        let mut ticks = interval(PUBLISH_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stamp = rand::random::<u32>().into();
        loop {
            ticks.tick().await;
            self.changed.notified().await;
            stamp += 1;
            let mut board = self.make(stamp);
            let before = self.board.borrow().clone();
            board.changed = match board.lists_other_targets(&before) {
                true => stamp,
                false => before.changed,
            };
            self.board.send_replace(Arc::new(board));
        }
    }

    fn make(&self, stamp: u64) -> Observations {
        let now = Instant::now();
        let age = |read: Instant| now.saturating_duration_since(read).as_millis() as u64;
        let mut seen = self.seen();
        let listed: HashSet<(Target, Incarnation)> = seen
            .instances
            .iter()
            .map(|instance| (instance.target.clone(), instance.incarnation))
            .collect();
        seen.loads.retain(|key, _| listed.contains(key));
        seen.closing.retain(|key, _| listed.contains(key));
        let loads = seen.loads.iter().map(|(key, (load, read))| {
            let closing = seen.closing.get(key);
            let closing = closing.filter(|closing| closing.answers >= SURE);
            LoadReport {
                target: key.0.clone(),
                incarnation: key.1,
                load: *load,
                age_ms: age(*read),
                closing_ms: closing.map(|closing| age(closing.since)),
            }
        });
        Observations {
            stamp,
            loads: loads.collect(),
            instances: seen.instances.clone(),
            list_age_ms: seen.list_read.map_or(u64::MAX / 2, age),
            entries: self.followers.count(),
            made: Some(now),
            changed: 0,
        }
    }

    /// Learns from the configuration which services have engines.
    async fn learn_engines(&self, mut newest: watch::Receiver<Option<Arc<Document>>>) {
        loop {
            let document = newest.borrow_and_update().clone();
            if let Some(document) = document {
                match (self.codec.parse_configuration)(&document.body).map(Table::check) {
                    Ok(Ok(table)) => {
                        let engines = table.services().iter();
                        let engines = engines.filter(|spec| spec.engine.is_some());
                        self.seen().engines = engines.map(|spec| spec.name.clone()).collect();
                    }
                    _ => warn!(version = document.version; "configuration unreadable"),
                }
            }
            if newest.changed().await.is_err() {
                return;
            }
        }
    }

    fn engines(&self) -> Vec<Instance> {
        let seen = self.seen();
        let instances = seen.instances.iter();
        instances
            .filter(|instance| seen.engines.contains(&instance.service))
            .cloned()
            .collect()
    }

    fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Seen {
    /// Records whether an answer closes its connection. Returns whether it is the first one.
    fn note_closing(&mut self, key: &(Target, Incarnation), closes: bool) -> bool {
        if !closes {
            self.closing.remove(key);
            return false;
        }
        let closing = self.closing.entry(key.clone()).or_insert_with(|| Closing {
            since: Instant::now(),
            answers: 0,
        });
        closing.answers += 1;
        closing.answers == 1
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
