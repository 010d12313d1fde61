//! The members of the consensus group: lists them and replaces a voter. Only the leader can do
//! either, so other hosts forward the request to it.

use {
    super::{Error, Handle, message::Input, start::Shared},
    futures::future::join_all,
    log::{debug, info},
    sardinerelay::{
        id::Host,
        operator::{
            MemberRow, ReplaceError, ReplaceProgress, ReplaceRequest, ReplaceStage, Voters,
        },
        raft::{Change, Replacement, Replica, RequestError, Role, Status},
    },
    std::time::Duration,
    tokio::{
        sync::{mpsc::Sender, oneshot},
        time::{Instant, sleep},
    },
};

/// The method that lists the members.
pub(super) const VOTERS: &str = "voters.list";

/// The method that takes one step of a replacement.
pub(super) const REPLACE: &str = "voters.replace";

/// Pause between two attempts to find the leader.
const LEADER_SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// The leader's answer; `None` from a host that doesn't lead.
pub(super) type ReplaceAnswer = Option<Result<ReplaceProgress, ReplaceError>>;

/// Why the members can't be listed or changed.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// None of the hosts that answered leads.
    #[error("no leader answers within {timeout:?}")]
    NoLeader {
        /// Time that the caller allowed.
        timeout: Duration,
    },
    /// The leader got the request, but its answer did not arrive. Retrying is safe.
    #[error("the leader, host {leader}, did not answer: {source}")]
    NoAnswer {
        /// Id of the leader that was asked.
        leader: Host,
        source: crate::peer::Error,
    },
    /// The leader refused the replacement.
    #[error(transparent)]
    Refused(#[from] ReplaceError),
    /// The control thread has ended.
    #[error(transparent)]
    Control(#[from] Error),
}

impl Handle {
    /// Lists the members of the group, as the leader knows them.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NoLeader`] or [`MembershipError::Control`].
    pub async fn voters(&self, timeout: Duration) -> Result<Voters, MembershipError> {
        let found = self
            .on_thread(move |shared| async move { Ok(find_leader(&shared, timeout).await) })
            .await?;
        found.ok_or(MembershipError::NoLeader { timeout })
    }

    /// Asks the leader to take the next step of a replacement, which it does once the previous step
    /// is committed.
    ///
    /// # Errors
    ///
    /// [`MembershipError`].
    pub async fn replace(
        &self,
        request: ReplaceRequest,
        timeout: Duration,
    ) -> Result<ReplaceProgress, MembershipError> {
        self.on_thread(move |shared| async move { Ok(replace(&shared, request, timeout).await) })
            .await?
    }
}

/// Asks all hosts until the leader answers or the deadline passes, since an election may be in
/// progress.
async fn find_leader(shared: &Shared, timeout: Duration) -> Option<Voters> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let found = find_once(shared, remaining).await;
        if found.is_some() || remaining <= LEADER_SEARCH_INTERVAL {
            return found;
        }
        sleep(LEADER_SEARCH_INTERVAL).await;
    }
}

async fn find_once(shared: &Shared, timeout: Duration) -> Option<Voters> {
    if let Some(voters) = list_locally(shared.replica.as_ref()).await {
        return Some(voters);
    }
    let requests = shared.clients.iter().map(|(&host, client)| async move {
        match client
            .call::<(), Option<Voters>>(VOTERS, &(), timeout)
            .await
        {
            Ok(voters) => voters,
            Err(error) => {
                debug!("host {host} did not list the voters: {error}");
                None
            }
        }
    });
    // A former leader that is cut off may answer until it steps down, but its term is lower.
    let answers = join_all(requests).await.into_iter().flatten();
    answers.max_by_key(|voters| voters.term)
}

async fn replace(
    shared: &Shared,
    request: ReplaceRequest,
    timeout: Duration,
) -> Result<ReplaceProgress, MembershipError> {
    let replica = shared.replica.as_ref();
    if let Some(answer) = replace_locally(replica, request).await {
        return Ok(answer?);
    }
    let no_leader = MembershipError::NoLeader { timeout };
    let Some(Voters { leader, .. }) = find_leader(shared, timeout).await else {
        return Err(no_leader);
    };
    let Some(client) = shared.clients.get(&leader) else {
        return Err(no_leader);
    };
    let answer = client
        .call::<_, ReplaceAnswer>(REPLACE, &request, timeout)
        .await
        .map_err(|source| MembershipError::NoAnswer { leader, source })?;
    Ok(answer.ok_or(no_leader)??)
}

/// Lists the members of the group if this host leads it.
pub(super) async fn list_locally(replica: Option<&Sender<Input>>) -> Option<Voters> {
    let (reply, answer) = oneshot::channel();
    replica?.send(Input::Status(reply)).await.ok()?;
    voters_of(&answer.await.ok()?)
}

/// Takes the next step of a replacement if this host leads.
pub(super) async fn replace_locally(
    replica: Option<&Sender<Input>>,
    request: ReplaceRequest,
) -> ReplaceAnswer {
    let (reply, answer) = oneshot::channel();
    replica?.send(Input::Replace(request, reply)).await.ok()?;
    answer.await.ok()?
}

fn voters_of(status: &Status) -> Option<Voters> {
    let leader = status.leader.filter(|_| status.role == Role::Leader)?;
    let matched = |host| match status.matched.iter().find(|(other, _)| *other == host) {
        Some((_, matched)) => *matched,
        None if host == leader => status.persisted,
        None => 0,
    };
    let mut members: Vec<MemberRow> = status
        .membership
        .hosts()
        .map(|host| MemberRow {
            host,
            votes: status.membership.voters.contains(&host),
            leads: host == leader,
            matched: matched(host),
        })
        .collect();
    members.sort_by_key(|member| member.host);
    Some(Voters {
        leader,
        term: status.term,
        commit: status.commit,
        committed: status.membership_index <= status.commit,
        members,
    })
}

/// Takes the next step of a replacement if the previous one is committed. `voter_count` is the
/// number of voters in the settings, and `has_address` tells whether the address of a host is
/// known.
pub(super) fn advance_replacement(
    replica: &mut Replica,
    request: ReplaceRequest,
    voter_count: usize,
    has_address: impl Fn(Host) -> bool,
) -> ReplaceAnswer {
    let status = replica.status();
    let leader = status.leader.filter(|_| status.role == Role::Leader)?;
    let ReplaceRequest { old, new } = request;
    if new != leader && !has_address(new) {
        return Some(Err(ReplaceError::Unlisted { host: new, leader }));
    }
    let replacement = Replacement {
        old,
        new,
        voter_count,
    };
    let next = match replacement.next_change(&status.membership) {
        Ok(next) => next,
        Err(error) => return Some(Err(error.into())),
    };
    let progress = |stage, missing| {
        Some(Ok(ReplaceProgress {
            request,
            leader,
            stage,
            missing,
        }))
    };
    let pending = status.membership_index > status.commit;
    match next {
        None if pending => progress(ReplaceStage::Removing, None),
        None => progress(ReplaceStage::Done, None),
        Some(Change::Promote(_)) if pending => progress(ReplaceStage::Adding, None),
        Some(Change::Remove(_)) if pending => progress(ReplaceStage::Promoting, None),
        Some(change) => {
            let (stage, missing) = propose_change(replica, change)?;
            progress(stage, missing)
        }
    }
}

/// Proposes a membership change. Returns the stage of the replacement and the number of entries
/// that the new replica lacks, or `None` if this host no longer leads.
fn propose_change(replica: &mut Replica, change: Change) -> Option<(ReplaceStage, Option<u64>)> {
    let stage = match change {
        Change::AddLearner(_) => ReplaceStage::Adding,
        Change::Promote(_) => ReplaceStage::Promoting,
        Change::Remove(_) => ReplaceStage::Removing,
    };
    match replica.change(change) {
        Ok(position) => {
            info!("proposed the membership change {change:?} at {position:?}");
            Some((stage, None))
        }
        Err(RequestError::NotLeader { .. }) => None,
        Err(RequestError::Lagging { entries, .. }) => {
            Some((ReplaceStage::CatchingUp, Some(entries)))
        }
        Err(RequestError::Unresponsive { .. }) => Some((ReplaceStage::CatchingUp, None)),
        Err(RequestError::Transferring { .. }) => Some((ReplaceStage::Transferring, None)),
        Err(RequestError::RemovesLeader) => {
            match replica.transfer(None) {
                Ok(to) => info!("transferring leadership to host {to} before this host is removed"),
                Err(error) => info!("can't transfer leadership yet: {error}"),
            }
            Some((ReplaceStage::Transferring, None))
        }
        // The first entry of the leader's term, or another change, is not committed yet.
        Err(error) => {
            debug!("can't propose {change:?} yet: {error}");
            Some((stage, None))
        }
    }
}
