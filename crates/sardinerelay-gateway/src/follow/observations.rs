//! The hosts whose observations an entry host follows.

use {
    super::{
        FOLLOW_RESPONSE_MARGIN, FOLLOW_RETRY_DELAY, MAX_FOLLOWED_HOSTS,
        subscription::{Follower, Subscription},
    },
    crate::{
        entry::EntryHost,
        group::{Clients, ZONE_METHOD},
        observations::update::Loads,
    },
    futures::future::join_all,
    log::{debug, info},
    sardinerelay::id::Zone,
    sardinerelayd::{panics::keep_running, peer::Client},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::Ipv4Addr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Time without fresh observations from any host after which those of all followed hosts are
/// requested.
const OBSERVATIONS_TIMEOUT: Duration = Duration::from_millis(700);
/// Age from which a short list doesn't count as fresh. It is read every 250 ms or more, and is passed on by a
/// voter that waits for up to 300 ms.
const MAX_FRESH_LIST_AGE: Duration = Duration::from_millis(1500);
/// Time by which that age grows with each listed target. A page of 50 takes 16 ms within the platform's rate
/// limit, and a list is replaced only when the next one has been read to its end.
const FRESH_AGE_PER_TARGET: Duration = Duration::from_micros(640);

/// The hosts whose observations an entry host follows.
#[derive(Debug)]
pub(super) struct Publishers {
    entry: Arc<EntryHost>,
    /// The availability zones of the voters that have told theirs. Those of earlier versions don't.
    zones: BTreeMap<Ipv4Addr, Zone>,
    tasks: BTreeMap<Ipv4Addr, (Arc<AtomicUsize>, JoinHandle<()>)>,
    /// When fresh observations were last received, from any host.
    last_fresh: Arc<watch::Sender<Option<Instant>>>,
}

impl Publishers {
    pub(super) fn new(entry: Arc<EntryHost>) -> Self {
        Self {
            entry,
            zones: BTreeMap::new(),
            tasks: BTreeMap::new(),
            last_fresh: Arc::new(watch::Sender::new(None)),
        }
    }

    /// Follows the hosts that are best for this one, and no others.
    pub(super) fn follow(
        &mut self,
        clients: &Clients,
        addresses: &BTreeSet<Ipv4Addr>,
        leader: Option<Ipv4Addr>,
    ) {
        let common = &self.entry.settings.common;
        let chosen = choose((&common.host, &common.zone), addresses, &self.zones, leader);
        self.tasks.retain(|address, (_, task)| {
            let is_chosen = chosen.contains(address);
            if !is_chosen {
                task.abort();
            }
            is_chosen
        });
        for (rank, address) in chosen.into_iter().enumerate() {
            if let Some((known, _)) = self.tasks.get(&address) {
                if known.swap(rank, Ordering::Relaxed) != rank && rank == 0 {
                    info!(address:% = address; "following the observations of another host");
                }
                continue;
            }
            let shared = Arc::new(AtomicUsize::new(rank));
            let (entry, client) = (Arc::clone(&self.entry), clients.get(address));
            let (rank, last_fresh) = (Arc::clone(&shared), Arc::clone(&self.last_fresh));
            let following = keep_running("follow observations", move || {
                follow(
                    Arc::clone(&entry),
                    Arc::clone(&client),
                    Arc::clone(&rank),
                    Arc::clone(&last_fresh),
                )
            });
            self.tasks
                .insert(address, (shared, tokio::spawn(following)));
        }
    }

    /// Asks the voters for their availability zones that have not told them.
    pub(super) async fn ask_zones(&mut self, clients: &Clients, addresses: &BTreeSet<Ipv4Addr>) {
        self.zones.retain(|address, _| addresses.contains(address));
        let unknown = addresses
            .iter()
            .filter(|address| !self.zones.contains_key(address));
        let asked = unknown.map(|address| async move {
            let client = clients.get(*address);
            let called = client.call(ZONE_METHOD, &(), FOLLOW_RESPONSE_MARGIN);
            (*address, called.await.ok())
        });
        for (address, zone) in join_all(asked).await {
            if let Some(zone) = zone {
                self.zones.insert(address, zone);
            }
        }
    }
}

/// Returns the hosts whose observations the host with this name and zone follows: the best one, and
/// those that it follows while that one delivers nothing fresh. Voters of its own zone come first, then
/// others, in an order that depends on the host's name. A voter whose zone isn't known may have an
/// earlier version, in which only the leader publishes.
pub fn choose(
    (host, zone): (&str, &str),
    addresses: &BTreeSet<Ipv4Addr>,
    zones: &BTreeMap<Ipv4Addr, Zone>,
    leader: Option<Ipv4Addr>,
) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<_> = addresses
        .iter()
        .map(|address| {
            let mut hasher = DefaultHasher::new();
            (host, address).hash(&mut hasher);
            let known = zones.get(address);
            let is_leader = Some(*address) == leader;
            let is_near = known.is_some_and(|known| known == zone && !zone.is_empty());
            let order = (!is_near, known.is_none(), known.is_none() && !is_leader);
            (order, hasher.finish(), *address)
        })
        .collect();
    ranked.sort_unstable();
    let ranked = ranked.into_iter().map(|(_, _, address)| address);
    let mut chosen: Vec<_> = ranked.take(MAX_FOLLOWED_HOSTS).collect();
    if let Some(leader) = leader.filter(|leader| addresses.contains(leader))
        && !chosen.contains(&leader)
    {
        chosen.pop();
        chosen.push(leader);
    }
    chosen
}

/// Whether a list of this many targets that is this old is as new as a publisher can have it.
pub fn is_fresh(age: Duration, targets: usize) -> bool {
    let allowance = FRESH_AGE_PER_TARGET.saturating_mul(u32::try_from(targets).unwrap_or(u32::MAX));
    age < MAX_FRESH_LIST_AGE + allowance
}

/// Returns the load reports that the host needs: all for a short time after a supposed crash, which they
/// may refute, and those of its zone while it allocates itself.
fn wanted_loads(entry: &EntryHost) -> Loads {
    if entry
        .state()
        .quarantine
        .awaits_reports(Instant::now().into_std())
    {
        return Loads::All;
    }
    match entry.remote.client() {
        Some(_) => Loads::None,
        None => Loads::Zone,
    }
}

/// Follows the observations of one host. Those of the best host are always followed, those of others
/// only while no fresh ones arrive. `rank` is the host's position in the order of preference.
async fn follow(
    entry: Arc<EntryHost>,
    client: Arc<Client>,
    rank: Arc<AtomicUsize>,
    last_fresh: Arc<watch::Sender<Option<Instant>>>,
) {
    let address = client.address();
    let mut subscription = Subscription::new(client);
    let mut is_following = false;
    loop {
        let is_stale =
            |last: &Option<Instant>| last.is_none_or(|at| at.elapsed() > OBSERVATIONS_TIMEOUT);
        let is_best = rank.load(Ordering::Relaxed) == 0;
        if !is_best && !is_stale(&last_fresh.borrow()) {
            if std::mem::take(&mut is_following) {
                info!(address:% = address; "no longer following observations");
                subscription.reset();
            }
            sleep(OBSERVATIONS_TIMEOUT / 4).await;
            continue;
        }
        if !std::mem::replace(&mut is_following, true) {
            info!(address:% = address, is_best = is_best; "following observations");
        }
        let common = &entry.settings.common;
        let follower = Follower {
            host: common.host.clone(),
            zone: common.zone.clone(),
            loads: wanted_loads(&entry),
            wait: OBSERVATIONS_TIMEOUT / 2,
        };
        match subscription.next(&follower).await {
            Ok(Some(observations)) => {
                entry.allocator.merge(&observations);
                entry.adopt_limits(&observations.limits);
                let age = Duration::from_millis(observations.list_age_ms);
                if is_fresh(age, observations.instances.len()) {
                    last_fresh.send_replace(Some(Instant::now()));
                }
            }
            Ok(None) => {}
            Err(error) => {
                debug!("no observations from {address}: {error}");
                sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
}
