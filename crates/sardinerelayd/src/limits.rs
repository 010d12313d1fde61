//! This host's leased shares of the organisations' limits.
//!
//! For each organisation, a host leases a base share for minutes, so that a partitioned
//! availability zone can go on serving. While its own demand exceeds that, it also leases a larger
//! burst share for seconds. The replicated state never grants more than the limit in total, so the
//! limit holds through any partition (see `docs/design/limits.md`).

use {
    crate::{
        control::Handle,
        filter::GenerationRequest,
        refusal::{Code, Refusal},
        snapshot::SharedView,
    },
    compact_str::format_compact,
    log::{debug, warn},
    sardinerelay::{
        id::{Host, Organisation},
        limiter::{self, Grant, Rate, Share},
        sheet::Account,
        state::{Command, LeaseRequest, Reply},
    },
    std::{
        collections::HashMap,
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time::{sleep, timeout},
    },
};

/// Output tokens charged before the real length is known, unless the request's own limit is lower.
const ESTIMATED_OUTPUT_TOKENS: u64 = 256;

/// Lifetime of a base share. It bounds how long a partitioned zone can go on serving, and how long
/// the share of a dead host stays unused.
const BASE_SHARE_LIFETIME: Duration = Duration::from_secs(300);

/// Percentage of the limit that is divided equally among the hosts as base shares.
const BASE_SHARES_PERCENT: u64 = 50;

/// Lifetime of a burst share, which follows demand.
const BURST_SHARE_LIFETIME: Duration = Duration::from_secs(6);

/// Interval between checks whether shares must be claimed or renewed.
const CLAIM_INTERVAL: Duration = Duration::from_secs(2);

/// How long a claim may take to be committed.
const CLAIM_COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a request waits for the host's first share of its organisation.
const FIRST_SHARE_TIMEOUT: Duration = Duration::from_secs(2);

/// Period over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// Share to claim as a percentage of the measured demand; the excess over 100 is headroom.
const DEMAND_FACTOR_PERCENT: u64 = 125;

/// Claims this host's shares of the organisations' limits and charges requests to them.
pub struct Limits {
    view: SharedView,
    control: Handle,
    host: Host,
    /// Number of hosts among which the base shares are divided.
    host_count: u64,
    organisations: Mutex<HashMap<Organisation, OrganisationState>>,
    /// Notified when shares were granted.
    granted: Notify,
    /// Notified when a share is missing or too small for the demand, so that one is claimed soon.
    claim_wanted: Notify,
}

impl fmt::Debug for Limits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Limits").finish_non_exhaustive()
    }
}

/// This host's shares of one organisation's limit, and the demand for them.
#[derive(Debug)]
struct OrganisationState {
    share: Share,
    /// The grant that determines the rate of `share`.
    current_grant: Option<Grant>,
    /// The last granted base share, which may have expired.
    base_grant: Option<Grant>,
    /// The last granted burst share, which may have expired.
    burst_grant: Option<Grant>,
    /// When the last base share was claimed, and its size.
    base_claim: Option<(Instant, Rate)>,
    /// When the last burst share was claimed.
    burst_claimed_at: Option<Instant>,
    demand: Demand,
}

/// Tokens and requests that callers asked for in the running window, including refused requests.
#[derive(Debug)]
struct Demand {
    /// Start of the running window.
    window_start: Instant,
    tokens: u64,
    requests: u64,
    /// Demand per minute over the last complete window.
    last: Rate,
}

/// What one request was charged. Dropping it without [`Charge::settle`] refunds the tokens.
#[derive(Debug)]
pub struct Charge {
    limits: Arc<Limits>,
    organisation: Organisation,
    prompt: u64,
    charge: Option<limiter::Charge>,
}

/// An organisation's recent demand on this host, per minute. It includes refused requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Estimated prompt and output tokens a minute.
    pub tokens: u64,
    /// Requests a minute.
    pub requests: u64,
}

impl Limits {
    /// Creates limits without shares. `host_count` is the number of hosts among which the base
    /// shares are divided.
    pub fn new(view: SharedView, control: Handle, host: Host, host_count: u64) -> Self {
        Self {
            view,
            control,
            host,
            host_count: host_count.max(1),
            organisations: Mutex::default(),
            granted: Notify::new(),
            claim_wanted: Notify::new(),
        }
    }

    /// Charges a request's estimated tokens to its organisation.
    ///
    /// # Errors
    ///
    /// Refuses the request as not run if the host's share is used up.
    pub async fn charge(self: &Arc<Self>, request: &GenerationRequest) -> Result<Charge, Refusal> {
        self.await_first_share(&request.organisation).await;
        let output = request
            .max_tokens
            .unwrap_or(ESTIMATED_OUTPUT_TOKENS)
            .min(ESTIMATED_OUTPUT_TOKENS);
        let estimate = request.prompt_tokens + output;
        let now = Instant::now();
        let mut organisations = self.lock();
        let state = organisations
            .entry(request.organisation.clone())
            .or_insert_with(|| OrganisationState::new(now));
        state.demand.add(estimate, now);
        state.select_grant(now);
        let taken = state.share.try_take(estimate, now);
        if state.exceeds_share() {
            self.claim_wanted.notify_one();
        }
        let charge = taken.map_err(|exhausted| {
            let message = format_compact!("organisation '{}': {exhausted}", request.organisation);
            Refusal::new(Code::RateLimited, message).retry_after(exhausted.retry_after)
        })?;
        Ok(Charge {
            limits: self.clone(),
            organisation: request.organisation.clone(),
            prompt: request.prompt_tokens,
            charge: Some(charge),
        })
    }

    /// Waits until the host has its first share of the organisation, which it lacks just after a
    /// start.
    async fn await_first_share(&self, organisation: &Organisation) {
        let has_share = || {
            self.lock()
                .get(organisation)
                .is_some_and(|state| state.current_grant.is_some())
        };
        let wait = async {
            loop {
                let granted = self.granted.notified();
                if has_share() {
                    return;
                }
                self.claim_wanted.notify_one();
                granted.await;
            }
        };
        // Without a share in time, the charge is refused with a `Retry-After`.
        let _ = timeout(FIRST_SHARE_TIMEOUT, wait).await;
    }

    /// The organisation's demand on this host over the last complete window, per minute.
    pub fn usage(&self, organisation: &str) -> Usage {
        let organisations = self.lock();
        organisations
            .get(organisation)
            .map_or(Usage::default(), |state| Usage {
                tokens: state.demand.last.tokens,
                requests: state.demand.last.requests,
            })
    }

    /// Claims and renews shares until the task is aborted.
    pub async fn run(self: Arc<Self>, mut changes: watch::Receiver<u64>) {
        loop {
            let claims = self.due_claims(Instant::now());
            if !claims.is_empty() {
                self.propose_claims(claims).await;
            }
            tokio::select! {
                () = sleep(CLAIM_INTERVAL) => {}
                // The delay merges the claims of a burst of requests into one.
                () = self.claim_wanted.notified() => sleep(CLAIM_INTERVAL / 10).await,
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Proposes the claims and applies the shares that are granted.
    async fn propose_claims(&self, claims: Vec<LeaseRequest>) {
        // Lifetimes count from before the proposal, so that a share expires on this host no later
        // than in the replicated state.
        let proposed_at = Instant::now();
        match self
            .control
            .propose(Command::Grant(claims), CLAIM_COMMIT_TIMEOUT)
            .await
        {
            Ok(Reply::Granted(leases)) => {
                let now = Instant::now();
                let mut organisations = self.lock();
                for lease in leases {
                    let state = organisations
                        .entry(lease.organisation.clone())
                        .or_insert_with(|| OrganisationState::new(now));
                    let rate = Rate {
                        tokens: lease.tokens_per_minute,
                        requests: lease.requests_per_minute,
                    };
                    let expires = proposed_at + lease.lifetime;
                    state.apply_grant(Grant { rate, expires }, lease.lifetime, now);
                }
                drop(organisations);
                self.granted.notify_waiters();
            }
            Ok(reply) => warn!("unexpected reply to a claim of limit shares: {reply:?}"),
            Err(error) => debug!("limit shares were not renewed: {error}"),
        }
    }

    /// Returns the claims that are due, and forgets organisations that the sheet no longer names.
    fn due_claims(&self, now: Instant) -> Vec<LeaseRequest> {
        let view = self.view.load();
        let Some(sheet) = &view.sheet else {
            return Vec::new();
        };
        let mut organisations = self.lock();
        organisations.retain(|name, _| {
            sheet
                .organisations
                .iter()
                .any(|account| account.name == *name)
        });
        let mut claims = Vec::new();
        for account in &sheet.organisations {
            let state = organisations
                .entry(account.name.clone())
                .or_insert_with(|| OrganisationState::new(now));
            if let Some((rate, lifetime)) = state.next_claim(account, self.host_count, now) {
                claims.push(LeaseRequest {
                    host: self.host,
                    organisation: account.name.clone(),
                    tokens_per_minute: rate.tokens,
                    requests_per_minute: rate.requests,
                    lifetime,
                });
            }
        }
        claims
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Organisation, OrganisationState>> {
        self.organisations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl OrganisationState {
    fn new(now: Instant) -> Self {
        Self {
            share: Share::new(now),
            current_grant: None,
            base_grant: None,
            burst_grant: None,
            base_claim: None,
            burst_claimed_at: None,
            demand: Demand {
                window_start: now,
                tokens: 0,
                requests: 0,
                last: Rate::default(),
            },
        }
    }

    /// Returns the share to claim now, if one is due: the base share after a third of its lifetime
    /// or when the sheet changes its size, and a burst share while demand exceeds the base share.
    fn next_claim(
        &mut self,
        account: &Account,
        host_count: u64,
        now: Instant,
    ) -> Option<(Rate, Duration)> {
        self.demand.roll_window(now);
        let limit = Rate {
            tokens: account.tokens_per_minute,
            requests: account.requests_per_minute,
        };
        let base = Rate {
            tokens: base_share(limit.tokens, host_count),
            requests: base_share(limit.requests, host_count),
        };
        let is_fresh = self.base_claim.is_some_and(|(at, claimed)| {
            claimed == base && now.duration_since(at) < BASE_SHARE_LIFETIME / 3
        });
        if !is_fresh {
            self.base_claim = Some((now, base));
            return Some((base, BASE_SHARE_LIFETIME));
        }
        let demand = self.demand.forecast();
        let wanted = Rate {
            tokens: demand.tokens.min(limit.tokens),
            requests: demand.requests.min(limit.requests),
        };
        let exceeds_base = wanted.tokens > base.tokens || wanted.requests > base.requests;
        let is_recent = self
            .burst_claimed_at
            .is_some_and(|at| now.duration_since(at) < CLAIM_INTERVAL / 2);
        if !exceeds_base || is_recent {
            return None;
        }
        self.burst_claimed_at = Some(now);
        let rate = Rate {
            tokens: wanted.tokens.max(base.tokens),
            requests: wanted.requests.max(base.requests),
        };
        Some((rate, BURST_SHARE_LIFETIME))
    }

    /// Whether demand exceeds the current share.
    fn exceeds_share(&self) -> bool {
        let demand = self.demand.forecast();
        let rate = self
            .current_grant
            .map(|grant| grant.rate)
            .unwrap_or_default();
        demand.tokens > rate.tokens || demand.requests > rate.requests
    }

    /// Records a granted share. An empty base share means that the whole limit is currently leased
    /// to other hosts, so it is claimed again at the next check.
    fn apply_grant(&mut self, grant: Grant, lifetime: Duration, now: Instant) {
        let granted = grant.rate != Rate::default();
        match (lifetime == BASE_SHARE_LIFETIME, granted) {
            (true, true) => self.base_grant = Some(grant),
            (true, false) => self.base_claim = None,
            (false, true) => self.burst_grant = Some(grant),
            (false, false) => {}
        }
        self.select_grant(now);
    }

    /// Selects the larger of the unexpired shares, so that the base share applies again when a
    /// burst share was not renewed.
    fn select_grant(&mut self, now: Instant) {
        let grants = [self.base_grant, self.burst_grant];
        let unexpired = grants
            .into_iter()
            .flatten()
            .filter(|grant| grant.expires > now);
        let best = unexpired.max_by_key(|grant| (grant.rate.tokens, grant.rate.requests));
        if let Some(best) = best
            && self.current_grant != Some(best)
        {
            match self.current_grant.replace(best) {
                Some(_) => self.share.renew(best, now),
                None => self.share = Share::with_full_buckets(best, now),
            }
        }
    }
}

impl Demand {
    /// Counts one request of this many tokens in the running window.
    fn add(&mut self, tokens: u64, now: Instant) {
        self.roll_window(now);
        self.tokens += tokens;
        self.requests += 1;
    }

    /// Starts a new window if the running one is complete.
    fn roll_window(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let per_minute =
            |amount: u64| (amount as u128 * 60_000 / elapsed.as_millis().max(1)) as u64;
        self.last = Rate {
            tokens: per_minute(self.tokens),
            requests: per_minute(self.requests),
        };
        (self.window_start, self.tokens, self.requests) = (now, 0, 0);
    }

    /// Demand per minute plus headroom: that of the last window, or of the running one if that is
    /// already higher.
    fn forecast(&self) -> Rate {
        let windows = 60 / DEMAND_WINDOW.as_secs();
        let headroom =
            |last: u64, running: u64| last.max(running * windows) * DEMAND_FACTOR_PERCENT / 100;
        Rate {
            tokens: headroom(self.last.tokens, self.tokens),
            requests: headroom(self.last.requests, self.requests),
        }
    }
}

/// A host's equal part of the limit. It is at least one, so that each host can serve something.
fn base_share(limit: u64, host_count: u64) -> u64 {
    match host_count {
        1 => limit,
        host_count => (limit * BASE_SHARES_PERCENT / 100 / host_count).max(1),
    }
}

impl Charge {
    /// Corrects the charge to the prompt and the tokens that were generated.
    pub fn settle(mut self, generated: u64) {
        self.settle_with(self.prompt + generated);
    }

    fn settle_with(&mut self, used: u64) {
        if let Some(charge) = self.charge.take()
            && let Some(state) = self.limits.lock().get_mut(&self.organisation)
        {
            state.share.settle(charge, used);
        }
    }
}

impl Drop for Charge {
    /// Refunds the tokens of a request that was refused after it was charged.
    fn drop(&mut self) {
        self.settle_with(0);
    }
}
