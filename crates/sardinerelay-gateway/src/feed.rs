//! Tells other entry hosts what this one sends to engines, and hears it from them.

use {
    crate::{
        entry::Entry,
        group::{Clients, FOLLOW_NOTES, FollowNotes, NOTE, News, Note, REPORT, Report},
    },
    log::debug,
    sardinerelayd::peer::Packed,
    std::{
        collections::BTreeSet,
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc::UnboundedReceiver, watch},
        time::sleep,
    },
};

/// Hosts that pass notes on: the same ones for all entry hosts.
const HUBS: usize = 3;
/// Time that a hub waits for news.
const WAIT: Duration = Duration::from_secs(2);
/// Time beyond that until a hub counts as lost.
const SLACK: Duration = Duration::from_millis(500);
/// Deadline of handing notes to a connection.
const SEND: Duration = Duration::from_millis(300);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(100);

/// Members of the group by address.
pub type Members = watch::Receiver<BTreeSet<Ipv4Addr>>;

/// Names an entry host in notes.
pub fn name(host: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

fn hubs(members: &Members) -> Vec<Ipv4Addr> {
    members.borrow().iter().take(HUBS).copied().collect()
}

/// What an entry host tells others.
#[derive(Debug)]
pub enum Outgoing {
    /// To all entry hosts: it sent a generation to an engine.
    Note(Note),
    /// To the allocating host.
    Report(Report),
}

/// Sends notes to the hubs and reports to the allocating host, for ever.
pub async fn send(
    entry: Arc<Entry>,
    clients: Arc<Clients>,
    members: Members,
    mut outgoing: UnboundedReceiver<Outgoing>,
) {
    while let Some(first) = outgoing.recv().await {
        let mut notes = Vec::new();
        let mut reports = Vec::new();
        let mut next = Some(first);
        while let Some(out) = next {
            match out {
                Outgoing::Note(note) => notes.push(note),
                Outgoing::Report(report) => reports.push(report),
            }
            next = outgoing.try_recv().ok();
        }
        if let Some(client) = entry.remote.client()
            && !reports.is_empty()
            && let Err(error) = client.notify(REPORT, &Packed(reports), SEND).await
        {
            debug!("reports to {} are lost: {error}", client.address());
        }
        if notes.is_empty() {
            continue;
        }
        let batch = Packed(notes);
        let sent = hubs(&members).into_iter().map(|hub| {
            let client = clients.get(hub);
            let batch = &batch;
            async move {
                if let Err(error) = client.notify(NOTE, batch, SEND).await {
                    debug!("notes to {hub} are lost: {error}");
                }
            }
        });
        futures::future::join_all(sent).await;
    }
}

/// Hears notes from one hub, or the next one if that is lost, for ever.
pub async fn hear(entry: Arc<Entry>, clients: Arc<Clients>, members: Members) {
    let own = name(&entry.settings.common.host);
    let mut turn = own as usize;
    let mut since = u64::MAX;
    loop {
        let hubs = hubs(&members);
        if hubs.is_empty() {
            sleep(PAUSE).await;
            continue;
        }
        let hub = hubs[turn % hubs.len()];
        let follow = FollowNotes {
            since,
            wait_ms: WAIT.as_millis() as u64,
        };
        let answer = clients
            .get(hub)
            .call::<_, Packed<News>>(FOLLOW_NOTES, &follow, WAIT + SLACK)
            .await;
        match answer {
            Ok(Packed(news)) => {
                since = news.next;
                let others = news.notes.iter().filter(|note| note.from != own);
                entry.state().targets.heard(others, Instant::now());
            }
            Err(error) => {
                debug!("no notes from {hub}: {error}");
                turn = turn.wrapping_add(1);
                since = u64::MAX;
                sleep(PAUSE).await;
            }
        }
    }
}
