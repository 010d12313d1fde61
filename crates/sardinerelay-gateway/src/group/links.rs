//! Connections to other members, opened when they are first needed.

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

/// Time to open a connection, and silence after which one is closed.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(400),
    silence: Duration::from_millis(1500),
};

/// Clients by address.
#[derive(Debug)]
pub struct Clients {
    port: u16,
    counters: SharedCounters,
    open: Mutex<BTreeMap<Ipv4Addr, Arc<Client>>>,
}

impl Clients {
    /// Clients for hosts whose peer servers listen on `port`.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            counters: SharedCounters::default(),
            open: Mutex::default(),
        }
    }

    /// The client for the host at `address`.
    pub fn get(&self, address: Ipv4Addr) -> Arc<Client> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let client = open.entry(address).or_insert_with(|| {
            let socket = (address, self.port).into();
            let counters = Arc::clone(&self.counters);
            Arc::new(Client::new(socket, None, TIMEOUTS, counters))
        });
        Arc::clone(client)
    }

    /// Counters of all connections.
    pub fn counters(&self) -> SharedCounters {
        Arc::clone(&self.counters)
    }
}

/// Queues of consensus messages to members.
#[derive(Debug)]
pub(super) struct Links {
    own: Host,
    clients: Arc<Clients>,
    pause: Duration,
    open: BTreeMap<Host, Link>,
}

#[derive(Debug)]
struct Link {
    outbox: Arc<Outbox>,
    task: JoinHandle<()>,
}

impl Links {
    pub(super) fn new(own: Host, clients: Arc<Clients>, pause: Duration) -> Self {
        Self {
            own,
            clients,
            pause,
            open: BTreeMap::new(),
        }
    }

    pub(super) fn send(&mut self, to: Host, message: Message) {
        let link = self.open.entry(to).or_insert_with(|| {
            let outbox = Arc::new(Outbox::default());
            let client = self.clients.get(member::address(to));
            let sending = Arc::clone(&outbox).run((self.own, to), client, self.pause);
            Link {
                outbox,
                task: tokio::spawn(sending),
            }
        });
        link.outbox.push(message);
    }

    /// Ends the queues of hosts that are no longer members.
    pub(super) fn keep(&mut self, members: &BTreeSet<Host>) {
        self.open.retain(|host, link| {
            let member = members.contains(host);
            if !member {
                link.task.abort();
            }
            member
        });
    }
}
