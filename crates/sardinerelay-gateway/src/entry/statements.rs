//! What targets say of themselves, as an entry host deals with it. See
//! `docs/design/target-limits.md`.

use {
    super::EntryHost,
    crate::{
        allocator::Scope,
        limit::permit,
        statement::{Rest, Statement},
    },
    http::StatusCode,
    log::{debug, info},
    rand::{Rng as _, rng},
    sardinerelay::id::{Service, Target},
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
};

/// Factors by which the time after which callers should retry is varied at random while all targets of a
/// service want no requests.
const REST_JITTER: Range<f64> = 1.0..1.3;

impl EntryHost {
    /// Records what a target says of itself in the response to a request that was sent at `sent`.
    pub fn record_statement(&self, target: &Target, statement: &Statement, sent: Instant) {
        let now = Instant::now();
        let mut state = self.state();
        let change = state
            .targets
            .record_limit(target, statement.limit, sent, now);
        if let Some(left) = statement.cold {
            state.targets.record_cold(target, left, now);
        }
        if statement.is_leaving && state.targets.mark_leaving(target, now) {
            info!(target_id = target.as_str(); "target says that it leaves");
            self.metrics.record_statement("leaving");
        }
        drop(state);
        if let Some(change) = change {
            self.metrics.record_limit_change();
            self.report(change);
        }
    }

    /// Records for how long a target wants no requests from this host, if it turned one away with this
    /// status.
    pub fn record_rest(&self, target: &Target, status: StatusCode, rest: Rest) {
        match rest {
            _ if status != StatusCode::SERVICE_UNAVAILABLE => {}
            Rest::None => {}
            Rest::Invalid => {
                debug!("{target} turned a request away for a time that can't be parsed");
            }
            Rest::For(duration) => {
                let began = self
                    .state()
                    .targets
                    .record_rest(target, duration, Instant::now());
                if began {
                    info!(
                        target_id = target.as_str(), duration_ms = duration.as_millis() as u64;
                        "target wants no requests"
                    );
                    self.metrics.record_statement("rest");
                }
            }
        }
    }

    /// Gives back a request that another target turned away, here and at the allocating host.
    pub fn record_misdirected(&self, target: &Target) {
        let mut state = self.state();
        let Some(known) = state.targets.get(target) else {
            return;
        };
        let misdirected = (target.clone(), known.instance.incarnation);
        state.targets.give_back(&misdirected, Instant::now());
        drop(state);
        self.report(misdirected);
    }

    /// Returns the time after which a target of the service takes work again, if none does now because
    /// they want no requests from this host. It is spread, so that callers don't return together.
    pub fn rest_of_all(&self, service: &Service) -> Option<Duration> {
        let rest = self.state().targets.rest_of_all(service, Instant::now())?;
        Some(rest.mul_f64(rng().random_range(REST_JITTER)))
    }

    /// Adopts the limits that the allocating host publishes, and reports what it doesn't know yet.
    pub fn adopt_limits(&self, published: &[permit::Published]) {
        let changes = self.state().targets.adopt_limits(published, Instant::now());
        for change in changes {
            self.report(change);
        }
    }

    /// Takes a permit to send a call to one of several targets that state a rate limit. The
    /// allocating host decides; if it can't, this host uses its share of the limits.
    pub async fn acquire_permit(&self, request: permit::Request) -> permit::Reply {
        let reply = self.remote.permit(request.clone()).await;
        let now = Instant::now();
        let mut state = self.state();
        let reply = match reply {
            Some(reply) if reply != permit::Reply::Unknown => {
                for known in &request.targets {
                    if let Some(target_state) = state.targets.get_mut(&known.target) {
                        target_state.limit.drain(now);
                    }
                }
                reply
            }
            _ => state.targets.grant(&request, Scope::Local, now),
        };
        if let permit::Reply::Refused(duration) = reply {
            for known in &request.targets {
                if let Some(target_state) = state.targets.get_mut(&known.target) {
                    target_state.limit.record_denied(duration, now);
                }
            }
        }
        reply
    }
}
