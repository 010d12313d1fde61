//! The reading of load reports by voters other than the leader, and the messages in which they send the leader
//! what they read.

use {
    super::{
        Observer, State,
        readers::{self, MAX_UNDIVIDED_ENGINES},
        reports::Key,
    },
    crate::{
        group::{Clients, LOADS_METHOD},
        limit,
        observations::{Instance, Load, Observations},
        statement::Statement,
        targets::instant_before,
    },
    log::{debug, info},
    sardinerelay::id::{Incarnation, Target},
    sardinerelayd::peer::Packed,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Mutex, mpsc::Receiver, watch},
        time::{MissedTickBehavior, interval},
    },
};

/// Interval between two messages to the leader.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two messages of a voter that has read nothing. They offer to read.
const OFFER_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for writing a message to the connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest number of reads in a message. One host makes at most 250 in a second.
const MAX_READS_PER_MESSAGE: usize = 250;
/// Number of messages that wait for the observer. More are dropped.
pub const QUEUE_CAPACITY: usize = 64;

/// What a voter read, as it sends it to the leader. Parameter of [`LOADS_METHOD`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsReport {
    /// Address of the voter.
    pub from: Ipv4Addr,
    /// What it read since its last message.
    pub reads: Vec<Read>,
}

/// A load report that a voter read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    pub target: Target,
    pub incarnation: Incarnation,
    pub load: Load,
    /// Milliseconds since the report was read.
    pub age_ms: u64,
    /// Milliseconds since the request for it was sent.
    pub sent_age_ms: u64,
    /// Milliseconds since the target began to close its connections, if it does.
    pub closing_ms: Option<u64>,
    /// The rate limit that the target states.
    pub limit: limit::Statement,
}

/// A load report that was read here and is to be sent to the leader.
#[derive(Debug)]
pub(super) struct Unsent {
    pub(super) key: Key,
    pub(super) load: Load,
    pub(super) sent: Instant,
    pub(super) read: Instant,
    pub(super) limit: limit::Statement,
}

/// What a host needs to divide reads with the other voters.
#[derive(Debug)]
pub struct Division {
    /// This host's address.
    pub own: Ipv4Addr,
    pub clients: Arc<Clients>,
    /// The leader if it is another host.
    pub leader: watch::Receiver<Option<Ipv4Addr>>,
    /// The voters from which messages arrived recently, while this host is the leader.
    pub heard: watch::Receiver<BTreeSet<Ipv4Addr>>,
}

impl Observer {
    /// Returns the readers among which the engines are divided. The leader chooses them; other hosts know them
    /// from it. If there are none, each host that polls reads all engines, and others read none.
    pub(super) fn readers(&self, state: &mut State, now: Instant) -> Vec<Ipv4Addr> {
        if !*self.is_active.borrow() {
            return self.observations.borrow().readers.clone();
        }
        let heard = match *self.is_leader.borrow() {
            true => self.division.heard.borrow().clone(),
            false => BTreeSet::new(),
        };
        let engines = state.engines().len();
        let own = self.division.own;
        if state.readers.choose(own, engines, &heard, now) {
            let readers = state.readers.chosen();
            info!(readers:? = readers, engines = engines; "the readers of load reports changed");
            self.changed.notify_one();
        }
        self.metrics
            .record_load_readers(state.readers.chosen().len().max(1));
        state.readers.chosen().to_vec()
    }

    /// Whether this host reads load reports, as a polling host or as one of the leader's readers.
    pub(super) fn is_reader(&self) -> bool {
        *self.is_active.borrow()
            || self
                .observations
                .borrow()
                .readers
                .contains(&self.division.own)
    }

    /// Waits until this host reads load reports. Returns false if that will never be.
    pub(super) async fn wait_until_reader(&self) -> bool {
        let mut is_active = self.is_active.clone();
        let mut published = self.observations.subscribe();
        let mut has_waited = false;
        while !self.is_reader() {
            let changed = tokio::select! {
                changed = is_active.changed() => changed,
                changed = published.changed() => changed,
            };
            if changed.is_err() {
                return false;
            }
            has_waited = true;
        }
        if has_waited {
            // The schedule must not begin with what was known when this host last read.
            self.adopt_newest();
        }
        true
    }

    /// Adopts the leader's list and load reports while this host is one of its readers.
    pub(super) async fn adopt_published(&self) {
        let mut published = self.observations.subscribe();
        while published.changed().await.is_ok() {
            self.adopt_newest();
        }
    }

    /// Adopts what the leader published last, if this host is one of its readers. If that shows that an engine
    /// has begun to close its connections, the others of the share are read at once.
    fn adopt_newest(&self) {
        if *self.is_active.borrow() || !self.is_reader() {
            return;
        }
        let newest = self.observations.borrow().clone();
        let mut state = self.state();
        let closing_seen = state.adopt(&newest);
        state.reports.retain_listed(&newest.instances);
        drop(state);
        self.close_unlisted(&newest.instances);
        if closing_seen {
            self.closing_seen.notify_one();
        }
    }

    /// Sends the leader what was read, and offers to read, while the leader is another host.
    pub(super) async fn send_reads(&self) {
        let mut ticks = interval(SEND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_sent = Instant::now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.closing_read.notified() => {}
            }
            let reads = self.take_unsent();
            let leader = *self.division.leader.borrow();
            let Some(leader) = leader.filter(|_| !*self.is_active.borrow()) else {
                continue;
            };
            let offers = last_sent.elapsed() >= OFFER_INTERVAL && self.is_offering();
            if reads.is_empty() && !offers {
                continue;
            }
            last_sent = Instant::now();
            let report = LoadsReport {
                from: self.division.own,
                reads,
            };
            let client = self.division.clients.get(leader);
            let sent = client
                .notify(LOADS_METHOD, &Packed(report), SEND_TIMEOUT)
                .await;
            if let Err(error) = sent {
                debug!("sending load reports to {leader} failed: {error}");
            }
        }
    }

    /// Whether there are so many engines that the leader may divide them.
    fn is_offering(&self) -> bool {
        let published = self.observations.borrow().clone();
        let state = self.state();
        let instances = published.instances.iter();
        let engines =
            instances.filter(|instance| state.engine_services.contains(&instance.service));
        engines.count() > MAX_UNDIVIDED_ENGINES
    }

    fn take_unsent(&self) -> Vec<Read> {
        let now = Instant::now();
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let mut state = self.state();
        let mut unsent = std::mem::take(&mut state.unsent);
        let excess = unsent.len().saturating_sub(MAX_READS_PER_MESSAGE);
        let unsent = unsent.drain(..).skip(excess);
        let reads = unsent.map(|unsent| {
            let closing = state.reports.closing_since(&unsent.key);
            Read {
                closing_ms: closing.map(age),
                target: unsent.key.0,
                incarnation: unsent.key.1,
                load: unsent.load,
                age_ms: age(unsent.read),
                sent_age_ms: age(unsent.sent),
                limit: unsent.limit,
            }
        });
        reads.collect()
    }

    /// Merges what other voters send while this host is the leader.
    pub(super) async fn receive_reads(&self, reports: &Mutex<Receiver<LoadsReport>>) {
        let mut reports = reports.lock().await;
        while let Some(report) = reports.recv().await {
            if *self.is_leader.borrow() {
                self.merge_reads(report, Instant::now());
            }
        }
    }

    fn merge_reads(&self, report: LoadsReport, now: Instant) {
        let has_reads = !report.reads.is_empty();
        if !self.state().readers.record(report.from, has_reads, now) {
            return;
        }
        let mut closing_seen = false;
        for read in report.reads.into_iter().take(MAX_READS_PER_MESSAGE) {
            let known = self.allocator.state();
            let Some(engine) = known.targets.get(&read.target) else {
                continue;
            };
            let engine: Instance = engine.instance.clone();
            drop(known);
            if engine.incarnation != read.incarnation {
                continue;
            }
            let sent = instant_before(now, read.sent_age_ms);
            let statement = Statement {
                limit: read.limit,
                ..Statement::default()
            };
            self.allocator.record_statement(&engine, &statement, sent);
            let at = instant_before(now, read.age_ms);
            let closing = read.closing_ms.map(|age| instant_before(now, age));
            let key = (read.target, read.incarnation);
            closing_seen |= self.state().reports.merge(key, (read.load, at), closing);
        }
        self.changed.notify_one();
        if closing_seen {
            self.closing_seen.notify_one();
        }
    }
}

impl State {
    /// Returns the engines that a host reads.
    pub(super) fn share(&self, readers: &[Ipv4Addr], own: Ipv4Addr) -> Vec<&Instance> {
        readers::share(readers, self.engines(), own)
    }

    /// Adopts what the leader published last, where it is newer, while or until the leader is another host.
    /// Followers then see no older list than before when this host begins to poll, and engines are known
    /// before the first list is read. Returns whether a target has begun to close its connections.
    pub(super) fn adopt(&mut self, published: &Observations) -> bool {
        if published.asked.is_none() {
            return false;
        }
        let updated = published.ages_updated.unwrap_or_else(Instant::now);
        let read = instant_before(updated, published.list_age_ms);
        if self.list_read.is_none_or(|known| known < read) {
            self.instances.clone_from(&published.instances);
            self.list_read = Some(read);
        }
        let mut closing_seen = false;
        for report in &published.loads {
            let key = (report.target.clone(), report.incarnation);
            let read = instant_before(updated, report.age_ms);
            let closing = report.closing_ms.map(|age| instant_before(updated, age));
            closing_seen |= self.reports.merge(key, (report.load, read), closing);
        }
        closing_seen
    }
}
