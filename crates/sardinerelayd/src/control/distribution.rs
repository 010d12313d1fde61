//! Distribution of the view: pulling it, syncing it, and publishing it.
//!
//! Hosts with a replica have the view from their state machine. In each availability zone, the
//! live host with the lowest number pulls from a voter, and the zone's other hosts pull from it
//! (section 2 of `docs/design.md`).

use {
    super::{
        FatalError, PublishedView,
        leader::Leader,
        local_view::Board,
        message::{PULL, Pull, Pulled},
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

/// Time for which a host that did not answer is passed over.
const SUSPICION: Duration = Duration::from_secs(3);

/// Pause when no upstream host answers.
const PAUSE: Duration = Duration::from_millis(200);

/// Time on top of a long poll's own.
const SLACK: Duration = Duration::from_secs(1);

/// A digest that no view has, which asks for the whole view.
const NO_DIGEST: Digest = [0xff; 32];

/// Answers a pull: at once if the host lacks something, else when something changes.
pub(super) async fn serve(board: &Board, pull: Pull, longest: Duration) -> Pulled {
    let end = Instant::now() + longest.min(Duration::from_millis(pull.wait_ms));
    let mut versions = board.versions();
    let mut cut_offs = board.cut_offs();
    loop {
        let version = *versions.borrow_and_update();
        let cut_off = *cut_offs.borrow_and_update();
        // A host that is ahead is told nothing, for it never goes back.
        let update = match pull.version <= version {
            true => board.delta(pull.version, &pull.digest.0),
            false => sardinerelay::state::Update::Current,
        };
        let current = update == sardinerelay::state::Update::Current;
        if !current || cut_off || Instant::now() >= end {
            return Pulled {
                update: Packed(update),
                cut_off,
            };
        }
        tokio::select! {
            _ = versions.changed() => {}
            _ = cut_offs.changed() => {}
            () = sleep_until(end) => {}
        }
    }
}

/// Pulls the view from the upstream host.
pub(super) struct Puller {
    pub(super) board: Arc<Board>,
    pub(super) clients: BTreeMap<Host, Arc<Client>>,
    /// Hosts of the own zone with lower numbers, in order.
    pub(super) zone: Vec<Host>,
    /// Voters, those of the own zone first.
    pub(super) voters: Vec<Host>,
    pub(super) poll: Duration,
    /// The upstream host, 0 if there is none.
    pub(super) upstream: Arc<AtomicU64>,
}

impl Puller {
    /// Pulls for ever.
    pub(super) async fn run(self) {
        let mut suspects = BTreeMap::new();
        let mut whole = false;
        loop {
            let now = Instant::now();
            suspects.retain(|_, until| *until > now);
            let Some((host, client)) = self.pick(&suspects) else {
                self.upstream.store(0, Ordering::Relaxed);
                self.board.set_cut_off(true);
                suspects.clear();
                sleep(PAUSE).await;
                continue;
            };
            self.upstream.store(host, Ordering::Relaxed);
            match self.pull(client, whole).await {
                Ok(pulled) => {
                    let update = self.board.update(pulled.update.0);
                    whole = update.is_err();
                    if let Err(mismatch) = update {
                        warn!("host {host} answered with changes that don't follow: {mismatch}");
                    }
                    if pulled.cut_off {
                        suspects.insert(host, now + SUSPICION);
                    } else {
                        self.board.set_cut_off(false);
                    }
                }
                Err(error) => {
                    debug!("pull from host {host}: {error}");
                    suspects.insert(host, Instant::now() + SUSPICION);
                }
            }
        }
    }

    async fn pull(&self, client: &Client, whole: bool) -> Result<Pulled, Error> {
        let view = self.board.view();
        let digest = if whole { NO_DIGEST } else { view.digest };
        let pull = Pull {
            version: view.version,
            digest: Packed(digest),
            wait_ms: u64::try_from(self.poll.as_millis()).unwrap_or(u64::MAX),
        };
        client.call(PULL, &pull, self.poll + SLACK).await
    }

    fn pick(&self, suspects: &BTreeMap<Host, Instant>) -> Option<(Host, &Client)> {
        self.zone
            .iter()
            .chain(&self.voters)
            .filter(|host| !suspects.contains_key(host))
            .find_map(|host| Some((*host, self.clients.get(host)?.as_ref())))
    }
}

/// Asks for a confirmation until a leader gives one.
pub(super) async fn confirm(leader: Arc<Leader>, confirmed: watch::Sender<Option<Version>>) {
    loop {
        match leader.confirm(leader.attempt * 4).await {
            Ok(version) => {
                confirmed.send_replace(Some(version));
                return;
            }
            Err(error) => debug!("{error}"),
        }
    }
}

/// Syncs and publishes the view.
pub(super) struct Publisher {
    pub(super) board: Arc<Board>,
    /// The file, on hosts with a data directory.
    pub(super) file: Option<Arc<ViewFile>>,
    /// Whether the host started with a view from its file. Without one it can't know whether a
    /// view that it is offered is older than one that it showed before.
    pub(super) recovered: bool,
    pub(super) confirmed: watch::Receiver<Option<Version>>,
    pub(super) published: watch::Sender<Arc<PublishedView>>,
}

impl Publisher {
    /// Publishes for ever.
    ///
    /// # Errors
    ///
    /// [`FatalError::View`] if the file can't be written.
    pub(super) async fn run(mut self) -> Result<(), FatalError> {
        let mut versions = self.board.versions();
        let mut saved = match self.recovered {
            true => Some(self.board.view().digest),
            false => None,
        };
        loop {
            versions.borrow_and_update();
            let view = self.board.view();
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
                    // The confirmation was given, and no other one follows.
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

/// Waits until this version is published.
pub(super) async fn reached(
    published: &mut watch::Receiver<Arc<PublishedView>>,
    version: Version,
    left: Duration,
) -> Option<Arc<PublishedView>> {
    let shown = published.wait_for(|shown| shown.confirmed && shown.version >= version);
    let shown = timeout(left, shown).await.ok()?.ok()?;
    Some(Arc::clone(&shown))
}
