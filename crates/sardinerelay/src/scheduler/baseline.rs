//! Baseline policies for benchmarks, without admission control and load reports.

use {
    super::{Decision, Policy, Request, Scheduler},
    crate::{
        id::Target,
        router::{self, Pick},
    },
    rand::{Rng, seq::IndexedRandom},
    std::time::Instant,
};

impl Scheduler {
    /// Dispatches the request to an eligible target at once, or refuses it if there is none.
    pub(super) fn dispatch_baseline<R>(
        &mut self,
        request: Request,
        router_request: &router::Request,
        rng: &mut R,
        now: Instant,
    ) -> Decision
    where
        R: Rng + ?Sized,
    {
        let eligible: Vec<&Target> = self
            .router
            .targets_of_model(&request.model)
            .filter(|target| self.fleet.is_eligible(target))
            .collect();
        let chosen = match self.settings.policy {
            Policy::LeastInFlight => {
                let least = eligible
                    .iter()
                    .map(|name| self.router.own_in_flight(name))
                    .min();
                let equal: Vec<_> = eligible
                    .iter()
                    .filter(|name| Some(self.router.own_in_flight(name)) == least)
                    .collect();
                equal.choose(rng).map(|name| (**name).clone())
            }
            Policy::RoundRobin | Policy::Adaptive => {
                self.round_robin_turn += 1;
                eligible
                    .get(self.round_robin_turn % eligible.len().max(1))
                    .map(|name| (*name).clone())
            }
        };
        let Some(target) = chosen else {
            return self.refuse(request.generation, router::Refusal::NoTarget.into());
        };
        let pick = Pick {
            target,
            reserved_tokens: router_request.reserved_tokens,
            spilled: false,
            overlap: 0.0,
        };
        self.dispatch_to(request, router_request, pick, now)
    }
}
