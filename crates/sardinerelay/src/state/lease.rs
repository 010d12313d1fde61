//! Limit leases: shares of an organisation's rate limits that hosts hold for a limited time.
//!
//! When a share is granted, the sum of all unexpired shares does not exceed the limit of the sheet
//! in force. A host that is cut off from the group can therefore spend its share without exceeding
//! the limit.

use {
    crate::{
        id::{Host, Organisation},
        sheet::Sheet,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        time::{Duration, SystemTime},
    },
};

/// Maximum lifetime of a lease. Longer requests are shortened to it.
pub const MAX_LEASE_LIFETIME: Duration = Duration::from_secs(300);

/// Maximum number of shares that are tracked for one host. A further one is merged into the last,
/// which then has the larger rates and the later expiry of both.
const MAX_SHARES_PER_HOST: usize = 8;

/// A host's request for a share of an organisation's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The host that asks.
    pub host: Host,
    /// The organisation whose limits it asks for.
    pub organisation: Organisation,
    /// Requested rate, in tokens per minute.
    pub tokens_per_minute: u64,
    /// Requested rate, in requests per minute.
    pub requests_per_minute: u64,
    /// Requested lifetime; shortened to `MAX_LEASE_LIFETIME`.
    pub lifetime: Duration,
}

/// A granted share. Rates of 0 mean that nothing was left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host that holds it.
    pub host: Host,
    /// The organisation whose limits it is a share of.
    pub organisation: Organisation,
    /// Granted rate, in tokens per minute.
    pub tokens_per_minute: u64,
    /// Granted rate, in requests per minute.
    pub requests_per_minute: u64,
    /// Granted lifetime. The host measures it by its own monotonic clock from before it proposed
    /// the request, so that its lease ends no later than the state machine's record of it.
    pub lifetime: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Share {
    tokens_per_minute: u64,
    requests_per_minute: u64,
    expires: SystemTime,
}

/// Unexpired shares of one host. The host may still spend an earlier, larger share if the reply
/// that granted its successor has not reached it.
type Shares = Vec<Share>;

/// Unexpired shares by organisation and host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    shares: BTreeMap<Organisation, BTreeMap<Host, Shares>>,
}

impl Leases {
    /// Grants each request as far as the other hosts' shares leave room under the limit. A larger
    /// share that the host received earlier still counts for the others until it expires. An
    /// organisation that the sheet doesn't list gets nothing.
    pub fn grant(
        &mut self,
        requests: &[LeaseRequest],
        sheet: Option<&Sheet>,
        now: SystemTime,
    ) -> Vec<Lease> {
        self.expire(now);
        requests
            .iter()
            .map(|request| self.grant_one(request, sheet, now))
            .collect()
    }

    fn grant_one(
        &mut self,
        request: &LeaseRequest,
        sheet: Option<&Sheet>,
        now: SystemTime,
    ) -> Lease {
        let account = sheet.and_then(|sheet| {
            sheet
                .organisations
                .iter()
                .find(|account| account.name == request.organisation)
        });
        let limit = account.map_or((0, 0), |account| {
            (account.tokens_per_minute, account.requests_per_minute)
        });
        let used = self.used_by_others(request);
        let lifetime = request.lifetime.min(MAX_LEASE_LIFETIME);
        let share = Share {
            tokens_per_minute: request
                .tokens_per_minute
                .min(limit.0.saturating_sub(used.0)),
            requests_per_minute: request
                .requests_per_minute
                .min(limit.1.saturating_sub(used.1)),
            expires: now + lifetime,
        };
        let lease = Lease {
            host: request.host,
            organisation: request.organisation.clone(),
            tokens_per_minute: share.tokens_per_minute,
            requests_per_minute: share.requests_per_minute,
            lifetime,
        };
        if (share.tokens_per_minute, share.requests_per_minute) != (0, 0) {
            self.insert(request, share);
        }
        lease
    }

    /// Tokens and requests per minute that other hosts may spend of the requested organisation.
    fn used_by_others(&self, request: &LeaseRequest) -> (u64, u64) {
        self.shares
            .get(&request.organisation)
            .into_iter()
            .flatten()
            .filter(|(host, _)| **host != request.host)
            .fold((0, 0), |sum, (_, shares)| {
                let largest = largest(shares);
                (
                    sum.0.saturating_add(largest.0),
                    sum.1.saturating_add(largest.1),
                )
            })
    }

    fn insert(&mut self, request: &LeaseRequest, share: Share) {
        let hosts = self.shares.entry(request.organisation.clone()).or_default();
        let shares = hosts.entry(request.host).or_default();
        shares.retain(|earlier| !earlier.is_covered_by(&share));
        if shares.len() == MAX_SHARES_PER_HOST {
            let last = &mut shares[MAX_SHARES_PER_HOST - 1];
            last.merge(&share);
            return;
        }
        shares.push(share);
    }

    fn expire(&mut self, now: SystemTime) {
        self.shares.retain(|_, shares| {
            shares.retain(|_, shares| {
                shares.retain(|share| share.expires > now);
                !shares.is_empty()
            });
            !shares.is_empty()
        });
    }
}

impl Share {
    fn is_covered_by(&self, other: &Self) -> bool {
        self.tokens_per_minute <= other.tokens_per_minute
            && self.requests_per_minute <= other.requests_per_minute
            && self.expires <= other.expires
    }

    fn merge(&mut self, other: &Self) {
        self.tokens_per_minute = self.tokens_per_minute.max(other.tokens_per_minute);
        self.requests_per_minute = self.requests_per_minute.max(other.requests_per_minute);
        self.expires = self.expires.max(other.expires);
    }
}

fn largest(shares: &[Share]) -> (u64, u64) {
    shares.iter().fold((0, 0), |largest, share| {
        (
            largest.0.max(share.tokens_per_minute),
            largest.1.max(share.requests_per_minute),
        )
    })
}
