//! Reserves room at an engine before a generation is sent to it.
//!
//! Load pattern that it answers: engines are nearly full, and what is known of them is half a second
//! old. An engine that has no room says so within a millisecond, so that the generation waits for
//! another one instead of in the engine's queue.

use {
    crate::{call::ReservationRequest, entry::Allocation, request::Job},
    compact_str::CompactString,
    log::{debug, info},
    std::time::Duration,
};

/// Deadline of a reservation.
const DEADLINE: Duration = Duration::from_millis(200);

/// What became of a reservation.
pub(super) enum Reserved {
    /// Room is reserved under this name.
    Taken(CompactString),
    /// The engine has no room.
    NoRoom,
    /// The engine doesn't reserve, or didn't answer; the generation is sent without.
    Unneeded,
}

pub(super) async fn take(job: &Job, place: &Allocation) -> Reserved {
    let engine = job.engine();
    let Some(lifetime) = engine.and_then(|engine| engine.max_reservation) else {
        return Reserved::Unneeded;
    };
    let Some(instance) = job.entry.instance(&place.choice.target) else {
        return Reserved::Unneeded;
    };
    let reserve = ReservationRequest {
        tokens: place.reservation_tokens(),
        lifetime,
    };
    let request = (job.entry.codec.reserve_request)(instance.address, reserve);
    let answer = match job.entry.pool.call(&instance, request, DEADLINE).await {
        Ok(answer) => answer,
        Err(fault) => {
            debug!("{} was not asked for room: {fault}", instance.target);
            return Reserved::Unneeded;
        }
    };
    match (job.entry.codec.parse_reservation)(answer.status(), answer.body()) {
        Ok(Some(name)) => Reserved::Taken(name),
        Ok(None) => {
            info!(
                request = job.call.id.as_str(), target_id = instance.target.as_str(),
                tokens = reserve.tokens;
                "engine has no room"
            );
            Reserved::NoRoom
        }
        Err(unreadable) => {
            debug!("{} answered unreadably: {unreadable}", instance.target);
            Reserved::Unneeded
        }
    }
}
