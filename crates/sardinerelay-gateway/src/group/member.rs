//! IDs of group members.
//!
//! The upper half of an ID is the host's IPv4 address, so that nobody has to distribute a list of
//! addresses. The lower half is random, except for founders, because a replica that lost its disk
//! must not come back under its old ID (see `sardinerelay::raft`).

use {
    rand::Rng,
    sardinerelay::id::Host,
    std::net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

/// Position of the address within an ID, in bits.
const ADDRESS_SHIFT: u32 = 32;

/// Returns the ID of a founding voter. It is derived from the address alone, so that all founders
/// know the IDs of the others from the settings.
pub fn founder_id(address: Ipv4Addr) -> Host {
    Host::from(address.to_bits()) << ADDRESS_SHIFT
}

/// Returns a random ID for a replica that joins, so that it differs from that of any earlier
/// replica at this address.
pub fn random_id<R>(address: Ipv4Addr, rng: &mut R) -> Host
where
    R: Rng + ?Sized,
{
    founder_id(address) | Host::from(rng.random_range(1..=u32::MAX))
}

/// Returns the address of the host with this ID.
pub fn address(member: Host) -> Ipv4Addr {
    Ipv4Addr::from_bits((member >> ADDRESS_SHIFT) as u32)
}

/// Returns the address of a member's peer server. The port is the same on all hosts.
pub fn peer_address(member: Host, port: u16) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new(address(member), port))
}
