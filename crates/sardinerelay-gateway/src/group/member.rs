//! Numbers of group members.
//!
//! A number holds the host's address, so that nobody has to distribute a list of addresses, and a
//! random part, because a replica that lost its disk must not come back under its old number (see
//! `sardinerelay::raft`).

use {
    rand::Rng,
    sardinerelay::id::Host,
    std::net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

const ADDRESS_SHIFT: u32 = 32;

/// The number of a voter that founds the group. All founders derive it from the settings.
pub fn founder_id(address: Ipv4Addr) -> Host {
    Host::from(address.to_bits()) << ADDRESS_SHIFT
}

/// A number that no earlier replica at this address had.
pub fn random_id<R>(address: Ipv4Addr, rng: &mut R) -> Host
where
    R: Rng + ?Sized,
{
    founder_id(address) | Host::from(rng.random_range(1..=u32::MAX))
}

/// The address in a number.
pub fn address(member: Host) -> Ipv4Addr {
    Ipv4Addr::from_bits((member >> ADDRESS_SHIFT) as u32)
}

/// Where a member's peer server listens. The port is the same on all hosts.
pub fn peer_address(member: Host, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(address(member), port))
}
