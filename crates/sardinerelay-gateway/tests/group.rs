//! Groups of replicas on loopback addresses.

#[path = "group/cluster.rs"]
mod cluster;
#[path = "group/evacuation.rs"]
mod evacuation;
#[path = "group/full_disks.rs"]
mod full_disks;
#[path = "group/membership.rs"]
mod membership;
#[path = "group/observations.rs"]
mod observations;
#[path = "group/origins.rs"]
mod origins;
#[path = "group/reads.rs"]
mod reads;
#[path = "group/refusals.rs"]
mod refusals;
#[path = "group/rejoin.rs"]
mod rejoin;
#[path = "group/replaced.rs"]
mod replaced;
#[path = "group/restart.rs"]
mod restart;
