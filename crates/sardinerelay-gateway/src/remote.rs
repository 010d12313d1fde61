//! Client of the group's allocator, which runs on the allocating host.

use {
    crate::{
        allocator::Reply,
        group::{ACQUIRE_METHOD, Acquire, RELOCATE_METHOD, Relocate},
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

/// Time that the allocator may wait for an engine in one call. A longer wait takes several calls.
const MAX_CALL_WAIT: Duration = Duration::from_millis(150);
/// Time for the answer beyond that, after which the allocating host counts as unreachable.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// How long an unreachable allocating host is not asked again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1500);

/// The group's allocator, as an entry host reaches it.
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
    /// Sets the client of the allocating host, or none if there is no such host.
    pub fn set_client(&self, client: Option<Arc<Client>>) {
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

    /// Returns the client of the allocating host, unless that counts as unreachable.
    pub fn client(&self) -> Option<Arc<Client>> {
        let state = self.lock();
        let avoided = state
            .avoided_until
            .is_some_and(|until| Instant::now() < until);
        state.client.clone().filter(|_| !avoided)
    }

    /// Asks for an engine, until `until` at most. Returns the answer and the number of the host
    /// that gave it, or none if that can't be reached.
    pub async fn acquire(&self, run: RunId, need: &Need, until: Instant) -> Option<(Reply, u32)> {
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let acquire = Packed(Acquire {
                run,
                need: need.clone(),
                remaining: left,
                max_wait: MAX_CALL_WAIT.min(left + ANSWER_MARGIN / 2),
            });
            match self.ask(ACQUIRE_METHOD, &acquire).await? {
                (Reply::Waiting, _) if !left.is_zero() => {}
                answer => return Some(answer),
            }
        }
    }

    /// Asks for an engine to which a generation can move, until it is this one's turn to move.
    /// Returns the same as [`Self::acquire`].
    pub async fn relocate(&self, departure: &Departure) -> Option<(Reply, u32)> {
        let relocate = Packed(Relocate {
            departure: departure.clone(),
            max_wait: MAX_CALL_WAIT,
        });
        loop {
            match self.ask(RELOCATE_METHOD, &relocate).await? {
                (Reply::Waiting, _) => {}
                answer => return Some(answer),
            }
        }
    }

    /// Makes one call. After a failure the allocating host counts as unreachable.
    async fn ask<Input>(&self, method: &'static str, input: &Input) -> Option<(Reply, u32)>
    where
        Input: Serialize + Sync,
    {
        let client = self.client()?;
        let answer = client.call::<_, Packed<Reply>>(method, input, MAX_CALL_WAIT + ANSWER_MARGIN);
        match answer.await {
            Ok(Packed(answer)) => Some((answer, host_number(client.address()))),
            Err(error) => {
                warn!(address:% = client.address(), reason:% = error; "the call to the allocating host failed");
                self.lock().avoided_until = Some(Instant::now() + UNREACHABLE_BACKOFF);
                None
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a number that identifies a host: its IPv4 address, or 0 for any IPv6 address.
pub fn host_number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits(),
        SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED.to_bits(),
    }
}
