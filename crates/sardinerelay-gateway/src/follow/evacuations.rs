//! Learns the orders for zones from the voters that an entry host follows.

use {
    super::{CONFIGURATION_WAIT, FOLLOW_RESPONSE_MARGIN, FOLLOW_RETRY_DELAY},
    crate::{
        entry::EntryHost,
        group::{Evacuations, WATCH_EVACUATIONS_METHOD, WatchEvacuations},
    },
    log::{debug, info},
    sardinerelayd::peer::{Client, Error},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time after which a voter of an earlier version is asked again, since it may have been updated.
const EARLIER_VERSION_DELAY: Duration = Duration::from_secs(2);

/// Watches the orders that one voter knows, for as long as it is followed. A voter of an earlier version knows
/// no evacuations, so nothing is evacuated there.
pub(super) async fn watch(entry: Arc<EntryHost>, client: Arc<Client>) {
    let mut is_earlier_version = false;
    loop {
        let request = WatchEvacuations {
            known: entry.known_evacuations(),
            wait_ms: CONFIGURATION_WAIT.as_millis() as u64,
        };
        let limit = CONFIGURATION_WAIT + FOLLOW_RESPONSE_MARGIN;
        let called: Result<Option<Evacuations>, Error> =
            client.call(WATCH_EVACUATIONS_METHOD, &request, limit).await;
        match called {
            Ok(Some(evacuations)) => entry.adopt_evacuations(&evacuations),
            Ok(None) => {}
            Err(error) if error.is_unknown_method() => {
                if !std::mem::replace(&mut is_earlier_version, true) {
                    info!(address:% = client.address(); "the followed host knows no evacuations");
                }
                entry.adopt_evacuations(&Evacuations::default());
                sleep(EARLIER_VERSION_DELAY).await;
            }
            Err(error) => {
                debug!("no orders for zones from {}: {error}", client.address());
                sleep(FOLLOW_RETRY_DELAY).await;
            }
        }
    }
}
