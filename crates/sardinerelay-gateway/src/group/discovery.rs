//! Finds members of the group, starting from hosts that may not know all of it.
//!
//! The settings name only some of the voters, and any voter may be the leader. So each response is
//! also a source of addresses: hosts that it names are asked as well. See
//! `docs/design/platform.md`.

use {
    super::{
        channels::MemberStatus,
        links::Clients,
        member,
        method::{STATUS_METHOD, StatusRequest},
    },
    futures::{StreamExt as _, stream::FuturesUnordered},
    log::debug,
    std::{
        collections::{BTreeSet, VecDeque},
        net::Ipv4Addr,
        time::Duration,
    },
};

/// Timeout of the request to one host.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Whom to ask for the status of the group, and how many hosts at once.
#[derive(Debug)]
pub struct Search<'a> {
    /// Clients of the hosts.
    pub clients: &'a Clients,
    /// The hosts to start with.
    pub known: BTreeSet<Ipv4Addr>,
    /// A host that isn't asked, because it is the one that searches.
    pub excluded: Option<Ipv4Addr>,
    /// Largest number of hosts that are asked at once.
    pub max_parallel: usize,
}

impl Search<'_> {
    /// Returns the first response that satisfies `is_sufficient`, none if no host that can be found
    /// gives one.
    pub async fn find<Condition>(
        self,
        request: &StatusRequest,
        is_sufficient: Condition,
    ) -> Option<MemberStatus>
    where
        Condition: Fn(&MemberStatus) -> bool,
    {
        let mut seen: BTreeSet<Ipv4Addr> = self.excluded.into_iter().collect();
        let mut waiting = VecDeque::new();
        enqueue(self.known.into_iter(), &mut seen, &mut waiting);
        let mut requests = FuturesUnordered::new();
        loop {
            while requests.len() < self.max_parallel
                && let Some(address) = waiting.pop_front()
            {
                requests.push(ask(self.clients, address, request));
            }
            let Some(status) = requests.next().await? else {
                continue;
            };
            if is_sufficient(&status) {
                return Some(status);
            }
            let named = status.leader.into_iter().chain(status.members);
            enqueue(named.map(member::address), &mut seen, &mut waiting);
        }
    }
}

/// Queues the addresses that were not seen before.
fn enqueue<Addresses>(
    addresses: Addresses,
    seen: &mut BTreeSet<Ipv4Addr>,
    waiting: &mut VecDeque<Ipv4Addr>,
) where
    Addresses: Iterator<Item = Ipv4Addr>,
{
    waiting.extend(addresses.filter(|address| seen.insert(*address)));
}

/// Asks a host for its status. Returns none if it doesn't respond.
async fn ask(
    clients: &Clients,
    address: Ipv4Addr,
    request: &StatusRequest,
) -> Option<MemberStatus> {
    let client = clients.get(address);
    let response = client.call(STATUS_METHOD, request, REQUEST_TIMEOUT).await;
    response
        .inspect_err(|error| debug!("no status of the group from {address}: {error}"))
        .ok()
}
