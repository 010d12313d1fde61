//! Compares the scheduling policies in a simulation in virtual time.
//!
//! The simulation has ten engines, nine schedulers that get lagging load reports, open-loop
//! arrivals from a seed, and one engine that dies halfway. The results are in
//! `docs/design/admission.md`.
//!
//! Usage: `policy [SECONDS] [SEED] [MIX] [LOAD]`, for example `policy 600 1 brakeline 120`. The
//! defaults are 600 seconds, seed 1, both mixes, and loads of 60, 90 and 120 %.

mod simulation;
mod summary;
mod traffic;

use {
    self::{simulation::Simulation, traffic::Mix},
    sardinerelay::{admission::Objective, scheduler::Policy},
    std::{env, time::Duration},
};

const ENGINES: usize = 10;
const ORGANISATIONS: usize = 10;
const MEMORY_TOKENS: u64 = 60_000;
/// Step of virtual time.
const TICK: Duration = Duration::from_millis(5);
/// Ticks that an engine takes for one decode step.
const TICKS_PER_STEP: u64 = 4;

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
struct Run {
    mix: Mix,
    /// Offered load as a share of the engines' capacity.
    load: f64,
    policy: Policy,
    objective: Objective,
    seconds: u64,
    seed: u64,
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize, default: u64| {
        arguments
            .get(at)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let seconds = number(0, 600);
    let seed = number(1, 1);
    println!(
        "{:<9} {:>4} {:<17} {:>8} {:>7} {:>8} {:>21} {:>15} {:>15} {:>8} {:>8} {:>5} {:>5} {:>5} {:>5}",
        "mix",
        "load",
        "policy",
        "stall s",
        "stall %",
        "preempt",
        "gap p50/95/99/99.9 ms",
        "ttft p50/p99 s",
        "short p50/99",
        "goodput",
        "refused",
        "lost",
        "jain",
        "mem %",
        "q"
    );
    for mix in [Mix::Brakeline, Mix::Harakeke] {
        let name = format!("{mix:?}").to_lowercase();
        if arguments
            .get(2)
            .is_some_and(|wanted| *wanted != name && wanted != "both")
        {
            continue;
        }
        for percent in [60, 90, 120] {
            if arguments
                .get(3)
                .is_some_and(|wanted| wanted.parse() != Ok(percent))
            {
                continue;
            }
            for (policy, objective) in [
                (Policy::RoundRobin, Objective::Stall),
                (Policy::LeastInFlight, Objective::Stall),
                (Policy::Adaptive, Objective::Stall),
                (Policy::Adaptive, Objective::Preemption),
            ] {
                let run = Run {
                    mix,
                    load: f64::from(percent) / 100.0,
                    policy,
                    objective,
                    seconds,
                    seed,
                };
                Simulation::new(run).simulate().print(&run);
            }
        }
    }
}
