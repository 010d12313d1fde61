//! Polls the platform's list and the targets' load reports, and publishes them as
//! [`Observations`].
//!
//! Only the group's leader polls, and hosts that know of no leader. The number of pollers thereby
//! doesn't grow with the group, and each side of a partition has at least one. Load reports of many engines
//! are also read by other voters, which send them to the leader (see [`division`]).

pub mod division;
mod listing;
pub mod paging;
pub mod readers;
pub mod reports;
pub mod schedule;

pub use self::listing::distinct;

use {
    self::{
        division::{Division, LoadsReport, Unsent},
        readers::Readers,
        reports::{Key, Reports},
        schedule::Schedule,
    },
    crate::{
        allocator::Allocator,
        codec::Codec,
        group::Document,
        metrics::Metrics,
        observations::{
            Builds, Followers, Instance, LoadReport, Observations, ObservationsSender,
            update::UNKNOWN_AGE_MS,
        },
        pool::{Pool, Purpose},
        table::Table,
    },
    http::{HeaderMap, header},
    log::{debug, warn},
    sardinerelay::id::{Build, Service},
    sardinerelayd::panics::keep_running,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::Receiver, watch},
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Timeout of one request for a page of the list or a load report.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest number of idle connections to an engine, or to the list's server. Reads of one engine rarely
/// overlap.
const MAX_IDLE_PER_SERVER: usize = 1;
/// Longest time between two looks at which reports are due. The readers may change at any time.
const MAX_READ_PAUSE: Duration = Duration::from_millis(100);
/// Shortest interval between two publications.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(120);

/// Observes targets on behalf of entry hosts.
#[derive(Debug)]
pub struct Observer {
    codec: Codec,
    pool: Pool,
    /// The server of the platform's list, in the form that the connection pool takes.
    list_server: Instance,
    /// Pages of the list that all hosts together may request per second.
    max_list_rate: f64,
    followers: Arc<Followers>,
    /// This host's allocator, whose refused parts are published.
    allocator: Arc<Allocator>,
    metrics: Arc<Metrics>,
    observations: ObservationsSender,
    state: Mutex<State>,
    /// Whether this host polls.
    is_active: watch::Receiver<bool>,
    /// Whether this host is the group's leader.
    is_leader: watch::Receiver<bool>,
    /// Notified when a list or a load report has been read.
    changed: tokio::sync::Notify,
    /// Notified when an engine has begun to close its connections.
    closing_seen: tokio::sync::Notify,
    /// Notified when this host itself has read that an engine closes its connections. The leader is told at
    /// once.
    closing_read: tokio::sync::Notify,
    division: Division,
}

/// What was read last.
#[derive(Debug, Default)]
struct State {
    instances: Vec<Instance>,
    /// When the list was read; none before the first time.
    list_read: Option<Instant>,
    reports: Reports,
    /// The services that consist of engines. Only their targets report their load.
    engine_services: HashSet<Service>,
    /// The hosts that read load reports, while this host is the leader.
    readers: Readers,
    /// What was read and not yet sent to the leader, while that is another host.
    unsent: Vec<Unsent>,
}

impl Observer {
    /// Creates an observer of the list that is served at `list`. All hosts together may request
    /// `max_rate` pages a second there. `is_active` says whether this host polls,
    /// `is_leader` whether it does so as the group's leader.
    pub fn new(
        codec: Codec,
        (list, max_rate): (SocketAddr, f64),
        (observations, followers): (ObservationsSender, Arc<Followers>),
        (allocator, metrics): (Arc<Allocator>, Arc<Metrics>),
        (is_active, is_leader): (watch::Receiver<bool>, watch::Receiver<bool>),
        division: Division,
    ) -> Self {
        Self {
            codec,
            pool: Pool::with_max_idle(MAX_IDLE_PER_SERVER),
            list_server: Instance {
                target: "list".into(),
                incarnation: 0,
                service: Service::default(),
                address: list,
                zone: "".into(),
                slots: 0,
                leaving: false,
                cold_ms: 0,
                build: Build::default(),
            },
            max_list_rate: max_rate,
            followers,
            allocator,
            metrics,
            observations,
            state: Mutex::default(),
            is_active,
            is_leader,
            changed: tokio::sync::Notify::new(),
            closing_seen: tokio::sync::Notify::new(),
            closing_read: tokio::sync::Notify::new(),
            division,
        }
    }

    /// Polls and publishes for as long as the process runs. `newest` is the configuration, which
    /// says which services consist of engines, and `reports` are the messages of other voters.
    pub async fn run(
        self: Arc<Self>,
        newest: watch::Receiver<Option<Arc<Document>>>,
        reports: Receiver<LoadsReport>,
    ) {
        let reports = tokio::sync::Mutex::new(reports);
        // They read what others say. One that panics must not end for good, nor the others with it.
        tokio::join!(
            keep_running("poll the list", || self.poll_list()),
            keep_running("poll load reports", || self.poll_load_reports()),
            keep_running("publish", || self.publish()),
            keep_running("track engine services", || {
                self.track_engine_services(newest.clone())
            }),
            keep_running("adopt published", || self.adopt_published()),
            keep_running("send reads", || self.send_reads()),
            keep_running("receive reads", || self.receive_reads(&reports)),
        );
    }

    /// Reads the load reports of this host's share of the engines as [`Schedule`] says.
    async fn poll_load_reports(self: &Arc<Self>) {
        let mut schedule = Schedule::new(Instant::now());
        loop {
            if !self.wait_until_reader().await {
                return;
            }
            let now = Instant::now();
            for engine in self.due(&mut schedule, now) {
                let observer = Arc::clone(self);
                tokio::spawn(async move { observer.read_load_report(&engine).await });
            }
            tokio::select! {
                () = sleep(schedule.wait(now).min(MAX_READ_PAUSE)) => {}
                () = self.closing_seen.notified() => schedule.hurry(Instant::now()),
            }
        }
    }

    /// Reads an engine's load report. If the response is the first one that closes the connection,
    /// reads it again at once: the engine is probably about to stop, but a single response may
    /// close the connection by chance.
    async fn read_load_report(&self, engine: &Instance) {
        if !self.read_load_report_once(engine).await {
            return;
        }
        self.read_load_report_once(engine).await;
        if self.state().is_closing(engine) {
            self.closing_read.notify_one();
            self.closing_seen.notify_one();
        }
    }

    /// Reads an engine's load report. Returns whether this response is the first one that closes
    /// the connection.
    async fn read_load_report_once(&self, engine: &Instance) -> bool {
        let sent = Instant::now();
        let request = (self.codec.load_request)(engine.address);
        let response = match self
            .pool
            .call(engine, (request, Purpose::Read), READ_TIMEOUT)
            .await
        {
            Ok(response) if response.status().is_success() => response,
            Ok(response) => {
                self.metrics.record_load_read("status");
                debug!(
                    "no load report from {}: status {}",
                    engine.target,
                    response.status()
                );
                return false;
            }
            Err(error) => {
                self.metrics.record_load_read("no_response");
                debug!("no load report from {}: {error}", engine.target);
                return false;
            }
        };
        match (self.codec.parse_load)(response.body()) {
            Ok(mut load) => {
                self.metrics.record_load_read("read");
                let head = (self.codec.parse_response_head)(response.headers());
                self.allocator
                    .record_statement(engine, &head.statement, sent);
                load.leaving |= head.statement.is_leaving;
                let key = key_of(engine);
                let mut state = self.state();
                let closes = closes_connection(response.headers());
                let now = Instant::now();
                let is_first_closing = state.reports.record(key.clone(), load, closes, now);
                state.unsent.push(Unsent {
                    key,
                    load,
                    sent,
                    read: now,
                    limit: head.statement.limit,
                });
                drop(state);
                self.changed.notify_one();
                is_first_closing
            }
            Err(error) => {
                self.metrics.record_load_read("invalid");
                debug!("the load report of {} is invalid: {error}", engine.target);
                false
            }
        }
    }

    /// Publishes the observations after changes, at most once in `MIN_PUBLISH_INTERVAL`, while this host
    /// polls. Otherwise those of the leader are published instead.
    async fn publish(&self) {
        let mut ticks = interval(MIN_PUBLISH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_active = self.is_active.clone();
        loop {
            if !*is_active.borrow() {
                self.metrics.record_load_readers(0);
                if is_active.wait_for(|active| *active).await.is_err() {
                    return;
                }
                let mut state = self.state();
                state.adopt(&self.observations.borrow());
                state.readers = Readers::default();
            }
            ticks.tick().await;
            tokio::select! {
                () = self.changed.notified() => {}
                () = self.allocator.changed.notified() => {}
                _ = is_active.changed() => continue,
            }
            let previous = self.observations.borrow().clone();
            let observations = self.snapshot().succeeding(&previous);
            self.observations.send_replace(Arc::new(observations));
        }
    }

    /// Returns what was read last, and forgets targets that are no longer listed.
    fn snapshot(&self) -> Observations {
        let now = Instant::now();
        let age = |read: Instant| now.saturating_duration_since(read).as_millis() as u64;
        let mut state = self.state();
        let State {
            reports, instances, ..
        } = &mut *state;
        reports.retain_listed(instances);
        let loads = state.reports.all().map(|(key, (load, read))| LoadReport {
            target: key.0.clone(),
            incarnation: key.1,
            load: *load,
            age_ms: age(*read),
            closing_ms: state.reports.closing_since(key).map(age),
        });
        let allocator = self.allocator.state();
        let refused_parts = allocator.quarantine.refused(now);
        let limits = allocator.targets.published_limits(now);
        let refused_requests = allocator.requests.refused(now);
        let suspect_requests = allocator.requests.suspects();
        drop(allocator);
        Observations {
            stamp: 0,
            loads: loads.collect(),
            builds: Builds::of(&state.instances),
            instances: state.instances.clone(),
            list_age_ms: state.list_read.map_or(UNKNOWN_AGE_MS, age),
            entry_hosts: self.followers.count(),
            refused_parts,
            limits,
            refused_requests,
            suspect_requests,
            readers: state.readers.chosen().to_vec(),
            liveness: None,
            ages_updated: Some(now),
            asked: None,
            changed_stamp: 0,
        }
    }

    /// Updates the set of services that consist of engines from each new configuration.
    async fn track_engine_services(&self, mut newest: watch::Receiver<Option<Arc<Document>>>) {
        loop {
            let document = newest.borrow_and_update().clone();
            if let Some(document) = document {
                match (self.codec.parse_configuration)(&document.body).map(Table::check) {
                    Ok(Ok(table)) => {
                        self.allocator.set_services(table.services());
                        let engines = table.services().iter();
                        let engines = engines.filter(|service| service.engine.is_some());
                        self.state().engine_services =
                            engines.map(|service| service.name.clone()).collect();
                    }
                    _ => warn!(version = document.version; "the configuration can't be used"),
                }
            }
            if newest.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the engines whose reports are to be read now.
    fn due(&self, schedule: &mut Schedule, now: Instant) -> Vec<Instance> {
        let mut state = self.state();
        let readers = self.readers(&mut state, now);
        let is_active = *self.is_active.borrow();
        if !is_active && readers.is_empty() {
            return Vec::new();
        }
        let allocator = self.allocator.state();
        let engines = state.share(&readers, self.division.own);
        self.metrics
            .record_load_interval(schedule::interval(engines.len()));
        let known = |engine: &Instance| {
            let load = state.reports.load(&key_of(engine));
            let target = allocator.targets.get(&engine.target);
            schedule::Known {
                reported: load.map(|(_, read)| read),
                // Only the leader knows claims; others know what the engine reported.
                has_claims: match is_active {
                    true => target.is_some_and(|target| !target.claims.is_empty()),
                    false => load.is_some_and(|(load, _)| load.running > 0 || load.waiting > 0),
                },
                is_leaving: engine.leaving
                    || load.is_some_and(|(load, _)| load.leaving)
                    || state.is_closing(engine),
            }
        };
        if !readers.is_empty() {
            schedule.keep_places();
        }
        schedule.due(&engines, known, now)
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the listed targets of the services that consist of engines.
    fn engines(&self) -> Vec<&Instance> {
        let instances = self.instances.iter();
        instances
            .filter(|instance| self.engine_services.contains(&instance.service))
            .collect()
    }

    /// Whether an engine counts as closing its connections.
    fn is_closing(&self, engine: &Instance) -> bool {
        self.reports.closing_since(&key_of(engine)).is_some()
    }
}

fn key_of(engine: &Instance) -> Key {
    (engine.target.clone(), engine.incarnation)
}

fn closes_connection(headers: &HeaderMap) -> bool {
    let value = headers.get(header::CONNECTION);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
