//! This host's leased shares of the organisations' limits.
//!
//! A host holds a base share of each organisation for minutes, so that a cut availability zone goes
//! on serving, and leases more for seconds while its own demand exceeds that. The replicated state
//! never grants more than the limit in all, so the sum holds through any cut (see
//! `docs/design/limits.md`).

use {
    crate::{
        control::Handle,
        filter::Call,
        refusal::{Code, Refusal},
        snapshot::Shared,
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

/// Output tokens charged before the real length is known, unless the caller's bound is lower.
const ESTIMATED_OUTPUT: u64 = 256;

/// Lifetime of a base share. It bounds how long a cut zone goes on, and how long the share of a
/// dead host stays unused.
const BASE_LIFETIME: Duration = Duration::from_secs(300);

/// Part of the limit that is divided equally as base shares, in percent.
const BASE_PERCENT: u64 = 50;

/// Lifetime of a larger share that follows demand.
const SURPLUS_LIFETIME: Duration = Duration::from_secs(6);

/// Interval between two looks at the shares.
const INTERVAL: Duration = Duration::from_secs(2);

/// Time to commit a claim.
const COMMIT: Duration = Duration::from_secs(2);

/// Time that a request waits for the host's first share of its organisation.
const FIRST_SHARE: Duration = Duration::from_secs(2);

/// Demand is measured over this span.
const DEMAND_SPAN: Duration = Duration::from_secs(10);

/// Room that a share leaves above the measured demand, in percent.
const HEADROOM_PERCENT: u64 = 125;

/// Charges requests to organisations.
pub struct Limits {
    view: Shared,
    control: Handle,
    host: Host,
    hosts: u64,
    accounts: Mutex<HashMap<Organisation, State>>,
    granted: Notify,
    wanted: Notify,
}

impl fmt::Debug for Limits {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Limits").finish_non_exhaustive()
    }
}

/// One organisation on this host.
#[derive(Debug)]
struct State {
    share: Share,
    /// The grant that the share goes by.
    current: Option<Grant>,
    /// The last granted base share.
    base_grant: Option<Grant>,
    /// The last granted larger share.
    surplus_grant: Option<Grant>,
    /// When the base share was claimed, with the limit it was claimed under.
    base: Option<(Instant, Rate)>,
    /// When a larger share was claimed.
    surplus: Option<Instant>,
    demand: Demand,
}

/// Tokens and requests that callers asked for, refused ones included.
#[derive(Debug)]
struct Demand {
    since: Instant,
    tokens: u64,
    requests: u64,
    /// The last whole span, per minute.
    last: Rate,
}

/// What one request was charged.
#[derive(Debug)]
pub struct Charge {
    limits: Arc<Limits>,
    organisation: Organisation,
    prompt: u64,
    charge: Option<limiter::Charge>,
}

/// What an organisation used of this host's share within the last seconds, per minute.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Used {
    /// Tokens.
    pub tokens: u64,
    /// Requests.
    pub requests: u64,
}

impl Limits {
    /// Starts without shares. `hosts` is the number of hosts among which base shares are divided.
    pub fn new(view: Shared, control: Handle, host: Host, hosts: u64) -> Self {
        Self {
            view,
            control,
            host,
            hosts: hosts.max(1),
            accounts: Mutex::default(),
            granted: Notify::new(),
            wanted: Notify::new(),
        }
    }

    /// Charges a request on the estimate.
    ///
    /// # Errors
    ///
    /// Refuses it as not run if the host's share is used up.
    pub async fn charge(self: &Arc<Self>, call: &Call) -> Result<Charge, Refusal> {
        self.await_first_share(&call.organisation).await;
        let output = call
            .max_tokens
            .unwrap_or(ESTIMATED_OUTPUT)
            .min(ESTIMATED_OUTPUT);
        let estimate = call.prompt_tokens + output;
        let now = Instant::now();
        let mut accounts = self.lock();
        let state = accounts
            .entry(call.organisation.clone())
            .or_insert_with(|| State::new(now));
        state.demand.add(estimate, now);
        state.refresh(now);
        let taken = state.share.take(estimate, now);
        if state.wants_more() {
            self.wanted.notify_one();
        }
        let charge = taken.map_err(|exhausted| {
            let message = format_compact!("organisation '{}': {exhausted}", call.organisation);
            Refusal::new(Code::RateLimited, message).retry_after(exhausted.retry_after)
        })?;
        Ok(Charge {
            limits: self.clone(),
            organisation: call.organisation.clone(),
            prompt: call.prompt_tokens,
            charge: Some(charge),
        })
    }

    /// Waits while the host has never held a share of the organisation, as just after a start.
    async fn await_first_share(&self, organisation: &Organisation) {
        let held = || {
            self.lock()
                .get(organisation)
                .is_some_and(|state| state.current.is_some())
        };
        let wait = async {
            loop {
                let granted = self.granted.notified();
                if held() {
                    return;
                }
                self.wanted.notify_one();
                granted.await;
            }
        };
        // Without a share in time, the charge is refused with a hint when to retry.
        let _ = timeout(FIRST_SHARE, wait).await;
    }

    /// What an organisation used within the last seconds, per minute.
    pub fn used(&self, organisation: &str) -> Used {
        let accounts = self.lock();
        accounts
            .get(organisation)
            .map_or(Used::default(), |state| Used {
                tokens: state.demand.last.tokens,
                requests: state.demand.last.requests,
            })
    }

    /// Claims and renews shares until the task is aborted.
    pub async fn run(self: Arc<Self>, mut changes: watch::Receiver<u64>) {
        loop {
            let claims = self.claims(Instant::now());
            if !claims.is_empty() {
                self.claim(claims).await;
            }
            tokio::select! {
                () = sleep(INTERVAL) => {}
                // A burst of demand leads to one claim, not to one for each request.
                () = self.wanted.notified() => sleep(INTERVAL / 10).await,
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn claim(&self, claims: Vec<LeaseRequest>) {
        // The host's clock starts before the proposal, so that a share ends here no later than there.
        let asked = Instant::now();
        match self.control.propose(Command::Grant(claims), COMMIT).await {
            Ok(Reply::Granted(leases)) => {
                let now = Instant::now();
                let mut accounts = self.lock();
                for lease in leases {
                    let state = accounts
                        .entry(lease.organisation.clone())
                        .or_insert_with(|| State::new(now));
                    let rate = Rate {
                        tokens: lease.tokens_per_minute,
                        requests: lease.requests_per_minute,
                    };
                    let expires = asked + lease.lifetime;
                    state.take_over(Grant { rate, expires }, lease.lifetime, now);
                }
                drop(accounts);
                self.granted.notify_waiters();
            }
            Ok(reply) => warn!("unexpected reply to a claim: {reply:?}"),
            Err(error) => debug!("shares of limits were not renewed: {error}"),
        }
    }

    /// The claims that are due.
    fn claims(&self, now: Instant) -> Vec<LeaseRequest> {
        let view = self.view.load();
        let Some(sheet) = &view.sheet else {
            return Vec::new();
        };
        let mut accounts = self.lock();
        accounts.retain(|name, _| {
            sheet
                .organisations
                .iter()
                .any(|account| account.name == *name)
        });
        let mut claims = Vec::new();
        for account in &sheet.organisations {
            let state = accounts
                .entry(account.name.clone())
                .or_insert_with(|| State::new(now));
            if let Some((rate, lifetime)) = state.due(account, self.hosts, now) {
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

    fn lock(&self) -> MutexGuard<'_, HashMap<Organisation, State>> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn new(now: Instant) -> Self {
        Self {
            share: Share::new(now),
            current: None,
            base_grant: None,
            surplus_grant: None,
            base: None,
            surplus: None,
            demand: Demand {
                since: now,
                tokens: 0,
                requests: 0,
                last: Rate::default(),
            },
        }
    }

    /// The share to claim now, if one is due: the base share well before it expires or when the
    /// sheet changed it, and a larger one every interval while demand exceeds the base.
    fn due(&mut self, account: &Account, hosts: u64, now: Instant) -> Option<(Rate, Duration)> {
        self.demand.roll(now);
        let limit = Rate {
            tokens: account.tokens_per_minute,
            requests: account.requests_per_minute,
        };
        let base = Rate {
            tokens: base(limit.tokens, hosts),
            requests: base(limit.requests, hosts),
        };
        let fresh = self.base.is_some_and(|(at, claimed)| {
            claimed == base && now.duration_since(at) < BASE_LIFETIME / 3
        });
        if !fresh {
            self.base = Some((now, base));
            return Some((base, BASE_LIFETIME));
        }
        let demand = self.demand.expected();
        let wanted = Rate {
            tokens: demand.tokens.min(limit.tokens),
            requests: demand.requests.min(limit.requests),
        };
        let exceeds = wanted.tokens > base.tokens || wanted.requests > base.requests;
        let recent = self
            .surplus
            .is_some_and(|at| now.duration_since(at) < INTERVAL / 2);
        if !exceeds || recent {
            return None;
        }
        self.surplus = Some(now);
        let rate = Rate {
            tokens: wanted.tokens.max(base.tokens),
            requests: wanted.requests.max(base.requests),
        };
        Some((rate, SURPLUS_LIFETIME))
    }

    /// Whether demand has outgrown the share.
    fn wants_more(&self) -> bool {
        let demand = self.demand.expected();
        let rate = self.current.map(|grant| grant.rate).unwrap_or_default();
        demand.tokens > rate.tokens || demand.requests > rate.requests
    }

    /// Keeps a granted share. A base share of nothing means that all is leased to others for now,
    /// so it is claimed again at the next look.
    fn take_over(&mut self, grant: Grant, lifetime: Duration, now: Instant) {
        let granted = grant.rate != Rate::default();
        match (lifetime == BASE_LIFETIME, granted) {
            (true, true) => self.base_grant = Some(grant),
            (true, false) => self.base = None,
            (false, true) => self.surplus_grant = Some(grant),
            (false, false) => {}
        }
        self.refresh(now);
    }

    /// Goes by the larger of the unexpired shares, so that the base share counts again when a
    /// larger one was not renewed.
    fn refresh(&mut self, now: Instant) {
        let grants = [self.base_grant, self.surplus_grant];
        let unexpired = grants
            .into_iter()
            .flatten()
            .filter(|grant| grant.expires > now);
        let best = unexpired.max_by_key(|grant| (grant.rate.tokens, grant.rate.requests));
        if let Some(best) = best
            && self.current != Some(best)
        {
            match self.current.replace(best) {
                Some(_) => self.share.renew(best, now),
                None => self.share = Share::full(best, now),
            }
        }
    }
}

impl Demand {
    fn add(&mut self, tokens: u64, now: Instant) {
        self.roll(now);
        self.tokens += tokens;
        self.requests += 1;
    }

    fn roll(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed < DEMAND_SPAN {
            return;
        }
        let per_minute =
            |amount: u64| (amount as u128 * 60_000 / elapsed.as_millis().max(1)) as u64;
        self.last = Rate {
            tokens: per_minute(self.tokens),
            requests: per_minute(self.requests),
        };
        (self.since, self.tokens, self.requests) = (now, 0, 0);
    }

    /// Demand per minute with headroom: that of the last span, or of the running one if it is
    /// higher already.
    fn expected(&self) -> Rate {
        let spans = 60 / DEMAND_SPAN.as_secs();
        let headroom = |last: u64, running: u64| last.max(running * spans) * HEADROOM_PERCENT / 100;
        Rate {
            tokens: headroom(self.last.tokens, self.tokens),
            requests: headroom(self.last.requests, self.requests),
        }
    }
}

/// An equal part of the limit, at least one so that each host can serve something.
fn base(limit: u64, hosts: u64) -> u64 {
    match hosts {
        1 => limit,
        hosts => (limit * BASE_PERCENT / 100 / hosts).max(1),
    }
}

impl Charge {
    /// Replaces the estimate by the tokens that were generated.
    pub fn settle(mut self, generated: u64) {
        self.correct(self.prompt + generated);
    }

    fn correct(&mut self, used: u64) {
        if let Some(charge) = self.charge.take()
            && let Some(state) = self.limits.lock().get_mut(&self.organisation)
        {
            state.share.settle(charge, used);
        }
    }
}

impl Drop for Charge {
    /// Gives the tokens back if the request was refused after it was charged.
    fn drop(&mut self) {
        self.correct(0);
    }
}
