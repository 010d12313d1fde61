//! The configuration that an entry host holds, and which versions the followed hosts offer.
//!
//! All followed hosts are watched side by side. `transfer` fetches what they offer.

use {
    super::{CONFIGURATION_WAIT, FOLLOW_RESPONSE_MARGIN, FOLLOW_RETRY_DELAY},
    crate::{
        control,
        distribution::{Stamp, Watch},
        entry::EntryHost,
        group::{
            Document, FOLLOW_CONFIGURATION_METHOD, FollowConfiguration, WATCH_CONFIGURATION_METHOD,
        },
    },
    bytes::Bytes,
    log::{info, warn},
    sardinerelay::id::Version,
    sardinerelayd::peer::{Client, Error, Packed},
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Time for which a host from which no piece was received is asked only if no other has the version.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// The configuration that an entry host holds, and what is offered to it.
#[derive(Debug)]
pub struct Updates {
    entry: Arc<EntryHost>,
    held: Mutex<Option<(Stamp, Bytes)>>,
    pub(super) offers: watch::Sender<BTreeMap<SocketAddr, Offer>>,
}

/// What a followed host offers.
#[derive(Debug, Clone)]
pub(super) struct Offer {
    pub(super) client: Arc<Client>,
    pub(super) version: Version,
    /// The host's position in the order of preference. The leader comes first. It is asked last for
    /// pieces, since it has most to do.
    rank: usize,
    failed_at: Option<Instant>,
}

/// How a configuration was received.
#[derive(Debug, Clone, Copy)]
pub(super) struct Receipt {
    pub(super) source: SocketAddr,
    /// Size of the transfer in bytes, before its encoding for a message.
    pub(super) bytes: usize,
    pub(super) took: Duration,
}

impl Updates {
    /// Creates the state of a host that holds no configuration.
    pub fn new(entry: Arc<EntryHost>) -> Self {
        Self {
            entry,
            held: Mutex::default(),
            offers: watch::Sender::default(),
        }
    }

    pub(super) fn held(&self) -> MutexGuard<'_, Option<(Stamp, Bytes)>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn held_version(&self) -> Version {
        self.held().as_ref().map_or(0, |(stamp, _)| stamp.version)
    }

    fn add_offer(&self, client: &Arc<Client>, version: Version, rank: usize) {
        let offer = Offer {
            client: Arc::clone(client),
            version,
            rank,
            failed_at: None,
        };
        self.offers.send_modify(|offers| {
            offers.insert(client.address(), offer);
        });
    }

    /// Returns the host to ask for a newer configuration than the one that is held.
    pub(super) fn best_offer(&self) -> Option<Offer> {
        let held = self.held_version();
        let offers = self.offers.borrow();
        let newer = offers.values().filter(|offer| offer.version > held);
        newer
            .min_by_key(|offer| (offer.has_failed(), Reverse(offer.rank)))
            .cloned()
    }

    /// Marks a host from which no piece was received.
    pub(super) fn record_failure(&self, source: SocketAddr) {
        self.offers.send_modify(|offers| {
            if let Some(offer) = offers.get_mut(&source) {
                offer.failed_at = Some(Instant::now());
            }
        });
    }

    /// Holds a configuration and puts it in force, unless the one that is held has the same or a
    /// higher version. One that is malformed or invalid is held and logged, so that it isn't
    /// requested again.
    pub(super) fn adopt(&self, (stamp, text): (Stamp, Bytes), receipt: Receipt) {
        let mut held = self.held();
        let before = held.as_ref().map_or(0, |(stamp, _)| stamp.version);
        if stamp.version <= before {
            return;
        }
        let began = Instant::now();
        match control::check(self.entry.codec, &text) {
            Ok(table) => {
                self.entry.allocator.set_services(table.services());
                self.entry.table.store(Some(Arc::new(table)));
                let (took_ms, check_ms) = (receipt.took.as_millis(), began.elapsed().as_millis());
                info!(
                    version = stamp.version, before = before, source:% = receipt.source,
                    bytes = receipt.bytes, took_ms = took_ms as u64, check_ms = check_ms as u64;
                    "a new configuration is in force"
                );
            }
            Err(reason) => {
                let first = reason.lines().next().unwrap_or_default();
                warn!(version = stamp.version, reason = first; "the configuration can't be used");
            }
        }
        *held = Some((stamp, text));
    }
}

impl Offer {
    /// Whether the host failed to send a piece a short time ago.
    pub(super) fn has_failed(&self) -> bool {
        self.failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < FAILURE_MEMORY)
    }
}

/// Watches which version one host offers. `rank` is the host's position in the order of preference.
pub async fn watch(updates: Arc<Updates>, client: Arc<Client>, rank: usize) {
    let _withdrawal = Withdrawal(Arc::clone(&updates), client.address());
    // A configuration must not be in force before the zones are known that get no attempts.
    updates.entry.learn_evacuations().await;
    let mut known = 0;
    let mut is_unreachable = false;
    loop {
        let watch = Watch {
            host: updates.entry.settings.common.host.clone(),
            version: known,
            wait_ms: CONFIGURATION_WAIT.as_millis() as u64,
        };
        let limit = CONFIGURATION_WAIT + FOLLOW_RESPONSE_MARGIN;
        let called = client.call(WATCH_CONFIGURATION_METHOD, &watch, limit).await;
        let called: Result<Option<Stamp>, Error> = match called {
            Err(error) if error.is_unknown_method() => {
                follow_whole(&updates, &client).await.map(|()| None)
            }
            called => called,
        };
        match called {
            Ok(stamp) => {
                if std::mem::take(&mut is_unreachable) {
                    info!(address:% = client.address(); "the followed host is reachable again");
                }
                if let Some(stamp) = stamp {
                    known = stamp.version;
                    updates.add_offer(&client, known, rank);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    warn!(address:% = client.address(), reason:% = error; "the followed host is unreachable");
                }
                sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
}

/// Withdraws the offer of a host that is no longer followed when this is dropped.
struct Withdrawal(Arc<Updates>, SocketAddr);

impl Drop for Withdrawal {
    fn drop(&mut self) {
        self.0.offers.send_modify(|offers| {
            offers.remove(&self.1);
        });
    }
}

/// Waits for a newer configuration of a host that has an earlier version and sends it whole.
async fn follow_whole(updates: &Updates, client: &Client) -> Result<(), Error> {
    let follow = FollowConfiguration {
        host: updates.entry.settings.common.host.clone(),
        version: updates.held_version(),
        wait_ms: CONFIGURATION_WAIT.as_millis() as u64,
    };
    let began = Instant::now();
    let limit = CONFIGURATION_WAIT + FOLLOW_RESPONSE_MARGIN;
    let called = client
        .call(FOLLOW_CONFIGURATION_METHOD, &follow, limit)
        .await;
    let document: Option<Packed<Document>> = called?;
    if let Some(Packed(document)) = document {
        let receipt = Receipt {
            source: client.address(),
            bytes: document.body.len(),
            took: began.elapsed(),
        };
        updates.adopt((Stamp::of(&document), document.body), receipt);
    }
    Ok(())
}
