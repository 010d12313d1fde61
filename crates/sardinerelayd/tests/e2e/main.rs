//! End-to-end tests. The daemon and the stand-ins run as processes that talk over loopback.

mod calls;
mod client;
mod cuts;
mod disks;
mod harness;
mod limits;
mod links;
mod orders;
mod path;
mod sheets;
mod stops;
mod streams;
