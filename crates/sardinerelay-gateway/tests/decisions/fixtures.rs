//! Engines, observations and needs that the tests of decisions share.

use {
    sardinerelay::id::Build,
    sardinerelay_gateway::{
        observations::{Instance, Load, LoadReport, Observations},
        placement::Need,
        targets::Targets,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

pub const SERVICE: &str = "engines";
pub const ENGINE_TOKENS: u64 = 30_000;
pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn instance(number: usize) -> Instance {
    Instance {
        target: format!("e{number}").into(),
        incarnation: 1,
        service: SERVICE.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000 + number as u16)),
        zone: ZONES[number % ZONES.len()].into(),
        slots: 64,
        leaving: false,
        cold_ms: 0,
        build: Build::default(),
    }
}

pub fn load(used: u64) -> Load {
    Load {
        used,
        total: ENGINE_TOKENS,
        ..Load::default()
    }
}

/// Observations, as of now, of engines that report the given tokens of memory in use.
pub fn observations(stamp: u64, used: &[u64]) -> Observations {
    let loads = used.iter().enumerate().map(|(number, used)| LoadReport {
        target: instance(number).target,
        incarnation: 1,
        load: load(*used),
        age_ms: 0,
        closing_ms: None,
    });
    Observations {
        stamp,
        instances: (0..used.len()).map(instance).collect(),
        loads: loads.collect(),
        entry_hosts: 9,
        ..Observations::default()
    }
}

pub fn targets(used: &[u64], now: Instant) -> Targets {
    let mut targets = Targets::default();
    targets.merge(&observations(1, used), now);
    targets
}

/// Time between two lists.
pub const LIST_INTERVAL: Duration = Duration::from_millis(250);

/// Targets as observed, after one more of them has ended without notice, so that generations get
/// copies.
pub fn targets_after_crash(observations: &Observations, now: Instant) -> Targets {
    let mut before = observations.clone();
    before.instances.push(instance(99));
    let mut targets = Targets::default();
    targets.merge(&before, now - LIST_INTERVAL);
    targets.merge(observations, now);
    targets
}

/// A generation with a prompt of 3,000 tokens and an expected output of 800.
pub fn need() -> Need {
    Need {
        service: SERVICE.into(),
        organisation: "org".into(),
        zone: ZONES[0].into(),
        engine_memory_tokens: ENGINE_TOKENS,
        prompt_tokens: 3_000,
        output_tokens: 800,
        priority: 1,
        shared_tokens: 0,
        wants_copy: false,
        shared_parts: Vec::new(),
        build: None,
        homes: Default::default(),
    }
}
