//! Publishes the leader's observations on the other voters, so that entry hosts needn't all follow the
//! leader.

use {
    super::{
        FOLLOW_RETRY_DELAY,
        subscription::{Follower, Subscription},
    },
    crate::{
        group::Handle,
        observations::{ObservationsSender, update::Loads},
    },
    compact_str::CompactString,
    log::{debug, info},
    sardinerelay::id::Zone,
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// Time that the leader waits for a change before it sends the list's age. Entry hosts get ages that
/// are older by at most this.
const LEADER_WAIT: Duration = Duration::from_millis(300);

/// Publishes the observations of the leader for as long as the process runs, while that is another
/// host.
pub async fn republish(host: CompactString, handle: Handle, observations: ObservationsSender) {
    let mut leader = handle.followed_leader();
    let follower = Follower {
        host,
        // All load reports are wanted, in whatever zone.
        zone: Zone::default(),
        loads: Loads::All,
        wait: LEADER_WAIT,
    };
    loop {
        let Ok(address) = leader.wait_for(Option::is_some).await.map(|leader| *leader) else {
            return;
        };
        let Some(address) = address else {
            continue;
        };
        info!(address:% = address; "publishing the leader's observations");
        let subscription = Subscription::new(handle.clients().get(address));
        let newest = leader.clone();
        tokio::select! {
            () = forward(subscription, &follower, (&newest, address), &observations) => {}
            changed = wait_for_other(&mut leader, address) => if !changed {
                return;
            },
        }
    }
}

/// Waits until another host or none is the leader. Returns false if that will not be known.
async fn wait_for_other(leader: &mut watch::Receiver<Option<Ipv4Addr>>, address: Ipv4Addr) -> bool {
    let other = leader.wait_for(|leader| *leader != Some(address)).await;
    other.is_ok()
}

/// Publishes what a subscription yields, for as long as the channel names its host as the leader.
async fn forward(
    mut subscription: Subscription,
    follower: &Follower,
    (leader, address): (&watch::Receiver<Option<Ipv4Addr>>, Ipv4Addr),
    observations: &ObservationsSender,
) {
    loop {
        match subscription.next(follower).await {
            Ok(Some(received)) => {
                if *leader.borrow() != Some(address) {
                    return;
                }
                let previous = observations.borrow().clone();
                observations.send_replace(Arc::new(received.succeeding(&previous)));
            }
            Ok(None) => {}
            Err(error) => {
                debug!("no observations from the leader at {address}: {error}");
                sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
}
