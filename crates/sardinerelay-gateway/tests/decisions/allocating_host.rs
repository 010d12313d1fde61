//! When an entry host takes a host for one that has begun to allocate, and tells it again what it has to know.

use {
    rstest::rstest,
    sardinerelay_gateway::{group::Clients, remote::RemoteAllocator},
    std::net::Ipv4Addr,
};

const FIRST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// The first case guards against parts that are never refused although they crash engines, because all voters lost
/// power and the same one leads again: nobody told it of the crashes before.
#[rstest]
#[case::the_same_host_in_a_later_term(FIRST, 8, true)]
#[case::another_host(SECOND, 8, true)]
#[case::another_host_of_an_earlier_version(SECOND, 0, true)]
#[case::the_same_host_in_the_same_term(FIRST, 7, false)]
fn a_host_begins_to_allocate_with_each_term(
    #[case] address: Ipv4Addr,
    #[case] term: u64,
    #[case] has_begun: bool,
) {
    let clients = Clients::new(7200);
    let remote = RemoteAllocator::default();
    assert!(remote.set_client(clients.get(FIRST), 7));
    assert_eq!(remote.set_client(clients.get(address), term), has_begun);
}
