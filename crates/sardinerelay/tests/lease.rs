//! Tests of the leader lease and of the order of fencing tokens.

use {
    sardinerelay::lease::{FencingToken, Lease},
    std::time::{Duration, Instant},
};

const MS: Duration = Duration::from_millis(1);

fn lease() -> Lease {
    Lease::new(500 * MS, 50 * MS)
}

/// Guards against an order that outlasts the lease, and against an order without a lease.
#[test]
fn covers_only_orders_that_end_within_the_lease() {
    let sent = Instant::now();
    let mut lease = lease();
    assert!(!lease.covers(sent, sent + MS));
    lease.renew(sent);
    assert!(lease.covers(sent + 100 * MS, sent + 449 * MS));
    assert!(
        !lease.covers(sent + 100 * MS, sent + 450 * MS),
        "within the drift margin"
    );
    assert!(
        !lease.covers(sent + 100 * MS, sent + 99 * MS),
        "already over"
    );
    assert!(lease.is_held(sent + 449 * MS));
    assert!(!lease.is_held(sent + 450 * MS));
}

/// Guards against a late answer to an old heartbeat round that shortens or restores a lease.
#[test]
fn renewal_never_shortens_and_revocation_ends() {
    let sent = Instant::now();
    let mut lease = lease();
    lease.renew(sent + 200 * MS);
    lease.renew(sent);
    assert_eq!(lease.expires_at(), Some(sent + 650 * MS));
    lease.revoke();
    assert!(!lease.is_held(sent + 201 * MS));
}

/// Guards against a new leader whose first order overlaps with an order of its predecessor.
#[test]
fn first_order_waits_for_the_longest_earlier_lease() {
    let elected = Instant::now();
    let first = lease().first_order_at(elected, 20 * MS);
    assert_eq!(first, elected + 570 * MS);
}

/// Guards against a high sequence number of an old term that outranks the first order of a new
/// term.
#[test]
fn fence_orders_by_term_first() {
    let mut old = FencingToken::new(3);
    let first = old.advance();
    let second = old.advance();
    let newer = FencingToken::new(4).advance();
    assert!(first < second && second < newer);
}
