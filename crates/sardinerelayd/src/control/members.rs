//! The group's members: their list, and the replacement of a voter. Only the leader answers;
//! other hosts ask it.

use {
    super::{Error, Handle, message::Input, start::Shared},
    futures::future::join_all,
    log::{debug, info},
    sardinerelay::{
        id::Host,
        operator::{
            ReplaceProgress, ReplaceRefusal, ReplaceRequest, ReplaceStage, VoterRow, Voters,
        },
        raft::{Change, Replacement, Replica, RequestError, Role, Status},
    },
    std::time::Duration,
    tokio::{
        sync::{mpsc::Sender, oneshot},
        time::{Instant, sleep},
    },
};

pub(super) const VOTERS: &str = "voters.list";
pub(super) const REPLACE: &str = "voters.replace";

/// Pause between two searches for the leader.
const PAUSE: Duration = Duration::from_millis(100);

/// The leader's answer, or nothing from a host that does not lead.
pub(super) type Replaced = Option<Result<ReplaceProgress, ReplaceRefusal>>;

/// Why the members can't be listed or changed.
#[derive(Debug, thiserror::Error)]
pub enum MembershipError {
    /// No host that answers leads.
    #[error("no leader answers within {deadline:?}")]
    NoLeader {
        /// The deadline.
        deadline: Duration,
    },
    /// The leader was asked and its answer was lost. It is safe to ask again.
    #[error("the leader, host {leader}, did not answer: {source}")]
    NoAnswer {
        /// The leader.
        leader: Host,
        /// The cause.
        source: crate::peer::Error,
    },
    /// The leader refused.
    #[error(transparent)]
    Refused(#[from] ReplaceRefusal),
    /// The control thread has ended.
    #[error(transparent)]
    Control(#[from] Error),
}

impl Handle {
    /// The group as its leader knows it.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NoLeader`] or [`MembershipError::Control`].
    pub async fn voters(&self, deadline: Duration) -> Result<Voters, MembershipError> {
        let found = self
            .on_thread(move |shared| async move { Ok(find(&shared, deadline).await) })
            .await?;
        found.ok_or(MembershipError::NoLeader { deadline })
    }

    /// Has the leader take the next step of a replacement, if the one before is committed.
    ///
    /// # Errors
    ///
    /// [`MembershipError`].
    pub async fn replace(
        &self,
        request: ReplaceRequest,
        deadline: Duration,
    ) -> Result<ReplaceProgress, MembershipError> {
        self.on_thread(move |shared| async move { Ok(replace(&shared, request, deadline).await) })
            .await?
    }
}

/// Looks for the leader until the deadline, since an election may be under way.
async fn find(shared: &Shared, deadline: Duration) -> Option<Voters> {
    let end = Instant::now() + deadline;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let found = look(shared, left).await;
        if found.is_some() || left <= PAUSE {
            return found;
        }
        sleep(PAUSE).await;
    }
}

async fn look(shared: &Shared, deadline: Duration) -> Option<Voters> {
    if let Some(voters) = list_here(shared.local.as_ref()).await {
        return Some(voters);
    }
    let asked = shared.clients.iter().map(|(&host, client)| async move {
        match client
            .call::<(), Option<Voters>>(VOTERS, &(), deadline)
            .await
        {
            Ok(voters) => voters,
            Err(error) => {
                debug!("host {host} does not list the voters: {error}");
                None
            }
        }
    });
    // A leader that is cut off may still answer until it steps down; its term is lower.
    let answers = join_all(asked).await.into_iter().flatten();
    answers.max_by_key(|voters| voters.term)
}

async fn replace(
    shared: &Shared,
    request: ReplaceRequest,
    deadline: Duration,
) -> Result<ReplaceProgress, MembershipError> {
    let local = shared.local.as_ref();
    if let Some(answer) = replace_here(local, request).await {
        return Ok(answer?);
    }
    let none = MembershipError::NoLeader { deadline };
    let Some(Voters { leader, .. }) = find(shared, deadline).await else {
        return Err(none);
    };
    let Some(client) = shared.clients.get(&leader) else {
        return Err(none);
    };
    let answer = client
        .call::<_, Replaced>(REPLACE, &request, deadline)
        .await
        .map_err(|source| MembershipError::NoAnswer { leader, source })?;
    Ok(answer.ok_or(none)??)
}

/// The group, if this host leads it.
pub(super) async fn list_here(local: Option<&Sender<Input>>) -> Option<Voters> {
    let (reply, answer) = oneshot::channel();
    local?.send(Input::Status(reply)).await.ok()?;
    list(&answer.await.ok()?)
}

/// The next step of a replacement, if this host leads.
pub(super) async fn replace_here(
    local: Option<&Sender<Input>>,
    request: ReplaceRequest,
) -> Replaced {
    let (reply, answer) = oneshot::channel();
    local?.send(Input::Replace(request, reply)).await.ok()?;
    answer.await.ok()?
}

fn list(status: &Status) -> Option<Voters> {
    let leader = status.leader.filter(|_| status.role == Role::Leader)?;
    let matched = |host| match status.matched.iter().find(|(other, _)| *other == host) {
        Some((_, matched)) => *matched,
        None if host == leader => status.persisted,
        None => 0,
    };
    let mut members: Vec<VoterRow> = status
        .membership
        .hosts()
        .map(|host| VoterRow {
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

/// Takes the next step if the one before is committed. `reachable` are the hosts whose addresses
/// are known, `voters` is the number of voters that the settings name.
pub(super) fn advance(
    replica: &mut Replica,
    request: ReplaceRequest,
    voters: usize,
    reachable: impl Fn(Host) -> bool,
) -> Replaced {
    let status = replica.status();
    let leader = status.leader.filter(|_| status.role == Role::Leader)?;
    let ReplaceRequest { old, new } = request;
    if new != leader && !reachable(new) {
        return Some(Err(ReplaceRefusal::Unlisted { host: new, leader }));
    }
    let replacement = Replacement {
        old,
        new,
        voter_count: voters,
    };
    let next = match replacement.next_change(&status.membership) {
        Ok(next) => next,
        Err(fault) => return Some(Err(fault.into())),
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
            let (stage, missing) = take(replica, change)?;
            progress(stage, missing)
        }
    }
}

/// Proposes the change and tells what is being waited for, or nothing if this host stopped
/// leading.
fn take(replica: &mut Replica, change: Change) -> Option<(ReplaceStage, Option<u64>)> {
    let stage = match change {
        Change::AddLearner(_) => ReplaceStage::Adding,
        Change::Promote(_) => ReplaceStage::Promoting,
        Change::Remove(_) => ReplaceStage::Removing,
    };
    match replica.change(change) {
        Ok(position) => {
            info!("membership change {change:?} proposed at {position:?}");
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
                Ok(to) => info!("transferring leadership to host {to} before leaving the group"),
                Err(refusal) => info!("leadership can't be transferred yet: {refusal}"),
            }
            Some((ReplaceStage::Transferring, None))
        }
        // The leader's first entry or another change is not committed yet.
        Err(refusal) => {
            debug!("{change:?} has to wait: {refusal}");
            Some((stage, None))
        }
    }
}
