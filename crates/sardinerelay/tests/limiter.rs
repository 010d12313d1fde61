//! Tests of the organisation limits that hosts share.

use {
    proptest::prelude::*,
    rstest::rstest,
    sardinerelay::limiter::{Allocator, Grant, Rate, Share},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const LEASE: Duration = Duration::from_secs(3);

fn rate(tokens: u64) -> Rate {
    Rate {
        tokens,
        requests: tokens / 100,
    }
}

proptest! {
    /// Guards against hosts that together exceed the limit while some of them are cut off and still
    /// use their last shares.
    #[test]
    fn shares_never_exceed_the_limit(
        rounds in prop::collection::vec((prop::collection::vec(0_u64..5_000, 9), 0_u16..512, 0_u64..4_000), 1..40)
    ) {
        let mut now = Instant::now();
        let mut allocator = Allocator::new(rate(10_000), LEASE);
        // The last lease that reached each host.
        let mut held = BTreeMap::new();
        for (demands, cut, pause) in rounds {
            let demands: BTreeMap<u64, Rate> = demands
                .into_iter()
                .enumerate()
                .filter(|(host, _)| cut & (1 << host) == 0)
                .map(|(host, tokens)| (host as u64, rate(tokens)))
                .collect();
            for (host, lease) in allocator.allocate(&demands, now) {
                // The lease is lost on its way to some hosts.
                if (cut >> 1) & (1 << host) == 0 {
                    held.insert(host, lease);
                }
            }
            now += Duration::from_millis(pause);
            held.retain(|_, lease| lease.expires > now);
            prop_assert!(held.values().map(|lease| lease.rate.tokens).sum::<u64>() <= 10_000);
            prop_assert!(held.values().map(|lease| lease.rate.requests).sum::<u64>() <= 100);
            prop_assert!(allocator.granted(now).tokens <= 10_000);
        }
    }
}

/// Guards against shares that don't follow a change of demand, and against a share of an unreachable
/// host that is granted to another host before it expires.
#[rstest]
fn shares_follow_demand_after_expiry() {
    let start = Instant::now();
    let mut allocator = Allocator::new(rate(9_000), LEASE);
    let both = BTreeMap::from([(1, rate(1_000)), (2, rate(9_000))]);
    let first = allocator.allocate(&both, start);
    assert!(first[&2].rate.tokens > 3 * first[&1].rate.tokens);
    // Host 2 is cut off. Its share is reserved until it expires and then granted to host 1.
    let alone = BTreeMap::from([(1, rate(9_000))]);
    let early = allocator.allocate(&alone, start + LEASE / 2);
    assert!(early[&1].rate.tokens + first[&2].rate.tokens <= 9_000);
    let late = allocator.allocate(&alone, start + LEASE);
    assert_eq!(late[&1].rate.tokens, 9_000);
}

/// Guards against tokens that are created by settling, renewing or rounding, and against an expired
/// share that still admits requests.
#[rstest]
fn bucket_is_exact() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut share = Share::new(start);
    let grant = |expires| Grant {
        rate: rate(60_000),
        expires,
    };
    assert!(share.try_take(1, start).is_err());
    share.renew(grant(at(20_000)), start);
    let refused = share.try_take(500, at(100)).unwrap_err();
    assert_eq!(refused.retry_after, Duration::from_millis(401));
    let charge = share.try_take(500, at(501)).unwrap();
    share.settle(charge, 900);
    assert_eq!(share.available_tokens(), -399);
    // Renewals at uneven intervals add the same as one long wait.
    for ms in (502..5_000).step_by(7) {
        share.renew(grant(at(20_000)), at(ms));
    }
    share.renew(grant(at(20_000)), at(5_000));
    assert_eq!(share.available_tokens(), 4_100);
    let charge = share.try_take(4_000, at(5_000)).unwrap();
    share.settle(charge, 0);
    assert_eq!(share.available_tokens(), 4_100);
    assert!(share.try_take(1, at(20_000)).is_err());
}

proptest! {
    /// Guards against a host that serves more than its rate allows over any period.
    #[test]
    fn bucket_keeps_the_rate(calls in prop::collection::vec((0_u64..300, 1_u64..400, 0_u64..800), 1..200)) {
        let start = Instant::now();
        let mut now = start;
        let mut share = Share::new(start);
        share.renew(Grant { rate: Rate { tokens: 6_000, requests: 6_000 }, expires: start + LEASE * 100 }, start);
        let mut used = 0;
        for (pause, estimate, actual) in calls {
            now += Duration::from_millis(pause);
            if let Ok(charge) = share.try_take(estimate, now) {
                share.settle(charge, actual);
                used += actual;
            }
            let accrued = (now - start).as_millis() as u64 / 10;
            // A request can exceed its estimate before it is settled.
            prop_assert!(used <= accrued + 800);
        }
    }
}

/// Guards against a first request that is refused although its organisation has used nothing yet,
/// and against a new share that admits more than one burst.
#[rstest]
fn a_full_share_admits_one_burst() {
    let start = Instant::now();
    let grant = Grant {
        rate: Rate {
            tokens: 6_000,
            requests: 6,
        },
        expires: start + LEASE,
    };
    let mut share = Share::with_full_buckets(grant, start);
    assert!(share.try_take(900, start).is_ok());
    assert!(share.try_take(1, start).is_err());
}
