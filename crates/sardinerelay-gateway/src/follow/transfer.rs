//! Fetches the configurations that followed hosts offer.
//!
//! One of them at a time is asked for what makes the newest configuration out of the one that is held,
//! piece by piece. After a failure another one continues. See `docs/design/configuration.md`.

use {
    super::{
        FOLLOW_RETRY_DELAY,
        configuration::{Receipt, Updates},
    },
    crate::{
        distribution::{self, Download, MAX_PIECE_BYTES, Piece, Stamp},
        group::FETCH_CONFIGURATION_METHOD,
    },
    log::warn,
    sardinerelayd::peer::{Client, Error},
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Smallest size of a piece in bytes. Pieces get as small as that if larger ones don't arrive in time.
const MIN_PIECE_BYTES: usize = 2 << 10;
/// Time in which a piece must arrive.
const PIECE_TIMEOUT: Duration = Duration::from_millis(600);

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
        updates.adopt((download.stamp(), finished?.body), receipt);
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
    Transfer(#[from] distribution::Error),
}
