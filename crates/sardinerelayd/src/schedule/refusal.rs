//! Translates refusals of the library's scheduler into the API's.

use {
    crate::{
        filter::GenerationRequest,
        refusal::{Code, Refusal},
    },
    compact_str::{CompactString, ToCompactString, format_compact},
    sardinerelay::{admission, router, scheduler},
};

/// The API's refusal with the code, message and retry time for a scheduler's refusal.
pub(super) fn api_refusal(refusal: scheduler::Refusal, request: &GenerationRequest) -> Refusal {
    let message = refusal.to_compact_string();
    match refusal {
        scheduler::Refusal::Admission(refusal) => admission_refusal(refusal, message),
        scheduler::Refusal::Router(router::Refusal::NoTarget) => Refusal::new(
            Code::NoTarget,
            format_compact!("no target serves the model '{}' now", request.model),
        ),
        scheduler::Refusal::Router(_) => Refusal::new(Code::NoTarget, message),
    }
}

fn admission_refusal(refusal: admission::Refusal, message: CompactString) -> Refusal {
    let (code, retry_after) = match refusal {
        admission::Refusal::QueueFull { retry_after } => (Code::QueueFull, retry_after),
        admission::Refusal::WaitTooLong { retry_after }
        | admission::Refusal::Expired { retry_after } => (Code::WaitTooLong, retry_after),
    };
    Refusal::new(code, message).retry_after(retry_after)
}
