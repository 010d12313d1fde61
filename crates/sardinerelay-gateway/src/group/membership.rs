//! How a replica becomes a voter and notices that it isn't one any more.

use {
    super::{Handle, MemberStatus, Settings, StatusRequest, member},
    crate::{exit_code::ExitCode, logging},
    log::{info, warn},
    sardinerelay::{
        id::Host,
        raft::Role,
        wal::{Mark, Store},
    },
    std::{path::PathBuf, sync::atomic::Ordering, time::Duration},
    tokio::time::sleep,
};

/// Interval at which a host that isn't a voter yet asks to join.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a replica asks whether it is still a member.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The replica of this host.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) settings: Settings,
    pub(super) own_id: Host,
    /// Directory of its files.
    pub(super) path: PathBuf,
    /// Set until a learner of the first start knows that it votes.
    pub(super) founding: Mark,
    /// Whether the group is to grow by this replica.
    pub(super) is_founding: bool,
}

impl Member {
    /// Records that this replica votes, so that it joins as a replacement if it is ever removed and comes back. A
    /// failure is logged, and the next check tries again.
    fn end_founding(&mut self) {
        if !self.is_founding {
            return;
        }
        match self.founding.clear() {
            Ok(()) => self.is_founding = false,
            Err(error) => {
                warn!(replica = self.own_id; "could not record that this replica votes: {error}")
            }
        }
    }
}

/// Asks to join until the replica is a voter, then keeps checking that it is still a member.
///
/// A replica that was removed while it was unreachable deletes its files and exits the process, so
/// that the next start joins under a new ID.
pub(super) async fn maintain(mut member: Member, handle: Handle) {
    let own_id = member.own_id;
    let mut is_joining = own_id != member::founder_id(member.settings.address);
    let mut is_leader_found = true;
    loop {
        let interval = if is_joining {
            JOIN_INTERVAL
        } else {
            MEMBERSHIP_CHECK_INTERVAL
        };
        sleep(interval).await;
        if handle.leadership.borrow().role == Role::Leader {
            // The leader knows that it is a member, and would find no other leader.
            is_joining = false;
            member.end_founding();
            continue;
        }
        let request = StatusRequest {
            host: own_id,
            is_joining,
            is_founding: member.is_founding,
            is_leaving: false,
        };
        let status = handle.query_status(&member.settings, request).await;
        if std::mem::replace(&mut is_leader_found, status.is_some()) != status.is_some() {
            log_leader_search(own_id, is_joining, status.as_ref());
        }
        let Some(status) = status else {
            continue;
        };
        if status.is_voter {
            is_joining = false;
            member.end_founding();
        } else if !is_joining && !status.is_member && !handle.is_stopping.load(Ordering::Relaxed) {
            warn!(replica = own_id; "this replica was removed from the group and rejoins under a new id");
            if let Err(error) = Store::discard_on(&member.settings.volume, &member.path) {
                warn!("could not delete {}: {error}", member.path.display());
                continue;
            }
            logging::flush();
            std::process::exit(ExitCode::Removed as i32);
        }
    }
}

/// Logs that a replica found the leader, or that no host it asked is the leader.
fn log_leader_search(own_id: Host, is_joining: bool, status: Option<&MemberStatus>) {
    match status {
        Some(MemberStatus {
            leader, is_voter, ..
        }) => info!(
            replica = own_id, joining = is_joining, leader = leader.unwrap_or_default(), votes = *is_voter;
            "the leader answered the membership check"
        ),
        None => warn!(
            replica = own_id, joining = is_joining;
            "no host that was asked for this replica's membership is the leader"
        ),
    }
}
