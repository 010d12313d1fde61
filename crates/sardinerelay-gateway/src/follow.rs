//! How an entry host learns the configuration and what others observe of targets.
//!
//! It follows several hosts with replicas at once, so that one of them that is frozen or cut off
//! delays nothing. A version below the one in force is never put in force.

use {
    crate::{
        entry::EntryHost,
        group::{
            AllocationReport, Clients, Document, FOLLOW_CONFIGURATION_METHOD,
            FOLLOW_OBSERVATIONS_METHOD, FollowConfiguration, FollowObservations, MemberStatus,
            STATUS_METHOD, member,
        },
        observations::Observations,
        reporter,
        table::Table,
    },
    log::{debug, info, warn},
    sardinerelay::id::Host,
    sardinerelayd::peer::Packed,
    serde::Serialize,
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

/// Hosts that are followed at once.
const FOLLOWED: usize = 3;
/// Time that the other host waits for news.
const WAIT: Duration = Duration::from_secs(5);
/// Time beyond that until the call counts as lost.
const SLACK: Duration = Duration::from_millis(700);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);
/// Interval between looks at the members.
const MEMBERS_EVERY: Duration = Duration::from_millis(1500);
/// Deadline of such a look.
const MEMBERS_DEADLINE: Duration = Duration::from_millis(500);
/// Time without news from any board after which all followed hosts are asked for theirs.
const BOARD_SILENT: Duration = Duration::from_millis(700);

/// Follows, for ever.
pub async fn run(entry: Arc<EntryHost>, outgoing: UnboundedReceiver<AllocationReport>) {
    let clients = Arc::new(Clients::new(entry.settings.common.peer_port));
    let changing = Arc::clone(&entry.settings.common.reloadable);
    let mut addresses: BTreeSet<Ipv4Addr> = changing.seeds().into_iter().collect();
    tokio::spawn(reporter::run(Arc::clone(&entry), outgoing));
    let mut tasks: BTreeMap<Ipv4Addr, [JoinHandle<()>; 2]> = BTreeMap::new();
    let heard = Arc::new(watch::Sender::new(Heard::default()));
    let mut leader = None;
    loop {
        let followed = choose(&entry.settings.common.host, &addresses, leader);
        tasks.retain(|address, running| {
            let kept = followed.contains(address);
            if !kept {
                running.iter().for_each(JoinHandle::abort);
            }
            kept
        });
        for (rank, address) in followed.iter().enumerate() {
            tasks.entry(*address).or_insert_with(|| {
                let client = clients.get(*address);
                info!(address:% = address; "following");
                let configuration = configurations(Arc::clone(&entry), Arc::clone(&client));
                let boards = boards(Arc::clone(&entry), client, rank, Arc::clone(&heard));
                [tokio::spawn(configuration), tokio::spawn(boards)]
            });
        }
        sleep(MEMBERS_EVERY).await;
        if let Some((found, members)) = members(&clients, &addresses).await {
            leader = Some(found);
            addresses = members;
            entry.remote.set(Some(clients.get(found)));
        }
        // Seeds may be newer than what the members that were asked know.
        addresses.extend(changing.seeds());
    }
}

/// When a board was heard last.
#[derive(Debug, Clone, Copy, Default)]
struct Heard(Option<Instant>);

/// The hosts that this one follows: the leader, and others in an order of its own, so that entry
/// hosts spread evenly.
fn choose(host: &str, addresses: &BTreeSet<Ipv4Addr>, leader: Option<Ipv4Addr>) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<(bool, u64, Ipv4Addr)> = addresses
        .iter()
        .map(|address| {
            let mut hasher = DefaultHasher::new();
            (host, address).hash(&mut hasher);
            (Some(*address) != leader, hasher.finish(), *address)
        })
        .collect();
    ranked.sort_unstable();
    let ranked = ranked.into_iter().take(FOLLOWED);
    ranked.map(|(_, _, address)| address).collect()
}

/// The addresses of the group's leader and members, from whoever knows a leader.
async fn members(
    clients: &Clients,
    known: &BTreeSet<Ipv4Addr>,
) -> Option<(Ipv4Addr, BTreeSet<Ipv4Addr>)> {
    #[derive(Serialize)]
    struct Ask {
        host: Host,
        joining: bool,
        founding: bool,
    }
    for address in known {
        let ask = Ask {
            host: 0,
            joining: false,
            founding: false,
        };
        let client = clients.get(*address);
        let answer = client.call(STATUS_METHOD, &ask, MEMBERS_DEADLINE).await;
        match answer {
            Ok(MemberStatus {
                leader: Some(leader),
                members,
                ..
            }) if !members.is_empty() => {
                let members = members.into_iter().map(member::address);
                return Some((member::address(leader), members.collect()));
            }
            Ok(_) => {}
            Err(error) => debug!("the members are not known from {address}: {error}"),
        }
    }
    None
}

async fn configurations(entry: Arc<EntryHost>, client: Arc<sardinerelayd::peer::Client>) {
    let mut lost = false;
    loop {
        let version = entry
            .table
            .load()
            .as_ref()
            .map_or(0, |table| table.version());
        let follow = FollowConfiguration {
            host: entry.settings.common.host.clone(),
            version,
            wait_ms: WAIT.as_millis() as u64,
        };
        let answer = client
            .call::<_, Option<Packed<Document>>>(FOLLOW_CONFIGURATION_METHOD, &follow, WAIT + SLACK)
            .await;
        match answer {
            Ok(document) => {
                if std::mem::take(&mut lost) {
                    info!(address:% = client.address(); "the group's host answers again");
                }
                if let Some(Packed(document)) = document {
                    put_in_force(&entry, &document);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    warn!(address:% = client.address(), reason:% = error; "the group's host is lost");
                }
                sleep(PAUSE).await;
            }
        }
    }
}

fn put_in_force(entry: &EntryHost, document: &Document) {
    let known = entry
        .table
        .load()
        .as_ref()
        .map_or(0, |table| table.version());
    if document.version <= known {
        return;
    }
    let draft = match (entry.codec.parse_configuration)(&document.body) {
        Ok(draft) => draft,
        Err(unreadable) => {
            warn!(version = document.version, reason:% = unreadable; "configuration unreadable");
            return;
        }
    };
    match Table::check(draft) {
        Ok(table) => {
            entry.table.store(Some(Arc::new(table)));
            info!(version = document.version, before = known; "configuration in force");
        }
        Err(faults) => {
            let reason = faults.first().map(ToString::to_string).unwrap_or_default();
            warn!(version = document.version, reason = reason.as_str(); "configuration refused");
        }
    }
}

/// Follows one host's board. The leader's board is always followed, those of others only while no
/// board is heard.
async fn boards(
    entry: Arc<EntryHost>,
    client: Arc<sardinerelayd::peer::Client>,
    rank: usize,
    heard: Arc<watch::Sender<Heard>>,
) {
    let mut stamp = 0;
    loop {
        let silent = |heard: &Heard| heard.0.is_none_or(|at| at.elapsed() > BOARD_SILENT);
        let leader = entry.remote.client().map(|leader| leader.address());
        let first = match leader {
            Some(leader) => leader == client.address(),
            None => rank == 0,
        };
        if !first && !silent(&heard.borrow()) {
            sleep(BOARD_SILENT / 4).await;
            continue;
        }
        let follow = FollowObservations {
            stamp,
            wait_ms: BOARD_SILENT.as_millis() as u64,
        };
        let answer = client
            .call::<_, Option<Packed<Observations>>>(
                FOLLOW_OBSERVATIONS_METHOD,
                &follow,
                BOARD_SILENT + SLACK,
            )
            .await;
        match answer {
            Ok(Some(Packed(board))) => {
                stamp = board.stamp;
                entry.allocator.merge(&board);
                let fresh = board.list_age_ms < BOARD_SILENT.as_millis() as u64;
                if fresh {
                    heard.send_replace(Heard(Some(Instant::now())));
                }
            }
            Ok(None) => {}
            Err(error) => {
                debug!("no board from {}: {error}", client.address());
                sleep(PAUSE).await;
            }
        }
    }
}
