//! Rate limits of organisations, divided among hosts.
//!
//! An [`Allocator`] leases each host a share of an organisation's limit for a limited time. A
//! granted share counts against the limit until it expires, whether or not its host can be
//! reached. The sum of unexpired shares therefore never exceeds the limit, even during a network
//! partition. On each host, a [`Share`] is a token bucket: a request is charged its estimated
//! length in advance and settled with its real one. All arithmetic is in integers.

mod share;

pub use share::{Charge, Exhausted, Grant, Share};

use {
    crate::id::Host,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// A rate limit, or a share of one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rate {
    /// Tokens a minute, prompt and output together.
    pub tokens: u64,
    /// Requests a minute.
    pub requests: u64,
}

/// A leased share of one organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The rate that the host may use.
    pub rate: Rate,
    /// When the share expires, on the allocator's clock.
    pub expires: Instant,
}

/// The leases of one host.
#[derive(Debug, Default)]
struct Holder {
    /// Unexpired leases, oldest first. The largest of them counts against the limit, because the
    /// host may still use an older one if the newer one didn't reach it.
    leases: Vec<Lease>,
}

impl Holder {
    /// Returns the part of the limit that the leases take up.
    fn reserved(&self) -> Rate {
        let largest = |amount: fn(&Lease) -> u64| self.leases.iter().map(amount).max().unwrap_or(0);
        Rate {
            tokens: largest(|lease| lease.rate.tokens),
            requests: largest(|lease| lease.rate.requests),
        }
    }
}

/// Divides one organisation's limit among hosts.
#[derive(Debug)]
pub struct Allocator {
    limit: Rate,
    duration: Duration,
    holders: BTreeMap<Host, Holder>,
}

/// Part of the limit that is divided equally among hosts, in percent. It lets a host serve its
/// first requests before its demand is known.
const EQUAL_SHARE_PERCENT: u64 = 20;

impl Allocator {
    /// Creates an allocator whose leases last for `duration`.
    pub fn new(limit: Rate, duration: Duration) -> Self {
        Self {
            limit,
            duration,
            holders: BTreeMap::new(),
        }
    }

    /// Sets a new limit. A lower limit takes effect as leases expire or are renewed.
    pub fn set_limit(&mut self, limit: Rate) {
        self.limit = limit;
    }

    /// Grants a lease to each host that reported its demand. A host's lease grows only by what the
    /// unexpired leases of all hosts leave free, so a host may have to wait for more until the
    /// larger lease of another one has expired.
    pub fn allocate(
        &mut self,
        demands: &BTreeMap<Host, Rate>,
        now: Instant,
    ) -> BTreeMap<Host, Lease> {
        self.expire(now);
        let hosts = demands.len() as u64;
        let total = demands.values().fold(Rate::default(), |sum, demand| Rate {
            tokens: sum.tokens.saturating_add(demand.tokens),
            requests: sum.requests.saturating_add(demand.requests),
        });
        demands
            .iter()
            .map(|(host, demand)| {
                let wanted = Rate {
                    tokens: share_by_demand(self.limit.tokens, demand.tokens, total.tokens, hosts),
                    requests: share_by_demand(
                        self.limit.requests,
                        demand.requests,
                        total.requests,
                        hosts,
                    ),
                };
                (*host, self.grant(*host, wanted, now))
            })
            .collect()
    }

    /// Adds a lease that an earlier leader granted.
    pub fn restore(&mut self, host: Host, lease: Lease) {
        self.holders.entry(host).or_default().leases.push(lease);
    }

    /// Returns the sum of all unexpired shares.
    pub fn granted(&mut self, now: Instant) -> Rate {
        self.expire(now);
        self.reserved_by_all()
    }

    fn reserved_by_all(&self) -> Rate {
        let held = self.holders.values().map(Holder::reserved);
        held.fold(Rate::default(), |sum, rate| Rate {
            tokens: sum.tokens.saturating_add(rate.tokens),
            requests: sum.requests.saturating_add(rate.requests),
        })
    }

    fn grant(&mut self, host: Host, wanted: Rate, now: Instant) -> Lease {
        let own = self
            .holders
            .get(&host)
            .map(Holder::reserved)
            .unwrap_or_default();
        let all = self.reserved_by_all();
        let free = |limit: u64, all: u64, own: u64| limit.saturating_sub(all - own);
        let rate = Rate {
            tokens: wanted
                .tokens
                .min(free(self.limit.tokens, all.tokens, own.tokens)),
            requests: wanted
                .requests
                .min(free(self.limit.requests, all.requests, own.requests)),
        };
        let lease = Lease {
            rate,
            expires: now + self.duration,
        };
        self.holders.entry(host).or_default().leases.push(lease);
        lease
    }

    fn expire(&mut self, now: Instant) {
        for holder in self.holders.values_mut() {
            holder.leases.retain(|lease| lease.expires > now);
        }
        self.holders.retain(|_, holder| !holder.leases.is_empty());
    }
}

/// Returns a host's share of `limit`: an equal part and a part by demand, rounded down so that the
/// shares never add up to more than the limit. Without any demand, all shares are equal.
fn share_by_demand(limit: u64, demand: u64, total: u64, hosts: u64) -> u64 {
    let (limit, hosts) = (u128::from(limit), u128::from(hosts.max(1)));
    if total == 0 {
        return (limit / hosts) as u64;
    }
    let equal = limit * u128::from(EQUAL_SHARE_PERCENT) / 100;
    let shared = limit - equal;
    (equal / hosts + shared * u128::from(demand) / u128::from(total)) as u64
}
