//! Follows the configuration and the observations of targets on an entry host.
//!
//! An entry host follows several hosts with replicas at once, so that one of them that is frozen or
//! unreachable causes no delay. A configuration is never replaced by an older one.

mod configuration;
mod transfer;

use {
    crate::{
        entry::{EntryHost, Voters},
        group::{
            Clients, FOLLOW_OBSERVATIONS_METHOD, FollowObservations, MemberStatus, StatusRequest,
            discovery::Search, member,
        },
        observations::Observations,
        reporter::{self, Report},
    },
    configuration::Updates,
    log::{debug, info},
    sardinerelayd::peer::Packed,
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::Ipv4Addr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{mpsc::UnboundedReceiver, watch},
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

/// Largest number of hosts that are followed at once.
const MAX_FOLLOWED_HOSTS: usize = 3;
/// Time that the followed host waits for a newer configuration before it responds.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(5);
/// Time that a call may take beyond the wait that it asks for.
const FOLLOW_RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Delay after a failed call.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Interval at which hosts are queried for the members of the group.
const MEMBERS_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without fresh observations from any host after which those of all followed hosts are
/// requested. Observations with a list that is older than this don't count as fresh.
const OBSERVATIONS_TIMEOUT: Duration = Duration::from_millis(700);

/// Follows the group for as long as the process runs, and forwards the reports that arrive at
/// `outgoing` to the allocating host.
pub async fn run(entry: Arc<EntryHost>, outgoing: UnboundedReceiver<Report>) {
    let clients = Arc::new(Clients::new(entry.settings.common.peer_port));
    let reloadable = Arc::clone(&entry.settings.common.reloadable);
    let mut addresses: BTreeSet<Ipv4Addr> = reloadable.seeds().into_iter().collect();
    tokio::spawn(reporter::run(Arc::clone(&entry), outgoing));
    let updates = Arc::new(Updates::new(Arc::clone(&entry)));
    tokio::spawn(transfer::fetch(Arc::clone(&updates)));
    let mut tasks: BTreeMap<Ipv4Addr, [JoinHandle<()>; 2]> = BTreeMap::new();
    let last_fresh = Arc::new(watch::Sender::new(LastFresh::default()));
    let mut leader = None;
    loop {
        let followed = choose_hosts(&entry.settings.common.host, &addresses, leader);
        tasks.retain(|address, tasks| {
            let is_followed = followed.contains(address);
            if !is_followed {
                tasks.iter().for_each(JoinHandle::abort);
            }
            is_followed
        });
        let client = |address: &Ipv4Addr| clients.get(*address);
        entry.set_voters(Voters {
            followed: followed.iter().map(client).collect(),
            all: addresses.iter().map(client).collect(),
        });
        for (rank, address) in followed.iter().enumerate() {
            tasks.entry(*address).or_insert_with(|| {
                let client = clients.get(*address);
                info!(address:% = address; "following");
                let configuration =
                    configuration::watch(Arc::clone(&updates), Arc::clone(&client), rank);
                let observations =
                    follow_observations(Arc::clone(&entry), client, rank, Arc::clone(&last_fresh));
                [tokio::spawn(configuration), tokio::spawn(observations)]
            });
        }
        sleep(MEMBERS_INTERVAL).await;
        if let Some((found_leader, members)) = query_members(&clients, &addresses).await {
            leader = Some(found_leader);
            addresses = members;
            if entry.remote.set_client(Some(clients.get(found_leader))) {
                entry.report_crashes();
                entry.report_shares();
            }
        }
        // The settings may name hosts that are newer than the list of members.
        addresses.extend(reloadable.seeds());
    }
}

/// When fresh observations were last received, from any host.
#[derive(Debug, Clone, Copy, Default)]
struct LastFresh(Option<Instant>);

/// Returns the hosts that this one follows: the leader, and others in an order that depends on this
/// host's name, so that entry hosts spread evenly over them.
fn choose_hosts(
    host: &str,
    addresses: &BTreeSet<Ipv4Addr>,
    leader: Option<Ipv4Addr>,
) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<(bool, u64, Ipv4Addr)> = addresses
        .iter()
        .map(|address| {
            let mut hasher = DefaultHasher::new();
            (host, address).hash(&mut hasher);
            (Some(*address) != leader, hasher.finish(), *address)
        })
        .collect();
    ranked.sort_unstable();
    let ranked = ranked.into_iter().take(MAX_FOLLOWED_HOSTS);
    ranked.map(|(_, _, address)| address).collect()
}

/// Returns the addresses of the group's leader and of all members according to the first host that
/// knows a leader, or none if no host knows one.
async fn query_members(
    clients: &Clients,
    known: &BTreeSet<Ipv4Addr>,
) -> Option<(Ipv4Addr, BTreeSet<Ipv4Addr>)> {
    let search = Search {
        clients,
        known: known.clone(),
        excluded: None,
        max_parallel: 1,
    };
    let knows_leader =
        |status: &MemberStatus| status.leader.is_some() && !status.members.is_empty();
    let status = search.find(&StatusRequest::default(), knows_leader).await?;
    let members = status.members.into_iter().map(member::address);
    Some((member::address(status.leader?), members.collect()))
}

/// Follows the observations of one host. Those of the leader are always followed, those of other
/// hosts only while no fresh ones arrive.
///
/// `rank` is the host's position in the order of preference. The host at position 0 is followed in
/// place of a leader that isn't known or counts as unreachable.
async fn follow_observations(
    entry: Arc<EntryHost>,
    client: Arc<sardinerelayd::peer::Client>,
    rank: usize,
    last_fresh: Arc<watch::Sender<LastFresh>>,
) {
    let mut stamp = 0;
    loop {
        let is_stale =
            |last: &LastFresh| last.0.is_none_or(|at| at.elapsed() > OBSERVATIONS_TIMEOUT);
        let leader = entry.remote.client().map(|leader| leader.address());
        let is_preferred = match leader {
            Some(leader) => leader == client.address(),
            None => rank == 0,
        };
        if !is_preferred && !is_stale(&last_fresh.borrow()) {
            sleep(OBSERVATIONS_TIMEOUT / 4).await;
            continue;
        }
        let follow = FollowObservations {
            stamp,
            wait_ms: OBSERVATIONS_TIMEOUT.as_millis() as u64,
        };
        let asked = Instant::now().into_std();
        let response = client
            .call::<_, Option<Packed<Observations>>>(
                FOLLOW_OBSERVATIONS_METHOD,
                &follow,
                OBSERVATIONS_TIMEOUT + FOLLOW_RESPONSE_MARGIN,
            )
            .await;
        match response {
            Ok(Some(Packed(mut observations))) => {
                let Observations {
                    builds, instances, ..
                } = &mut observations;
                builds.assign(instances);
                stamp = observations.stamp;
                observations.asked = Some(asked);
                entry.allocator.merge(&observations);
                entry.adopt_limits(&observations.limits);
                let is_fresh = observations.list_age_ms < OBSERVATIONS_TIMEOUT.as_millis() as u64;
                if is_fresh {
                    last_fresh.send_replace(LastFresh(Some(Instant::now())));
                }
            }
            Ok(None) => {}
            Err(error) => {
                debug!("no observations from {}: {error}", client.address());
                sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
}
