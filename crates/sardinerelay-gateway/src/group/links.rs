//! Connections to other hosts of the group, opened when they are first needed.

use {
    super::member,
    sardinerelay::{id::Host, raft::Message},
    sardinerelayd::peer::{Client, Outbox, SharedCounters, Timeouts},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::Ipv4Addr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::task::JoinHandle,
};

/// Timeouts of connections: for opening one, and for the time without data until one is closed.
const CONNECTION_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(400),
    silence: Duration::from_millis(1500),
};

/// Clients of the peer servers of other hosts, one for each address.
#[derive(Debug)]
pub struct Clients {
    port: u16,
    counters: SharedCounters,
    open: Mutex<BTreeMap<Ipv4Addr, Arc<Client>>>,
}

impl Clients {
    /// Creates clients for hosts whose peer servers listen on `port`.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            counters: SharedCounters::default(),
            open: Mutex::default(),
        }
    }

    /// Returns the client of the host at `address`. All calls for one address return the same
    /// client.
    pub fn get(&self, address: Ipv4Addr) -> Arc<Client> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let client = open.entry(address).or_insert_with(|| {
            let socket = (address, self.port).into();
            let counters = Arc::clone(&self.counters);
            Arc::new(Client::new(socket, None, CONNECTION_TIMEOUTS, counters))
        });
        Arc::clone(client)
    }

    /// Returns the counters that all connections share.
    pub fn counters(&self) -> SharedCounters {
        Arc::clone(&self.counters)
    }
}

/// Queues of Raft messages to other members, each with a task that sends them.
#[derive(Debug)]
pub(super) struct Links {
    own_id: Host,
    clients: Arc<Clients>,
    /// Delay before messages are sent again after a failure.
    retry_delay: Duration,
    open: BTreeMap<Host, Link>,
}

#[derive(Debug)]
struct Link {
    outbox: Arc<Outbox>,
    task: JoinHandle<()>,
}

impl Links {
    pub(super) fn new(own_id: Host, clients: Arc<Clients>, retry_delay: Duration) -> Self {
        Self {
            own_id,
            clients,
            retry_delay,
            open: BTreeMap::new(),
        }
    }

    /// Queues a message, which may be lost.
    pub(super) fn send(&mut self, to: Host, message: Message) {
        let link = self.open.entry(to).or_insert_with(|| {
            let outbox = Arc::new(Outbox::default());
            let client = self.clients.get(member::address(to));
            let sending = Arc::clone(&outbox).run((self.own_id, to), client, self.retry_delay);
            Link {
                outbox,
                task: tokio::spawn(sending),
            }
        });
        link.outbox.push(message);
    }

    /// Drops the queues of hosts that are no longer members.
    pub(super) fn retain_members(&mut self, members: &BTreeSet<Host>) {
        self.open.retain(|host, link| {
            let is_member = members.contains(host);
            if !is_member {
                link.task.abort();
            }
            is_member
        });
    }
}
