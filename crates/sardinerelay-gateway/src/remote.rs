//! Client of the group's allocator, which runs on the allocating host.

use {
    crate::{
        allocator::{Answer, Reply},
        group::{ACQUIRE_METHOD, Acquire, PERMIT_METHOD, RELOCATE_METHOD, Relocate},
        limit::permit,
        moves::Departure,
        placement::Need,
        targets::RunId,
    },
    log::{info, warn},
    sardinerelay::id::Term,
    sardinerelayd::peer::{Client, Packed},
    serde::Serialize,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Time that the allocator may wait for an engine in one call. A longer wait takes several calls.
const MAX_CALL_WAIT: Duration = Duration::from_millis(150);
/// Time that a call may take beyond that wait. After it the allocating host counts as unreachable.
const ALLOCATOR_RESPONSE_MARGIN: Duration = Duration::from_millis(150);
/// Longest time that a call waits for the reply to a request for a permit.
const MAX_PERMIT_TIME: Duration = Duration::from_millis(80);
/// Time for which an unreachable allocating host isn't called again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(1500);

/// The group's allocator, as an entry host reaches it.
#[derive(Debug, Default)]
pub struct RemoteAllocator {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<Client>>,
    /// Term in which that host began to allocate, 0 if it isn't known.
    term: Term,
    unreachable_until: Option<Instant>,
    /// Until when no permits are asked for, because the last request for one failed.
    permits_unavailable_until: Option<Instant>,
}

impl RemoteAllocator {
    /// Sets the client of the allocating host, and the term in which that host leads. Returns whether a host has begun
    /// to allocate since the last call: another one, or the same in a later term. That one may have restarted, and
    /// knows nothing then of what it was told before.
    pub fn set_client(&self, client: Arc<Client>, term: Term) -> bool {
        let mut state = self.lock();
        let known = state.client.as_ref().map(|known| known.address());
        if known == Some(client.address()) && state.term == term {
            return false;
        }
        info!(address:% = client.address(), term = term; "the allocating host changed");
        let client = Some(client);
        state.term = term;
        state.client = client;
        state.unreachable_until = None;
        state.permits_unavailable_until = None;
        true
    }

    /// Returns the client of the allocating host, unless that counts as unreachable.
    pub fn client(&self) -> Option<Arc<Client>> {
        let state = self.lock();
        let is_unreachable = state
            .unreachable_until
            .is_some_and(|until| Instant::now() < until);
        state.client.clone().filter(|_| !is_unreachable)
    }

    /// Requests an engine, and waits for it until `deadline`. Returns the reply and the number of
    /// the allocating host, or none if that host can't be reached.
    pub async fn acquire(
        &self,
        run: RunId,
        need: &Need,
        deadline: Instant,
    ) -> Option<(Reply, u32)> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let acquire = Packed(Acquire {
                run,
                need: need.clone(),
                remaining,
                max_wait: MAX_CALL_WAIT.min(remaining + ALLOCATOR_RESPONSE_MARGIN / 2),
                build: need.build.clone(),
                homes: need.homes.clone(),
            });
            match self.call(ACQUIRE_METHOD, &acquire).await? {
                (Reply::Waiting, _) if !remaining.is_zero() => {}
                reply => return Some(reply),
            }
        }
    }

    /// Requests an engine to which a generation can move, and waits until it is its turn to move.
    /// Returns the same as [`Self::acquire`].
    pub async fn relocate(&self, departure: &Departure) -> Option<(Reply, u32)> {
        let relocate = Packed(Relocate {
            departure: departure.clone(),
            max_wait: MAX_CALL_WAIT,
            homes: departure.need.homes.clone(),
        });
        loop {
            match self.call(RELOCATE_METHOD, &relocate).await? {
                (Reply::Waiting, _) => {}
                reply => return Some(reply),
            }
        }
    }

    /// Asks for a permit to send a call to a target that states a rate limit. Returns none if the
    /// allocating host can't be reached, is slow or has an earlier version without permits.
    pub async fn permit(&self, request: permit::Request) -> Option<permit::Reply> {
        let client = self.client()?;
        let unavailable_until = self.lock().permits_unavailable_until;
        if unavailable_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        let parameter = Packed(request);
        let call = client.call::<_, Packed<permit::Reply>>(
            PERMIT_METHOD,
            &parameter,
            MAX_CALL_WAIT + ALLOCATOR_RESPONSE_MARGIN,
        );
        let reason = match timeout(MAX_PERMIT_TIME, call).await {
            Ok(Ok(Packed(reply))) => return Some(reply),
            Ok(Err(error)) => error.to_string(),
            Err(elapsed) => elapsed.to_string(),
        };
        warn!(address:% = client.address(), reason = reason.as_str(); "the allocating host gives no permits");
        self.lock().permits_unavailable_until = Some(Instant::now() + UNREACHABLE_BACKOFF);
        None
    }

    /// Makes one call. After a failure the allocating host counts as unreachable.
    async fn call<Input>(&self, method: &'static str, input: &Input) -> Option<(Reply, u32)>
    where
        Input: Serialize + Sync,
    {
        let client = self.client()?;
        let response = client.call::<_, Packed<Answer>>(
            method,
            input,
            MAX_CALL_WAIT + ALLOCATOR_RESPONSE_MARGIN,
        );
        match response.await {
            Ok(Packed(answer)) => Some((answer.into(), host_number(client.address()))),
            Err(error) => {
                warn!(address:% = client.address(), reason:% = error; "the call to the allocating host failed");
                self.lock().unreachable_until = Some(Instant::now() + UNREACHABLE_BACKOFF);
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
