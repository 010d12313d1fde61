//! Runs of a cluster under random, combined faults. A seed determines the schedule of the faults.
//! What callers, operators and targets see is recorded as a history, which is then checked against
//! the guarantees G1 to G7 in section 1.2 of `docs/design.md`.

mod calls;
mod check;
#[path = "../e2e/client.rs"]
#[allow(dead_code, reason = "shared with the end-to-end tests")]
mod client;
mod faults;
#[path = "../e2e/harness.rs"]
#[allow(dead_code, reason = "shared with the end-to-end tests")]
mod harness;
mod history;
#[path = "../e2e/links.rs"]
mod links;
mod operators;
mod planted;
mod run;
mod streams;
mod testbed;
