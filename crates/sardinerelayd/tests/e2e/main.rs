//! End-to-end tests: the real daemon and the stand-ins as processes on loopback.

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
