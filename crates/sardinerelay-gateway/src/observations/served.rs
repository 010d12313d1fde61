//! Serves a host's observations to its followers as updates.

use {
    super::{
        Observations,
        publisher::{Due, Publisher, SnapshotReason},
        update::{Request, Update},
    },
    log::{debug, info},
    sardinerelayd::panics,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        time::{sleep_until, timeout},
    },
};

/// The publisher of a host with a replica, and a channel that wakes the calls that wait for it.
#[derive(Debug)]
pub struct Served {
    publisher: Mutex<Publisher>,
    /// Changes with each publication.
    published: watch::Sender<()>,
}

impl Served {
    /// Starts to publish the observations of a channel, for as long as the channel is open.
    pub fn start(observations: watch::Receiver<Arc<Observations>>) -> Arc<Self> {
        let served = Arc::new(Self {
            publisher: Mutex::new(new_publisher()),
            published: watch::Sender::default(),
        });
        panics::spawn_essential("serve observations", Arc::clone(&served).run(observations));
        served
    }

    async fn run(self: Arc<Self>, mut observations: watch::Receiver<Arc<Observations>>) {
        let mut was_received = None;
        while observations.changed().await.is_ok() {
            let newest = observations.borrow_and_update().clone();
            let is_received = newest.asked.is_some();
            let mut publisher = self.lock();
            // Other hosts must not take what this host reads itself for a continuation of what it
            // received from the leader, or the reverse.
            if was_received.replace(is_received) == Some(!is_received) {
                *publisher = new_publisher();
                info!(received = is_received; "publishing observations as a new source");
            }
            publisher.publish(&newest, Instant::now());
            drop(publisher);
            self.published.send_replace(());
        }
    }

    /// Waits for at most `wait` until there is something that a follower is to get. Returns it, and
    /// why it is a full snapshot if it is; none if nothing was published yet.
    pub async fn next(
        &self,
        request: &Request,
        wait: Duration,
    ) -> Option<(Update, Option<SnapshotReason>)> {
        let mut published = self.published.subscribe();
        // The end of the wait is no failure: the follower then gets the list's age.
        let _ = timeout(wait, async {
            loop {
                published.mark_unchanged();
                let due = self.lock().due(request);
                let changed = published.changed();
                match due {
                    Due::Now => return,
                    Due::At(at) => tokio::select! {
                        () = sleep_until(at.into()) => return,
                        _ = changed => {}
                    },
                    Due::Later => {
                        if changed.await.is_err() {
                            return;
                        }
                    }
                }
            }
        })
        .await;
        let publisher = self.lock();
        let reason = publisher.snapshot_reason(request);
        let update = publisher.update_for(request, Instant::now())?;
        drop(publisher);
        if let Some(reason) = reason {
            let host = request.host.as_str();
            debug!(host = host, reason = reason.label(); "a follower gets all observations");
        }
        Some((update, reason))
    }

    fn lock(&self) -> MutexGuard<'_, Publisher> {
        self.publisher
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_publisher() -> Publisher {
    Publisher::new(rand::random::<u32>().max(1).into())
}
