//! The group's allocator as an entry host reaches it.

use {
    crate::{
        allocator::Answer,
        group::{ACQUIRE, Acquire},
        placement::Need,
        targets::RunId,
    },
    log::{info, warn},
    sardinerelayd::peer::{Client, Packed},
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
pub struct Remote {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<Client>>,
    avoided_until: Option<Instant>,
}

impl Remote {
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
    pub async fn acquire(&self, run: RunId, need: &Need, until: Instant) -> Option<(Answer, u32)> {
        loop {
            let client = self.client()?;
            let left = until.saturating_duration_since(Instant::now());
            let acquire = Packed(Acquire {
                run,
                need: need.clone(),
                left,
                wait: WAIT.min(left + SLACK / 2),
            });
            let answer = client.call::<_, Packed<Answer>>(ACQUIRE, &acquire, WAIT + SLACK);
            match answer.await {
                Ok(Packed(Answer::Waiting)) if !left.is_zero() => {}
                Ok(Packed(answer)) => return Some((answer, number(client.address()))),
                Err(error) => {
                    warn!(address:% = client.address(), reason:% = error; "the allocating host is lost");
                    self.lock().avoided_until = Some(Instant::now() + AVOIDED);
                    return None;
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Names a host by its address.
pub fn number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(address) => address.ip().to_bits(),
        SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED.to_bits(),
    }
}
