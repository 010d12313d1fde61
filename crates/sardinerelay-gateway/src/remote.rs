//! The group's allocator as an entry host reaches it.

use {
    crate::{
        allocator::Reply,
        group::{ACQUIRE, Acquire, RELOCATE, Relocate},
        moves::Departure,
        placement::Need,
        targets::RunId,
    },
    log::{info, warn},
    sardinerelayd::peer::{Client, Packed},
    serde::Serialize,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time that the allocator waits for room in one call.
const WAIT: Duration = Duration::from_millis(150);
/// Time beyond that until it counts as lost.
const SLACK: Duration = Duration::from_millis(150);
/// Time for which it is not asked after that.
const AVOIDED: Duration = Duration::from_millis(1500);

/// The group's allocator.
#[derive(Debug, Default)]
pub struct RemoteAllocator {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<Client>>,
    avoided_until: Option<Instant>,
}

impl RemoteAllocator {
    /// Sets the host that allocates, or none.
    pub fn set(&self, client: Option<Arc<Client>>) {
        let mut state = self.lock();
        let address = |client: &Option<Arc<Client>>| client.as_ref().map(|client| client.address());
        if address(&state.client) == address(&client) {
            return;
        }
        if let Some(client) = &client {
            info!(address:% = client.address(); "the allocating host changed");
        }
        state.client = client;
        state.avoided_until = None;
    }

    /// The host that allocates, if it answers.
    pub fn client(&self) -> Option<Arc<Client>> {
        let state = self.lock();
        let avoided = state
            .avoided_until
            .is_some_and(|until| Instant::now() < until);
        state.client.clone().filter(|_| !avoided)
    }

    /// Asks for a place. Returns the answer and a number for the host that gave it, or nothing if
    /// no host answers.
    pub async fn acquire(&self, run: RunId, need: &Need, until: Instant) -> Option<(Reply, u32)> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let acquire = Packed(Acquire {
                run,
                need: need.clone(),
                left,
                wait: WAIT.min(left + SLACK / 2),
            });
            match self.ask(ACQUIRE, &acquire).await? {
                (Reply::Waiting, _) if !left.is_zero() => {}
                answer => return Some(answer),
            }
        }
    }

    /// Asks for an engine to which a generation moves, until it is its turn to move.
    pub async fn relocate(&self, departure: &Departure) -> Option<(Reply, u32)> {
        let relocate = Packed(Relocate {
            departure: departure.clone(),
            wait: WAIT,
        });
        loop {
            match self.ask(RELOCATE, &relocate).await? {
                (Reply::Waiting, _) => {}
                answer => return Some(answer),
            }
        }
    }

    async fn ask<Asked>(&self, method: &'static str, asked: &Asked) -> Option<(Reply, u32)>
    where
        Asked: Serialize + Sync,
    {
        let client = self.client()?;
        let answer = client.call::<_, Packed<Reply>>(method, asked, WAIT + SLACK);
        match answer.await {
            Ok(Packed(answer)) => Some((answer, host_number(client.address()))),
            Err(error) => {
                warn!(address:% = client.address(), reason:% = error; "the allocating host is lost");
                self.lock().avoided_until = Some(Instant::now() + AVOIDED);
                None
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a host by its address.
pub fn host_number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits(),
        SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED.to_bits(),
    }
}
