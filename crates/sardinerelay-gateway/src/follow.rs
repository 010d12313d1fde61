//! Follows the configuration and the observations of targets on an entry host.
//!
//! An entry host follows several hosts with replicas at once, so that one of them that is frozen or
//! unreachable causes no delay. A configuration is never replaced by an older one.

mod configuration;
mod evacuations;
mod observations;
mod republisher;
mod subscription;
mod transfer;

pub use self::{
    observations::{choose as choose_publishers, is_fresh},
    republisher::republish,
};

use {
    crate::{
        entry::{EntryHost, Voters},
        group::{Clients, MemberStatus, StatusRequest, discovery::Search, member},
        origin::announcer,
        reporter::{self, Report},
    },
    configuration::Updates,
    log::info,
    observations::Publishers,
    sardinerelay::id::Term,
    sardinerelayd::panics::{self, keep_running},
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::Ipv4Addr,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::mpsc::UnboundedReceiver, task::JoinHandle, time::sleep},
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

/// Follows the group for as long as the process runs, and forwards the reports that arrive at
/// `outgoing` to the allocating host.
pub async fn run(entry: Arc<EntryHost>, outgoing: UnboundedReceiver<Report>) {
    let clients = Arc::new(Clients::new(entry.settings.common.peer_port));
    let reloadable = Arc::clone(&entry.settings.common.reloadable);
    let mut addresses: BTreeSet<Ipv4Addr> = reloadable.seeds().into_iter().collect();
    panics::spawn_essential("report", reporter::run(Arc::clone(&entry), outgoing));
    let updates = Arc::new(Updates::new(Arc::clone(&entry)));
    panics::spawn_essential(
        "fetch the configuration",
        transfer::fetch(Arc::clone(&updates)),
    );
    let mut tasks: BTreeMap<Ipv4Addr, [JoinHandle<()>; 3]> = BTreeMap::new();
    let mut publishers = Publishers::new(Arc::clone(&entry));
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
        publishers.follow(&clients, &addresses, leader);
        let client = |address: &Ipv4Addr| clients.get(*address);
        entry.set_voters(Voters {
            followed: followed.iter().map(client).collect(),
            all: addresses.iter().map(client).collect(),
        });
        for (rank, address) in followed.iter().enumerate() {
            tasks.entry(*address).or_insert_with(|| {
                let client = clients.get(*address);
                info!(address:% = address; "following");
                let (updates, configurations) = (Arc::clone(&updates), Arc::clone(&client));
                let configuration = keep_running("watch the configuration", move || {
                    configuration::watch(Arc::clone(&updates), Arc::clone(&configurations), rank)
                });
                let (watcher, orders) = (Arc::clone(&entry), Arc::clone(&client));
                let evacuations = keep_running("watch evacuations", move || {
                    evacuations::watch(Arc::clone(&watcher), Arc::clone(&orders))
                });
                let entry = Arc::clone(&entry);
                let streams = keep_running("tell of streams", move || {
                    announcer::run(Arc::clone(&entry), Arc::clone(&client))
                });
                [
                    tokio::spawn(configuration),
                    tokio::spawn(evacuations),
                    tokio::spawn(streams),
                ]
            });
        }
        tokio::join!(
            sleep(MEMBERS_INTERVAL),
            publishers.ask_zones(&clients, &addresses)
        );
        if let Some((found_leader, term, members)) = query_members(&clients, &addresses).await {
            leader = Some(found_leader);
            addresses = members;
            if entry.remote.set_client(clients.get(found_leader), term) {
                entry.report_answered_parts();
                entry.report_crashes();
                entry.report_running();
            }
        }
        // The settings may name hosts that are newer than the list of members.
        addresses.extend(reloadable.seeds());
    }
}

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

/// Returns the address of the group's leader, its term and the addresses of all members according to the first host
/// that knows a leader, or none if no host knows one.
async fn query_members(
    clients: &Clients,
    known: &BTreeSet<Ipv4Addr>,
) -> Option<(Ipv4Addr, Term, BTreeSet<Ipv4Addr>)> {
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
    let leader = member::address(status.leader?);
    Some((leader, status.term, members.collect()))
}
