//! Limit leases: shares of an organisation's limits that hosts hold for a while.
//!
//! The sum of unexpired shares never exceeds the limit of the sheet in force when they are granted,
//! so a host that is cut off can spend its share without exceeding the limit.

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

/// The longest lifetime of a lease.
pub const MAX_LEASE_LIFETIME: Duration = Duration::from_secs(300);

/// Shares of one host that are kept apart. Further ones are counted as one that covers them.
const SHARES: usize = 8;

/// A host's wish for a share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The host.
    pub host: Host,
    /// The organisation.
    pub organisation: Organisation,
    /// Tokens a minute.
    pub tokens_per_minute: u64,
    /// Requests a minute.
    pub requests_per_minute: u64,
    /// How long the share is to last, at most [`MAX_LEASE_LIFETIME`].
    pub lifetime: Duration,
}

/// A granted share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The host.
    pub host: Host,
    /// The organisation.
    pub organisation: Organisation,
    /// Tokens a minute.
    pub tokens_per_minute: u64,
    /// Requests a minute.
    pub requests_per_minute: u64,
    /// How long the share lasts. The host counts from before it proposed the claim, by its own
    /// monotonic clock, and so ends no later than the machine.
    pub lifetime: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Share {
    tokens_per_minute: u64,
    requests_per_minute: u64,
    expires: SystemTime,
}

/// Unexpired shares of one host. It may still spend an earlier, larger one whose successor's answer
/// it has not received.
type Shares = Vec<Share>;

/// Granted shares.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leases {
    shares: BTreeMap<Organisation, BTreeMap<Host, Shares>>,
}

impl Leases {
    /// Grants each claim as far as the limit allows. A host's earlier share of the organisation
    /// counts until it expires if it is larger. An organisation that the sheet doesn't list gets
    /// nothing.
    pub fn grant(
        &mut self,
        claims: &[LeaseRequest],
        sheet: Option<&Sheet>,
        now: SystemTime,
    ) -> Vec<Lease> {
        self.expire(now);
        claims
            .iter()
            .map(|claim| self.grant_one(claim, sheet, now))
            .collect()
    }

    fn grant_one(&mut self, claim: &LeaseRequest, sheet: Option<&Sheet>, now: SystemTime) -> Lease {
        let account = sheet.and_then(|sheet| {
            sheet
                .organisations
                .iter()
                .find(|account| account.name == claim.organisation)
        });
        let limit = account.map_or((0, 0), |account| {
            (account.tokens_per_minute, account.requests_per_minute)
        });
        let used = self.used(claim);
        let lifetime = claim.lifetime.min(MAX_LEASE_LIFETIME);
        let share = Share {
            tokens_per_minute: claim.tokens_per_minute.min(limit.0.saturating_sub(used.0)),
            requests_per_minute: claim
                .requests_per_minute
                .min(limit.1.saturating_sub(used.1)),
            expires: now + lifetime,
        };
        let lease = Lease {
            host: claim.host,
            organisation: claim.organisation.clone(),
            tokens_per_minute: share.tokens_per_minute,
            requests_per_minute: share.requests_per_minute,
            lifetime,
        };
        if (share.tokens_per_minute, share.requests_per_minute) != (0, 0) {
            self.insert(claim, share);
        }
        lease
    }

    /// What other hosts may spend of the claim's organisation.
    fn used(&self, claim: &LeaseRequest) -> (u64, u64) {
        self.shares
            .get(&claim.organisation)
            .into_iter()
            .flatten()
            .filter(|(host, _)| **host != claim.host)
            .fold((0, 0), |sum, (_, shares)| {
                let largest = largest(shares);
                (
                    sum.0.saturating_add(largest.0),
                    sum.1.saturating_add(largest.1),
                )
            })
    }

    fn insert(&mut self, claim: &LeaseRequest, share: Share) {
        let hosts = self.shares.entry(claim.organisation.clone()).or_default();
        let shares = hosts.entry(claim.host).or_default();
        shares.retain(|earlier| !earlier.is_within(&share));
        if shares.len() == SHARES {
            let last = &mut shares[SHARES - 1];
            last.cover(&share);
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
    fn is_within(&self, other: &Self) -> bool {
        self.tokens_per_minute <= other.tokens_per_minute
            && self.requests_per_minute <= other.requests_per_minute
            && self.expires <= other.expires
    }

    fn cover(&mut self, other: &Self) {
        self.tokens_per_minute = self.tokens_per_minute.max(other.tokens_per_minute);
        self.requests_per_minute = self.requests_per_minute.max(other.requests_per_minute);
        self.expires = self.expires.max(other.expires);
    }
}

fn largest(shares: &[Share]) -> (u64, u64) {
    shares.iter().fold((0, 0), |sum, share| {
        (
            sum.0.max(share.tokens_per_minute),
            sum.1.max(share.requests_per_minute),
        )
    })
}
