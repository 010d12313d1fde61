//! Refuses to create a replica under a number that the group knows already.
//!
//! A replica that lost its disk forgets its votes and the entries that it acknowledged. If it
//! came back under its old number, two leaders could be elected in one term, and committed
//! entries could be lost.

use {
    super::{FatalError, Settings, local_view::Board, message::Input},
    crate::peer::Client,
    futures::future::join_all,
    log::{info, warn},
    sardinerelay::id::{Host, Version},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration},
    tokio::sync::{mpsc::Sender, oneshot},
};

pub(super) const STANDING: &str = "voters.standing";

/// Time in which other hosts have to answer before the replica is created.
const DEADLINE: Duration = Duration::from_secs(3);

/// What a host knows of another host's standing in the group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Standing {
    /// The version that the answering host has.
    pub(super) version: Version,
    /// Whether the replicated state records that the other host has run before.
    pub(super) known: bool,
    /// Whether the answering host's replica counts the other host as a member.
    pub(super) member: bool,
}

/// This host's knowledge of another host's standing.
pub(super) async fn standing(local: Option<&Sender<Input>>, board: &Board, host: Host) -> Standing {
    let view = board.view();
    Standing {
        version: view.version,
        known: view.leaves.hosts.contains_key(&host),
        member: is_member(local, host).await.unwrap_or(false),
    }
}

async fn is_member(local: Option<&Sender<Input>>, host: Host) -> Option<bool> {
    let (reply, answer) = oneshot::channel();
    local?.send(Input::Status(reply)).await.ok()?;
    Some(answer.await.ok()?.membership.contains(host))
}

/// Checks that a replica may be created in `path`, which holds none.
///
/// Founding voters of a new group start one after another, and two of them elect a leader and
/// accept changes before the third one runs, so neither is a sign of a lost disk. A record of an
/// earlier run of this host is: each host commits one when it starts.
pub(super) async fn check(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    board: &Board,
    path: &Path,
) -> Result<(), FatalError> {
    let host = settings.host;
    let view = board.view();
    let own = Standing {
        version: view.version,
        known: view.leaves.hosts.contains_key(&host),
        member: false,
    };
    let mut standings = ask(clients, host).await;
    if standings.is_empty() && !clients.is_empty() {
        warn!("no other host answers; the replica is created without their consent");
    }
    standings.push((host, own));
    if settings.may_bootstrap() {
        return match standings.iter().find(|(_, standing)| standing.known) {
            Some(&(by, Standing { version, .. })) => Err(FatalError::AlreadyFounded {
                path: path.to_owned(),
                host,
                by,
                version,
            }),
            None => Ok(()),
        };
    }
    match standings.iter().any(|(_, standing)| standing.member) {
        true => Err(FatalError::AlreadyMember {
            path: path.to_owned(),
            host,
        }),
        false => Ok(()),
    }
}

async fn ask(clients: &BTreeMap<Host, Arc<Client>>, host: Host) -> Vec<(Host, Standing)> {
    let asked = clients.iter().map(|(&other, client)| async move {
        match client.call::<_, Standing>(STANDING, &host, DEADLINE).await {
            Ok(standing) => Some((other, standing)),
            Err(error) => {
                info!("host {other} can't be asked whether the group exists: {error}");
                None
            }
        }
    });
    join_all(asked).await.into_iter().flatten().collect()
}
