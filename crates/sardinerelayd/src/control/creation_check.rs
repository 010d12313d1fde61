//! Refuses to create a replica under a host id that the group knows already.
//!
//! A replica that lost its disk has forgotten its votes and the entries that it acknowledged. If it
//! voted again under its old id, two leaders could be elected in one term, and committed entries
//! could be lost.

use {
    super::{FatalError, Settings, local_view::LocalView, message::Input},
    crate::peer::Client,
    futures::future::join_all,
    log::{info, warn},
    sardinerelay::id::{Host, Version},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, path::Path, sync::Arc, time::Duration},
    tokio::sync::{mpsc::Sender, oneshot},
};

/// The method that returns a [`HostRecord`].
pub(super) const HOST_RECORD: &str = "voters.standing";

/// Time for the other hosts to answer before a replica is created.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// What a host knows about another host's part in the group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HostRecord {
    /// Version of the view on the answering host.
    pub(super) version: Version,
    /// Whether the replicated view records an earlier run of the other host.
    pub(super) known: bool,
    /// Whether the other host is a member in the configuration of the answering host's replica.
    pub(super) member: bool,
}

/// What this host knows about the given host.
pub(super) async fn record(
    replica: Option<&Sender<Input>>,
    local_view: &LocalView,
    host: Host,
) -> HostRecord {
    let view = local_view.view();
    HostRecord {
        version: view.version,
        known: view.leaves.hosts.contains_key(&host),
        member: is_member(replica, host).await.unwrap_or(false),
    }
}

async fn is_member(replica: Option<&Sender<Input>>, host: Host) -> Option<bool> {
    let (reply, answer) = oneshot::channel();
    replica?.send(Input::Status(reply)).await.ok()?;
    Some(answer.await.ok()?.membership.contains(host))
}

/// Checks whether a replica may be created in `path`, which has none.
///
/// The voters of a new group start one after another, and two of them elect a leader and accept
/// changes before the third one runs. So neither a leader nor accepted changes are a sign of a lost
/// disk. A record of an earlier run of this host is one, because each host commits such a record
/// when it starts.
///
/// # Errors
///
/// [`FatalError::AlreadyBootstrapped`] or [`FatalError::AlreadyMember`].
pub(super) async fn check(
    settings: &Settings,
    clients: &BTreeMap<Host, Arc<Client>>,
    local_view: &LocalView,
    path: &Path,
) -> Result<(), FatalError> {
    let host = settings.host;
    let view = local_view.view();
    let own_record = HostRecord {
        version: view.version,
        known: view.leaves.hosts.contains_key(&host),
        member: false,
    };
    let mut records = ask_hosts(clients, host).await;
    if records.is_empty() && !clients.is_empty() {
        warn!("no other host answers; can't check whether the group knows this host id");
    }
    records.push((host, own_record));
    if settings.may_bootstrap() {
        return match records.iter().find(|(_, record)| record.known) {
            Some(&(by, HostRecord { version, .. })) => Err(FatalError::AlreadyBootstrapped {
                path: path.to_owned(),
                host,
                by,
                version,
            }),
            None => Ok(()),
        };
    }
    match records.iter().any(|(_, record)| record.member) {
        true => Err(FatalError::AlreadyMember {
            path: path.to_owned(),
            host,
        }),
        false => Ok(()),
    }
}

async fn ask_hosts(clients: &BTreeMap<Host, Arc<Client>>, host: Host) -> Vec<(Host, HostRecord)> {
    let requests = clients.iter().map(|(&other, client)| async move {
        match client
            .call::<_, HostRecord>(HOST_RECORD, &host, RECORD_TIMEOUT)
            .await
        {
            Ok(record) => Some((other, record)),
            Err(error) => {
                info!("can't ask host {other} whether it knows host {host}: {error}");
                None
            }
        }
    });
    join_all(requests).await.into_iter().flatten().collect()
}
