//! Keeps the newest configuration that any followed host offers in force.
//!
//! All followed hosts tell which version they have, and one of them at a time is asked for what makes
//! it out of the version that is held, piece by piece. After a failure another one continues.

use {
    super::{CONFIGURATION_WAIT, FOLLOW_RESPONSE_MARGIN, FOLLOW_RETRY_DELAY},
    crate::{
        distribution::{Download, MAX_PIECE_BYTES, Piece, Stamp, Watch},
        entry::EntryHost,
        group::{
            Document, FETCH_CONFIGURATION_METHOD, FOLLOW_CONFIGURATION_METHOD, FollowConfiguration,
            WATCH_CONFIGURATION_METHOD,
        },
        table::Table,
    },
    bytes::Bytes,
    jsonrpsee::types::ErrorCode,
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

/// Smallest size of a piece in bytes. Pieces get as small as that if larger ones don't arrive in time.
const MIN_PIECE_BYTES: usize = 2 << 10;
/// Time in which a piece must arrive.
const PIECE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a host from which no piece was received is asked only if no other has the version.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// The configuration that an entry host holds, and what is offered to it.
#[derive(Debug)]
pub struct Updates {
    entry: Arc<EntryHost>,
    held: Mutex<Option<(Stamp, Bytes)>>,
    offers: watch::Sender<BTreeMap<SocketAddr, Offer>>,
}

/// What a followed host offers.
#[derive(Debug, Clone)]
struct Offer {
    client: Arc<Client>,
    version: Version,
    /// The host's position in the order of preference. The leader comes first. It is asked last for
    /// pieces, since it has most to do.
    rank: usize,
    failed_at: Option<Instant>,
}

/// How a configuration was received.
#[derive(Debug, Clone, Copy)]
struct Receipt {
    source: SocketAddr,
    /// Size of the transfer in bytes, before its encoding for a message.
    bytes: usize,
    took: Duration,
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

    fn held(&self) -> MutexGuard<'_, Option<(Stamp, Bytes)>> {
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
    fn best_offer(&self) -> Option<Offer> {
        let held = self.held_version();
        let offers = self.offers.borrow();
        let newer = offers.values().filter(|offer| offer.version > held);
        newer
            .min_by_key(|offer| (offer.has_failed(), Reverse(offer.rank)))
            .cloned()
    }

    /// Marks a host from which no piece was received.
    fn record_failure(&self, source: SocketAddr) {
        self.offers.send_modify(|offers| {
            if let Some(offer) = offers.get_mut(&source) {
                offer.failed_at = Some(Instant::now());
            }
        });
    }

    /// Holds a configuration and puts it in force, unless the one that is held has the same or a
    /// higher version. One that is malformed or invalid is held and logged, so that it isn't
    /// requested again.
    fn adopt(&self, document: Document, receipt: Receipt) {
        let mut held = self.held();
        let before = held.as_ref().map_or(0, |(stamp, _)| stamp.version);
        if document.version <= before {
            return;
        }
        let began = Instant::now();
        match check(&self.entry, &document) {
            Ok(table) => {
                self.entry.table.store(Some(Arc::new(table)));
                let (took_ms, check_ms) = (receipt.took.as_millis(), began.elapsed().as_millis());
                info!(
                    version = document.version, before = before, source:% = receipt.source,
                    bytes = receipt.bytes, took_ms = took_ms as u64, check_ms = check_ms as u64;
                    "a new configuration is in force"
                );
            }
            Err(reason) => {
                warn!(version = document.version, reason = reason.as_str(); "the configuration can't be used");
            }
        }
        *held = Some((Stamp::of(&document), document.body));
    }
}

impl Offer {
    /// Whether the host failed to send a piece a short time ago.
    fn has_failed(&self) -> bool {
        self.failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < FAILURE_MEMORY)
    }
}

/// Parses, checks and indexes a configuration. The error is what is wrong with it.
fn check(entry: &EntryHost, document: &Document) -> Result<Table, String> {
    let draft =
        (entry.codec.parse_configuration)(&document.body).map_err(|error| error.to_string())?;
    Table::check(draft).map_err(|errors| {
        let first = errors.first();
        first.map(ToString::to_string).unwrap_or_default()
    })
}

/// Watches which version one host offers. `rank` is the host's position in the order of preference.
pub async fn watch(updates: Arc<Updates>, client: Arc<Client>, rank: usize) {
    let _withdrawal = Withdrawal(Arc::clone(&updates), client.address());
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
            Err(error) if is_unknown_method(&error) => {
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

/// Whether the other host has an earlier version, which doesn't know the method.
fn is_unknown_method(error: &Error) -> bool {
    matches!(error, Error::Remote { code, .. } if *code == ErrorCode::MethodNotFound.code())
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
        updates.adopt(document, receipt);
    }
    Ok(())
}

/// Fetches each newer configuration that is offered, for as long as the process runs.
pub async fn fetch(updates: Arc<Updates>) {
    let mut offers = updates.offers.subscribe();
    let mut transfer = Transfer::default();
    loop {
        offers.mark_unchanged();
        let Some(offer) = updates.best_offer() else {
            // Fails only if the sender is gone, which `updates` keeps.
            let _ = offers.changed().await;
            continue;
        };
        let source = offer.client.address();
        match transfer.advance(&updates, &offer.client).await {
            Ok(()) => {}
            Err(error) => {
                if !offer.has_failed() {
                    warn!(source:% = source, version = offer.version, reason:% = error; "a piece of a configuration was not received");
                }
                updates.record_failure(source);
                if updates.best_offer().is_none_or(|next| next.has_failed()) {
                    sleep(FOLLOW_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// The transfer that is being received, and how.
#[derive(Debug)]
struct Transfer {
    download: Option<Download>,
    base: Option<Stamp>,
    began: Instant,
    piece_bytes: usize,
    /// Whether the text that is held led to a wrong result, so that the whole new one is needed.
    needs_whole: bool,
}

impl Default for Transfer {
    fn default() -> Self {
        Self {
            download: None,
            base: None,
            began: Instant::now(),
            piece_bytes: MAX_PIECE_BYTES,
            needs_whole: false,
        }
    }
}

impl Transfer {
    /// Fetches the next piece, and adopts the configuration if it is the last one.
    async fn advance(&mut self, updates: &Updates, client: &Client) -> Result<(), FetchError> {
        let held = updates.held().clone();
        let base = held.as_ref().map(|(stamp, _)| *stamp);
        let base = base.filter(|_| !self.needs_whole);
        if self.base != base {
            self.base = base;
            self.download = None;
        }
        if self.download.is_none() {
            self.began = Instant::now();
        }
        let piece = self.request(client).await?.ok_or(FetchError::NoPiece)?;
        self.download = Download::add(self.download.take(), piece);
        let Some(download) = self.download.take_if(|download| download.is_complete()) else {
            return Ok(());
        };
        let receipt = Receipt {
            source: client.address(),
            bytes: download.total(),
            took: self.began.elapsed(),
        };
        let text = held.map(|(_, text)| text);
        let finished = download.finish(text.as_ref().filter(|_| base.is_some()));
        self.needs_whole = finished.is_err();
        updates.adopt(finished?, receipt);
        Ok(())
    }

    /// Requests the next piece. Pieces get smaller while they don't arrive in time.
    async fn request(&mut self, client: &Client) -> Result<Option<Piece>, Error> {
        let fetch = Download::request(self.download.as_ref(), self.base, self.piece_bytes);
        let called = client.call(FETCH_CONFIGURATION_METHOD, &fetch, PIECE_TIMEOUT);
        let called = called.await;
        self.piece_bytes = match &called {
            Ok(_) => MAX_PIECE_BYTES.min(self.piece_bytes * 2),
            Err(Error::Timeout { .. }) => MIN_PIECE_BYTES.max(self.piece_bytes / 2),
            Err(_) => self.piece_bytes,
        };
        called
    }
}

/// Why no piece was received from a host, or why the transfer was of no use.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    /// The call failed.
    #[error(transparent)]
    Call(#[from] Error),
    /// The host has no newer configuration than the one that is held, although it offered one.
    #[error("the host has no newer configuration")]
    NoPiece,
    /// The transfer yields no configuration.
    #[error(transparent)]
    Transfer(#[from] crate::distribution::Error),
}
