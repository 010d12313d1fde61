//! Keeps what is refused in the replicated register, so that it outlives a loss of power of all
//! hosts.
//!
//! The load that this answers: a part of a prompt has crashed enough targets to be refused, all hosts
//! lose power at once, and requests with that part come again. See `docs/design/admission.md`.

use {
    super::{
        Handle, Input,
        register::{Exclusion, Kind},
    },
    crate::{allocator::Allocator, quarantine::Refused},
    log::info,
    sardinerelay::raft::Role,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::time::{MissedTickBehavior, interval},
};

/// Interval at which the leader looks for refused subjects that the register doesn't hold. Until it has
/// them, a loss of power of all hosts would make them forgotten.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a subject must still be refused to be worth a command.
const MIN_REMAINING: Duration = Duration::from_secs(10);

/// Adopts what the group refuses and, on the leader, adds what the allocator refuses. Ends when the
/// replica's driver has ended.
pub(super) async fn run(handle: Handle, allocator: Arc<Allocator>) {
    let mut exclusions = handle.exclusions.clone();
    exclusions.mark_changed();
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            changed = exclusions.changed() => {
                if changed.is_err() {
                    return;
                }
                let known = exclusions.borrow_and_update().clone();
                adopt(&allocator, &known, SystemTime::now());
            }
            _ = ticks.tick() => {
                if handle.leadership.borrow().role != Role::Leader {
                    continue;
                }
                let known = handle.exclusions.borrow().clone();
                let missing = missing(&allocator, &known, SystemTime::now());
                if missing.is_empty() {
                    continue;
                }
                info!(count = missing.len(); "the group is asked to remember what is refused");
                if handle.inputs.send(Input::Exclude(missing)).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Lets the allocator refuse what the group refuses.
pub fn adopt(allocator: &Allocator, exclusions: &[Exclusion], now: SystemTime) {
    let of = |kind: Kind| {
        let lasting = exclusions
            .iter()
            .filter(|exclusion| exclusion.kind == kind && !exclusion.remaining(now).is_zero());
        let refused = lasting.map(|exclusion| Refused {
            id: exclusion.subject,
            remaining: exclusion.remaining(now),
        });
        refused.collect::<Vec<Refused>>()
    };
    allocator.adopt_refused_parts(&of(Kind::Part));
    allocator.adopt_refused_requests(&of(Kind::Request));
}

/// Returns what the allocator refuses and the register doesn't hold.
pub fn missing(allocator: &Allocator, known: &[Exclusion], now: SystemTime) -> Vec<Exclusion> {
    let state = allocator.state();
    let at = Instant::now();
    let parts = state.quarantine.refused(at).into_iter();
    let requests = state.requests.refused(at).into_iter();
    drop(state);
    let all = parts
        .map(|refused| (Kind::Part, refused))
        .chain(requests.map(|refused| (Kind::Request, refused)));
    let is_known = |kind: Kind, refused: &Refused| {
        known.iter().any(|exclusion| {
            exclusion.kind == kind
                && exclusion.subject == refused.id
                && !exclusion.remaining(now).is_zero()
        })
    };
    all.filter(|(kind, refused)| refused.remaining > MIN_REMAINING && !is_known(*kind, refused))
        .map(|(kind, refused)| Exclusion::ending_in(kind, refused.id, refused.remaining, now))
        .collect()
}
