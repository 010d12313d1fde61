//! Operators' orders that evacuate a zone or end its evacuation.

use {
    super::{CONFIRMATION_TIMEOUT, suspension::Detector},
    crate::{group::Handle, http_server},
    axum::body::Body,
    http::{Response, StatusCode},
    log::{info, warn},
    sardinerelay::id::Zone,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

/// Carries out orders, with what they depend on besides the group.
#[derive(Debug)]
pub(super) struct OrderHandler {
    /// The zones that the settings list.
    pub(super) zones: BTreeSet<Zone>,
    pub(super) suspension: Detector,
}

impl OrderHandler {
    /// Carries out an order and responds to the operator.
    pub(super) async fn carry_out(
        &self,
        handle: &Handle,
        zone: Zone,
        is_evacuated: bool,
    ) -> Response<Body> {
        if !self.zones.contains(&zone) {
            info!(zone = zone.as_str(); "refused an order for an unknown zone");
            return http_server::text(StatusCode::NOT_FOUND, "there is no such zone\n");
        }
        let began = Instant::now();
        if !self.suspension.check(began) {
            warn!(zone = zone.as_str(); "refused an order shortly after this process was suspended");
            let reason = "the order may be out of date, send it again\n";
            return http_server::text(StatusCode::SERVICE_UNAVAILABLE, reason);
        }
        let ordered = handle
            .order_zone(zone.clone(), is_evacuated, CONFIRMATION_TIMEOUT)
            .await;
        let took_ms = |took: Duration| took.as_millis() as u64;
        match ordered {
            Ok(revision) => {
                info!(
                    zone = zone.as_str(), evacuated = is_evacuated, revision = revision,
                    took_ms = took_ms(began.elapsed());
                    "acknowledged an order for a zone"
                );
                http_server::text(StatusCode::OK, "")
            }
            Err(error) => {
                warn!(
                    zone = zone.as_str(), evacuated = is_evacuated, reason:% = error,
                    took_ms = took_ms(began.elapsed());
                    "an order for a zone was not confirmed"
                );
                http_server::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
            }
        }
    }
}
