//! Distribution of the view: hosts pull it from an upstream host, sync it to disk and publish it to
//! their traffic threads.
//!
//! Hosts with a replica get the view from their state machine. In each availability zone, the live
//! host with the lowest id is the relay host: it pulls from a voter, and the zone's other hosts
//! pull from it (section 2 of `docs/design.md`).

use {
    super::{
        FatalError, PublishedView,
        leader::LeaderClient,
        local_view::LocalView,
        message::{PULL, PullRequest, PullResponse},
        view_file::ViewFile,
    },
    crate::peer::{Client, Error, Packed},
    log::{debug, warn},
    sardinerelay::{
        id::{Host, Version},
        state::Digest,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::AtomicU64, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// How long a host that did not answer is skipped.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);

/// Pause when no upstream host answers.
const UPSTREAM_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for the answer to a pull, on top of the time that the pull may wait.
const PULL_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// A digest that no view has. A pull with it is answered with the whole view.
const UNKNOWN_DIGEST: Digest = [0xff; 32];

/// Answers a pull: immediately if the puller's view is outdated or this host is cut off, otherwise
/// after the next change, but no later than the puller asked for or `poll_timeout` allows.
pub(super) async fn answer_pull(
    local_view: &LocalView,
    pull: PullRequest,
    poll_timeout: Duration,
) -> PullResponse {
    let deadline = Instant::now() + poll_timeout.min(Duration::from_millis(pull.wait_ms));
    let mut versions = local_view.subscribe_versions();
    let mut cut_off_changes = local_view.subscribe_cut_off();
    loop {
        let version = *versions.borrow_and_update();
        let cut_off = *cut_off_changes.borrow_and_update();
        // A puller that has a newer view gets no update, because it must not return to an older
        // one.
        let update = match pull.version <= version {
            true => local_view.update_since(pull.version, &pull.digest.0),
            false => sardinerelay::state::Update::Current,
        };
        let is_current = update == sardinerelay::state::Update::Current;
        if !is_current || cut_off || Instant::now() >= deadline {
            return PullResponse {
                update: Packed(update),
                cut_off,
            };
        }
        tokio::select! {
            _ = versions.changed() => {}
            _ = cut_off_changes.changed() => {}
            () = sleep_until(deadline) => {}
        }
    }
}

/// Pulls the view from an upstream host.
pub(super) struct Puller {
    pub(super) local_view: Arc<LocalView>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    /// Hosts of this zone with lower ids, in ascending order.
    pub(super) zone_hosts: Vec<Host>,
    /// Voters, those of this zone first.
    pub(super) voters: Vec<Host>,
    /// Longest time that a pull waits for a change.
    pub(super) poll_timeout: Duration,
    /// Id of the current upstream host, or 0 if there is none.
    pub(super) upstream: Arc<AtomicU64>,
}

impl Puller {
    /// Pulls until the task is dropped.
    pub(super) async fn run(self) {
        let mut suspects = BTreeMap::new();
        let mut wants_whole_view = false;
        loop {
            let now = Instant::now();
            suspects.retain(|_, until| *until > now);
            let Some((host, client)) = self.pick_upstream(&suspects) else {
                self.upstream.store(0, Ordering::Relaxed);
                self.local_view.set_cut_off(true);
                suspects.clear();
                sleep(UPSTREAM_RETRY_PAUSE).await;
                continue;
            };
            self.upstream.store(host, Ordering::Relaxed);
            match self.pull(client, wants_whole_view).await {
                Ok(pulled) => {
                    let update = self.local_view.update(pulled.update.0);
                    wants_whole_view = update.is_err();
                    if let Err(error) = update {
                        warn!("can't apply changes from host {host}: {error}");
                    }
                    if pulled.cut_off {
                        suspects.insert(host, now + SUSPECT_DURATION);
                    } else {
                        self.local_view.set_cut_off(false);
                    }
                }
                Err(error) => {
                    debug!("pulling from host {host} failed: {error}");
                    suspects.insert(host, Instant::now() + SUSPECT_DURATION);
                }
            }
        }
    }

    async fn pull(&self, client: &Client, wants_whole_view: bool) -> Result<PullResponse, Error> {
        let view = self.local_view.view();
        let digest = if wants_whole_view {
            UNKNOWN_DIGEST
        } else {
            view.digest
        };
        let pull = PullRequest {
            version: view.version,
            digest: Packed(digest),
            wait_ms: u64::try_from(self.poll_timeout.as_millis()).unwrap_or(u64::MAX),
        };
        client
            .call(PULL, &pull, self.poll_timeout + PULL_ANSWER_MARGIN)
            .await
    }

    /// Chooses the first host that isn't suspected, zone hosts before voters.
    fn pick_upstream(&self, suspects: &BTreeMap<Host, Instant>) -> Option<(Host, &Client)> {
        self.zone_hosts
            .iter()
            .chain(&self.voters)
            .filter(|host| !suspects.contains_key(host))
            .find_map(|host| Some((*host, self.clients.get(host)?.as_ref())))
    }
}

/// Asks the leader for a confirmed version until it gives one.
pub(super) async fn await_confirmation(
    leader: Arc<LeaderClient>,
    confirmed: watch::Sender<Option<Version>>,
) {
    loop {
        match leader.confirm(leader.attempt_timeout * 4).await {
            Ok(version) => {
                confirmed.send_replace(Some(version));
                return;
            }
            Err(error) => debug!("no confirmed version yet: {error}"),
        }
    }
}

/// Syncs the view to disk and publishes it.
pub(super) struct Publisher {
    pub(super) local_view: Arc<LocalView>,
    /// The file for the view, on hosts with a data directory.
    pub(super) file: Option<Arc<ViewFile>>,
    /// Whether the host started with a view from its file. Without one, it can't know whether a
    /// pulled view is older than one that it published before it restarted.
    pub(super) recovered: bool,
    /// The version that a leader has confirmed, once there is one.
    pub(super) confirmed: watch::Receiver<Option<Version>>,
    pub(super) published: watch::Sender<Arc<PublishedView>>,
}

impl Publisher {
    /// Publishes every change of the view until the task is dropped.
    ///
    /// # Errors
    ///
    /// [`FatalError::View`] if the file can't be written.
    pub(super) async fn run(mut self) -> Result<(), FatalError> {
        let mut versions = self.local_view.subscribe_versions();
        let mut saved = match self.recovered {
            true => Some(self.local_view.view().digest),
            false => None,
        };
        loop {
            versions.borrow_and_update();
            let view = self.local_view.view();
            let confirmed = *self.confirmed.borrow_and_update();
            let confirmed = confirmed.is_some_and(|version| view.version >= version);
            if confirmed || self.recovered {
                if let Some(file) = self.file.as_ref().filter(|_| saved != Some(view.digest)) {
                    save(file, &view).await?;
                    saved = Some(view.digest);
                }
                let published = PublishedView::new(&view, confirmed);
                self.published.send_if_modified(|current| {
                    let changed = **current != published;
                    *current = Arc::new(published);
                    changed
                });
            }
            tokio::select! {
                _ = versions.changed() => {}
                changed = self.confirmed.changed() => if changed.is_err() {
                    // The confirmation has been given and no other one follows, so only a new
                    // version matters.
                    let _ = versions.changed().await;
                }
            }
        }
    }
}

async fn save(
    file: &Arc<ViewFile>,
    view: &Arc<sardinerelay::state::View>,
) -> Result<(), FatalError> {
    let (file, view) = (Arc::clone(file), Arc::clone(view));
    tokio::task::spawn_blocking(move || file.save(&view))
        .await
        .unwrap_or(Err(FatalError::Panic))
}

/// Waits until a confirmed view of at least this version is published.
pub(super) async fn await_version(
    published: &mut watch::Receiver<Arc<PublishedView>>,
    version: Version,
    remaining: Duration,
) -> Option<Arc<PublishedView>> {
    let reached = published.wait_for(|view| view.confirmed && view.version >= version);
    let view = timeout(remaining, reached).await.ok()?.ok()?;
    Some(Arc::clone(&view))
}
