//! Reserves memory at an engine before a generation is sent to it.
//!
//! The load that this is built for: engines are nearly full, and what is known of them is half a
//! second old. An engine without enough memory says so within a millisecond. The generation then
//! waits for another engine instead of in the queue of this one.

use {
    crate::{allocation::Allocation, call::ReservationRequest, pool::Purpose, request::Job},
    compact_str::CompactString,
    log::{debug, info},
    std::time::Duration,
};

/// Time that an engine has to respond to a request for a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of a request for a reservation.
pub(super) enum ReserveOutcome {
    /// The engine has reserved the memory under this name.
    Reserved(CompactString),
    /// The engine does not have enough free memory.
    NoRoom,
    /// The engine takes no reservations, is gone, or did not give a valid response. The generation
    /// is sent without a reservation.
    Skipped,
}

/// Asks the engine of `allocation` to reserve [`Allocation::reservation_tokens`] for the
/// generation.
pub(super) async fn try_reserve(job: &Job, allocation: &Allocation) -> ReserveOutcome {
    let engine = job.engine();
    let Some(lifetime) = engine.and_then(|engine| engine.max_reservation) else {
        return ReserveOutcome::Skipped;
    };
    let Some(instance) = job.entry.sendable_instance(&allocation.choice.target) else {
        return ReserveOutcome::Skipped;
    };
    let reserve = ReservationRequest {
        tokens: allocation.reservation_tokens(),
        lifetime,
    };
    let request = (job.entry.codec.reserve_request)(instance.address, reserve);
    let outgoing = (request, Purpose::Command("reserve"));
    let response = match job
        .entry
        .pool
        .call(&instance, outgoing, RESERVE_TIMEOUT)
        .await
    {
        Ok(response) => response,
        Err(error) => {
            debug!("reserving memory at {} failed: {error}", instance.target);
            return ReserveOutcome::Skipped;
        }
    };
    let head = (job.entry.codec.parse_response_head)(response.headers());
    job.entry
        .record_rest(&instance.target, response.status(), head.statement.rest);
    match (job.entry.codec.parse_reservation)(response.status(), response.body()) {
        Ok(Some(name)) => ReserveOutcome::Reserved(name),
        Ok(None) => {
            info!(
                request = job.call.id.as_str(), target_id = instance.target.as_str(),
                tokens = reserve.tokens;
                "engine has no memory for the reservation"
            );
            ReserveOutcome::NoRoom
        }
        Err(error) => {
            debug!(
                "the response of {} to a reservation can't be parsed: {error}",
                instance.target
            );
            ReserveOutcome::Skipped
        }
    }
}
